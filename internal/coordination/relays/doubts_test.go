package relays

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A manifest was fetched again for each of many wrong pieces although it was the same each time.
func TestManifestIsNotFetchedAgainForEachWrongPiece(t *testing.T) {
	var d Doubts
	rechecks := 0
	const seconds = 60
	for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
		for piece := range 8 {
			if d.RecordMismatch(piece, "wrong", now) {
				d.BeginRecheck(now)
				rechecks++
			}
		}
	}
	// The interval doubles from minRecheckInterval to maxRecheckInterval.
	qt.Assert(t, rechecks <= 7+int(seconds*time.Second/maxRecheckInterval), qt.IsTrue, qt.Commentf("%d rechecks", rechecks))
}

// Bytes that are corrupted on the way differ each time, and say nothing against the manifest.
func TestRandomCorruptionDoesNotDoubtTheManifest(t *testing.T) {
	var d Doubts
	for n := range 100 {
		qt.Assert(t, d.RecordMismatch(3, strconv.Itoa(n), time.Duration(n)*time.Second), qt.IsFalse)
	}
	qt.Assert(t, d.RecordMismatch(3, "1", time.Hour), qt.IsTrue)
}

// A piece that does not match was asked for many times a second.
func TestWrongPieceIsFetchedAgainLaterEachTime(t *testing.T) {
	var d Doubts
	now, last := time.Duration(0), time.Duration(0)
	for range 20 {
		d.RecordMismatch(3, "wrong", now)
		delay := d.PieceDelay(3, now)
		qt.Assert(t, delay >= last && delay > 0 && delay <= maxPieceInterval, qt.IsTrue, qt.Commentf("%v after %v", delay, last))
		now, last = now+delay, delay
	}
	qt.Assert(t, last, qt.Equals, maxPieceInterval)
	d.RecordMatch(3)
	qt.Assert(t, d.PieceDelay(3, now), qt.Equals, time.Duration(0))
}
