package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of verdicts in the platform's store.
const (
	// restoreWait is how long after its start an entry waits for others that know the
	// verdicts, and restoreTurn how much longer for each that stands before it in its region:
	// if all have just started, one or two read the store.
	restoreWait = 500 * time.Millisecond
	restoreTurn = 300 * time.Millisecond
	// restoreMost bounds that wait, and restoreAgain is the time between two reads that fail.
	restoreMost  = 4 * time.Second
	restoreAgain = time.Second
	// restorePoll is how often it is looked whether another entry knew.
	restorePoll = 100 * time.Millisecond
	// keepTries is how often a verdict is written while the store is away, every keepAgain:
	// for as long as it first holds.
	keepTries = 60
	keepAgain = 5 * time.Second
)

// runRestore takes the verdicts that entries made before this one started, from the store
// unless another entry has them.
//
// Guard: all entries may lose their power at once, and servers ended again under what all
// had refused.
func (g *Gateway) runRestore(ctx context.Context) {
	began := boottime.Now()
	for !g.restored.Load() {
		pause := restorePoll
		if boottime.Now()-began >= g.restoreTurn() {
			if err := g.restore(ctx); err == nil {
				return
			}
			pause = restoreAgain
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// restoreTurn is how long after its start this entry reads the verdicts itself.
func (g *Gateway) restoreTurn() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for _, e := range g.peers.alive(boottime.Now()) {
		if e.Region == g.config.Self.Region && e.Host < g.config.Self.Host {
			before++
		}
	}
	return min(restoreWait+time.Duration(before)*restoreTurn, restoreMost)
}

func (g *Gateway) restore(ctx context.Context) error {
	holds, bad, err := g.store.Holds(ctx)
	if err != nil {
		g.log.Warn("verdicts not read", zap.Error(err))
		return err
	}
	g.mu.Lock()
	stale := g.crashes.Restore(holds, boottime.Now())
	g.noteBad(bad)
	g.mu.Unlock()
	g.restored.Store(true)
	g.log.Info("verdicts read", zap.Int("Held", len(holds)-len(stale)), zap.Int("Past", len(stale)))
	if len(stale) > 0 {
		g.runDropHolds(ctx, stale)
	}
	return nil
}

func (g *Gateway) runDropHolds(ctx context.Context, requests []quarantine.Fingerprint) {
	if err := g.store.DropHolds(ctx, requests); err != nil {
		// Whoever reads it next drops it.
		g.log.Warn("past verdicts not dropped", zap.Error(err))
	}
}

// runKeepHold writes a verdict to the store, also if that is away for a while.
func (g *Gateway) runKeepHold(ctx context.Context, hold quarantine.Hold) {
	for range keepTries {
		hold.Age = boottime.Now() - hold.At
		err := g.store.KeepHold(ctx, hold)
		if err == nil {
			return
		}
		g.log.Warn("verdict not kept", zap.Stringer("Fingerprint", hold.Request), zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(keepAgain):
		}
	}
}

// keepVerdicts has the store told of verdicts that this entry made, and of those that are
// over; the caller holds the lock.
func (g *Gateway) keepVerdicts(ctx context.Context) {
	made, over := g.crashes.Verdicts()
	for _, hold := range made {
		go g.runKeepHold(ctx, hold)
	}
	if len(over) > 0 {
		go g.runDropHolds(ctx, slices.Clone(over))
	}
}

// heardRestored notes that another entry knows the verdicts, and that this one holds the
// same requests; the caller holds the lock.
func (g *Gateway) heardRestored(beat *Beat, now time.Duration) {
	if beat.Restored && !g.restored.Load() && beat.Held == g.crashes.Digest(now) {
		g.restored.Store(true)
	}
}
