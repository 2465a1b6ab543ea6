// Package sidecar is the agent beside one model server of an installation: it
// brings the server the weights that operators have named, and tells the
// entries the server's load. It is the only one that orders its server.
package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
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
	// farTurns is how many reports pass between two that go to entries of other
	// sites too: bytes between regions are scarce, and those entries count what
	// they and others send.
	farTurns = 25
	// viewEvery is how often the view is read without being told of a change.
	viewEvery = 3 * time.Second
	// viewTimeout bounds the reading of a view.
	viewTimeout = time.Second
	// storeEvery bounds how often the store is asked for entries.
	storeEvery = 2 * time.Second
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

	mu      sync.Mutex
	entries []gateway.Entry
	// teller is where the last word of news came from.
	teller   string
	viewed   gateway.View
	viewedAt time.Duration
	hasView  bool
	askedAt  time.Duration
	// news is true if the next report should go to all entries at once.
	news bool
	// switching is true while entries should send nothing here.
	switching bool
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
		wake: make(chan struct{}, 1), models: map[string]*weights{}, pieces: map[string][]byte{},
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

// runViews keeps the view of what is wanted current.
func (s *Sidecar) runViews(ctx context.Context) {
	lost := false
	for {
		err := s.refreshView(ctx)
		pause := viewEvery
		if err != nil {
			pause = retryPause
			if !lost && ctx.Err() == nil {
				s.log.Warn("entries lost", zap.Error(err))
			}
		} else if lost {
			s.log.Info("entries regained")
		}
		lost = err != nil
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(pause):
		}
	}
}

var errNoEntry = errors.New("no entry answers")

// hedgePause is how long one entry is given before the next is asked too. One
// without power answers nothing, and waiting for it would put off a load.
const hedgePause = 60 * time.Millisecond

// fetched is an entry's answer.
type fetched struct {
	address string
	view    gateway.View
	err     error
}

// refreshView reads the view from the first entry that answers, those of the
// own site asked first.
func (s *Sidecar) refreshView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	addresses := s.viewAddresses(ctx)
	answers := make(chan fetched, len(addresses))
	asked, ended := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for ended < len(addresses) {
		select {
		case <-ctx.Done():
			return errNoEntry
		case <-next.C:
			if asked < len(addresses) {
				go s.runFetch(ctx, addresses[asked], answers)
				asked++
				next.Reset(hedgePause)
			}
		case answer := <-answers:
			ended++
			if answer.err == nil {
				s.setView(answer)
				return nil
			}
			s.log.Debug("view not read", zap.String("Entry", answer.address), zap.Error(answer.err))
			next.Reset(0)
		}
	}
	return errNoEntry
}

func (s *Sidecar) runFetch(ctx context.Context, address string, answers chan<- fetched) {
	view, err := s.fetchView(ctx, address)
	answers <- fetched{address: address, view: view, err: err}
}

func (s *Sidecar) setView(answer fetched) {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewed, s.viewedAt, s.hasView = answer.view, now, true
	if len(answer.view.Entries) > 0 {
		s.entries = answer.view.Entries
	}
}

// viewAddresses returns the peer addresses to ask, in order: who told of news, the
// entries of the own site, all others, and the seeds.
//
// Guard: the agents of a site asked its first entry all, 53 of them with 20 KB each; each
// begins at another one.
func (s *Sidecar) viewAddresses(ctx context.Context) []string {
	s.mu.Lock()
	var told, near, far []string
	for _, entry := range s.entries {
		switch {
		case entry.Datagrams == s.teller:
			told = append(told, entry.Peers)
		case entry.Site == s.config.Site:
			near = append(near, entry.Peers)
		default:
			far = append(far, entry.Peers)
		}
	}
	s.teller = ""
	if len(near) > 0 {
		first := int(xxhash.Sum64String(s.config.Address) % uint64(len(near)))
		near = slices.Concat(near[first:], near[:first])
	}
	failed := !s.hasView || boottime.Now()-s.viewedAt > 2*viewEvery
	ask := failed && boottime.Now()-s.askedAt > storeEvery
	if ask {
		s.askedAt = boottime.Now()
	}
	s.mu.Unlock()
	addresses := slices.Concat(told, near, far, s.config.Seeds)
	if !ask || s.lister == nil {
		return addresses
	}
	// Seeds may be gone for long; the store knows who is there now.
	entries, err := s.lister.ReadEntries(ctx)
	if err != nil {
		s.log.Warn("entries not read from the store", zap.Error(err))
		return addresses
	}
	for _, entry := range entries.Present {
		addresses = append(addresses, entry.Peers)
	}
	return addresses
}

// viewBytes bounds an entry's view: 460 entries are 0.1 MB of it.
const viewBytes = 4 << 20

func (s *Sidecar) fetchView(ctx context.Context, address string) (gateway.View, error) {
	values := url.Values{"Service": {s.config.Service}, "Address": {s.config.Address}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+gateway.PathView+"?"+values.Encode(), nil)
	if err != nil {
		return gateway.View{}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return gateway.View{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return gateway.View{}, fmt.Errorf("view from %s: answered %d", address, response.StatusCode)
	}
	var view gateway.View
	if err := json.NewDecoder(io.LimitReader(response.Body, viewBytes)).Decode(&view); err != nil {
		return gateway.View{}, fmt.Errorf("view from %s: %w", address, err)
	}
	return view, nil
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
