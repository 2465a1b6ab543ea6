// Package sidecar is the agent beside one model server of an installation: it
// brings the server the weights that operators have named, and tells the
// entries the server's load. It is the only one that orders its server.
package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// Report is a model server's own report.
type Report struct {
	// Boot is the server's start.
	Boot   catalog.Boot
	Models []catalog.Model
	// Loading is true while an order is under way.
	Loading bool
	// Orders counts the orders that the server has begun since its start.
	Orders  uint64
	Queued  int
	Running int
	// Pace is above 1 if the server is slower than it should be; 0 if unknown.
	Pace float64
	// Closes is true if the server closes the connection after the report.
	Closes bool
}

// Engine is the model server on this host.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Stage(ctx context.Context, model string, piece int, data []byte) error
	Staged(ctx context.Context, model string, piece int) ([]byte, error)
	// StagedPieces returns the numbers of the pieces that lie beside the server.
	StagedPieces(ctx context.Context, model string) ([]int, error)
	// Load orders the server to load what is staged. Unless its error is ErrNotTaken, the
	// server may have taken the order, or take it yet.
	Load(ctx context.Context, model string, version uint64) error
}

// ErrNotTaken means that a server did not take an order and will not.
var ErrNotTaken = errors.New("the order is not taken")

// EntryLister reads the entries from the store, for when no seed answers.
type EntryLister interface {
	ReadEntries(ctx context.Context) (gateway.Entries, error)
}

// Config holds the settings of a Sidecar.
type Config struct {
	Site string
	// Service is the service of the model server, at Address.
	Service string
	Address string
	// Seeds are peer addresses of entries to ask first.
	Seeds []string
	// Bound is the time from the naming of a version to when it must be served.
	Bound time.Duration
	// FirstStart is true if the server may hold weights though it has not
	// answered yet.
	FirstStart bool
}

// Times of an agent.
const (
	// reportEvery is how often the load is told: engines' reports are some
	// hundred milliseconds old anyway.
	reportEvery = 200 * time.Millisecond
	// lostEvery is how often a server that does not answer is asked for its report, for
	// lostSoon after it last did.
	lostEvery = 40 * time.Millisecond
	lostSoon  = 3 * time.Second
	// farTurns is how many reports pass between two that go to entries of other
	// sites too: bytes between regions are scarce, and those entries count what
	// they and others send.
	farTurns = 25
)

// Sidecar is the agent of one model server.
type Sidecar struct {
	config  Config
	engine  Engine
	lister  EntryLister
	client  *http.Client
	socket  *datagrams.Socket
	log     *zap.Logger
	metrics *metrics
	// wake is signalled when an entry tells of a newer view.
	wake chan struct{}
	// due ends the wait for the next step.
	due chan struct{}

	mu      sync.Mutex
	entries []gateway.Entry
	// teller is where the last word of news came from.
	teller   string
	viewed   gateway.View
	viewedAt time.Duration
	hasView  bool
	// unansweredSince is since when no entry has answered at all; 0 if one has. listedAt is
	// when the store was last asked for entries.
	unansweredSince time.Duration
	listedAt        time.Duration
	// news is true if the next report should go to all entries at once.
	news bool
	// switching is true while entries should send nothing here.
	switching bool
	// closing tells whether the server leaves.
	closing   drain.Closing
	report    Report
	hasReport bool
	// reportAsked is when report was asked for.
	reportAsked time.Duration
	// boot is the server's process, 0 if it does not tell, and before are those that
	// were seen to end, the latest last.
	boot   catalog.Boot
	before []catalog.Boot
	// reportedOnce is true once the server has answered.
	reportedOnce bool
	models       map[string]*weights
	// pieces holds what was fetched, by digest, so that versions share pieces.
	pieces map[string][]byte
	// giving has room for the pieces that may be given out at once.
	giving chan struct{}
	// pace is what pieces from entries have taken.
	pace switchover.Pace
}

type metrics struct {
	loads   *prometheus.CounterVec
	fetched prometheus.Counter
	corrupt prometheus.Counter
	seconds prometheus.Histogram

	badDatagrams prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_agent_loads_total", Help: "Loads ordered, by result.",
		}, []string{"Result"}),
		fetched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_fetched_bytes_total", Help: "Bytes of weights fetched.",
		}),
		corrupt: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_corrupt_total", Help: "Pieces that did not match their digest, fetched or staged.",
		}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertlever_agent_fetch_seconds", Help: "Time to fetch and verify a whole set of weights.",
			Buckets: []float64{.5, 1, 2, 2.5, 3, 4, 6, 10, 20},
		}),
		badDatagrams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_bad_datagrams_total", Help: "Messages that could not be read.",
		}),
	}
	registry.MustRegister(m.loads, m.fetched, m.corrupt, m.seconds, m.badDatagrams)
	return m
}

// New returns an agent; its loops run until ctx ends.
func New(ctx context.Context, config Config, engine Engine, lister EntryLister, client *http.Client,
	socket net.PacketConn, log *zap.Logger, registry prometheus.Registerer) *Sidecar {
	m := newMetrics(registry)
	s := &Sidecar{
		config: config, engine: engine, lister: lister, client: client, socket: datagrams.New(socket), log: log, metrics: m,
		wake: make(chan struct{}, 1), due: make(chan struct{}, 1), models: map[string]*weights{}, pieces: map[string][]byte{},
		giving: make(chan struct{}, giving),
	}
	go s.runReports(ctx)
	go s.runDatagrams(ctx)
	go s.runViews(ctx)
	go s.runWeights(ctx)
	return s
}

func (s *Sidecar) runDatagrams(ctx context.Context) {
	go s.runClose(ctx)
	for {
		if err := s.socket.Receive(s.receive); err != nil {
			if ctx.Err() == nil {
				s.log.Error("datagrams end", zap.Error(err))
			}
			return
		}
	}
}

// receive takes an entry's word that it knows more of versions.
func (s *Sidecar) receive(data []byte, from net.Addr) {
	d, err := gateway.DecodeDatagram(data)
	if err != nil {
		s.metrics.badDatagrams.Inc()
		return
	}
	if !d.Changed {
		return
	}
	s.mu.Lock()
	s.teller = from.String()
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sidecar) runClose(ctx context.Context) {
	<-ctx.Done()
	_ = s.socket.Close()
}

// held returns the version of a model that a server holds, 0 for none.
func held(models []catalog.Model, name string) uint64 {
	for _, model := range models {
		if model.Name == name {
			return model.Version
		}
	}
	return 0
}

func (s *Sidecar) setSwitching(on bool) {
	s.mu.Lock()
	s.switching = on
	s.mu.Unlock()
	s.tell(true)
}

// entriesNow returns the entries of the last view.
func (s *Sidecar) entriesNow() []gateway.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// piece returns a piece fetched earlier.
func (s *Sidecar) piece(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.pieces[digest]
	return data, ok
}

func (s *Sidecar) keep(digest string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces[digest] = data
}

// missing is how many pieces of a version are not here; the caller holds the lock.
func (s *Sidecar) missing(manifest *relay.Manifest) int {
	missing := 0
	for _, digest := range manifest.Digests {
		if _, ok := s.pieces[digest]; !ok {
			missing++
		}
	}
	return missing
}
