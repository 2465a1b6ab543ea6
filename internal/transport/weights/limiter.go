package weights

import (
	"context"
	"math"

	"golang.org/x/time/rate"

	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
)

// Limiter limits the rate of weight traffic in one direction of a link while live requests
// are in flight. It implements Pacer and is safe for concurrent use.
type Limiter struct {
	bandwidth distribution.BandwidthLimit
	limiter   *rate.Limiter
}

// limiterBurst is how many bytes may be transferred at once. It is also the longest queue
// of weight data that a live request may have to wait behind.
const limiterBurst = 16 << 10

// NewLimiter returns a limiter that imposes no limit until SetLiveRequests is called.
func NewLimiter(bandwidth distribution.BandwidthLimit) *Limiter {
	return &Limiter{bandwidth: bandwidth, limiter: rate.NewLimiter(rate.Inf, limiterBurst)}
}

// SetLiveRequests sets the number of live requests in flight.
func (l *Limiter) SetLiveRequests(live int) {
	limit := rate.Inf
	if r := l.bandwidth.Rate(live); !math.IsInf(r, 1) {
		limit = rate.Limit(r)
	}
	if l.limiter.Limit() != limit {
		l.limiter.SetLimit(limit)
	}
}

// Wait blocks until n more bytes may be transferred.
func (l *Limiter) Wait(ctx context.Context, n int) error {
	for n > 0 {
		step := min(n, limiterBurst)
		if err := l.limiter.WaitN(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return ctx.Err()
}
