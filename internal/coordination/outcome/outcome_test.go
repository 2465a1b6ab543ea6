package outcome

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const goal = 500 * time.Millisecond

var at = time.Unix(1000, 0)

func placed(request string, queuePosition int, prefillWait float64, willInterrupt bool) Line {
	return Line{Time: at, Message: messagePlaced, Request: request, QueuePosition: queuePosition, PrefillWait: prefillWait, WillInterrupt: willInterrupt}
}

func ended(request string, status int, firstByte float64, reason string) Line {
	return Line{Time: at.Add(800 * time.Millisecond), Message: MessageRequestEnded, Request: request, Status: status, Duration: 700, FirstByte: firstByte, Reason: reason}
}

// A user reports slow answers, and the log does not show why. Of several causes, the one that came
// first on the request's path must be named.
func TestRequestsAreClassifiedByKindAndCause(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name  string
		lines []Line
		kind  Kind
		cause Cause
	}{
		{"in time", []Line{placed("r", -3, 0, false), ended("r", 200, 120, "")}, KindInTime, CauseNone},
		{"waited", []Line{{Message: messageEntryQueued, Request: "r", EntryQueueTime: 300}, placed("r", 2, 0, false), ended("r", 200, 650, "")}, KindLate, CauseEntryQueue},
		{"cancelled attempt", []Line{placed("r", 2, 0, false), {Message: messageAttemptCancelled, Request: "r"}, ended("r", 200, 650, "")}, KindLate, CauseCancelled},
		{"refused by a server", []Line{placed("r", 2, 0, false), {Message: messageAttemptEnded, Request: "r", End: "Refused"}, placed("r", -1, 0, false), ended("r", 200, 650, "")}, KindLate, CauseServerRefused},
		{"lost", []Line{placed("r", 2, 0, false), {Message: messageAttemptEnded, Request: "r", End: "Lost"}, ended("r", 200, 650, "")}, KindLate, CauseRetried},
		{"change", []Line{placed("r", 2, 0, true), ended("r", 200, 650, "")}, KindLate, CauseVersionChange},
		{"prompts", []Line{placed("r", 2, 200, false), ended("r", 200, 650, "")}, KindLate, CausePrefill},
		{"queue", []Line{placed("r", 2, 20, false), ended("r", 200, 650, "")}, KindLate, CauseServerQueue},
		{"slow", []Line{placed("r", -2, 20, false), ended("r", 200, 650, "")}, KindLate, CauseSlowServer},
		{"complete answer without a first byte", []Line{ended("r", 200, 0, "")}, KindLate, CauseSlowServer},
		{"no server", []Line{ended("r", 503, 0, "no server can take the request")}, KindRefused, "NoServer"},
		{"unknown", []Line{ended("r", 502, 0, "the request may have run, its answer is lost")}, KindBroken, "AnswerLost"},
		{"time", []Line{ended("r", 504, 0, "time ran out")}, KindBroken, "TimeRanOut"},
		{"incomplete answer", []Line{ended("r", 200, 100, "the answer broke off")}, KindBroken, "BrokeOff"},
		{"server failure", []Line{ended("r", 500, 90, "")}, KindBroken, "ServersOwnFailure"},
		{"unknown reason", []Line{ended("r", 503, 0, "something new")}, KindRefused, CauseOther},
		{"unknown key", []Line{ended("r", 401, 0, "unknown key")}, KindCallerError, CauseNone},
		{"caller disconnected", []Line{ended("r", 0, 0, "the caller left")}, KindCallerDisconnected, CauseNone},
		{"wait of another request", []Line{{Message: messageEntryQueued, Request: "q", EntryQueueTime: 300}, ended("r", 200, 650, "")}, KindLate, CauseSlowServer},
	} {
		tally := New(goal)
		for _, line := range test.lines {
			tally.Add(&line)
		}
		c.Check(rowsOf(tally), qt.DeepEquals, []Row{{Second: 1000, Kind: test.kind, Cause: test.cause, Requests: 1}}, qt.Commentf(test.name))
	}
}

// The command runs out of memory on the log of a day, because it keeps requests whose end is missing.
func TestOpenRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	tally := New(goal)
	for n := range 3 * maxOpenRequests {
		line := placed(fmt.Sprint(n), 0, 0, false)
		tally.Add(&line)
	}
	c.Assert(len(tally.open) <= maxOpenRequests, qt.IsTrue)
	c.Assert(len(tally.order) <= maxOpenRequests, qt.IsTrue)
}

// rowsOf returns the rows of several entries together.
func rowsOf(tallies ...*Tally) []Row {
	var day Totals
	for _, t := range tallies {
		day.Add(t)
	}
	return day.Rows()
}

// Counts of several entries are not added up by second, kind and cause.
func TestCountsOfEntriesAreAdded(t *testing.T) {
	c := qt.New(t)
	a, b := New(goal), New(goal)
	for n, tally := range []*Tally{a, b, b} {
		line := ended(fmt.Sprint(n), 503, 0, "all servers are busy")
		tally.Add(&line)
	}
	line := ended("r", 200, 100, "")
	a.Add(&line)
	c.Assert(rowsOf(a, b), qt.DeepEquals, []Row{{1000, KindInTime, CauseNone, 1}, {1000, KindRefused, "AllBusy", 3}})
}

// A refused caller retries at another entry under another request ID and is counted as a second
// caller. In one minute half of the refusals were such retries. The fingerprint identifies them.
func TestRepeatedRefusalsAreCountedSeparately(t *testing.T) {
	c := qt.New(t)
	a, b := New(goal), New(goal)
	refused := func(tally *Tally, request, fingerprint string, after time.Duration) {
		line := ended(request, 503, 0, "all servers are busy")
		line.Fingerprint, line.Time = fingerprint, line.Time.Add(after)
		tally.Add(&line)
	}
	refused(b, "r2", "f1", 2*time.Second)
	refused(a, "r1", "f1", 0)
	refused(a, "r3", "f2", 0)
	refused(a, "r4", "f1", 20*time.Second)
	refused(a, "r5", "", 0)
	refused(a, "r6", "", 0)
	c.Assert(rowsOf(a, b), qt.DeepEquals, []Row{
		{1000, KindRefused, "AllBusy", 4},
		{1002, KindRefusedAgain, "AllBusy", 1},
		{1020, KindRefused, "AllBusy", 1},
	})
}
