// Package sidecar implements the agent beside one model server of an installation. It
// fetches and loads the versions of weights that operators have named, and reports the
// server's load to the entries. No other process sends load orders to its server.
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
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// Report is a model server's own report.
type Report struct {
	// Boot identifies the server's current boot.
	Boot   catalog.Boot
	Models []catalog.Model
	// Loading is true while the server executes a load order.
	Loading bool
	// Orders counts the load orders that the server has started in this boot.
	Orders  uint64
	Queued  int
	Running int
	// Slowdown is above 1 if the server is slower than it should be; 0 if unknown.
	Slowdown float64
	// FreeMemory is the free part of the server's cache, in tokens times layers; nil if unknown.
	FreeMemory *int
	// ClosesConnection is true if the server closes the connection after the report.
	ClosesConnection bool
	// RateLimit is the number of requests a second that the server takes from all entries together;
	// nil if the report names none.
	RateLimit *float64
}

// Engine is the model server on this host.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Stage writes a piece to the server's staging area, from which Load reads.
	Stage(ctx context.Context, model string, piece int, data []byte) error
	// ReadStaged reads a piece back from the staging area; nil if it is not there.
	ReadStaged(ctx context.Context, model string, piece int) ([]byte, error)
	// ListStaged returns the numbers of the pieces in the staging area.
	ListStaged(ctx context.Context, model string) ([]int, error)
	// Load orders the server to load the staged pieces, which check has verified. It compares
	// the check's age right before it writes the order, and returns a *freshness.ExpiredError
	// without having written anything if the check is too old. If it returns an error other
	// than this or ErrOrderRejected, the server may have accepted the order or may still
	// accept it.
	Load(ctx context.Context, model string, version uint64, check freshness.Check) error
}

// ErrOrderRejected means that the server did not accept an order and never will.
var ErrOrderRejected = errors.New("load order rejected")

// EntryLister reads the entries from the store. It is used when no seed answers.
type EntryLister interface {
	ReadEntries(ctx context.Context) (gateway.Entries, error)
}

// Config holds the settings of a Sidecar.
type Config struct {
	Site   string
	Region string
	// Service is the service that the model server at Address belongs to.
	Service string
	Address string
	// Seeds are peer addresses of entries to ask first.
	Seeds []string
	// MaxStaleness is how long after a version is named older ones may still answer.
	MaxStaleness time.Duration
	// FirstStart is true if the server may hold weights before its first report.
	FirstStart bool
}

// Intervals of reports.
const (
	// reportInterval is the interval between load reports. A shorter one has no use, because
	// the engines' own reports are some hundred milliseconds old.
	reportInterval = 200 * time.Millisecond
	// fastPollInterval is the interval between report requests to an unreachable server, for
	// fastPollDuration after its last report, and to a server that may be leaving.
	fastPollInterval = 40 * time.Millisecond
	fastPollDuration = 3 * time.Second
	// reportsPerBroadcast is how many reports are sent for each one that also goes to the
	// entries of other sites. Bandwidth between regions is scarce, and those entries count
	// the requests that they and others send.
	reportsPerBroadcast = 25
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
	// viewChanged is signalled when an entry announces a newer view.
	viewChanged chan struct{}
	// stepRequested triggers a step before the next tick.
	stepRequested chan struct{}

	mu      sync.Mutex
	entries []gateway.Entry
	// seedRounds counts the calls of seeds.
	seedRounds uint64
	// notifier is the datagram address of the entry that last announced a newer view.
	notifier   string
	view       gateway.View
	viewReadAt time.Duration
	hasView    bool
	// unreachableSince is since when no entry has answered; 0 if one has. storeReadAt is
	// when the entries were last read from the store.
	unreachableSince time.Duration
	storeReadAt      time.Duration
	// broadcastNext is true if the next report should go to the entries of all sites.
	broadcastNext bool
	// switching is true while entries should send no requests to the server.
	switching bool
	// drainDetector detects from the server's responses whether the server is draining.
	drainDetector     drain.CloseDetector
	report            Report
	hasReport         bool
	reportRequestedAt time.Duration
	// boot is the server's current boot, 0 if it does not report one. endedBoots are the
	// boots that were observed to end, the latest last.
	boot       catalog.Boot
	endedBoots []catalog.Boot
	// everReported is true once the server has returned a report.
	everReported bool
	models       map[string]*modelState
	// pieces is the cache of fetched pieces by digest, so that versions share pieces.
	pieces map[string][]byte
	// serveSlots is a semaphore that limits the pieces served concurrently.
	serveSlots chan struct{}
	// pieceTimes estimates the time per piece from earlier fetches.
	pieceTimes switchover.PieceTimeEstimator
}

type metrics struct {
	loads         *prometheus.CounterVec
	fetchedBytes  prometheus.Counter
	corruptPieces prometheus.Counter
	fetchSeconds  prometheus.Histogram
	unprovenLoads prometheus.Counter

	invalidDatagrams prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_agent_loads_total", Help: "Loads ordered, by result.",
		}, []string{"Result"}),
		fetchedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_fetched_bytes_total", Help: "Bytes of weights fetched.",
		}),
		corruptPieces: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_corrupt_total", Help: "Pieces that did not match their digest, fetched or staged.",
		}),
		fetchSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "filbertlever_agent_fetch_seconds", Help: "Time to fetch and verify a whole set of weights.",
			Buckets: []float64{.5, 1, 2, 2.5, 3, 4, 6, 10, 20},
		}),
		unprovenLoads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_unproven_loads_total", Help: "Loads whose pieces may have been corrupt, so that the version gets no requests at the server.",
		}),
		invalidDatagrams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_agent_bad_datagrams_total", Help: "Messages that could not be read.",
		}),
	}
	registry.MustRegister(m.loads, m.fetchedBytes, m.corruptPieces, m.fetchSeconds, m.unprovenLoads, m.invalidDatagrams)
	return m
}

// New returns an agent whose loops run until ctx is cancelled.
func New(ctx context.Context, config Config, engine Engine, lister EntryLister, client *http.Client,
	socket net.PacketConn, log *zap.Logger, registry prometheus.Registerer) *Sidecar {
	m := newMetrics(registry)
	s := &Sidecar{
		config: config, engine: engine, lister: lister, client: client, socket: datagrams.New(socket), log: log, metrics: m,
		viewChanged: make(chan struct{}, 1), stepRequested: make(chan struct{}, 1), models: map[string]*modelState{}, pieces: map[string][]byte{},
		serveSlots: make(chan struct{}, maxConcurrentServes),
	}
	go s.runReports(ctx)
	go s.runDatagrams(ctx)
	go s.runViews(ctx)
	go s.runSteps(ctx)
	return s
}

func (s *Sidecar) runDatagrams(ctx context.Context) {
	go s.closeSocketOnDone(ctx)
	for {
		if err := s.socket.Receive(s.handleDatagram); err != nil {
			if ctx.Err() == nil {
				s.log.Error("failed to receive datagrams", zap.Error(err))
			}
			return
		}
	}
}

// handleDatagram handles an entry's announcement that its view of the versions has
// changed.
func (s *Sidecar) handleDatagram(data []byte, from net.Addr) {
	d, err := gateway.DecodeDatagram(data)
	if err != nil {
		s.metrics.invalidDatagrams.Inc()
		return
	}
	if !d.Changed || !s.isOutdated(d.Named) {
		return
	}
	s.mu.Lock()
	s.notifier = from.String()
	s.mu.Unlock()
	select {
	case s.viewChanged <- struct{}{}:
	default:
	}
}

// isOutdated reports whether an announcement of these versions is a reason to read the view. An
// entry of an earlier build announces none, and has compared them itself.
func (s *Sidecar) isOutdated(announced []gateway.NamedAge) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return announced == nil || gateway.Lacks(s.namedVersions(boottime.Now()), announced, s.config.MaxStaleness)
}

func (s *Sidecar) closeSocketOnDone(ctx context.Context) {
	<-ctx.Done()
	_ = s.socket.Close()
}

// loadedVersion returns the version of a model that a server holds; 0 if none.
func loadedVersion(models []catalog.Model, name string) uint64 {
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
	s.sendReport(true)
}

// setUnproven sets the version of a model that may have been loaded from corrupt pieces; 0 if
// there is none.
func (s *Sidecar) setUnproven(m *modelState, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.unproven = version
}

// servedModels returns the models that the server may answer with, and whether it holds another
// one that it may not. The caller holds the lock.
func (s *Sidecar) servedModels() (served []catalog.Model, withheld bool) {
	for _, model := range s.report.Models {
		if m := s.models[model.Name]; m != nil && m.unproven != 0 && m.unproven == model.Version {
			withheld = true
			continue
		}
		served = append(served, model)
	}
	return served, withheld
}

// currentEntries returns the entries of the last view.
func (s *Sidecar) currentEntries() []gateway.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

func (s *Sidecar) cachedPiece(digest string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.pieces[digest]
	return data, ok
}

func (s *Sidecar) cachePiece(digest string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces[digest] = data
}

// missingPieces counts the pieces of a version that are not cached; the caller holds the
// lock.
func (s *Sidecar) missingPieces(manifest *relay.Manifest) int {
	missing := 0
	for _, digest := range manifest.Digests {
		if _, ok := s.pieces[digest]; !ok {
			missing++
		}
	}
	return missing
}
