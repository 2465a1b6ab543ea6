package switchover

import (
	"cmp"
	"time"
)

// defaultPieceTime is what one piece is taken to need while neither pieces nor the link's rate tell: twice
// the time over a thin link.
const defaultPieceTime = 88 * time.Millisecond

const (
	// newestSampleWeight is the weight of the newest piece: half of the estimate is of the
	// last ten.
	newestSampleWeight = 0.07
	// minOutagePause is a pause between two pieces that tells of a source that was away,
	// and not of its rate.
	minOutagePause = 400 * time.Millisecond
)

// Pace estimates what each piece of a set takes, from when pieces came. The zero
// value has seen none. It is not safe for concurrent use.
//
// Sources differ several times over; with a constant a version that is nearly whole would be given
// up.
type Pace struct {
	// First is the estimate until pieces have come; pieceTime if 0.
	First       time.Duration
	lastPieceAt time.Duration
	estimate    time.Duration
}

// Came notes that a piece has come.
func (p *Pace) Came(now time.Duration) {
	since := now - p.lastPieceAt
	known := p.lastPieceAt != 0
	p.lastPieceAt = now
	if !known || since > minOutagePause {
		return
	}
	p.estimate = p.Each()
	p.estimate += time.Duration(newestSampleWeight * float64(since-p.estimate))
}

// PieceTime returns what a piece takes over a link of a rate in bytes a second; 0 if that is unknown.
func PieceTime(pieceBytes int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(pieceBytes) / rate * float64(time.Second))
}

// Each returns what one piece takes.
func (p *Pace) Each() time.Duration {
	return cmp.Or(p.estimate, p.First, defaultPieceTime)
}
