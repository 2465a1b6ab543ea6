// Package process runs entries and agents. It opens their listeners, serves
// the admin address, sets up logging and stops them gracefully.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/term"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/release"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/transport/agent"
	"github.com/filbertlever/filbertlever/internal/transport/entry"
	"github.com/filbertlever/filbertlever/internal/transport/inbound"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/node"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/internal/transport/weights"
)

// Limits of the HTTP servers and of the planned stop.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// receiveBuffer is how much of the bodies on an HTTP/2 connection is received before it is read.
	receiveBuffer = 128 << 10
	// drainTimeout bounds a planned stop. The platform kills the process later
	// in any case.
	drainTimeout = 10 * time.Minute
)

// NewLogger returns a logger that writes to standard error with the level and
// format of the settings.
func NewLogger(s settings.Log) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = nil
	config.DisableStacktrace = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	config.EncoderConfig.TimeKey = "Time"
	config.EncoderConfig.LevelKey = "Level"
	config.EncoderConfig.MessageKey = "Message"
	config.EncoderConfig.CallerKey = "Caller"
	if s.Format == "Console" || s.Format == "Auto" && term.IsTerminal(int(os.Stderr.Fd())) {
		config.Encoding = "console"
	}
	return config.Build()
}

// role is the interface that a process needs from an entry or an agent.
type role interface {
	Serve(ctx context.Context)
	Drain(ctx context.Context)
	Ready() error
	Register(registry prometheus.Registerer)
}

// process holds the node, the registry and the HTTP servers of a running entry
// or agent.
type process struct {
	settings *settings.Settings
	network  network.Network
	node     *node.Node
	log      *zap.Logger
	registry *prometheus.Registry
	inbound  *inbound.Limiter
	servers  []*http.Server
	// serveErrs receives the error of each listener that fails.
	serveErrs chan error
}

// RunEntry runs an entry until ctx is done or a planned stop is requested, then
// drains it.
func RunEntry(ctx context.Context, s *settings.Settings, hostNetwork network.Network, log *zap.Logger) error {
	return RunEntryWithRouting(ctx, s, routing.DefaultConfig(), hostNetwork, log)
}

// RunEntryWithRouting is RunEntry with a given routing configuration, so that
// benchmarks can compare configurations.
func RunEntryWithRouting(ctx context.Context, s *settings.Settings, routingConfig routing.Config, hostNetwork network.Network, log *zap.Logger) error {
	self := hostFromSettings(s, filbertlever.RoleEntry)
	self.CallerAddress = s.Callers.Address
	p, keys, client, cleanup, err := newProcess(s, self, hostNetwork, log)
	if err != nil {
		return err
	}
	defer cleanup()
	config := entry.DefaultConfig()
	config.Host = self
	config.LocateTTL = time.Duration(s.Entry.Keep)
	config.DefaultTimeout = time.Duration(s.Entry.Timeout)
	config.OrderWriteRate = s.Entry.OrderWrites
	config.Routing = routingConfig
	e := entry.New(config, p.node, client, p.log, entry.NewMetrics(p.registry))
	callerMux, peerMux := http.NewServeMux(), http.NewServeMux()
	e.CallerRoutes(callerMux, p.inbound)
	e.PeerRoutes(peerMux)
	if err := p.listenTLS(s.Callers.Address, intake.ListenerCallers, callerMux, keys.CallerConfig()); err != nil {
		return err
	}
	if err := p.listenTLS(s.Peer.Address, intake.ListenerPeers, peerMux, keys.ServerConfig()); err != nil {
		return err
	}
	return p.run(ctx, e)
}

// RunAgent runs an agent until ctx is done or a planned stop is requested, then
// drains it.
func RunAgent(ctx context.Context, s *settings.Settings, hostNetwork network.Network, log *zap.Logger) error {
	self := hostFromSettings(s, filbertlever.RoleAgent)
	self.Pool = s.Agent.Pool
	p, keys, client, cleanup, err := newProcess(s, self, hostNetwork, log)
	if err != nil {
		return err
	}
	defer cleanup()
	config := agent.Config{
		Host:           self,
		EngineURL:      s.Agent.Engine,
		ServiceURL:     s.Agent.Service,
		WeightsURL:     "http://" + s.Agent.Weights.Address,
		Origin:         s.Agent.Origin,
		Store:          s.Agent.Store,
		Network:        hostNetwork,
		BandwidthLimit: distribution.BandwidthLimit{Capacity: float64(s.Agent.Link), Share: distribution.DefaultBandwidthShare},
		Fetch:          weights.DefaultFetchConfig(),
	}
	a := agent.New(config, p.node, client, p.log, agent.NewMetrics(p.registry))
	peerMux := http.NewServeMux()
	a.Routes(peerMux)
	if err := p.listenTLS(s.Peer.Address, intake.ListenerPeers, peerMux, keys.ServerConfig()); err != nil {
		return err
	}
	if s.Agent.Engine != "" {
		engineMux := http.NewServeMux()
		a.EngineRoutes(engineMux)
		if err := p.listen(s.Agent.Weights.Address, engineMux); err != nil {
			return err
		}
	}
	return p.run(ctx, a)
}

func hostFromSettings(s *settings.Settings, role filbertlever.Role) filbertlever.Host {
	return filbertlever.Host{ID: s.Host, Role: role, Site: s.Site, Region: s.Region, PeerAddress: s.Peer.Address}
}

// newProcess loads the TLS keys and creates the platform client, the node and
// the metrics registry. The function that it returns releases them.
func newProcess(s *settings.Settings, self filbertlever.Host, hostNetwork network.Network, log *zap.Logger) (*process, *peer.Keys, *platform.Client, func(), error) {
	keys, err := peer.LoadKeys(peer.Files{Authority: s.TLS.Authority, Certificate: s.TLS.Certificate, Key: s.TLS.Key})
	if err != nil {
		return nil, nil, nil, nil, err
	}
	client := platform.New(s.Platform.URL, time.Duration(s.Platform.Timeout), hostNetwork)
	seeds := map[filbertlever.HostID]string{}
	for _, seed := range s.Seeds {
		seeds[seed.Host] = seed.PeerAddress
	}
	log = log.With(zap.String("Host", string(self.ID)))
	n, closeNode := node.New(node.Config{
		Host:         self,
		Incarnation:  node.NewIncarnation(self.ID),
		Operators:    s.OperatorKeys(),
		SignOffs:     s.SignOffs,
		PollInterval: time.Duration(s.Platform.Poll),
		Seeds:        seeds,
		Stop:         drain.Config{GracePeriod: time.Duration(s.Stop.Grace), MoveStreamsAfter: time.Duration(s.Stop.Move)},
	}, client, keys, hostNetwork, log)
	registry := prometheus.NewRegistry()
	registry.MustRegister(release.Current().Collector(), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	host := inbound.HostOf(int64(s.Machine.Memory), s.Machine.Descriptors)
	debug.SetMemoryLimit(intake.SoftLimit(host.Memory))
	p := &process{settings: s, network: hostNetwork, node: n, log: log, registry: registry, serveErrs: make(chan error, 4),
		inbound: inbound.New(intake.LimitsOf(host), log, registry)}
	cleanup := func() {
		for _, server := range p.servers {
			_ = server.Close()
		}
		closeNode()
		client.Close()
		_ = log.Sync()
	}
	return p, keys, client, cleanup, nil
}

// run serves the role until ctx is done, a planned stop is requested or a
// listener fails. It drains the role, except after a listener failure.
func (p *process) run(ctx context.Context, r role) error {
	r.Register(p.registry)
	if err := p.listen(p.settings.Admin.Address, p.adminHandler(r)); err != nil {
		return err
	}
	roleCtx, cancelRole := context.WithCancel(context.Background())
	defer cancelRole()
	roleDone := make(chan struct{})
	runner := roleRunner{role: r, done: roleDone}
	go runner.run(roleCtx)
	p.log.Info("started", append(release.Current().Fields(), zap.String("Role", string(p.node.Self().Host.Role)), zap.String("Peer", p.settings.Peer.Address))...)
	select {
	case <-ctx.Done():
		p.node.RequestStop("signal")
	case <-p.node.StopRequested():
	case err := <-p.serveErrs:
		return err
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	r.Drain(drainCtx)
	p.shutdown(drainCtx)
	cancelRole()
	<-roleDone
	return nil
}

// shutdown stops the servers and waits briefly for responses that are still
// being written.
func (p *process) shutdown(ctx context.Context) {
	const shutdownTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, server := range p.servers {
		_ = server.Shutdown(ctx)
	}
}

// roleRunner runs the background loops of a role and closes done when they have
// returned.
type roleRunner struct {
	role role
	done chan struct{}
}

func (r *roleRunner) run(ctx context.Context) {
	defer close(r.done)
	r.role.Serve(ctx)
}

// listenTLS serves an address over TLS.
func (p *process) listenTLS(address string, kind intake.Listener, handler http.Handler, config *tls.Config) error {
	server := p.newServer(handler)
	server.TLSConfig = config
	return p.startServer(server, address, kind, func(l net.Listener) error { return server.ServeTLS(l, "", "") })
}

// listen serves requests without bodies on an address without TLS.
func (p *process) listen(address string, handler http.Handler) error {
	server := p.newServer(p.inbound.WithoutBodies(handler))
	return p.startServer(server, address, intake.ListenerPublic, server.Serve)
}

// newServer returns an HTTP server that limits the time and size of request
// headers, so that a slow or hostile client cannot hold connections and memory.
func (p *process) newServer(handler http.Handler) *http.Server {
	discard, _ := zap.NewStdLogAt(zap.NewNop(), zap.ErrorLevel)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discard,
		ConnState:         p.inbound.OnStateChange,
		ConnContext:       p.inbound.ConnContext,
		HTTP2:             &http.HTTP2Config{MaxReceiveBufferPerConnection: receiveBuffer, MaxReceiveBufferPerStream: receiveBuffer},
	}
}

// serverRunner serves one listener and reports the error that ends it.
type serverRunner struct {
	serve    func(net.Listener) error
	listener net.Listener
	errs     chan error
}

func (r *serverRunner) run() {
	err := r.serve(r.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.errs <- fmt.Errorf("serve %s: %w", r.listener.Addr(), err)
	}
}

// startServer opens a listener and serves it in the background.
func (p *process) startServer(server *http.Server, address string, kind intake.Listener, serve func(net.Listener) error) error {
	listener, err := p.network.Listen(address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	p.servers = append(p.servers, server)
	runner := &serverRunner{serve: serve, listener: p.inbound.Listen(listener, kind), errs: p.serveErrs}
	go runner.run()
	return nil
}

// adminHandler serves metrics, liveness, readiness and, if enabled in the
// settings, pprof.
func (p *process) adminHandler(r role) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := r.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	if p.settings.Admin.Profiling {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	}
	return mux
}
