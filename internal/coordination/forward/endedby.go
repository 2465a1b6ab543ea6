package forward

// EndedBy is who ended an attempt without a complete answer, and why.
type EndedBy string

// The causes.
const (
	// EndedByServer: the server closed the connection, could not be reached or sent an invalid answer.
	EndedByServer EndedBy = "Server"
	// EndedByHedge: another attempt went on with the answer first.
	EndedByHedge EndedBy = "Hedge"
	// EndedByHeadTimeout, EndedByStall, EndedBySilence and EndedByReplacement are the reasons for a
	// second attempt: the server had not begun its answer in time, made no progress on any request,
	// paused in the middle of the answer, or was replaced by another process.
	EndedByHeadTimeout EndedBy = "HeadTimeout"
	EndedByStall       EndedBy = "Stall"
	EndedBySilence     EndedBy = "Silence"
	EndedByReplacement EndedBy = "Replacement"
	// EndedByStartDeadline: the server's version of the weights would have begun the answer too late.
	EndedByStartDeadline EndedBy = "StartDeadline"
	// EndedByQuarantine: the request was quarantined.
	EndedByQuarantine EndedBy = "Quarantine"
	// EndedByRateLimit: the server stopped accepting requests before this one was written.
	EndedByRateLimit EndedBy = "RateLimit"
	// EndedByDeadline: the deadline of the request passed.
	EndedByDeadline EndedBy = "Deadline"
	// EndedByCaller: the caller disconnected. EndedByCallerWrite: the caller did not read its answer.
	EndedByCaller      EndedBy = "Caller"
	EndedByCallerWrite EndedBy = "CallerWrite"
	// EndedByShutdown: the process of this entry ends.
	EndedByShutdown EndedBy = "Shutdown"
)
