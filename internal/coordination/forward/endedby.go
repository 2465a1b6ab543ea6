package forward

// EndedBy is who ended an attempt without a complete answer, and why.
type EndedBy string

// The causes.
const (
	// EndedByServer: the server closed the connection, could not be reached or sent an invalid answer.
	EndedByServer EndedBy = "Server"
	// EndedByHeadTimeout, EndedByStall and EndedBySilence: this entry cancelled the attempt because the
	// server had not begun its answer in time, made no progress on any request, or paused in the middle
	// of the answer.
	EndedByHeadTimeout EndedBy = "HeadTimeout"
	EndedByStall       EndedBy = "Stall"
	EndedBySilence     EndedBy = "Silence"
	// EndedByReplacement: another process runs in place of the one that the attempt was sent to.
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
