package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/coordination/uptime"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// Config holds the settings of a Gateway.
type Config struct {
	Self Entry
	// Regions gives the region of each site.
	Regions map[string]string
	// Revoke is the time in which a key that is taken away stops working; a key
	// is refused once the view is older. 0 means no bound.
	Revoke time.Duration
	// Bound is the time in which a named version is the only one to answer.
	Bound time.Duration
	// RetryRatio and RetrySlack bound the retries of all entries together
	// within any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Seeds are peer addresses of entries to ask for others while the store
	// does not list them.
	Seeds []string
	// Keep is how long callers may keep an answer of Locate.
	Keep time.Duration
	// Grace is how long after a stop's announcement new requests are taken, and
	// Leave when the process must have ended.
	Grace time.Duration
	Leave time.Duration
}

// Gateway is one entry.
type Gateway struct {
	config  Config
	store   Store
	codec   Codec
	sender  Sender
	relay   *relay.Relay
	log     *zap.Logger
	metrics *metrics
	socket  *datagrams.Socket
	client  *http.Client
	feeds   *feeds

	state atomic.Pointer[catalog.State]
	// confirmed is when the read was sent that last confirmed the state; 0 if
	// none has.
	confirmed atomic.Int64
	running   atomic.Int64
	// lostUntil is until when another entry should read the store for the region.
	lostUntil atomic.Int64
	// listed is true once the store's list of entries has been read.
	listed atomic.Bool
	// restored is true once this entry knows the verdicts that were made before it started.
	restored atomic.Bool
	// stated is closed once a desired state is known, and started is when this process
	// began.
	stated  chan struct{}
	started time.Duration
	// revoke is Config.Revoke, which may change.
	revoke atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	fleet   *fleet.Fleet
	gate    admission.EntryGate
	budgets map[string]*retry.Window
	room    *room
	crashes *crashes
	// outages are of services.
	outages map[string]*admission.Outage
	peers   *peers
	// named are the versions of each model that operators want, oldest first.
	named map[string][]named
	// namedNews has a value once the store has named a version.
	namedNews chan struct{}
	bad       badRows
	// viewGap is the time between the last two answers about backend servers.
	viewGap time.Duration
	uptime  uptime.Uptime
	// answeredAt is when the store last answered this entry; 0 if it has not.
	answeredAt time.Duration
	// beatNow asks for a heartbeat to the region.
	beatNow chan struct{}
	stop    *drain.Stop
}

// New returns a gateway; its loops run until ctx ends. The socket takes
// heartbeats and load reports.
func New(ctx context.Context, config Config, store Store, codec Codec, sender Sender, origin relay.Origin,
	client *http.Client, socket net.PacketConn, log *zap.Logger, registry prometheus.Registerer, rng *rand.Rand) *Gateway {
	fleetConfig := fleet.DefaultConfig()
	fleetConfig.Site, fleetConfig.Region, fleetConfig.Regions = config.Self.Site, config.Self.Region, config.Regions
	g := &Gateway{
		stated: make(chan struct{}), started: boottime.Now(), beatNow: make(chan struct{}, 1), namedNews: make(chan struct{}, 1),
		config: config, store: store, codec: codec, sender: sender, log: log, socket: datagrams.New(socket), client: client, feeds: newFeeds(),
		metrics: newMetrics(registry), rng: rng, fleet: fleet.New(fleetConfig, rng), gate: admission.DefaultEntryGate(),
		budgets: map[string]*retry.Window{}, outages: map[string]*admission.Outage{}, room: newRoom(), crashes: newCrashes(), peers: newPeers(config.Self, boottime.Now()), named: map[string][]named{},
		stop: drain.New(drain.Config{Grace: config.Grace, Move: config.Leave}),
	}
	g.revoke.Store(int64(config.Revoke))
	g.relay = relay.New(relays.Entry{Host: config.Self.Host, Site: config.Self.Site}, relayView{g}, origin, client, log, registry)
	for _, loop := range []func(context.Context){g.runDesired, g.runBackends, g.runEntries, g.runHeartbeat, g.runCounts, g.runSeeds, g.runRestore, g.runVersions} {
		go loop(ctx)
	}
	go g.runDatagrams(ctx)
	return g
}

// age returns how old the view of the desired state is; false if there is none.
func (g *Gateway) age(now time.Duration) (time.Duration, bool) {
	confirmed := g.confirmed.Load()
	return now - time.Duration(confirmed), confirmed != 0
}

// revokeMargin is left for the way from a caller to this process.
const revokeMargin = 200 * time.Millisecond

// fresh reports whether keys may be taken as good.
//
// Guard: a host cut off from the store does not hear that a key was taken away,
// and would run requests of a caller that is no longer allowed; once the last
// read that confirmed the view is nearly as old as the bound, keys are refused.
// The age counts from when the read was sent, on a clock that also runs while
// the host is suspended.
func (g *Gateway) fresh(now time.Duration) bool {
	age, ok := g.age(now)
	revoke := time.Duration(g.revoke.Load())
	return ok && (revoke <= 0 || age < revoke-revokeMargin)
}

// Ready reports whether new callers should come here.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readyLocked(boottime.Now())
}

func (g *Gateway) readyLocked(now time.Duration) bool {
	return !g.stop.Leaving() && g.state.Load() != nil && g.fresh(now)
}

// Limits returns what the desired state allows callers; zeros while none is known.
func (g *Gateway) Limits() catalog.Limits {
	state := g.state.Load()
	if state == nil {
		return catalog.Limits{}
	}
	return state.Limits
}

// Locate returns where callers should connect, and for how long to keep that.
func (g *Gateway) Locate(_, site string) ([]string, time.Duration) {
	ready := g.Ready()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.locate(site, ready, boottime.Now()), g.config.Keep
}

// budget returns the retry budget of a service; the caller holds the lock.
func (g *Gateway) budget(service string) *retry.Window {
	b, ok := g.budgets[service]
	if !ok {
		b = retry.NewWindow(g.retryWindow())
		g.budgets[service] = b
	}
	return b
}

// retryWindow is this entry's part of the bound on retries.
func (g *Gateway) retryWindow() retry.WindowConfig {
	return retry.SharedWindow(g.config.RetryWindow, g.config.RetryRatio, g.config.RetrySlack, g.peers.registered())
}

// resizeBudgets follows the number of entries; the caller holds the lock.
func (g *Gateway) resizeBudgets() {
	for _, b := range g.budgets {
		b.Resize(g.retryWindow())
	}
}

// leaveTick is how often the progress of a stop is looked at.
const leaveTick = 50 * time.Millisecond

// Reconfigure takes bounds that have changed; addresses and names stay.
func (g *Gateway) Reconfigure(config Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoke.Store(int64(config.Revoke))
	g.config.Bound, g.config.Keep = config.Bound, config.Keep
	g.config.RetryRatio, g.config.RetrySlack = config.RetryRatio, config.RetrySlack
	g.resizeBudgets()
}

// Leave announces the stop, lets callers learn of it, and returns when what was
// begun has ended, or when ctx ends.
func (g *Gateway) Leave(ctx context.Context) {
	g.mu.Lock()
	g.stop.Announce(time.Now())
	g.mu.Unlock()
	g.log.Info("leaving", zap.Int64("Running", g.running.Load()))
	g.beat(boottime.Now(), true)
	go g.runUnregister(ctx)
	ticker := time.NewTicker(leaveTick)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		phase := g.stop.Advance(time.Now(), int(g.running.Load()))
		g.mu.Unlock()
		if phase == drain.PhaseDone {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Gateway) runUnregister(ctx context.Context) {
	if err := g.store.Unregister(ctx, g.config.Self); err != nil {
		g.log.Warn("entry not unregistered", zap.Error(err))
	}
}

// alone reports whether this entry has had the time to hear of others.
func (g *Gateway) alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return boottime.Now()-g.peers.started > startTrust
}

// relayView tells the relay about the installation.
type relayView struct{ g *Gateway }

// Origin returns the origin of weights, once the other entries can be known.
//
// Guard: an entry that has just started and knows no other takes itself for the one that fetches
// every piece. After a loss of power each would fetch a copy and use up the origin's connections.
func (v relayView) Origin() (address, site string, ok bool) {
	state := v.g.state.Load()
	if state == nil || !v.g.listed.Load() && !v.g.alone() {
		return "", "", false
	}
	origin, ok := state.Origin()
	return origin.Origin, origin.OriginSite, ok
}

// Holders returns the hosts of this site whose servers hold a version.
func (v relayView) Holders(named catalog.NamedVersion) []relays.Holder {
	v.g.mu.Lock()
	defer v.g.mu.Unlock()
	return v.g.fleet.Holders(named.Model, named.Version, boottime.Now())
}

// Relays returns the entries that are alive.
func (v relayView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	v.g.mu.Lock()
	defer v.g.mu.Unlock()
	alive := v.g.peers.alive(boottime.Now())
	entries := make([]relays.Entry, 0, len(alive))
	addresses := make(map[filbertlever.HostID]string, len(alive))
	for _, e := range alive {
		entries = append(entries, relays.Entry{Host: e.Host, Site: e.Site})
		addresses[e.Host] = e.Peers
	}
	return entries, addresses
}
