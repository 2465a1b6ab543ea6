// Package outcome classifies the requests of callers from the log lines of entries: how each request
// ended, and why it was refused, late or incomplete, by second.
package outcome

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line holds the fields of an entry's log line that are evaluated. Fields that a line lacks are empty.
type Line struct {
	Time    time.Time
	Message string
	Request string
	// Fingerprint is common to all attempts of a caller that is refused and retries.
	Fingerprint string
	// Status is the status code of the final answer.
	Status int
	// Reason says why the entry itself ended the request.
	Reason string
	// Duration is the time from the request's arrival to its end in milliseconds.
	Duration float64 `json:"Took"`
	// FirstByte is the time from the request's arrival to the first byte of its answer in
	// milliseconds, 0 if there was none.
	FirstByte float64 `json:"First"`
	// Servers is how many backend servers contributed to a stream.
	Servers int
	// End is how an attempt ended.
	End string
	// QueuePosition is how many requests the server had above its concurrency when an attempt was
	// sent there.
	QueuePosition int `json:"Ahead"`
	// PrefillWait is the server's prefill backlog at that time in milliseconds.
	PrefillWait float64 `json:"Reading"`
	// WillInterrupt is true if a change of weights was predicted to interrupt the answer.
	WillInterrupt bool `json:"Cut"`
	// EntryQueueTime is how long the request waited at the entry for a slot, in milliseconds.
	EntryQueueTime float64 `json:"Waited"`
	// EndedBy is who ended an attempt, or the last attempt of a request, and why.
	EndedBy string
	// Stage is how much of the answer had been sent when the entry closed the connection.
	Stage string
	// Silence is how long the server had sent nothing when the attempt ended, in milliseconds.
	Silence float64 `json:"Silent"`
	// UrgencyLevel is the urgency level of a placed or refused request; nil if its service has none.
	UrgencyLevel *int
}

// HTTP status codes that separate kinds.
const (
	statusClientError = 400
	statusServerError = 500
	statusUnavailable = 503
)

// MessageRequestEnded is the message of a request's last line.
const MessageRequestEnded = "request ended"

// Messages of the other log lines that are evaluated.
const (
	messagePlaced           = "placed"
	messageRefused          = "refused"
	messageAttemptEnded     = "attempt ended"
	messageAttemptCancelled = "attempt taken back"
	messageEntryQueued      = "waited for a place"
)

// Kind is how a request ended, as its caller sees it.
type Kind string

// The kinds.
const (
	// KindInTime is an answer that began within the goal.
	KindInTime Kind = "InTime"
	KindLate   Kind = "Late"
	// KindRefused is a request that did not run and got a retry delay.
	KindRefused Kind = "Refused"
	// KindRefusedAgain is a refused request whose caller had been refused shortly before, at any
	// entry.
	KindRefusedAgain Kind = "RefusedAgain"
	// KindBroken is an answer that is incomplete or unknown.
	KindBroken Kind = "Broken"
	// KindCallerError is an error of the caller, such as an unknown key.
	KindCallerError Kind = "CallersFault"
	// KindCallerDisconnected is a request whose caller disconnected.
	KindCallerDisconnected Kind = "CallerLeft"
)

// Cause is why a request is of its kind.
type Cause string

// The causes. A late answer gets the first one that applies, in this order.
const (
	CauseNone Cause = ""
	// CauseEntryQueue: the request waited at the entry for a slot.
	CauseEntryQueue Cause = "WaitedForAPlace"
	// CauseCancelled: an attempt was cancelled because the server's weights were to become outdated.
	CauseCancelled Cause = "TakenBack"
	// CauseServerRefused: a server did not run the request, and it was sent to another one.
	CauseServerRefused Cause = "TurnedAway"
	// CauseRetried: an attempt was lost or failed, and the request was sent to another server.
	CauseRetried Cause = "LostAndPlacedAgain"
	// CauseVersionChange: the server was about to change its weights.
	CauseVersionChange Cause = "ChangeOfWeights"
	// CausePrefill: the server's prefill backlog took at least a third of the goal.
	CausePrefill Cause = "ReadPrompts"
	// CauseServerQueue: the request was sent to a server where others waited.
	CauseServerQueue Cause = "Queue"
	// CauseSlowServer: none of these. The server took longer than predicted.
	CauseSlowServer Cause = "SlowServer"
	// CauseOther: a reason without a cause of its own.
	CauseOther Cause = "Other"
)

// reasonBrokeOff is the reason of answers that the entry cut.
const reasonBrokeOff = "the answer broke off"

// reasonCauses maps the beginning of an entry's reason to a cause.
var reasonCauses = []struct {
	reason string
	cause  Cause
}{
	{"no server can take", "NoServer"},
	{"all servers are busy", "AllBusy"},
	{"servers refused", "ServersRefused"},
	{"no desired state", "NoDesiredState"},
	{"the view of the keys", "OldKeys"},
	{"this entry is leaving", "Leaving"},
	{"the request may have run", "AnswerLost"},
	{"time ran out", "TimeRanOut"},
	{reasonBrokeOff, "BrokeOff"},
	{"body did not arrive", "SlowBody"},
	{"servers end under requests with a part", "QuarantinedPart"},
	{"servers end under", "Quarantined"},
	{"this request is being tried", "Quarantined"},
}

// Row is the number of requests that arrived in one second, of one kind and cause.
type Row struct {
	// Second is the second of arrival in Unix time.
	Second   int64
	Kind     Kind
	Cause    Cause
	Requests int
}

// maxOpenRequests bounds the requests of one entry that are kept until they end. The oldest is evicted
// first. What its lines said is then not counted.
const maxOpenRequests = 12_000

// openRequest holds what the lines said about a request that has not ended.
type openRequest struct {
	entryQueued, cancelled, refused, retried, willInterrupt, serverQueued bool
	prefillWait                                                           float64
	// endedBy is who ended the last attempt.
	endedBy string
	// level is the urgency level; nil if unknown.
	level *int
}

// counterKey identifies a counter of requests.
type counterKey struct {
	second int64
	kind   Kind
	cause  Cause
}

// Tally counts the requests of one entry. The entry's log lines must be added in order.
type Tally struct {
	// goal is the time to first byte above which an answer is late.
	goal time.Duration
	// open holds the requests that have not ended, and order their IDs from the oldest.
	open   map[string]*openRequest
	order  []string
	counts map[counterKey]int
	levels map[int]LevelRow
	broken map[brokenKey]int
	// refusals are the latest maxRefusals refused requests that have a fingerprint.
	refusals []refusal
}

type refusal struct {
	fingerprint string
	arrived     time.Time
	key         counterKey
}

// Bounds of refusals.
const (
	// maxRefusals bounds the refusals kept per entry.
	maxRefusals = 180_000
	// maxReturnDelay is the longest time after a refusal in which its caller retries.
	maxReturnDelay = 6 * time.Second
)

// New returns a tally for a goal.
func New(goal time.Duration) *Tally {
	return &Tally{goal: goal, open: map[string]*openRequest{}, counts: map[counterKey]int{}, levels: map[int]LevelRow{}, broken: map[brokenKey]int{}}
}

// Add evaluates one log line.
func (t *Tally) Add(line *Line) {
	if line.Request == "" && line.Message != MessageRequestEnded {
		return
	}
	switch line.Message {
	case messageRefused:
		t.setLevel(line)
	case messagePlaced:
		t.setLevel(line)
		r := t.openRequest(line.Request)
		r.willInterrupt, r.serverQueued, r.prefillWait = line.WillInterrupt, line.QueuePosition > 0, line.PrefillWait
	case messageAttemptEnded:
		r := t.openRequest(line.Request)
		refused := line.End == "Refused" || line.End == "Moved" || line.End == "Unsent"
		r.refused, r.retried = r.refused || refused, r.retried || !refused
		r.endedBy = line.EndedBy
	case messageAttemptCancelled:
		t.openRequest(line.Request).cancelled = true
	case messageEntryQueued:
		r := t.openRequest(line.Request)
		r.entryQueued = r.entryQueued || line.EntryQueueTime > 0
	case MessageRequestEnded:
		t.endRequest(line)
	}
}

// openRequest returns the state of a request that has not ended, and creates it if needed.
func (t *Tally) openRequest(request string) *openRequest {
	if r, ok := t.open[request]; ok {
		return r
	}
	t.order = append(t.order, request)
	for len(t.order) > maxOpenRequests {
		delete(t.open, t.order[0])
		t.order = t.order[1:]
	}
	r := &openRequest{}
	t.open[request] = r
	return r
}

// endRequest counts a request that ended.
func (t *Tally) endRequest(line *Line) {
	r := t.open[line.Request]
	if r == nil {
		r = &openRequest{}
	}
	delete(t.open, line.Request)
	kind := classify(line, t.goal)
	arrived := line.Time.Add(-milliseconds(line.Duration))
	key := counterKey{second: arrived.Unix(), kind: kind, cause: t.cause(kind, line, r)}
	t.counts[key]++
	t.countLevel(r.level, kind == KindRefused)
	if kind == KindBroken {
		t.countBroken(line, r)
	}
	if kind == KindRefused && line.Fingerprint != "" {
		t.refusals = append(t.refusals, refusal{line.Fingerprint, arrived, key})
		t.refusals = t.refusals[max(len(t.refusals)-maxRefusals, 0):]
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// classify returns the kind of a request from its last log line.
func classify(line *Line, goal time.Duration) Kind {
	switch {
	case strings.HasPrefix(line.Reason, "the caller left"):
		return KindCallerDisconnected
	case strings.HasPrefix(line.Reason, reasonBrokeOff):
		return KindBroken
	case line.Status == statusUnavailable:
		return KindRefused
	case line.Status >= statusServerError:
		return KindBroken
	case line.Status >= statusClientError:
		return KindCallerError
	case milliseconds(cmp.Or(line.FirstByte, line.Duration)) > goal:
		return KindLate
	}
	return KindInTime
}

func (t *Tally) cause(kind Kind, line *Line, r *openRequest) Cause {
	switch kind {
	case KindLate:
		return t.lateCause(line, r)
	case KindRefused, KindBroken:
		for _, entry := range reasonCauses {
			if strings.HasPrefix(line.Reason, entry.reason) {
				return entry.cause
			}
		}
		if line.Reason == "" && line.Status == statusServerError {
			return "ServersOwnFailure"
		}
		return CauseOther
	}
	return CauseNone
}

// lateCause returns the first cause that applies to a late answer.
func (t *Tally) lateCause(line *Line, r *openRequest) Cause {
	const prefillGoalDivisor = 3
	switch {
	case r.entryQueued:
		return CauseEntryQueue
	case r.cancelled:
		return CauseCancelled
	case r.refused:
		return CauseServerRefused
	case r.retried || line.Servers > 1:
		return CauseRetried
	case r.willInterrupt:
		return CauseVersionChange
	case milliseconds(r.prefillWait) >= t.goal/prefillGoalDivisor:
		return CausePrefill
	case r.serverQueued:
		return CauseServerQueue
	}
	return CauseSlowServer
}

// Totals holds the sums over entries. The zero value is empty.
type Totals struct {
	counts   map[counterKey]int
	levels   map[int]LevelRow
	broken   map[brokenKey]int
	refusals []refusal
}

// Add adds the requests of an entry.
func (d *Totals) Add(t *Tally) {
	if d.counts == nil {
		d.counts, d.levels, d.broken = map[counterKey]int{}, map[int]LevelRow{}, map[brokenKey]int{}
	}
	for key, n := range t.counts {
		d.counts[key] += n
	}
	for level, row := range t.levels {
		d.levels[level] = d.levels[level].add(level, row.Requests, row.Refused)
	}
	for key, n := range t.broken {
		addBroken(d.broken, key, n)
	}
	d.refusals = append(d.refusals, t.refusals...)
}

// Rows returns the counts by second, kind and cause. A request that was refused, retried and refused
// again, by any entry, is counted as KindRefusedAgain.
func (d *Totals) Rows() []Row {
	counts := maps.Clone(d.counts)
	slices.SortStableFunc(d.refusals, func(a, b refusal) int { return a.arrived.Compare(b.arrived) })
	last := map[string]time.Time{}
	for _, r := range d.refusals {
		before, ok := last[r.fingerprint]
		last[r.fingerprint] = r.arrived
		if !ok || r.arrived.Sub(before) > maxReturnDelay {
			continue
		}
		if counts[r.key]--; counts[r.key] == 0 {
			delete(counts, r.key)
		}
		repeated := r.key
		repeated.kind = KindRefusedAgain
		counts[repeated]++
	}
	rows := make([]Row, 0, len(counts))
	for key, n := range counts {
		rows = append(rows, Row{Second: key.second, Kind: key.kind, Cause: key.cause, Requests: n})
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause))
	})
}
