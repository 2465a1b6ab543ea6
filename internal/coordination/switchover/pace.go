package switchover

import (
	"cmp"
	"time"
)

// pieceTime is what one piece is taken to need while neither pieces nor the link's rate tell: twice
// the time over a thin link.
const pieceTime = 88 * time.Millisecond

const (
	// paceShare is the weight of the newest piece: half of the estimate is of the
	// last ten.
	paceShare = 0.07
	// pauseLeast is a pause between two pieces that tells of a source that was away,
	// and not of its rate.
	pauseLeast = 400 * time.Millisecond
)

// Pace estimates what each piece of a set takes, from when pieces came. The zero
// value has seen none. It is not safe for concurrent use.
//
// Sources differ several times over; with a constant a version that is nearly whole would be given
// up.
type Pace struct {
	// First is the estimate until pieces have come; pieceTime if 0.
	First time.Duration
	last  time.Duration
	each  time.Duration
}

// Came notes that a piece has come.
func (p *Pace) Came(now time.Duration) {
	since := now - p.last
	known := p.last != 0
	p.last = now
	if !known || since > pauseLeast {
		return
	}
	p.each = p.Each()
	p.each += time.Duration(paceShare * float64(since-p.each))
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
	return cmp.Or(p.each, p.First, pieceTime)
}
