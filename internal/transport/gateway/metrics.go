package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// metrics are an entry's metrics. No label contains an organisation, so that people who read the
// metrics do not learn which organisations send requests.
type metrics struct {
	outcomes             *prometheus.CounterVec
	unanswered           *prometheus.CounterVec
	hedges               *prometheus.CounterVec
	retries              *prometheus.CounterVec
	firstByte            *prometheus.HistogramVec
	startPredictionError *prometheus.HistogramVec
	cancelledAttempts    *prometheus.CounterVec
	serverCrashes        *prometheus.CounterVec
	endChecks            *prometheus.CounterVec
	processChecks        *prometheus.CounterVec
	quarantined          prometheus.Gauge
	quarantinedParts     prometheus.Gauge
	announcements        *prometheus.CounterVec
	rateLimited          prometheus.Gauge
	storeRestored        prometheus.Counter
	placedMissing        *prometheus.CounterVec
	badDatagrams         prometheus.Counter
	awaitedStates        *prometheus.CounterVec
	badRows              *prometheus.CounterVec
	slowServers          prometheus.Gauge
	placedSlowdown       *prometheus.HistogramVec
	pressure             *prometheus.GaugeVec
	levelReserve         *prometheus.GaugeVec
	levelDecisions       *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_outcomes_total",
			Help: "Callers' requests by service and outcome.",
		}, []string{"Service", "Outcome"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_unanswered_total",
			Help: "Requests that were read whole and whose connection the entry closed before or after a status, by who ended the last attempt.",
		}, []string{"Service", "Stage", "EndedBy"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_hedges_total",
			Help: "Second attempts beside a silent first one, by service, why they were started and what became of them (Won, Lost, Failed).",
		}, []string{"Service", "Why", "Result"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_retries_total",
			Help: "Attempts after the first of a request, by service and how the one before ended.",
		}, []string{"Service", "End"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "filbertlever_gateway_first_seconds",
			Help:    "Time from a request's head to the first byte of its answer.",
			Buckets: []float64{.01, .02, .05, .1, .15, .2, .3, .4, .6, 1, 2, 4},
		}, []string{"Service"}),
		startPredictionError: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "filbertlever_gateway_begin_late_seconds",
			Help:    "Time by which an answer's first event came later than predicted; below 0: sooner.",
			Buckets: []float64{-.1, 0, .05, .1, .2, .3, .5, .7, 1, 1.5, 2, 3},
		}, []string{"Service"}),
		cancelledAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_taken_back_total",
			Help: "Attempts that were ended because they had not begun in time for the bound of a version.",
		}, []string{"Service"}),
		serverCrashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_server_ends_total",
			Help: "Backend servers whose process ended with requests of this entry under way, by service.",
		}, []string{"Service"}),
		endChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_end_checks_total",
			Help: "Checks of the server's process at the end of a response without a length, by service and outcome.",
		}, []string{"Service", "Outcome"}),
		processChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_process_checks_total",
			Help: "Health checks of backend servers after responses that ended early or without a length, by service and outcome.",
		}, []string{"Service", "Outcome"}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_quarantined",
			Help: "Requests that are kept from all servers, as servers end under them.",
		}),
		quarantinedParts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_quarantined_parts",
			Help: "Parts of prompts whose requests are kept from all servers, as servers end under them.",
		}),
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_server_announcements_total",
			Help: "Answers in which a server announces that it is draining, wants no requests for a while, or limits their rate.",
		}, []string{"Service", "What"}),
		rateLimited: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_rate_limited",
			Help: "Backend servers that limit the requests a second from all entries together.",
		}),
		storeRestored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_gateway_store_restored_total",
			Help: "Restorations of the store from an older copy.",
		}),
		placedMissing: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_placed_missing_total",
			Help: "Requests placed at backend servers that the list lacks, by service.",
		}, []string{"Service"}),
		badDatagrams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_gateway_bad_datagrams_total",
			Help: "Datagrams that could not be read.",
		}),
		awaitedStates: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_awaited_states_total",
			Help: "Requests that waited for the view of the desired state to be confirmed, by result.",
		}, []string{"Result"}),
		badRows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_bad_rows_total",
			Help: "Rows of the store that name nothing, by table and cause, once for each change of a row.",
		}, []string{"Table", "Cause"}),
		slowServers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_slow_servers",
			Help: "Model servers that are considered slower than their engine's description.",
		}),
		placedSlowdown: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "filbertlever_gateway_placed_slowdown",
			Help:    "Factor by which the server of a placed request was considered slower than its engine's description, by service.",
			Buckets: []float64{1, 1.25, 1.5, 2, 2.5, 3, 4, 6, 8, 16},
		}, []string{"Service"}),
		pressure: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_service_pressure",
			Help: "Pressure on a service with urgency levels, from 0 to 1: how far less urgent requests give way.",
		}, []string{"Service"}),
		levelReserve: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_urgency_reserve",
			Help: "Slots of the chosen server that requests of an urgency level must leave free, by service and level.",
		}, []string{"Service", "Level"}),
		levelDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_urgency_decisions_total",
			Help: "Decisions on requests of services with urgency levels, by service, level and reason.",
		}, []string{"Service", "Level", "Reason"}),
	}
	registry.MustRegister(m.slowServers, m.placedSlowdown, m.pressure, m.levelReserve, m.levelDecisions)
	registry.MustRegister(m.outcomes, m.unanswered, m.hedges, m.retries, m.firstByte, m.startPredictionError, m.cancelledAttempts, m.serverCrashes, m.endChecks, m.processChecks, m.quarantined, m.quarantinedParts, m.announcements, m.rateLimited, m.storeRestored, m.placedMissing, m.badDatagrams, m.awaitedStates, m.badRows)
	return m
}

// Register adds metrics that are read from the gateway when they are collected.
func (g *Gateway) Register(registry prometheus.Registerer) {
	for _, table := range []Table{TableDesired, TableBackends, TableEntries} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "filbertlever_gateway_table_age_seconds",
			Help:        "Age of the read that last confirmed a table of the store.",
			ConstLabels: prometheus.Labels{"Table": string(table)},
		}, func() float64 { return g.feeds.age(table, boottime.Now()).Seconds() }))
	}
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_running",
			Help: "Callers' requests under way.",
		}, func() float64 { return float64(g.inFlight.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_view_age_seconds",
			Help: "Age of the read that last confirmed the desired state.",
		}, func() float64 {
			age, _ := g.stateAge(boottime.Now())
			return age.Seconds()
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_state_version",
			Help: "Version of the desired state in force; 0 if none.",
		}, func() float64 {
			if state := g.state.Load(); state != nil {
				return float64(state.Version)
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "filbertlever_gateway_evacuated_sites",
			Help: "Sites whose backend servers get no requests, as an operator asked.",
		}, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(g.fleet.EvacuatedSites())
		}),
	)
}
