package outcome

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const goal = 500 * time.Millisecond

var at = time.Unix(1000, 0)

func placed(request string, ahead int, reading float64, cut bool) Line {
	return Line{Time: at, Message: messagePlaced, Request: request, Ahead: ahead, Reading: reading, Cut: cut}
}

func ended(request string, status int, first float64, reason string) Line {
	return Line{Time: at.Add(800 * time.Millisecond), Message: messageEnded, Request: request, Status: status, Took: 700, First: first, Reason: reason}
}

// On call: a user complains of a slow minute. The log must say which of the causes it was,
// for each request the one that came first on its way.
func TestEachRequestHasItsKindAndCause(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name  string
		lines []Line
		kind  Kind
		cause Cause
	}{
		{"in time", []Line{placed("r", -3, 0, false), ended("r", 200, 120, "")}, KindInTime, CauseNone},
		{"waited", []Line{{Message: messageWaited, Request: "r", Waited: 300}, placed("r", 2, 0, false), ended("r", 200, 650, "")}, KindLate, CauseWaited},
		{"taken back", []Line{placed("r", 2, 0, false), {Message: messageBack, Request: "r"}, ended("r", 200, 650, "")}, KindLate, CauseTakenBack},
		{"turned away", []Line{placed("r", 2, 0, false), {Message: messageAttempt, Request: "r", End: "Refused"}, placed("r", -1, 0, false), ended("r", 200, 650, "")}, KindLate, CauseTurnedAway},
		{"lost", []Line{placed("r", 2, 0, false), {Message: messageAttempt, Request: "r", End: "Lost"}, ended("r", 200, 650, "")}, KindLate, CauseAgain},
		{"change", []Line{placed("r", 2, 0, true), ended("r", 200, 650, "")}, KindLate, CauseChange},
		{"prompts", []Line{placed("r", 2, 200, false), ended("r", 200, 650, "")}, KindLate, CauseReading},
		{"queue", []Line{placed("r", 2, 20, false), ended("r", 200, 650, "")}, KindLate, CauseQueue},
		{"slow", []Line{placed("r", -2, 20, false), ended("r", 200, 650, "")}, KindLate, CauseSlow},
		{"whole answer without a first byte", []Line{ended("r", 200, 0, "")}, KindLate, CauseSlow},
		{"no server", []Line{ended("r", 503, 0, "no server can take the request")}, KindRefused, "NoServer"},
		{"unknown", []Line{ended("r", 502, 0, "the request may have run, its answer is lost")}, KindBroken, "AnswerLost"},
		{"time", []Line{ended("r", 504, 0, "time ran out")}, KindBroken, "TimeRanOut"},
		{"half an answer", []Line{ended("r", 200, 100, "the answer broke off")}, KindBroken, "BrokeOff"},
		{"the server's own", []Line{ended("r", 500, 90, "")}, KindBroken, "ServersOwnFailure"},
		{"a reason without a name", []Line{ended("r", 503, 0, "something new")}, KindRefused, CauseOther},
		{"a key", []Line{ended("r", 401, 0, "unknown key")}, KindFault, CauseNone},
		{"the caller", []Line{ended("r", 0, 0, "the caller left")}, KindLeft, CauseNone},
		{"another request's wait", []Line{{Message: messageWaited, Request: "q", Waited: 300}, ended("r", 200, 650, "")}, KindLate, CauseSlow},
	} {
		tally := New(goal)
		for _, line := range test.lines {
			tally.Take(&line)
		}
		c.Check(rows(tally), qt.DeepEquals, []Row{{Second: 1000, Kind: test.kind, Cause: test.cause, Requests: 1}}, qt.Commentf(test.name))
	}
}

// The command ends for want of memory on the log of a day: requests whose end is missing
// are kept for ever.
func TestOpenRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	tally := New(goal)
	for n := range 3 * openMost {
		line := placed(fmt.Sprint(n), 0, 0, false)
		tally.Take(&line)
	}
	c.Assert(len(tally.open) <= openMost, qt.IsTrue)
	c.Assert(len(tally.order) <= openMost, qt.IsTrue)
}

// rows are those of entries together.
func rows(tallies ...*Tally) []Row {
	var day Day
	for _, t := range tallies {
		day.Add(t)
	}
	return day.Rows()
}

// The log of many entries: the sum is of all, by second, kind and cause.
func TestRowsOfEntriesAreAdded(t *testing.T) {
	c := qt.New(t)
	a, b := New(goal), New(goal)
	for n, tally := range []*Tally{a, b, b} {
		line := ended(fmt.Sprint(n), 503, 0, "all servers are busy")
		tally.Take(&line)
	}
	line := ended("r", 200, 100, "")
	a.Take(&line)
	c.Assert(rows(a, b), qt.DeepEquals, []Row{{1000, KindInTime, CauseNone, 1}, {1000, KindRefused, "AllBusy", 3}})
}

// A caller is refused, comes back at another entry under another ID, and is refused again:
// half of a minute's refusals were no callers of their own. What stays the same tells.
func TestASecondRefusalIsToldFromAFirst(t *testing.T) {
	c := qt.New(t)
	a, b := New(goal), New(goal)
	refused := func(tally *Tally, request, fingerprint string, after time.Duration) {
		line := ended(request, 503, 0, "all servers are busy")
		line.Fingerprint, line.Time = fingerprint, line.Time.Add(after)
		tally.Take(&line)
	}
	refused(b, "r2", "f1", 2*time.Second)
	refused(a, "r1", "f1", 0)
	refused(a, "r3", "f2", 0)
	refused(a, "r4", "f1", 20*time.Second)
	refused(a, "r5", "", 0)
	refused(a, "r6", "", 0)
	c.Assert(rows(a, b), qt.DeepEquals, []Row{
		{1000, KindRefused, "AllBusy", 4},
		{1002, KindRefusedAgain, "AllBusy", 1},
		{1020, KindRefused, "AllBusy", 1},
	})
}
