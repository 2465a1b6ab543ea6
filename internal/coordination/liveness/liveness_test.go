package liveness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/liveness"
)

// A process counts as running because something accepts connections at its address, or because the check failed.
func TestOnlyAnAnswerOfTheProcessShowsThatItRuns(t *testing.T) {
	const sent, ended, checked = 10 * time.Second, 11 * time.Second, 12 * time.Second
	for _, test := range []struct {
		name  string
		boot  catalog.Boot
		check liveness.Check
		want  liveness.Outcome
	}{
		{"Refused", 0, liveness.Check{SentAt: checked, Refused: true}, liveness.Ended},
		{"NoAnswer", 0, liveness.Check{SentAt: checked, RunningSince: checked}, liveness.Unknown},
		{"Answer", 0, liveness.Check{SentAt: checked, Server: "i-1", RunningSince: checked}, liveness.Alive},
		{"SentBeforeTheEnd", 0, liveness.Check{SentAt: ended - 1, Server: "i-1"}, liveness.Unknown},
		{"OtherServer", 0, liveness.Check{SentAt: checked, Server: "i-2"}, liveness.Ended},
		{"SameBoot", 5, liveness.Check{SentAt: checked, Server: "i-1", Boot: 5, RunningSince: checked}, liveness.Alive},
		{"OtherBoot", 5, liveness.Check{SentAt: checked, Server: "i-1", Boot: 6, RunningSince: ended}, liveness.Unknown},
		{"OtherBootOnEarlierConnection", 5, liveness.Check{SentAt: checked, Server: "i-1", Boot: 6, RunningSince: sent - 1}, liveness.Alive},
		{"UnknownBoot", 5, liveness.Check{SentAt: checked, Server: "i-1", RunningSince: ended}, liveness.Unknown},
		{"EarlierConnection", 5, liveness.Check{SentAt: checked, Server: "i-1", RunningSince: sent - 1}, liveness.Alive},
	} {
		e := liveness.Exchange{Process: liveness.Process{Server: "i-1", Boot: test.boot}, SentAt: sent, EndedAt: ended}
		qt.New(t).Check(e.Judge(test.check), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// One process follows another at an address, with its ID or another one, at any moment around a request and a check.
func TestNoProcessThatEndedBeforeItsResponseIsAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := func(label string, from time.Duration) time.Duration {
			return from + time.Duration(rapid.IntRange(0, 5).Draw(t, label))
		}
		sent := at("sent", 10)
		ended := at("ended", sent)
		crashed := at("crashed", sent)
		checked := at("checked", ended)
		connected := at("connected", 5)
		keepsID, namesBoot := rapid.Bool().Draw(t, "keepsID"), rapid.Bool().Draw(t, "namesBoot")
		e := liveness.Exchange{Process: liveness.Process{Server: "i-1"}, SentAt: sent, EndedAt: ended}
		if keepsID {
			e.Process.Boot = 5
		}
		c := liveness.Check{SentAt: checked, RunningSince: connected}
		running := crashed > checked
		// A connection leads to the process that ran when it was opened, and breaks when that ends.
		if running || connected >= crashed {
			c.Server = "i-1"
			if !running && !keepsID {
				c.Server = "i-2"
			}
			if namesBoot && keepsID {
				c.Boot = 5
				if !running {
					c.Boot = 6
				}
			}
		}
		switch got := e.Judge(c); {
		case got == liveness.Alive && !running:
			t.Fatalf("a process that crashed at %d is alive", crashed)
		case got == liveness.Ended && running:
			t.Fatalf("a process that runs until %d has ended", crashed)
		}
	})
}
