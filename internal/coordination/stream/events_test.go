package stream

import (
	"fmt"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// An answer that resumes on another server repeats an event, or lacks one without an error. The other
// server may begin before or after the requested event.
func TestEventsAreDeliveredOnceAndInOrder(t *testing.T) {
	for _, test := range []struct {
		name, resumeAfter string
		ids               []string
		want              []Verdict
	}{
		{"FirstAttempt", "", []string{"4", "5", "4", "7", "6"}, []Verdict{VerdictDeliver, VerdictDeliver, VerdictDrop, VerdictBroken, VerdictDeliver}},
		{"ResumedByCaller", "12", []string{"12", "14", "13"}, []Verdict{VerdictDrop, VerdictBroken, VerdictDeliver}},
		{"WithoutIDs", "", []string{"", "", ""}, []Verdict{VerdictDeliver, VerdictDeliver, VerdictDeliver}},
		{"TextIDs", "", []string{"a", "b", "a"}, []Verdict{VerdictDeliver, VerdictDeliver, VerdictDeliver}},
		{"ResumedWithoutIDs", "12", []string{""}, []Verdict{VerdictBroken}},
		{"ResumedWithTextIDs", "12", []string{"x"}, []Verdict{VerdictBroken}},
		{"ResumedWithNegativeIDs", "12", []string{"-1"}, []Verdict{VerdictBroken}},
	} {
		var e Events
		e.ResumeAfter(test.resumeAfter)
		e.BeginAttempt()
		for i, id := range test.ids {
			qt.New(t).Check(e.Check(id), qt.Equals, test.want[i], qt.Commentf("%s: event %d", test.name, i))
		}
	}
}

// The caller gets parts of two runs, or a part that looks complete, because an attempt that goes on began
// elsewhere, has no IDs, ended before what was delivered, or was cut without a sign of it.
func TestAnswerIsAPrefixOfOneRunAndWholeIfItLooksComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.IntRange(0, 1).Draw(t, "base")
		idKind := rapid.SampledFrom([]string{"Numbers", "Numbers", "None", "Text"})
		var e Events
		e.ResumeAfter("")
		var delivered []deliveredEvent
		firstIDs := idKind.Draw(t, "ids")
		for attempt := range 4 {
			ids, from, length := firstIDs, len(delivered), 6
			if from > 0 {
				// A server that is asked to resume begins there, elsewhere, or at the beginning.
				ids, length = idKind.Draw(t, "ids"), rapid.IntRange(4, 8).Draw(t, "length")
				from = rapid.SampledFrom([]int{from, 0, 0, from - 1, from + 1}).Draw(t, "from")
			}
			// One that begins after the end of its run sends nothing, as if nothing was left.
			length = max(length, from)
			cutAt := length
			if rapid.Bool().Draw(t, "cut") {
				cutAt = rapid.IntRange(from, length).Draw(t, "cutAt")
			}
			confirmed := rapid.Bool().Draw(t, "confirmed")
			e.BeginAttempt()
			broken := false
			for n := from; n < cutAt && !broken; n++ {
				id := map[string]string{"Numbers": strconv.Itoa(base + n), "Text": fmt.Sprint("e", n)}[ids]
				verdict := e.Check(id)
				broken = verdict == VerdictBroken
				if verdict == VerdictDeliver {
					delivered = append(delivered, deliveredEvent{n, attempt, ids == "Numbers"})
				}
			}
			checkOneRun(t, delivered)
			whole := cutAt == length && confirmed && !broken && e.Completes()
			if whole && from != cutAt && len(delivered) != length {
				t.Fatalf("%d events look complete, the run has %d", len(delivered), length)
			}
			if whole || !e.Resumable() {
				return
			}
		}
	})
}

// deliveredEvent is the event at a position of an attempt's run.
type deliveredEvent struct {
	position, attempt int
	numbered          bool
}

// checkOneRun fails unless the events are the first ones of one run. Numbers identify an event in the runs of
// all servers, events without them belong to the run of their attempt.
func checkOneRun(t *rapid.T, delivered []deliveredEvent) {
	for n, d := range delivered {
		if first := delivered[0]; d.position != n || d.attempt != first.attempt && !(d.numbered && first.numbered) {
			t.Fatalf("event %d is not that of the run: %v", n, delivered)
		}
	}
}
