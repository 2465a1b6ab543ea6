package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of watching the store.
const (
	// followWait is how long a feed waits for a change. The view is confirmed
	// when it returns, so its age stays below twice this, well under the bound
	// of keys, at 0.7 calls a second.
	followWait = 1500 * time.Millisecond
	// gather is how long changes are left to gather after one was heard, since
	// they come in series and each answer is a call. All bounds of what is heard
	// here are 2 s and more.
	gather = 250 * time.Millisecond
	// retryFirst and retryMost are the pauses after failed calls.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// watch keeps one table's view current: read is called for a whole view, and
// follow for changes after it. Both return the new revision.
type watch struct {
	name   string
	read   func(ctx context.Context, first bool) (uint64, error)
	follow func(ctx context.Context, after uint64) (uint64, error)
}

func (g *Gateway) run(ctx context.Context, w watch) {
	revision, first, lost := uint64(0), true, false
	pause := retryFirst
	for ctx.Err() == nil {
		var err error
		next := revision
		if revision == 0 {
			next, err = w.read(ctx, first)
		} else {
			next, err = w.follow(ctx, revision)
		}
		if errors.Is(err, ErrHistoryGone) {
			g.log.Warn("store dropped its history", zap.String("Table", w.name), zap.Uint64("Revision", revision))
			revision = 0
			continue
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				g.log.Warn("store lost", zap.String("Table", w.name), zap.Error(err))
			}
			g.sleep(ctx, pause)
			pause = min(2*pause, retryMost)
			continue
		}
		if lost {
			g.log.Info("store regained", zap.String("Table", w.name), zap.Uint64("Revision", next))
		}
		if changed := next != revision; changed && revision != 0 {
			g.sleep(ctx, gather)
		}
		revision, first, lost, pause = next, false, false, retryFirst
	}
}

// sleep waits for a pause, spread so that entries do not call together.
func (g *Gateway) sleep(ctx context.Context, pause time.Duration) {
	g.mu.Lock()
	pause = pause/2 + time.Duration(g.rng.Int64N(int64(pause)))
	g.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (g *Gateway) runDesired(ctx context.Context) {
	apply := func(desired Desired, sent time.Duration, first bool) uint64 {
		g.applyDesired(desired, first)
		g.confirmed.Store(int64(sent))
		return desired.Revision
	}
	g.run(ctx, watch{
		name: "Desired",
		read: func(ctx context.Context, first bool) (uint64, error) {
			sent := boottime.Now()
			desired, err := g.store.ReadDesired(ctx)
			if err != nil {
				return 0, err
			}
			return apply(desired, sent, first), nil
		},
		follow: func(ctx context.Context, after uint64) (uint64, error) {
			sent := boottime.Now()
			desired, err := g.store.FollowDesired(ctx, after, followWait)
			if err != nil {
				return 0, err
			}
			return apply(desired, sent, false), nil
		},
	})
}

// applyDesired puts a desired state in force.
//
// Guard: an answer of the store may arrive after a newer one, and the older
// state must not come back; only a higher version is taken.
func (g *Gateway) applyDesired(desired Desired, first bool) {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.state.Load()
	if desired.State != nil && (old == nil || desired.State.Version > old.Version) {
		g.fleet.SetState(desired.State, now)
		g.state.Store(desired.State)
		g.log.Info("desired state in force", zap.Uint64("Version", desired.State.Version), zap.Uint64("Revision", desired.Revision))
	}
	g.setNamed(desired.Named, first, now)
}

func (g *Gateway) runBackends(ctx context.Context) {
	last := boottime.Now()
	apply := func(backends Backends, whole bool) uint64 {
		now := boottime.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		if now-last > 2*followWait {
			g.fleet.StoreReturned(now)
		}
		last = now
		g.fleet.Apply(backends.Present, backends.Gone, whole, now)
		for _, b := range backends.Present {
			g.log.Info("backend server listed", zap.String("Backend", b.ID), zap.String("Service", b.Service),
				zap.String("Address", b.Address), zap.Bool("Leaving", b.Leaving), zap.Int("Models", len(b.Models)))
		}
		for _, id := range backends.Gone {
			g.log.Info("backend server gone", zap.String("Backend", id))
		}
		return backends.Revision
	}
	g.run(ctx, watch{
		name: "Backends",
		read: func(ctx context.Context, _ bool) (uint64, error) {
			backends, err := g.store.ReadBackends(ctx)
			if err != nil {
				return 0, err
			}
			return apply(backends, true), nil
		},
		follow: func(ctx context.Context, after uint64) (uint64, error) {
			backends, err := g.store.FollowBackends(ctx, after, followWait)
			if err != nil {
				return 0, err
			}
			return apply(backends, false), nil
		},
	})
}

func (g *Gateway) runEntries(ctx context.Context) {
	apply := func(entries Entries, whole bool) uint64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.peers.list(entries.Present, entries.Gone, whole)
		g.resizeBudgets()
		return entries.Revision
	}
	registered := false
	g.run(ctx, watch{
		name: "Entries",
		read: func(ctx context.Context, _ bool) (uint64, error) {
			if !registered {
				if err := g.store.Register(ctx, g.config.Self); err != nil {
					return 0, err
				}
				registered = true
			}
			entries, err := g.store.ReadEntries(ctx)
			if err != nil {
				return 0, err
			}
			return apply(entries, true), nil
		},
		follow: func(ctx context.Context, after uint64) (uint64, error) {
			entries, err := g.store.FollowEntries(ctx, after, entriesWait)
			if err != nil {
				return 0, err
			}
			return apply(entries, false), nil
		},
	})
}

// entriesWait is longer than followWait: entries hear each other directly, and
// only learn of new ones here.
const entriesWait = 6 * time.Second
