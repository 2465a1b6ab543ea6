package outcome

import (
	"cmp"
	"slices"
	"strings"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
)

// Received is what the caller received of an answer that is incomplete or unknown.
type Received string

const (
	// ReceivedNothing: the connection was closed without a status.
	ReceivedNothing Received = "Nothing"
	// ReceivedPart: the connection was closed in the middle of the answer.
	ReceivedPart Received = "Part"
	// ReceivedStatus: the entry's own status, which says that the answer is unknown.
	ReceivedStatus Received = "Status"
)

// stageNoStatus is the stage of requests that were aborted before a status.
const stageNoStatus = "NoStatus"

// Received returns what the caller received of a broken request, given its last log line.
func (l *Line) Received() Received {
	switch {
	case !strings.HasPrefix(l.Reason, reasonBrokeOff):
		return ReceivedStatus
	case l.Stage == stageNoStatus, l.Stage == "" && l.FirstByte == 0:
		return ReceivedNothing
	}
	return ReceivedPart
}

// BrokenRow is the number of broken requests by who ended their last attempt and what their callers
// received.
type BrokenRow struct {
	// EndedBy is a forward.EndedBy, another value that the log states, EndedByUnknown or EndedByOther.
	EndedBy  string
	Received Received
	Requests int
}

const (
	// EndedByUnknown: the log does not state who ended the request.
	EndedByUnknown = "Unknown"
	// EndedByOther: the log states a malformed value, or there were too many different ones.
	EndedByOther = "Other"
)

// Bounds of the values of EndedBy, so that a malformed log cannot create rows without bound.
const (
	maxEndedByLength = 32
	maxEndedByValues = 32
)

type brokenKey struct {
	endedBy  string
	received Received
}

// addBroken adds n requests to counts.
func addBroken(counts map[brokenKey]int, key brokenKey, n int) {
	if _, ok := counts[key]; !ok && len(counts) >= maxEndedByValues {
		key.endedBy = EndedByOther
	}
	counts[key] += n
}

// countBroken counts a request that ended with the entry's own failure. The line of the end states who
// ended it, or the one of the last attempt.
func (t *Tally) countBroken(line *Line, r *openRequest) {
	if line.Reason == "" {
		return
	}
	endedBy := cmp.Or(line.EndedBy, r.endedBy, EndedByUnknown)
	if !isWord(endedBy) {
		endedBy = EndedByOther
	}
	addBroken(t.broken, brokenKey{endedBy, line.Received()}, 1)
}

// isWord reports whether a value has only letters and digits and a sensible length.
func isWord(value string) bool {
	return len(value) <= maxEndedByLength && !strings.ContainsFunc(value, func(r rune) bool {
		return (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') && (r < '0' || r > '9')
	})
}

// Broken returns the broken requests by who ended them, the most frequent first.
func (d *Totals) Broken() []BrokenRow {
	rows := make([]BrokenRow, 0, len(d.broken))
	for key, n := range d.broken {
		rows = append(rows, BrokenRow{EndedBy: key.endedBy, Received: key.received, Requests: n})
	}
	slices.SortFunc(rows, func(a, b BrokenRow) int {
		return cmp.Or(b.Requests-a.Requests, cmp.Compare(a.EndedBy, b.EndedBy), cmp.Compare(a.Received, b.Received))
	})
	return rows
}

// explanations say who ended an attempt and why.
var explanations = map[string]string{
	string(forward.EndedByServer):        "the server: it closed the connection, could not be reached or sent an invalid answer",
	string(forward.EndedByHedge):         "this entry: another server went on with the answer first",
	string(forward.EndedByHeadTimeout):   "this entry: the server had not begun its answer in time",
	string(forward.EndedByStall):         "this entry: the server made no progress on any request",
	string(forward.EndedBySilence):       "this entry: the server paused in the middle of the answer",
	string(forward.EndedByReplacement):   "this entry: another process runs in place of the server's",
	string(forward.EndedByStartDeadline): "this entry: the server's version of the weights would have begun the answer too late",
	string(forward.EndedByQuarantine):    "this entry: the request was quarantined",
	string(forward.EndedByRateLimit):     "this entry: the server stopped accepting requests before it was sent",
	string(forward.EndedByDeadline):      "the deadline of the request",
	string(forward.EndedByCaller):        "the caller: it disconnected",
	string(forward.EndedByCallerWrite):   "the caller: it did not read its answer",
	string(forward.EndedByShutdown):      "this entry: its process ended",
	EndedByUnknown:                       "the log does not state who",
	EndedByOther:                         "various values",
}

// Explain says who ended an attempt and why. The second result is false for a value that this program
// does not know.
func Explain(endedBy string) (string, bool) {
	text, ok := explanations[endedBy]
	return text, ok
}
