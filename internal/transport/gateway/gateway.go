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
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/coordination/uptime"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/inbound"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// Config holds the settings of a Gateway.
type Config struct {
	// Self is this entry's registration.
	Self Entry
	// Regions maps each site to its region.
	Regions map[string]string
	// ApplyDelay is the maximum time until a confirmed change of the desired state takes effect. An
	// unknown route or key is refused for good only if the desired state is more recent than this. 0
	// means no limit.
	ApplyDelay time.Duration
	// RevocationDelay is the maximum time for which a revoked key still works. Keys are refused
	// once the desired state is older than this. 0 means no limit.
	RevocationDelay time.Duration
	// MaxStaleness is the time after an operator names a model version by which no older
	// version may answer any more.
	MaxStaleness time.Duration
	// RetryRatio and RetrySlack limit the retries of all entries together within any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Seeds are peer addresses of entries that are asked for other entries until the store has
	// returned the list of entries.
	Seeds []string
	// LocateTTL is how long callers may cache a result of Locate.
	LocateTTL time.Duration
	// DrainGracePeriod is how long new requests are accepted after shutdown is announced.
	// DrainTimeout is the time from that announcement by which the process must have ended.
	DrainGracePeriod time.Duration
	DrainTimeout     time.Duration
}

// Gateway is one entry. It serves callers' requests by forwarding them to backend servers.
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
	// inbound bounds what callers' requests hold of this host.
	inbound *inbound.Limiter
	feeds   *feeds

	state atomic.Pointer[catalog.State]
	// stateConfirmedAt is when the last read that confirmed the state was sent; 0 if there was
	// none.
	stateConfirmedAt atomic.Int64
	// stateConfirmedBy is the entry whose answer confirmed the state then, or sourceStore.
	stateConfirmedBy atomic.Pointer[filbertlever.HostID]
	// inFlight is the number of callers' requests being served.
	inFlight atomic.Int64
	// readerSuspendedUntil is the time until which another entry should read the store for the
	// region, because the store does not answer this one.
	readerSuspendedUntil atomic.Int64
	// storeUnansweredAt is freshness.View.UnansweredAt.
	storeUnansweredAt atomic.Int64
	// entriesListed is true once the list of entries has been read from the store.
	entriesListed atomic.Bool
	// holdsRestored is true once this entry has the quarantine holds that were placed before it
	// started.
	holdsRestored atomic.Bool
	// stateKnown is closed once a desired state is known. started is when this process started.
	stateKnown chan struct{}
	started    time.Duration
	// revocationDelay is Config.RevocationDelay, which Reconfigure may change.
	revocationDelay atomic.Int64
	// applyDelay is Config.ApplyDelay, which Reconfigure may change.
	applyDelay atomic.Int64

	mu           sync.Mutex
	rng          *rand.Rand
	fleet        *fleet.Fleet
	gate         admission.EntryGate
	retryBudgets map[string]*retry.Window
	waitQueue    *waitQueue
	crashes      *crashes
	// outages are keyed by service.
	outages map[string]*admission.Outage
	peers   *peers
	// levelled are the services with urgency levels.
	levelled map[string]*levelledService
	// versionsByModel holds the versions of each model that operators want, oldest first.
	versionsByModel map[string][]namedVersion
	// namedChanged receives a value when a version has been named.
	namedChanged chan struct{}
	badRows      badRowTracker
	// backendsInterval is the time between the last two updates of the list of backend servers.
	backendsInterval time.Duration
	uptime           uptime.Uptime
	// storeAnsweredAt is when the store last answered this entry; 0 if it has not.
	storeAnsweredAt time.Duration
	// speedsSentAt is when observations of the servers' speeds were last sent.
	speedsSentAt time.Duration
	// tableEras are the eras of the store in the last rows of each table, storeEra is the highest one,
	// and stateEra that of the desired state in force.
	tableEras          map[Table]uint64
	storeEra, stateEra uint64
	// writeAgain requests that what this entry wrote to the store be written again.
	writeAgain chan struct{}
	// heartbeatNow requests an immediate heartbeat to the region.
	heartbeatNow chan struct{}
	stop         *drain.Stop
	// ending is which requests are ended because the process ends.
	ending endStage
}

// New returns a gateway whose loops run until ctx ends. The socket receives heartbeats and load
// reports.
func New(ctx context.Context, config Config, store Store, codec Codec, sender Sender, origin relay.Origin,
	client *http.Client, limiter *inbound.Limiter, socket net.PacketConn, log *zap.Logger, registry prometheus.Registerer, rng *rand.Rand) *Gateway {
	fleetConfig := fleet.DefaultConfig()
	fleetConfig.Host, fleetConfig.Site, fleetConfig.Region, fleetConfig.Regions = config.Self.Host, config.Self.Site, config.Self.Region, config.Regions
	g := &Gateway{
		stateKnown: make(chan struct{}), started: boottime.Now(), heartbeatNow: make(chan struct{}, 1), writeAgain: make(chan struct{}, 1), tableEras: map[Table]uint64{}, namedChanged: make(chan struct{}, 1),
		config: config, store: store, codec: codec, sender: sender, log: log, socket: datagrams.New(socket), client: client, inbound: limiter, feeds: newFeeds(),
		metrics: newMetrics(registry), rng: rng, fleet: fleet.New(fleetConfig, rng), gate: admission.DefaultEntryGate(),
		retryBudgets: map[string]*retry.Window{}, outages: map[string]*admission.Outage{}, waitQueue: newWaitQueue(), levelled: map[string]*levelledService{}, crashes: newCrashes(), peers: newPeers(config.Self, boottime.Now()), versionsByModel: map[string][]namedVersion{},
		stop: drain.New(drain.Config{GracePeriod: config.DrainGracePeriod, MoveStreamsAfter: config.DrainTimeout}),
	}
	g.peers.maxUnregistered = limiter.Unregistered()
	g.revocationDelay.Store(int64(config.RevocationDelay))
	g.applyDelay.Store(int64(config.ApplyDelay))
	g.feeds.rowKey = store.RowKey
	g.feeds.register(registry)
	g.relay = relay.New(relays.Entry{Host: config.Self.Host, Site: config.Self.Site}, relayView{g}, origin, client, log, registry)
	for _, loop := range []func(context.Context){g.runDesired, g.runBackends, g.runEntries, g.runHeartbeat, g.runCounts, g.runSeeds, g.runRestore, g.runVersions, g.runLevels} {
		go loop(ctx)
	}
	go g.runDatagrams(ctx)
	return g
}

// stateAge returns the age of the desired state; false if no state is known.
func (g *Gateway) stateAge(now time.Duration) (time.Duration, bool) {
	confirmed := g.stateConfirmedAt.Load()
	return now - time.Duration(confirmed), confirmed != 0
}

// stateFields returns log fields with the state that a request is judged by, its age, and who confirmed it then.
func (g *Gateway) stateFields(state *catalog.State, now time.Duration) []zap.Field {
	by := g.stateConfirmedBy.Load()
	if state == nil || by == nil {
		return nil
	}
	age, _ := g.stateAge(now)
	return []zap.Field{zap.Uint64("StateVersion", state.Version), zap.Duration("StateAge", age), zap.String("StateSource", string(*by))}
}

// revokeMargin allows for the time a request takes from the caller to this process.
const revokeMargin = 200 * time.Millisecond

// keysFresh reports whether the desired state is recent enough to accept keys.
//
// An entry that is cut off from the store does not receive revocations and would serve callers
// whose keys were revoked. Keys are therefore refused once the last read that confirmed the state
// is nearly as old as the revocation delay. The age counts from when that read was sent, on a clock
// that also advances while the host is suspended.
func (g *Gateway) keysFresh(now time.Duration) bool {
	return g.stateYoungerThan(time.Duration(g.revocationDelay.Load()), now)
}

// stateView returns what this entry knows about the age of the desired state.
func (g *Gateway) stateView() freshness.View {
	return freshness.View{Limit: time.Duration(g.applyDelay.Load()), ConfirmedAt: time.Duration(g.stateConfirmedAt.Load()), UnansweredAt: time.Duration(g.storeUnansweredAt.Load())}
}

// awaitCurrentState returns the desired state to be used for a request that arrived at arrivedAt. It returns
// false if that may lack changes that must be in force, and is not confirmed soon.
func (g *Gateway) awaitCurrentState(ctx context.Context, arrivedAt time.Duration) (*catalog.State, bool) {
	for waited := false; ; waited = true {
		// The state that is read afterwards is no older than the view.
		view := g.stateView()
		state := g.state.Load()
		verdict := view.Judge(arrivedAt, boottime.Now())
		if verdict == freshness.Wait && ctx.Err() != nil {
			verdict = freshness.Refuse
		}
		switch {
		case verdict == freshness.Refuse:
			g.metrics.awaitedStates.WithLabelValues("Refused").Inc()
			return nil, false
		case verdict == freshness.Proceed && waited:
			g.metrics.awaitedStates.WithLabelValues("Served").Inc()
			return state, true
		case verdict == freshness.Proceed:
			return state, true
		}
		time.Sleep(confirmationInterval)
	}
}

// confirmationGrace is how long a request may wait for the desired state to be confirmed. An entry in
// touch with the store confirms it about once a second.
const (
	confirmationGrace    = 400 * time.Millisecond
	confirmationInterval = 10 * time.Millisecond
)

// awaitConfirmedChanges reports whether the desired state includes all changes that must be in force by
// now. With an older one, an unknown route or key may have been added in the meantime. It waits briefly
// if the state is due to be confirmed.
func (g *Gateway) awaitConfirmedChanges(ctx context.Context) bool {
	limit := time.Duration(g.applyDelay.Load())
	for {
		now := boottime.Now()
		if g.stateYoungerThan(limit, now) {
			return true
		}
		if ctx.Err() != nil || !g.stateYoungerThan(limit+confirmationGrace, now) {
			return false
		}
		time.Sleep(confirmationInterval)
	}
}

// stateYoungerThan reports whether the age of the desired state is safely below a limit; 0 means none.
func (g *Gateway) stateYoungerThan(limit, now time.Duration) bool {
	age, ok := g.stateAge(now)
	return ok && (limit <= 0 || age < limit-revokeMargin)
}

// Ready reports whether new callers should use this entry.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readyLocked(boottime.Now())
}

// readyLocked is Ready for callers that hold g.mu.
func (g *Gateway) readyLocked(now time.Duration) bool {
	return !g.stop.Announced() && g.state.Load() != nil && g.keysFresh(now)
}

// Limits returns the limits that the desired state sets for callers; zero values while no state is
// known.
func (g *Gateway) Limits() catalog.Limits {
	state := g.state.Load()
	if state == nil {
		return catalog.Limits{}
	}
	return state.Limits
}

// Locate returns the addresses that a caller should connect to for a host, and how long it may
// cache them.
func (g *Gateway) Locate(host string, caller Caller) ([]string, time.Duration) {
	ready := g.Ready()
	var allowed filbertlever.Regions
	if state := g.state.Load(); state != nil {
		allowed = state.Regions(host)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.locate(caller, allowed, ready, boottime.Now()), g.config.LocateTTL
}

// retryBudget returns the retry budget of a service. The caller holds g.mu.
func (g *Gateway) retryBudget(service string) *retry.Window {
	b, ok := g.retryBudgets[service]
	if !ok {
		b = retry.NewWindow(g.retryWindow())
		g.retryBudgets[service] = b
	}
	return b
}

// retryWindow returns this entry's share of the retry limit.
func (g *Gateway) retryWindow() retry.WindowConfig {
	return retry.SharedWindow(g.config.RetryWindow, g.config.RetryRatio, g.config.RetrySlack, g.peers.registeredCount())
}

// resizeRetryBudgets adjusts the retry budgets to the number of entries. The caller holds g.mu.
func (g *Gateway) resizeRetryBudgets() {
	for _, b := range g.retryBudgets {
		b.Resize(g.retryWindow())
	}
}

// drainPollInterval is how often the progress of a shutdown is checked.
const drainPollInterval = 50 * time.Millisecond

// Reconfigure applies changed limits and timeouts. Addresses and names do not change.
func (g *Gateway) Reconfigure(config Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revocationDelay.Store(int64(config.RevocationDelay))
	g.applyDelay.Store(int64(config.ApplyDelay))
	g.config.MaxStaleness, g.config.LocateTTL = config.MaxStaleness, config.LocateTTL
	g.config.RetryRatio, g.config.RetrySlack = config.RetryRatio, config.RetrySlack
	g.resizeRetryBudgets()
}

// Shutdown announces that this entry is draining, keeps accepting requests for the grace period,
// and returns when all requests have ended or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) {
	g.mu.Lock()
	g.stop.Announce(time.Now())
	g.mu.Unlock()
	g.log.Info("leaving", zap.Int64("Running", g.inFlight.Load()))
	g.sendHeartbeat(boottime.Now(), g.addressesOf(scopeAll))
	go g.unregister(ctx)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		g.mu.Lock()
		phase := g.stop.Advance(time.Now(), int(g.inFlight.Load()))
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

// unregister removes this entry's row from the store.
func (g *Gateway) unregister(ctx context.Context) {
	if err := g.store.Unregister(ctx, g.config.Self); err != nil {
		g.log.Warn("could not unregister this entry from the store", zap.Error(err))
	}
}

// discoveryElapsed reports whether this entry has run long enough to have discovered other entries.
func (g *Gateway) discoveryElapsed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.discoveryElapsed(boottime.Now())
}

// relayView gives the relay access to the origin, the holders of weights and the other entries.
type relayView struct{ gateway *Gateway }

// Origin returns the origin of weights. It returns none until the list of entries has been read or
// there was time to discover other entries.
//
// An entry that has just started and has discovered no others would assume that it is the one that
// fetches every piece. After a power failure every entry would fetch its own copy and use up the
// origin's connections.
func (v relayView) Origin() (address, site string, ok bool) {
	state := v.gateway.state.Load()
	if state == nil || !v.gateway.entriesListed.Load() && !v.gateway.discoveryElapsed() {
		return "", "", false
	}
	origin, ok := state.Origin()
	return origin.Origin, origin.OriginSite, ok
}

// Holders returns the hosts of this site whose servers hold a version.
func (v relayView) Holders(named catalog.ModelVersion) []relays.Holder {
	v.gateway.mu.Lock()
	defer v.gateway.mu.Unlock()
	return v.gateway.fleet.Holders(named.Model, named.Version, boottime.Now())
}

// Pieces returns the number of pieces of each version of a model and their size in bytes; 0 if
// unknown.
func (v relayView) Pieces(model string) (count, size int) {
	state := v.gateway.state.Load()
	if state == nil {
		return 0, 0
	}
	return state.Pieces(model)
}

// Entries returns the live entries and their peer addresses.
func (v relayView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	v.gateway.mu.Lock()
	defer v.gateway.mu.Unlock()
	alive := v.gateway.peers.alive(boottime.Now())
	entries := make([]relays.Entry, 0, len(alive))
	addresses := make(map[filbertlever.HostID]string, len(alive))
	for _, e := range alive {
		entries = append(entries, relays.Entry{Host: e.Host, Site: e.Site})
		addresses[e.Host] = e.Peers
	}
	return entries, addresses
}
