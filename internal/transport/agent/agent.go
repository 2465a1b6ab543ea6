// Package agent implements the process that runs beside each backend server
// and through which all access to it goes. The agent queues and runs requests,
// runs each order at most once, fetches, verifies and serves weights, and is
// the only process that sends commands to its engine.
package agent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/protocol/engine/v1/enginev1connect"
	"github.com/filbertlever/filbertlever/internal/protocol/peer/v1/peerv1connect"
	"github.com/filbertlever/filbertlever/internal/protocol/service/v1/servicev1connect"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/node"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/internal/transport/weights"
)

// Platform is the part of the platform's API that an agent uses.
type Platform interface {
	Get(ctx context.Context, keys ...string) ([]platform.Row, error)
	Commit(ctx context.Context, writes ...platform.Write) (bool, []uint64, []platform.Row, error)
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Config holds the settings of an agent.
type Config struct {
	Host filbertlever.Host
	// EngineURL and ServiceURL are the addresses of a model engine and of a
	// plain service. An agent has one of them; the other is empty.
	EngineURL  string
	ServiceURL string
	// WeightsURL is the base URL from which the engine reads weights from this
	// agent.
	WeightsURL string
	Origin     string
	Store      string
	Network    network.Network
	// BandwidthLimit limits the bandwidth of weight transfers on this host's link,
	// separately for each direction.
	BandwidthLimit distribution.BandwidthLimit
	Fetch          weights.FetchConfig
}

// Agent serves the requests for one backend server and manages its weights. It
// is safe for concurrent use.
type Agent struct {
	config            Config
	node              *node.Node
	platform          Platform
	log               *zap.Logger
	metrics           *metrics
	httpClient        *http.Client
	engine            enginev1connect.EngineServiceClient
	service           servicev1connect.PlainServiceClient
	chunkLibrary      *weights.Library
	server            *weights.Server
	fetcher           *weights.Fetcher
	inbound, outbound *weights.Limiter
	queue             *requestQueue
	gates             *orderGates
	loader            *loader
	reporter          *reporter
}

// New returns an agent that uses n to communicate with other processes.
func New(config Config, n *node.Node, client Platform, log *zap.Logger, m *metrics) *Agent {
	httpClient := network.NewClient(&http.Transport{DialContext: config.Network.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: network.MaxResponseHead})
	a := &Agent{
		config:     config,
		node:       n,
		platform:   client,
		log:        log,
		metrics:    m,
		httpClient: httpClient,
		inbound:    weights.NewLimiter(config.BandwidthLimit),
		outbound:   weights.NewLimiter(config.BandwidthLimit),
		queue:      newRequestQueue(),
		gates:      newGates(n.Incarnation()),
	}
	a.chunkLibrary = weights.NewLibrary(state.NewChunkStore())
	a.server = weights.NewServer(a.chunkLibrary, a.outbound)
	sources := &weights.HTTPSources{Peers: a, Origin: config.Origin, Store: config.Store, Client: httpClient, Pacer: a.inbound}
	self := distribution.Peer{ID: config.Host.ID, Site: config.Host.Site}
	a.fetcher = weights.NewFetcher(config.Fetch, self, a.chunkLibrary, sources, log)
	a.engine, a.service = newServerClients(httpClient, config.EngineURL, config.ServiceURL)
	a.loader = newLoader(a)
	a.reporter = newReporter(a)
	n.OnAdopted(a.applyBundle)
	n.AddMethod(control.MethodRecorded, a.handleRecorded)
	return a
}

// Peer returns the HTTP client and base URL for fetching weights from a host.
func (a *Agent) Peer(host filbertlever.HostID) (*http.Client, string, bool) {
	address, ok := a.node.PeerAddress(host)
	return a.node.Clients().For(host), "https://" + address, ok
}

// Routes registers the handlers for other processes on a mux.
func (a *Agent) Routes(mux *http.ServeMux) {
	path, handler := peerv1connect.NewAgentServiceHandler(a, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes))
	mux.Handle(path, peer.RequireRole(handler, peer.RoleEntry))
	a.server.Routes(mux, func(next http.Handler) http.Handler { return peer.RequireRole(next, peer.RoleAgent) })
	mux.Handle(peer.ControlPath, a.node.Control())
}

// newServerClients returns clients of the backend server's engine and service; nil for those without a URL.
func newServerClients(client *http.Client, engineURL, serviceURL string) (enginev1connect.EngineServiceClient, servicev1connect.PlainServiceClient) {
	limit := connect.WithReadMaxBytes(network.MaxMessage)
	var engine enginev1connect.EngineServiceClient
	var service servicev1connect.PlainServiceClient
	if engineURL != "" {
		engine = enginev1connect.NewEngineServiceClient(client, engineURL, limit)
	}
	if serviceURL != "" {
		service = servicev1connect.NewPlainServiceClient(client, serviceURL, limit)
	}
	return engine, service
}

// maxMessageBytes is the maximum size of a message from an entry.
const maxMessageBytes = 4 << 20

// minCompressBytes is the smallest message that is compressed, so that messages
// with single tokens are not.
const minCompressBytes = 8 << 10

// EngineRoutes registers the handlers that the engine on this host uses.
func (a *Agent) EngineRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+weights.PathSet+"{digest}", a.server.ServeSet)
}

// Serve runs the agent until ctx is done.
func (a *Agent) Serve(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { a.node.Run(ctx) })
	group.Go(func() { a.reporter.run(ctx) })
	group.Go(func() { a.queue.run(ctx, a.onLoad) })
	group.Go(func() { a.gates.run(ctx) })
	if a.engine != nil {
		group.Go(func() { a.loader.run(ctx) })
	}
	group.Wait()
	a.httpClient.CloseIdleConnections()
}

// onLoad adapts the bandwidth of weight transfers to the number of running
// requests, and triggers a report if the load differs much from the one last
// reported.
func (a *Agent) onLoad(load control.Load) {
	a.inbound.SetLiveRequests(load.Running)
	a.outbound.SetLiveRequests(load.Running)
	if a.reporter.loadChanged(load) {
		a.reporter.trigger()
	}
}

// Drain carries out a planned stop. It returns when no request is left, or when
// ctx is done.
func (a *Agent) Drain(ctx context.Context) {
	a.node.AnnounceStop()
	a.reporter.trigger()
	interrupted := false
	for {
		unfinished := a.queue.inFlight() + a.gates.running()
		phase := a.node.AdvanceStop(unfinished)
		if phase >= drain.PhaseRefusing {
			a.queue.refuseWaiting()
		}
		if phase == drain.PhaseMoving && !interrupted {
			interrupted = true
			a.queue.interruptRunning()
		}
		if phase == drain.PhaseDone {
			a.log.Info("planned stop complete")
			return
		}
		select {
		case <-ctx.Done():
			a.log.Warn("planned stop aborted with unfinished requests", zap.Int("Work", unfinished))
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Ready returns nil if this agent can serve requests.
func (a *Agent) Ready() error { return a.node.Ready() }

// applyBundle applies the settings of a newly active bundle.
func (a *Agent) applyBundle(current *state.ActiveBundle) {
	if pool, ok := current.Bundle.Pool(a.config.Host.Pool); ok {
		a.queue.resize(pool.Concurrency, pool.Queue)
	}
	a.loader.trigger()
	a.reporter.trigger()
}

var errNotSent = errors.New("not sent")
