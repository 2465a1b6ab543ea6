package inbound

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

type metrics struct {
	refused *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer, l *Limiter) *metrics {
	m := &metrics{refused: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "filbertlever_inbound_refused_total",
		Help: "Requests and connections of clients that met a bound of this process, by bound and what it was met by.",
	}, []string{"Bound", "Reason"})}
	registry.MustRegister(m.refused,
		gauge("filbertlever_inbound_bytes", "Memory that headers and bodies of requests hold.", nil, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return float64(l.budget.Held())
		}),
		gauge("filbertlever_inbound_bytes_limit", "Bound of the memory for headers and bodies of requests.", nil,
			func() float64 { return float64(l.limits.Bytes) }))
	for _, listener := range intake.Listeners() {
		labels := prometheus.Labels{"Listener": listener.String()}
		registry.MustRegister(
			gauge("filbertlever_inbound_connections", "Open connections of clients, by listener.", labels, func() float64 {
				l.mu.Lock()
				defer l.mu.Unlock()
				return float64(l.connections.Count(listener))
			}),
			gauge("filbertlever_inbound_connections_limit", "Bound of the open connections of clients, by listener.", labels,
				func() float64 { return float64(l.connections.Limit(listener)) }))
	}
	return m
}

func gauge(name, help string, labels prometheus.Labels, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, value)
}

// noticeInterval is the least time between two log lines about the same bound.
const noticeInterval = time.Second

// notices logs bounds that were met, at a bounded rate.
type notices struct {
	log *zap.Logger

	mu sync.Mutex
	// last is when a bound was last logged, and skipped how often it was met since then.
	last    map[string]time.Time
	skipped map[string]int
}

func newNotices(log *zap.Logger) *notices {
	return &notices{log: log, last: map[string]time.Time{}, skipped: map[string]int{}}
}

func (n *notices) add(bound, reason string, fields []zap.Field) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key, now := bound+" "+reason, time.Now()
	if now.Sub(n.last[key]) < noticeInterval {
		n.skipped[key]++
		return
	}
	n.log.Warn("bound of clients met", append(fields, zap.String("Bound", bound), zap.String("Reason", reason), zap.Int("Skipped", n.skipped[key]))...)
	n.last[key], n.skipped[key] = now, 0
}
