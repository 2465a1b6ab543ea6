package installation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
	"github.com/filbertlever/filbertlever/internal/transport/sidecar"
)

// EntryDependencies holds a platform's implementations of the interfaces that an entry
// needs.
type EntryDependencies struct {
	Store  gateway.Store
	Codec  gateway.Codec
	Sender gateway.Sender
	Origin relay.Origin
	// Routes registers the handlers of requests from the platform itself.
	Routes func(mux *http.ServeMux, g *gateway.Gateway)
}

// AgentDependencies holds a platform's implementations of the interfaces that an agent
// needs.
type AgentDependencies struct {
	Engine  sidecar.Engine
	Entries sidecar.EntryLister
}

// SettingsFile is the path of a settings file and the channel that triggers a reload.
type SettingsFile struct {
	Path   string
	Reload <-chan os.Signal
}

// Timeouts of processes.
const (
	// acceptShare is the part of the drain timeout in which new requests are still accepted
	// while callers switch to other entries. The rest is for requests in flight.
	acceptShare = 0.2
	// Running requests without a response end with a status statusMargin before the platform kills
	// the process, and responses in progress are cut cutMargin before that. exitMargin is reserved for
	// the end of the process itself.
	statusMargin = 500 * time.Millisecond
	cutMargin    = 150 * time.Millisecond
	exitMargin   = 50 * time.Millisecond
	// dialTimeout limits connection attempts between processes.
	dialTimeout = 700 * time.Millisecond
)

// RunEntry runs an entry until ctx is cancelled, then drains it.
func RunEntry(ctx context.Context, s *settings.Installation, file SettingsFile, ports EntryDependencies) error {
	p, err := start(s, filbertlever.RoleEntry, os.Stdout)
	if err != nil {
		return err
	}
	defer p.close()
	socket, err := net.ListenPacket("udp4", s.Listen.Datagrams)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Listen.Datagrams, err)
	}
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	g := gateway.New(runCtx, gatewayConfig(s), ports.Store, ports.Codec, ports.Sender, ports.Origin, newClient(),
		p.inbound, socket, p.log, p.registry, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.Register(p.registry)
	if err := p.listenEntry(s, g, ports); err != nil {
		return err
	}
	r := &settingsReloader{path: file.Path, use: settings.UseEntry, process: p, reload: file.Reload,
		apply: func(s *settings.Installation) { g.Reconfigure(gatewayConfig(s)) }}
	go r.run(runCtx)
	p.logStarted(zap.String("Callers", s.Listen.Callers), zap.String("Peers", s.Listen.Peers))
	select {
	case <-ctx.Done():
	case err := <-p.serveErrs:
		return err
	}
	p.stopEntry(g, time.Now().Add(time.Duration(s.Bounds.Stop)))
	p.log.Info("stopped")
	return nil
}

// stopEntry drains an entry whose process is killed at killAt.
func (p *process) stopEntry(g *gateway.Gateway, killAt time.Time) {
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), killAt.Add(-statusMargin))
	defer cancelDrain()
	g.Shutdown(drainCtx)
	endCtx, cancelEnd := context.WithDeadline(context.Background(), killAt.Add(-cutMargin))
	defer cancelEnd()
	g.EndRequests(endCtx)
	p.shutdown(killAt.Add(-exitMargin))
}

// listenEntry opens an entry's listeners. The Ready and Locate handlers share a listener
// if their addresses are equal.
func (p *process) listenEntry(s *settings.Installation, g *gateway.Gateway, ports EntryDependencies) error {
	platform := http.NewServeMux()
	ports.Routes(platform, g)
	peers := http.NewServeMux()
	g.PeerRoutes(peers)
	if err := p.listenWithLimits(s.Listen.Callers, intake.ListenerCallers, newAnswerGuard(g, p.log), g.Limits); err != nil {
		return err
	}
	if err := p.listen(s.Listen.Peers, intake.ListenerPeers, peers); err != nil {
		return err
	}
	if err := p.listen(s.Listen.Ready, intake.ListenerPublic, platform); err != nil {
		return err
	}
	if s.Listen.Locate == s.Listen.Ready {
		return nil
	}
	return p.listen(s.Listen.Locate, intake.ListenerPublic, platform)
}

func gatewayConfig(s *settings.Installation) gateway.Config {
	stop := time.Duration(s.Bounds.Stop)
	return gateway.Config{
		Self: gateway.Entry{
			Host: s.Host, Site: s.Site, Region: s.Region, Callers: s.Listen.Callers, Peers: s.Listen.Peers,
			Datagrams: s.Listen.Datagrams, Incarnation: filbertlever.Incarnation(strconv.FormatInt(time.Now().UnixNano(), 36)),
		},
		Regions: s.Regions, ApplyDelay: time.Duration(s.Bounds.Apply), RevocationDelay: time.Duration(s.Bounds.Revoke), MaxStaleness: time.Duration(s.Bounds.Version),
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, RetryWindow: time.Duration(s.Bounds.RetryWindow), Seeds: s.Seeds, LocateTTL: time.Duration(s.Bounds.Keep),
		DrainGracePeriod: time.Duration(acceptShare * float64(stop)), DrainTimeout: stop,
	}
}

// newClient returns an HTTP client for requests between processes.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}}
	return network.NewClient(&http.Transport{
		DialContext: network.ReportResets(dialer.DialContext), DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
		MaxResponseHeaderBytes: network.MaxResponseHead})
}

// RunAgent runs an agent until ctx is cancelled.
func RunAgent(ctx context.Context, s *settings.Installation, file SettingsFile, ports AgentDependencies) error {
	p, err := start(s, filbertlever.RoleAgent, os.Stdout)
	if err != nil {
		return err
	}
	defer p.close()
	socket, err := net.ListenPacket("udp4", s.Listen.Datagrams)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.Listen.Datagrams, err)
	}
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	agent := sidecar.New(runCtx, sidecar.Config{
		Site: s.Site, Region: s.Region, Service: s.ModelServer.Service, Address: s.ModelServer.Address, Seeds: s.Seeds,
		MaxStaleness: time.Duration(s.Bounds.Version), FirstStart: s.FirstStart,
	}, ports.Engine, ports.Entries, newClient(), socket, p.log, p.registry)
	pieces := http.NewServeMux()
	agent.Routes(pieces)
	// Entries request pieces from the address that the agent's reports are sent from.
	if err := p.listen(s.Listen.Datagrams, intake.ListenerPeers, pieces); err != nil {
		return err
	}
	r := &settingsReloader{path: file.Path, use: settings.UseAgent, process: p, reload: file.Reload, apply: func(*settings.Installation) {}}
	go r.run(runCtx)
	p.logStarted(zap.String("ModelServer", s.ModelServer.Address), zap.String("Service", s.ModelServer.Service))
	select {
	case <-ctx.Done():
	case err := <-p.serveErrs:
		return err
	}
	p.log.Info("stopped")
	return nil
}
