package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times for saving and restoring quarantine holds in the platform's store.
const (
	// minRestoreDelay is how long a starting entry waits for other entries that already have the
	// holds, before it reads them from the store. restoreDelayPerPeer is added for each entry of
	// its region with a lower host ID, so that only one or two entries read the store if all have
	// just started.
	minRestoreDelay     = 500 * time.Millisecond
	restoreDelayPerPeer = 300 * time.Millisecond
	// maxRestoreDelay limits that wait. restoreRetryInterval is the time between failed reads.
	maxRestoreDelay      = 4 * time.Second
	restoreRetryInterval = time.Second
	// restorePollInterval is how often it is checked whether another entry had the holds.
	restorePollInterval = 100 * time.Millisecond
	// maxSaveAttempts and saveRetryInterval limit how long saving a hold is retried while the store
	// is unavailable: as long as a first hold lasts.
	maxSaveAttempts   = 60
	saveRetryInterval = 5 * time.Second
)

// runRestore restores the holds that were placed before this entry started, from the store unless
// another entry has them.
//
// All entries may lose power at the same time. Without the store, servers would crash again under
// requests that all entries had refused before.
func (g *Gateway) runRestore(ctx context.Context) {
	started := boottime.Now()
	for !g.holdsRestored.Load() {
		pause := restorePollInterval
		if boottime.Now()-started >= g.restoreDelay() {
			if err := g.restore(ctx); err == nil {
				return
			}
			pause = restoreRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// restoreDelay returns how long after its start this entry reads the holds itself.
func (g *Gateway) restoreDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for _, e := range g.peers.alive(boottime.Now()) {
		if e.Region == g.config.Self.Region && e.Host < g.config.Self.Host {
			before++
		}
	}
	return min(minRestoreDelay+time.Duration(before)*restoreDelayPerPeer, maxRestoreDelay)
}

// restore reads the holds from the store and deletes the expired ones there.
func (g *Gateway) restore(ctx context.Context) error {
	holds, bad, err := g.store.Holds(ctx)
	if err != nil {
		g.log.Warn("could not read quarantine holds from the store", zap.Error(err))
		return err
	}
	g.mu.Lock()
	stale := g.crashes.Restore(holds, boottime.Now())
	g.reportBadRows(bad)
	g.mu.Unlock()
	g.holdsRestored.Store(true)
	g.log.Info("quarantine holds read from the store", zap.Int("Held", len(holds)-len(stale)), zap.Int("Past", len(stale)))
	if len(stale) > 0 {
		g.deleteHolds(ctx, stale)
	}
	return nil
}

// deleteHolds deletes expired holds from the store.
func (g *Gateway) deleteHolds(ctx context.Context, requests []quarantine.Feature) {
	if err := g.store.DeleteHolds(ctx, requests); err != nil {
		// The next entry that reads the holds deletes them.
		g.log.Warn("could not delete expired quarantine holds", zap.Error(err))
	}
}

// saveHold writes a hold to the store, and retries while the store is unavailable.
func (g *Gateway) saveHold(ctx context.Context, hold quarantine.Hold) {
	for range maxSaveAttempts {
		hold.Age = boottime.Now() - hold.At
		err := g.store.SaveHold(ctx, hold)
		if err == nil {
			return
		}
		g.log.Warn("could not save a quarantine hold", zap.Stringer("Fingerprint", hold.Feature), zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveRetryInterval):
		}
	}
}

// persistHolds saves the holds that this entry placed, and deletes the expired ones, in the store.
// The caller holds g.mu.
func (g *Gateway) persistHolds(ctx context.Context) {
	placed, expired := g.crashes.TakeStoreChanges()
	for _, hold := range placed {
		go g.saveHold(ctx, hold)
	}
	if len(expired) > 0 {
		go g.deleteHolds(ctx, slices.Clone(expired))
	}
}

// noteHoldsRestored records that another entry has restored the holds and has the same ones as this
// entry. The caller holds g.mu.
func (g *Gateway) noteHoldsRestored(heartbeat *Heartbeat, now time.Duration) {
	if heartbeat.Restored && !g.holdsRestored.Load() && heartbeat.HeldDigest == g.crashes.Digest(now) {
		g.holdsRestored.Store(true)
	}
}
