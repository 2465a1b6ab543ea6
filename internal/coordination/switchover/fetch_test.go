package switchover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A version whose fetch has just begun is fetched to its end although a newer one suffices.
func TestAFetchJustBegunIsGivenUpForTheNewerVersion(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(13400 * time.Millisecond)
	each := PieceTime(24576, 4.38e6/8)
	c.Assert(each.Round(time.Millisecond), qt.Equals, 45*time.Millisecond)
	const pieces = 96
	set := func(version uint64, since time.Duration, left int) Named {
		return Named{Version: version, Since: since, Left: left, Pieces: pieces, Known: true}
	}
	tests := []struct {
		name    string
		named   []Named
		now     time.Duration
		skipped bool
	}{
		{"the set of the newer is not known", []Named{set(2, 0, 93), {Version: 3, Since: 150 * time.Millisecond}}, 150 * time.Millisecond, true},
		{"it is known", []Named{set(2, 0, 93), set(3, 150*time.Millisecond, pieces)}, 300 * time.Millisecond, true},
		{"a quarter has come", []Named{set(2, 0, 72), set(3, time.Second, pieces)}, time.Second, false},
		{"all has come", []Named{{Version: 2, Whole: true}, set(3, time.Second, pieces)}, time.Second, false},
		{"the newer one would be late for the bound", []Named{set(2, 0, 93), set(3, 6*time.Second, pieces)}, 6 * time.Second, false},
		{"there is no newer one", []Named{set(2, 0, 93)}, time.Second, false},
		{"the newest", []Named{set(1, 0, 0), set(2, time.Second, pieces)}, time.Second, false},
	}
	for _, test := range tests {
		c.Check(config.Skips(2, test.named, test.now, each), qt.Equals, test.skipped, qt.Commentf(test.name))
		c.Check(config.Abandons(2, test.named, test.now, each), qt.Equals, test.skipped, qt.Commentf(test.name))
	}
	c.Check(DefaultConfig(0).Skips(2, tests[0].named, time.Second, each), qt.IsFalse)
	c.Check(PieceTime(24576, 0), qt.Equals, time.Duration(0))
}
