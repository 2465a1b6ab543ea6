package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var patience = Patience{Stall: 600 * time.Millisecond, Head: 1600 * time.Millisecond, Gap: 1200 * time.Millisecond}

func TestActionForRunningAttempt(t *testing.T) {
	tests := []struct {
		name    string
		running Running
		want    Action
		by      EndedBy
	}{
		{"progress", Running{Begun: true, Silent: time.Second}, ActionWait, ""},
		{"pause in the answer", Running{Begun: true, Silent: 1200 * time.Millisecond}, ActionHedge, EndedBySilence},
		{"queued", Running{Silent: 1500 * time.Millisecond}, ActionWait, ""},
		{"not begun in time", Running{Silent: 1600 * time.Millisecond}, ActionHedge, EndedByHeadTimeout},
		{"stalled for a moment", Running{Stalled: true, Silent: 500 * time.Millisecond}, ActionWait, ""},
		{"stalled", Running{Stalled: true, Silent: 600 * time.Millisecond}, ActionHedge, EndedByStall},
		{"replaced", Running{Replaced: true}, ActionHedge, EndedByReplacement},
		{"quarantined", Running{Quarantined: true}, ActionCancel, EndedByQuarantine},
		{"quarantined in the middle", Running{Quarantined: true, Begun: true}, ActionWait, ""},
		{"late version", Running{Late: true}, ActionCancel, EndedByStartDeadline},
		{"late version in the middle", Running{Late: true, Begun: true}, ActionWait, ""},
		{"overtaken", Running{Overtaken: true, Begun: true}, ActionCancel, EndedByHedge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			action, by := patience.Decide(test.running)
			qt.Check(t, action, qt.Equals, test.want)
			qt.Check(t, by, qt.Equals, test.by)
		})
	}
}

// A server's silence, however long, ends an answer that might still have gone on.
func TestSilenceNeverCancelsAnAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Running{Begun: rapid.Bool().Draw(t, "begun"), Silent: time.Duration(rapid.Int64Min(0).Draw(t, "silent")),
			Stalled: rapid.Bool().Draw(t, "stalled"), Replaced: rapid.Bool().Draw(t, "replaced")}
		if action, _ := patience.Decide(r); action == ActionCancel {
			t.Fatalf("cancelled: %+v", r)
		}
	})
}

// A second attempt is started late because the silence is not checked when it is due.
func TestCheckIsDueWhenTheActionChanges(t *testing.T) {
	c := qt.New(t)
	for _, r := range []Running{{Begun: true}, {Stalled: true}, {Begun: true, Silent: 700 * time.Millisecond}} {
		r.Silent += patience.CheckIn(r, 100*time.Millisecond)
		action, _ := patience.Decide(r)
		c.Check(action, qt.Equals, ActionHedge)
	}
	c.Check(patience.CheckIn(Running{Silent: time.Hour}, 100*time.Millisecond), qt.Equals, 100*time.Millisecond)
}
