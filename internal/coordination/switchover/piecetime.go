package switchover

import (
	"cmp"
	"time"
)

// defaultPieceTime is the estimate of the time per piece while neither pieces
// nor the rate of the link are known. It is twice the time over a slow link.
const defaultPieceTime = 88 * time.Millisecond

const (
	// newestSampleWeight is the weight of the newest piece. The last ten pieces
	// make up half of the estimate.
	newestSampleWeight = 0.07
	// minOutagePause is the minimum pause between two pieces that indicates an
	// outage of the source and does not reflect its rate.
	minOutagePause = 400 * time.Millisecond
)

// PieceTimeEstimator estimates the time to fetch one piece of a set from the
// intervals between pieces. The zero value has observed none. It is not safe
// for concurrent use.
//
// The rates of sources differ several times over. With a constant estimate, the
// fetch of a nearly complete version would be abandoned.
type PieceTimeEstimator struct {
	// Initial is the estimate until pieces have arrived, or 0 for
	// defaultPieceTime.
	Initial     time.Duration
	lastPieceAt time.Duration
	estimate    time.Duration
}

// ObservePiece records the arrival of a piece.
func (e *PieceTimeEstimator) ObservePiece(now time.Duration) {
	interval := now - e.lastPieceAt
	hasPrevious := e.lastPieceAt != 0
	e.lastPieceAt = now
	if !hasPrevious || interval > minOutagePause {
		return
	}
	e.estimate = e.Estimate()
	e.estimate += time.Duration(newestSampleWeight * float64(interval-e.estimate))
}

// PieceTimeAtRate returns the time to fetch a piece over a link with the given
// rate in bytes per second, or 0 if the rate is unknown.
func PieceTimeAtRate(pieceBytes int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(pieceBytes) / rate * float64(time.Second))
}

// Estimate returns the estimated time to fetch one piece.
func (e *PieceTimeEstimator) Estimate() time.Duration {
	return cmp.Or(e.estimate, e.Initial, defaultPieceTime)
}
