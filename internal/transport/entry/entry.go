// Package entry implements the process on each entry host. It returns to callers
// the addresses of entries, routes their requests to agents, retries and resumes
// these requests, and claims orders so that each runs at most once.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/order"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/protocol/peer/v1/peerv1connect"
	"github.com/filbertlever/filbertlever/internal/transport/inbound"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/node"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1/filbertleverv1connect"
)

// Platform is the part of the platform's API that an entry uses.
type Platform interface {
	Get(ctx context.Context, keys ...string) ([]platform.Row, error)
	Commit(ctx context.Context, writes ...platform.Write) (bool, []uint64, []platform.Row, error)
}

// Config holds the settings of an entry.
type Config struct {
	Host filbertlever.Host
	// LocateTTL is how long callers may cache a response of Locate.
	LocateTTL time.Duration
	// DefaultTimeout is the timeout of a request if the caller sets none.
	DefaultTimeout time.Duration
	// OrderWriteRate is the maximum number of platform writes per second for the
	// orders of all entries together.
	OrderWriteRate int
	Routing        routing.Config
	Retry          retry.Config
	// FirstTokenTimeout and NextTokenTimeout are the times without the first frame of
	// an attempt and without a further one after which a second attempt is started.
	FirstTokenTimeout time.Duration
	NextTokenTimeout  time.Duration
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{
		LocateTTL:         30 * time.Second,
		DefaultTimeout:    time.Minute,
		OrderWriteRate:    300,
		Routing:           routing.DefaultConfig(),
		Retry:             retry.DefaultConfig(),
		FirstTokenTimeout: 10 * time.Second,
		NextTokenTimeout:  3 * time.Second,
	}
}

// Entry serves the requests of callers. It is safe for concurrent use.
type Entry struct {
	config   Config
	node     *node.Node
	platform Platform
	log      *zap.Logger
	metrics  *metrics
	// inFlight counts the callers' requests in flight.
	inFlight atomic.Int64
	// perOrganisation limits the requests in flight of each organisation.
	perOrganisation concurrencyLimiter

	routes   routes
	budget   retryBudget
	orders   orderBudget
	recorder *recorder
}

// New returns an entry that uses n to communicate with other processes.
func New(config Config, n *node.Node, client Platform, log *zap.Logger, m *metrics) *Entry {
	e := &Entry{config: config, node: n, platform: client, log: log, metrics: m}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e.routes.router = routing.New(config.Routing, config.Host.Site, config.Host.Region, rng)
	e.routes.reports = map[filbertlever.HostID]control.FullReport{}
	e.routes.loads = map[filbertlever.HostID]control.Load{}
	e.budget.budget = retry.NewBudget(config.Retry)
	e.orders.budget = order.NewBudget(float64(config.OrderWriteRate), 1)
	e.recorder = &recorder{entry: e, queue: make(chan pendingRecord, recorderQueueSize)}
	e.perOrganisation.inFlight = map[filbertlever.OrganisationID]int{}
	n.AddMethod(control.MethodReport, e.handleReport)
	n.AddMethod(control.MethodStatus, e.handleStatus)
	return e
}

// maxMessageBytes is the maximum size of a message from a caller.
const maxMessageBytes = 4 << 20

// minCompressBytes is the smallest message that is compressed. Compressing
// messages with single tokens took a third of the CPU time of a request.
const minCompressBytes = 8 << 10

// CallerRoutes registers the handlers for callers on a mux. The limiter bounds the messages.
func (e *Entry) CallerRoutes(mux *http.ServeMux, limiter *inbound.Limiter) {
	path, handler := filbertleverv1connect.NewCallerServiceHandler(e, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes))
	mux.Handle(path, limiter.Messages(handler, e.allowMessage, refuseMessage))
}

// PeerRoutes registers the handlers for other processes on a mux.
func (e *Entry) PeerRoutes(mux *http.ServeMux) {
	mux.Handle(peer.ControlPath, e.node.Control())
}

// Serve runs the entry until ctx is done.
func (e *Entry) Serve(ctx context.Context) {
	refresher := &routeRefresher{entry: e}
	var group sync.WaitGroup
	group.Go(func() { e.node.Run(ctx) })
	group.Go(func() { refresher.run(ctx) })
	group.Go(func() { e.recorder.run(ctx) })
	group.Wait()
}

// Drain carries out a planned stop. It returns when no request and no unwritten
// order result is left, or when ctx is done.
func (e *Entry) Drain(ctx context.Context) {
	e.node.AnnounceStop()
	for {
		unfinished := int(e.inFlight.Load()) + e.recorder.pending()
		if e.node.AdvanceStop(unfinished) == drain.PhaseDone {
			e.log.Info("planned stop complete")
			return
		}
		select {
		case <-ctx.Done():
			e.log.Warn("planned stop aborted with unfinished requests", zap.Int("Work", unfinished))
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Ready returns nil if this entry can serve requests.
func (e *Entry) Ready() error { return e.node.Ready() }

// agentClient returns a client for the agent on a host, and whether the address
// of the host is known.
func (e *Entry) agentClient(host filbertlever.HostID) (peerv1connect.AgentServiceClient, bool) {
	address, ok := e.node.PeerAddress(host)
	return peerv1connect.NewAgentServiceClient(e.node.Clients().ForRequests(host), "https://"+address, connect.WithReadMaxBytes(network.MaxMessage)), ok
}

// retryBudget is the entry's retry budget. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

func (b *retryBudget) allow(attempt retry.Attempt, remaining time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(attempt, remaining)
}

// orderBudget is the entry's share of the platform writes for orders. It is safe
// for concurrent use.
type orderBudget struct {
	mu     sync.Mutex
	budget *order.Budget
}

func (b *orderBudget) take() (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(time.Now())
}

func (b *orderBudget) setEntries(writeRate, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetEntries(float64(writeRate), entries)
}

// concurrencyLimiter counts the requests in flight of each organisation. It is
// safe for concurrent use.
type concurrencyLimiter struct {
	mu       sync.Mutex
	inFlight map[filbertlever.OrganisationID]int
}

// acquire counts a request and returns true, unless the organisation has reached
// its limit.
func (f *concurrencyLimiter) acquire(organisation filbertlever.OrganisationID, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[organisation] >= limit {
		return false
	}
	f.inFlight[organisation]++
	return true
}

func (f *concurrencyLimiter) release(organisation filbertlever.OrganisationID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[organisation]--
	if f.inFlight[organisation] == 0 {
		delete(f.inFlight, organisation)
	}
}

// routeRefresher copies the state of hosts from the node to the router.
type routeRefresher struct {
	entry *Entry
}

// refreshInterval is the maximum delay until a suspected host, a planned stop or
// a new host affects routing.
const refreshInterval = 50 * time.Millisecond

func (r *routeRefresher) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		r.entry.refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh updates the router with the agents and whether each is usable, and the
// order budget with the number of entries.
func (e *Entry) refresh() {
	now := time.Now()
	type hostState struct {
		host   filbertlever.Host
		usable bool
	}
	var agents []hostState
	entries := 0
	e.node.Read(func(base *knowledge.Base) {
		for _, host := range base.Members.Hosts(filbertlever.RoleAgent) {
			agents = append(agents, hostState{host: host, usable: base.Usable(host.ID, now)})
		}
		entries = len(base.Members.Hosts(filbertlever.RoleEntry))
	})
	e.orders.setEntries(e.config.OrderWriteRate, entries)
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	for _, agent := range agents {
		e.routes.router.SetHost(agent.host, agent.usable)
	}
}
