package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/lease"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
)

func (l *loader) fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Fence()
}

// handoverDelay returns how long a new holder must wait before its first
// command, until the confirmation of the previous holder has expired.
func (l *loader) handoverDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.HandoverDelay(time.Now(), l.engineChecksFencing())
}

// confirmLease returns the fencing number if this agent may send a command to
// the engine now. Commands are rare, so the lease is renewed at the platform
// each time. An earlier confirmation is used only while the platform is
// unreachable.
//
// An agent that was paused and replaced would continue as if it still held the
// lease. Once another holder has been observed, the agent therefore sends no
// more commands.
func (l *loader) confirmLease(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	fence, lost := l.lease.Fence(), l.lease.Lost()
	l.mu.Unlock()
	if lost {
		return 0, errLeaseLost
	}
	if err := l.renewLease(ctx, fence == 0); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.lease.MayActUnconfirmed(l.engineChecksFencing()) {
			return l.lease.Fence(), nil
		}
		return 0, fmt.Errorf("%w: %w", errLeaseUnconfirmed, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Lost() {
		return 0, errLeaseLost
	}
	if l.lease.Fence() == 0 || !l.lease.Valid(time.Now()) {
		return 0, errNotAcquired
	}
	return l.lease.Fence(), nil
}

// engineChecksFencing reports whether the engine refuses stale fencing numbers.
func (l *loader) engineChecksFencing() bool {
	current := l.agent.node.Current()
	if current == nil {
		return false
	}
	pool, _ := current.Bundle.Pool(l.agent.config.Host.Pool)
	return pool.ChecksFencing
}

// renewLease reads the lease row and, if acquire is set, acquires the lease with
// the next fencing number.
func (l *loader) renewLease(ctx context.Context, acquire bool) error {
	key := platform.KeyLease(l.agent.config.Host.ID)
	sent := time.Now()
	rows, err := l.agent.platform.Get(ctx, key)
	if err != nil {
		return err
	}
	var record lease.Record
	if err := rows[0].Decode(&record); err != nil {
		return err
	}
	if acquire && record.Holder != l.agent.node.Incarnation() {
		l.mu.Lock()
		next := l.lease.Next(record)
		l.mu.Unlock()
		sent = time.Now()
		applied, _, _, err := l.agent.platform.Commit(ctx, platform.Write{Key: key, Value: next, ExpectedRevision: rows[0].Revision})
		if err != nil {
			return err
		}
		if !applied {
			return errLeaseConflict
		}
		record = next
	}
	l.mu.Lock()
	l.lease.Observe(record, sent)
	l.mu.Unlock()
	return nil
}
