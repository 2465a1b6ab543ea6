// Package outcome tells from an entry's log lines what became of callers' requests, by
// second and cause: what was refused, late or broken.
package outcome

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is what is used of a line of an entry's log. Fields that a line does not have are
// empty.
type Line struct {
	Time    time.Time
	Message string
	Request string
	// Fingerprint is what stays the same between the tries of a caller that is refused.
	Fingerprint string
	// Status is that of the final answer.
	Status int
	// Reason says why the entry itself ended the request.
	Reason string
	// Took is from the request's arrival to its end, and First to the first byte of its
	// answer, 0 if there was none; both in milliseconds.
	Took, First float64
	// Servers is how many backend servers made a stream.
	Servers int
	// End is how an attempt ended.
	End string
	// Ahead is how many requests a server had beyond what it runs at once, and Reading
	// how long it still read prompts, in milliseconds, when an attempt was placed there.
	Ahead   int
	Reading float64
	// Cut is true if the answer was predicted to be broken off for a change of weights.
	Cut bool
	// Waited is how long the request waited for a place, in milliseconds.
	Waited float64
}

// Statuses of HTTP that tell kinds apart.
const (
	statusCallersFault = 400
	statusServerFailed = 500
	statusNotRun       = 503
)

// Messages of the lines that are used.
const (
	messageEnded   = "request ended"
	messagePlaced  = "placed"
	messageAttempt = "attempt ended"
	messageBack    = "attempt taken back"
	messageWaited  = "waited for a place"
)

// Kind is what became of a request, as its caller sees it.
type Kind string

// The kinds.
const (
	// KindInTime is an answer that began within the goal.
	KindInTime Kind = "InTime"
	KindLate   Kind = "Late"
	// KindRefused is a request that did not run, and was told when to come back.
	KindRefused Kind = "Refused"
	// KindRefusedAgain is one that had been refused shortly before, at any entry.
	KindRefusedAgain Kind = "RefusedAgain"
	// KindBroken is an answer that is not whole, or unknown.
	KindBroken Kind = "Broken"
	// KindFault is the caller's own fault, as an unknown key.
	KindFault Kind = "CallersFault"
	KindLeft  Kind = "CallerLeft"
)

// Cause is why a request is of its kind.
type Cause string

// The causes. Of a late answer it is the first that fits, in this order.
const (
	CauseNone Cause = ""
	// CauseWaited: it waited at the entry for a place.
	CauseWaited Cause = "WaitedForAPlace"
	// CauseTakenBack: it was taken back from a server whose weights were to be old.
	CauseTakenBack Cause = "TakenBack"
	// CauseTurnedAway: a server did not run it, and it was placed again.
	CauseTurnedAway Cause = "TurnedAway"
	// CauseAgain: an attempt was lost or failed, and it was placed again.
	CauseAgain Cause = "LostAndPlacedAgain"
	// CauseChange: its server was about to change its weights.
	CauseChange Cause = "ChangeOfWeights"
	// CauseReading: its server read prompts for a third of the goal and more.
	CauseReading Cause = "ReadPrompts"
	// CauseQueue: it was placed where others waited.
	CauseQueue Cause = "Queue"
	// CauseSlow: none of these; its server took longer than predicted.
	CauseSlow Cause = "SlowServer"
	// CauseOther: a reason that has no name here.
	CauseOther Cause = "Other"
)

// reasons are causes by the beginning of an entry's own reason.
var reasons = []struct {
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
	{"the answer broke off", "BrokeOff"},
	{"body did not arrive", "SlowBody"},
	{"servers end under", "Quarantined"},
	{"this request is being tried", "Quarantined"},
}

// Row is a number of requests that came in one second, of one kind and cause.
type Row struct {
	// Second is in Unix time.
	Second   int64
	Kind     Kind
	Cause    Cause
	Requests int
}

// openMost bounds the requests of one entry that are remembered until they end. The oldest is
// forgotten, and then has no cause.
const openMost = 12_000

// notes is what was seen of a request that has not ended.
type notes struct {
	waited, back, turnedAway, again, cut, queue bool
	reading                                     float64
}

// cell is where a request is counted.
type cell struct {
	second int64
	kind   Kind
	cause  Cause
}

// Tally counts the requests of one entry's lines, which come in order.
type Tally struct {
	// goal is the time to the first byte from which an answer is late.
	goal  time.Duration
	open  map[string]*notes
	order []string
	cells map[cell]int
	// refusals are those of requests that can be recognised, the latest refusalsMost.
	refusals []refusal
}

// refusal is a request that was refused.
type refusal struct {
	fingerprint string
	arrived     time.Time
	at          cell
}

// Bounds of refusals.
const (
	// refusalsMost bounds those that are remembered of an entry.
	refusalsMost = 180_000
	// againMost is the longest time after a refusal in which its caller comes back.
	againMost = 6 * time.Second
)

// New returns a tally for a goal.
func New(goal time.Duration) *Tally {
	return &Tally{goal: goal, open: map[string]*notes{}, cells: map[cell]int{}}
}

// Take takes one line.
func (t *Tally) Take(line *Line) {
	if line.Request == "" && line.Message != messageEnded {
		return
	}
	switch line.Message {
	case messagePlaced:
		n := t.note(line.Request)
		n.cut, n.queue, n.reading = line.Cut, line.Ahead > 0, line.Reading
	case messageAttempt:
		n := t.note(line.Request)
		refused := line.End == "Refused" || line.End == "Moved" || line.End == "Unsent"
		n.turnedAway, n.again = n.turnedAway || refused, n.again || !refused
	case messageBack:
		t.note(line.Request).back = true
	case messageWaited:
		n := t.note(line.Request)
		n.waited = n.waited || line.Waited > 0
	case messageEnded:
		t.end(line)
	}
}

// note returns the notes of a request that has not ended.
func (t *Tally) note(request string) *notes {
	if n, ok := t.open[request]; ok {
		return n
	}
	t.order = append(t.order, request)
	for len(t.order) > openMost {
		delete(t.open, t.order[0])
		t.order = t.order[1:]
	}
	n := &notes{}
	t.open[request] = n
	return n
}

func (t *Tally) end(line *Line) {
	n := t.open[line.Request]
	if n == nil {
		n = &notes{}
	}
	delete(t.open, line.Request)
	kind := kindOf(line, t.goal)
	arrived := line.Time.Add(-milliseconds(line.Took))
	at := cell{second: arrived.Unix(), kind: kind, cause: t.cause(kind, line, n)}
	t.cells[at]++
	if kind == KindRefused && line.Fingerprint != "" {
		t.refusals = append(t.refusals, refusal{line.Fingerprint, arrived, at})
		t.refusals = t.refusals[max(len(t.refusals)-refusalsMost, 0):]
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func kindOf(line *Line, goal time.Duration) Kind {
	switch {
	case strings.HasPrefix(line.Reason, "the caller left"):
		return KindLeft
	case strings.HasPrefix(line.Reason, "the answer broke off"):
		return KindBroken
	case line.Status == statusNotRun:
		return KindRefused
	case line.Status >= statusServerFailed:
		return KindBroken
	case line.Status >= statusCallersFault:
		return KindFault
	case milliseconds(cmp.Or(line.First, line.Took)) > goal:
		return KindLate
	}
	return KindInTime
}

func (t *Tally) cause(kind Kind, line *Line, n *notes) Cause {
	switch kind {
	case KindLate:
		return t.lateCause(line, n)
	case KindRefused, KindBroken:
		for _, known := range reasons {
			if strings.HasPrefix(line.Reason, known.reason) {
				return known.cause
			}
		}
		if line.Reason == "" && line.Status == statusServerFailed {
			return "ServersOwnFailure"
		}
		return CauseOther
	}
	return CauseNone
}

func (t *Tally) lateCause(line *Line, n *notes) Cause {
	const readingShare = 3
	switch {
	case n.waited:
		return CauseWaited
	case n.back:
		return CauseTakenBack
	case n.turnedAway:
		return CauseTurnedAway
	case n.again || line.Servers > 1:
		return CauseAgain
	case n.cut:
		return CauseChange
	case milliseconds(n.reading) >= t.goal/readingShare:
		return CauseReading
	case n.queue:
		return CauseQueue
	}
	return CauseSlow
}

// Day is the sum over entries. The zero value is empty.
type Day struct {
	cells    map[cell]int
	refusals []refusal
}

// Add adds an entry's requests.
func (d *Day) Add(t *Tally) {
	if d.cells == nil {
		d.cells = map[cell]int{}
	}
	for at, n := range t.cells {
		d.cells[at] += n
	}
	d.refusals = append(d.refusals, t.refusals...)
}

// Rows returns the counts by second, kind and cause. A request that came back after a
// refusal and was refused again, by whichever entry, is of a kind of its own.
func (d *Day) Rows() []Row {
	cells := maps.Clone(d.cells)
	slices.SortStableFunc(d.refusals, func(a, b refusal) int { return a.arrived.Compare(b.arrived) })
	last := map[string]time.Time{}
	for _, r := range d.refusals {
		before, ok := last[r.fingerprint]
		last[r.fingerprint] = r.arrived
		if !ok || r.arrived.Sub(before) > againMost {
			continue
		}
		if cells[r.at]--; cells[r.at] == 0 {
			delete(cells, r.at)
		}
		again := r.at
		again.kind = KindRefusedAgain
		cells[again]++
	}
	rows := make([]Row, 0, len(cells))
	for at, n := range cells {
		rows = append(rows, Row{Second: at.second, Kind: at.kind, Cause: at.cause, Requests: n})
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause))
	})
}
