package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/lease"
	"github.com/filbertlever/filbertlever/internal/coordination/placement"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	enginev1 "github.com/filbertlever/filbertlever/internal/protocol/engine/v1"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/weights"
)

// Intervals, timeouts and limits of the loader.
const (
	leaseTTL              = 5 * time.Second
	processPauseThreshold = time.Second
	loaderInterval        = 100 * time.Millisecond
	attestInterval        = time.Second
	engineTimeout         = 2 * time.Second
	loadTimeout           = 10 * time.Minute
	transferRetryDelay    = 100 * time.Millisecond
	maxManifestPeers      = 3
	hostListTimeout       = 3 * time.Second
)

var (
	errLeaseLost              = errors.New("lease lost to another holder")
	errLeaseUnconfirmed       = errors.New("lease cannot be confirmed after a pause")
	errNoManifest             = errors.New("no peer has the manifest")
	errLeaseExpiredDuringLoad = errors.New("lease lapsed while the engine carried out the order")
	errNotAcquired            = errors.New("lease not acquired, or the answer took too long")
	errLeaseConflict          = errors.New("order superseded")
)

// loader fetches the weights that the bundle assigns to this host and loads them
// into the engine.
type loader struct {
	agent *Agent
	wake  chan struct{}

	mu         sync.Mutex
	placements placement.Loader
	lease      *lease.Lease
	// fetching holds the cancel function of each transfer in flight.
	fetching map[placement.Weights]context.CancelFunc
	// bundleVersion is the version of the bundle last applied to placements.
	bundleVersion uint64
	// attestedAt is when the engine's status was last requested.
	attestedAt time.Time
	// attesting is true while a status request is in flight.
	attesting bool
	// startedAt is when this process started.
	startedAt time.Time
	// finishedLoads counts the load commands that ended, successfully or not.
	finishedLoads int
}

func newLoader(a *Agent) *loader {
	return &loader{
		agent:     a,
		wake:      make(chan struct{}, 1),
		startedAt: time.Now(),
		lease:     lease.New(a.node.Incarnation(), leaseTTL),
		fetching:  map[placement.Weights]context.CancelFunc{},
	}
}

// trigger wakes run ahead of its next interval.
func (l *loader) trigger() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// liveWeights returns the live weights that a request needs, or false if they
// are not live here.
func (l *loader) liveWeights(message *peerv1.RunRequest) (placement.Progress, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	manifest := filbertlever.Digest(message.VersionDigest)
	adapter := filbertlever.Digest(message.AdapterDigest)
	for _, p := range l.placements.Live() {
		if adapter == "" && p.Weights.Manifest == manifest && p.Weights.Kind == placement.KindModel {
			return p, true
		}
		if adapter != "" && p.Weights.Manifest == adapter && p.Weights.Base == manifest {
			return p, true
		}
	}
	return placement.Progress{}, false
}

// report returns the live weights and the progress of all assigned weights.
func (l *loader) report() ([]control.LiveWeights, []control.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []control.LiveWeights
	for _, p := range l.placements.Live() {
		live = append(live, control.LiveWeights{
			Model: p.Weights.Model, Version: p.Weights.Version, Manifest: p.Weights.Manifest, Base: p.Weights.Base,
		})
	}
	var progress []control.Progress
	for _, p := range l.placements.All() {
		held, chunks := l.agent.chunkLibrary.Held(p.Weights.Manifest)
		progress = append(progress, control.Progress{
			Model: p.Weights.Model, Version: p.Weights.Version, Manifest: p.Weights.Manifest,
			Stage: p.Stage, HeldChunks: held, Chunks: chunks, Failures: p.Failures, Reason: p.Reason,
		})
	}
	return live, progress
}

// run applies new bundles, starts transfers and loads, and checks the engine
// until ctx is done.
func (l *loader) run(ctx context.Context) {
	for {
		now := time.Now()
		l.mu.Lock()
		l.lease.Tick(now, processPauseThreshold)
		l.mu.Unlock()
		if current := l.agent.node.Current(); current != nil {
			l.applyBundle(current)
			l.startTransfers(ctx, current)
			l.startNextLoad(ctx)
			l.attest(ctx, now)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-time.After(loaderInterval):
		}
	}
}

// applyBundle replaces the wanted weights with those of a new bundle and cancels
// transfers that are no longer wanted.
func (l *loader) applyBundle(current *state.ActiveBundle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.Head.Version == l.bundleVersion {
		return
	}
	l.bundleVersion = current.Head.Version
	wanted := placement.Wanted(current.Bundle, l.agent.config.Host.Pool)
	l.placements.SetWanted(wanted)
	for weights, cancel := range l.fetching {
		if !containsWeights(wanted, weights) {
			cancel()
		}
	}
	l.agent.chunkLibrary.Retain(l.retained())
}

// retained returns the manifests whose chunks are kept: those of wanted and of
// live weights. The caller holds l.mu.
func (l *loader) retained() map[filbertlever.Digest]bool {
	keep := map[filbertlever.Digest]bool{}
	for _, p := range append(l.placements.All(), l.placements.Live()...) {
		keep[p.Weights.Manifest] = true
	}
	return keep
}

func containsWeights(all []placement.Weights, wanted placement.Weights) bool {
	for _, weights := range all {
		if weights == wanted {
			return true
		}
	}
	return false
}

// startTransfers starts a transfer for each set of weights that is not yet
// fetched.
//
// A host that has just started may receive the bundle before the host list. As
// it has no peers then, it would fetch all weights from the origin. It therefore
// waits for the host list, for at most hostListTimeout.
func (l *loader) startTransfers(ctx context.Context, current *state.ActiveBundle) {
	if !l.agent.hasHostList() && time.Since(l.startedAt) < hostListTimeout {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, weights := range l.placements.Unfetched() {
		if _, ok := l.fetching[weights]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l.fetching[weights] = cancel
		t := transfer{loader: l, weights: weights, favour: current.Bundle.Favour}
		go t.run(ctx)
	}
}

// startNextLoad sends the engine the next load command, if one is due.
func (l *loader) startNextLoad(ctx context.Context) {
	l.mu.Lock()
	p, ok := l.placements.Next(time.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	c := engineLoad{loader: l, progress: p}
	go c.run(ctx)
}

// engineLoad is one load command to the engine.
type engineLoad struct {
	loader   *loader
	progress placement.Progress
}

func (c *engineLoad) run(ctx context.Context) {
	l := c.loader
	a := l.agent
	attested, err := c.execute(ctx)
	now := time.Now()
	l.mu.Lock()
	l.finishedLoads++
	live := false
	if err != nil {
		l.placements.MarkFailed(c.progress.Weights, err.Error(), now)
	} else {
		live = l.placements.MarkLoaded(c.progress.Weights, attested, now)
		l.agent.chunkLibrary.Retain(l.retained())
	}
	l.mu.Unlock()
	fields := []zap.Field{zap.String("Model", c.progress.Weights.Model), zap.String("Version", c.progress.Weights.Version), zap.Uint64("Fence", l.fence())}
	if live {
		a.metrics.loads.WithLabelValues("Live").Inc()
		a.log.Info("weights live", fields...)
	} else {
		a.metrics.loads.WithLabelValues("Failed").Inc()
		a.log.Warn("load failed", append(fields, zap.Error(err), zap.String("Attested", string(attested)))...)
	}
	l.trigger()
	a.reporter.trigger()
}

// execute sends the load command while this agent holds the lease, and returns
// the digest that the engine attests.
//
// The lease is confirmed before the command and again after the engine has
// executed it. If the lease expired in between, the command counts as failed.
func (c *engineLoad) execute(ctx context.Context) (filbertlever.Digest, error) {
	l := c.loader
	a := l.agent
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	fence, err := l.confirmLease(ctx)
	if err != nil {
		return "", err
	}
	if wait := l.handoverDelay(); wait > 0 {
		time.Sleep(wait)
		if fence, err = l.confirmLease(ctx); err != nil {
			return "", err
		}
	}
	w := c.progress.Weights
	kind := enginev1.WeightsKind_WEIGHTS_KIND_MODEL
	if w.Kind == placement.KindAdapter {
		kind = enginev1.WeightsKind_WEIGHTS_KIND_ADAPTER
	}
	response, err := a.engine.Load(ctx, connect.NewRequest(&enginev1.LoadRequest{
		Fence:      fence,
		Kind:       kind,
		Model:      w.Model,
		Version:    w.Version,
		Digest:     string(c.progress.Digest),
		Url:        a.config.WeightsURL + weights.PathSet + string(w.Manifest),
		BaseDigest: l.baseDigest(w),
		MaxBatch:   uint32(w.MaxBatch),
		Role:       w.Role,
	}))
	if err != nil {
		return "", fmt.Errorf("load at engine: %w", err)
	}
	if _, err := l.confirmLease(ctx); err != nil {
		return "", fmt.Errorf("%w: %w", errLeaseExpiredDuringLoad, err)
	}
	return filbertlever.Digest(response.Msg.AttestedDigest), nil
}

// baseDigest returns the digest of an adapter's base model, or "" if there is
// none or its manifest is unavailable.
func (l *loader) baseDigest(w placement.Weights) string {
	if w.Base == "" {
		return ""
	}
	if manifest := l.agent.chunkLibrary.Manifest(w.Base); manifest != nil {
		return string(manifest.Digest)
	}
	return ""
}
