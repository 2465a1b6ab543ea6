// Package inbound bounds what a process holds of what clients send, by the decisions of package intake.
package inbound

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// Limiter applies the limits of one process. It is safe for concurrent use.
type Limiter struct {
	limits  intake.Limits
	started time.Time
	metrics *metrics
	notices *notices

	mu     sync.Mutex
	budget *intake.Budget
	// giveWay are the requests that must be woken because they give way to others.
	giveWay []*Request
}

// New returns a limiter.
func New(limits intake.Limits, log *zap.Logger, registry prometheus.Registerer) *Limiter {
	l := &Limiter{
		limits: limits, started: time.Now(), notices: newNotices(log),
		budget: intake.NewBudget(limits),
	}
	l.metrics = newMetrics(registry, l)
	log.Info("limits of clients", zap.Int64("Bytes", limits.Bytes), zap.Int64("LargestRequest", limits.LargestRequest()))
	return l
}

// now returns the time on a clock that stands still while the host is suspended, as what clients send does.
func (l *Limiter) now() time.Duration { return time.Since(l.started) }

// Bounds that a request or a connection may meet, in metrics and logs.
const (
	boundBytes = "Bytes"
	boundRate  = "LeastRate"
	boundSize  = "MaxBodyBytes"
)

// refused counts and logs that a bound was met.
func (l *Limiter) refused(bound, reason string, fields ...zap.Field) {
	l.metrics.refused.WithLabelValues(bound, reason).Inc()
	l.notices.add(bound, reason, fields)
}

// grow gives a request more memory, or returns false.
func (l *Limiter) grow(r *Request, n int64) bool {
	l.mu.Lock()
	ok := l.budget.Grow(r.held, n, l.now())
	giveWay := l.giveWay
	l.giveWay = nil
	l.mu.Unlock()
	for _, other := range giveWay {
		l.refused(boundBytes, "GaveWay")
		other.giveUp()
	}
	return ok
}

// CallerGroup returns the group of a caller that is known by its address only.
func CallerGroup(request *http.Request) intake.Group {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		host = request.RemoteAddr
	}
	return intake.Group("address " + host)
}
