package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the entry's counters. No label names an organisation, so that the
// metrics disclose none to their readers.
type metrics struct {
	outcomes *prometheus.CounterVec
	retries  prometheus.Counter
}

// NewMetrics registers the entry's metrics.
func NewMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_entry_outcomes_total",
			Help: "Callers' requests by kind and outcome.",
		}, []string{"Kind", "Outcome"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_entry_retries_total",
			Help: "Attempts after the first of a model request.",
		}),
	}
	registry.MustRegister(m.outcomes, m.retries)
	return m
}

// Register registers the gauges that are computed from the entry's state.
func (e *Entry) Register(registry prometheus.Registerer) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filbertlever_entry_running",
		Help: "Callers' requests under way.",
	}, func() float64 { return float64(e.inFlight.Load()) }))
}
