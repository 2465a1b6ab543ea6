package switchover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The fetch of a target that has just started must be abandoned when a newer
// target suffices, and must not run to its end.
func TestSupersededFetchIsAbandonedEarly(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(13400 * time.Millisecond)
	pieceTime := PieceTimeAtRate(24576, 4.38e6/8)
	c.Assert(pieceTime.Round(time.Millisecond), qt.Equals, 45*time.Millisecond)
	const pieces = 96
	target := func(version uint64, setAt time.Duration, missing int) TargetVersion {
		return TargetVersion{Version: version, SetAt: setAt, MissingPieces: missing, TotalPieces: pieces, SizeKnown: true}
	}
	tests := []struct {
		name       string
		targets    []TargetVersion
		now        time.Duration
		superseded bool
	}{
		{"the size of the newer target is unknown", []TargetVersion{target(2, 0, 93), {Version: 3, SetAt: 150 * time.Millisecond}}, 150 * time.Millisecond, true},
		{"the size of the newer target is known", []TargetVersion{target(2, 0, 93), target(3, 150*time.Millisecond, pieces)}, 300 * time.Millisecond, true},
		{"a quarter is fetched", []TargetVersion{target(2, 0, 72), target(3, time.Second, pieces)}, time.Second, false},
		{"all is fetched", []TargetVersion{{Version: 2, Complete: true}, target(3, time.Second, pieces)}, time.Second, false},
		{"the newer target would miss the deadline", []TargetVersion{target(2, 0, 93), target(3, 6*time.Second, pieces)}, 6 * time.Second, false},
		{"there is no newer target", []TargetVersion{target(2, 0, 93)}, time.Second, false},
		{"the version is the newest target", []TargetVersion{target(1, 0, 0), target(2, time.Second, pieces)}, time.Second, false},
	}
	for _, test := range tests {
		c.Check(config.IsSuperseded(2, test.targets, test.now, pieceTime), qt.Equals, test.superseded, qt.Commentf(test.name))
		c.Check(config.ShouldAbandon(2, test.targets, test.now, pieceTime), qt.Equals, test.superseded, qt.Commentf(test.name))
	}
	c.Check(DefaultConfig(0).IsSuperseded(2, tests[0].targets, time.Second, pieceTime), qt.IsFalse)
	c.Check(PieceTimeAtRate(24576, 0), qt.Equals, time.Duration(0))
}
