package agent

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the agent's counters. No label names an organisation.
type metrics struct {
	requests *prometheus.CounterVec
	loads    *prometheus.CounterVec
}

// NewMetrics registers the agent's metrics.
func NewMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_agent_requests_total",
			Help: "Model requests by how they ended at this agent.",
		}, []string{"Outcome"}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_agent_loads_total",
			Help: "Orders to load weights given to the engine, by how they ended.",
		}, []string{"Outcome"}),
	}
	registry.MustRegister(m.requests, m.loads)
	return m
}

// Register registers the gauges that are computed from the agent's state.
func (a *Agent) Register(registry prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("filbertlever_agent_running", "Requests that run now.", func() float64 { return float64(a.queue.load().Running) })
	gauge("filbertlever_agent_queued", "Requests that wait now.", func() float64 { return float64(a.queue.load().Queued) })
	gauge("filbertlever_agent_origin_bytes", "Bytes of weights drawn from the origin.", func() float64 { return float64(a.fetcher.Fetched.Origin.Load()) })
	gauge("filbertlever_agent_store_bytes", "Bytes of weights drawn from the weight store.", func() float64 { return float64(a.fetcher.Fetched.Store.Load()) })
	gauge("filbertlever_agent_peer_bytes", "Bytes of weights taken from other agents.", func() float64 { return float64(a.fetcher.Fetched.Peer.Load()) })
}
