// Package lease decides which agent may send orders to a model engine. Each
// incarnation of an agent takes the next fencing number from a row of the
// platform, and the receiver of an order rejects lower numbers.
package lease

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Record is the lease row of one backend server.
type Record struct {
	Holder filbertlever.Incarnation
	// Fence grows by one with each change of holder.
	Fence uint64
}

// Lease is the state of a lease as its holder sees it.
type Lease struct {
	self filbertlever.Incarnation
	// ttl is how long a confirmation is valid.
	ttl time.Duration
	// fence is 0 until the lease is acquired.
	fence uint64
	// confirmedAt is when the last read or write that showed this holder in
	// the row was *sent*.
	confirmedAt time.Time
	lost        bool
	acquiredAt  time.Time
	lastTick    time.Time
	// paused is true if the process was paused since the last confirmation.
	paused bool
}

// New returns a lease that is not acquired yet.
func New(self filbertlever.Incarnation, ttl time.Duration) *Lease {
	return &Lease{self: self, ttl: ttl}
}

// Next returns the record that replaces current. The write must be conditional
// on the row being unchanged.
func (l *Lease) Next(current Record) Record {
	return Record{Holder: l.self, Fence: current.Fence + 1}
}

// Observe updates the lease from the row as returned by a read or an applied
// write. The parameter sent is when the request was sent.
//
// The row may have changed hands before the response arrived, or while this
// process was paused. Validity therefore counts from when the request was sent.
func (l *Lease) Observe(record Record, sent time.Time) {
	if record.Holder == l.self {
		if l.fence == 0 {
			l.acquiredAt = sent
		}
		l.fence = record.Fence
		l.confirmedAt = sent
		l.paused = false
		return
	}
	if l.fence != 0 && record.Fence > l.fence {
		l.lost = true
	}
}

// Fence returns the fencing number, or 0 if the lease was never acquired.
func (l *Lease) Fence() uint64 { return l.fence }

// Lost reports whether another holder has been observed. A lost lease cannot be
// regained.
func (l *Lease) Lost() bool { return l.lost }

// Valid reports whether the holder may act at now without asking the platform
// again. Call it before an operation and again after the operation returned: a
// holder that was paused in between acted on a lease that may have expired, and
// must not rely on the result.
func (l *Lease) Valid(now time.Time) bool {
	return l.fence != 0 && !l.lost && now.Sub(l.confirmedAt) < l.ttl
}

// HandoverDelay returns how long this holder must wait before its first order.
//
// The previous holder may have confirmed its lease just before it was replaced,
// and acts on that confirmation until the TTL is over. An engine that ignores
// fencing numbers would execute that holder's order after an order of the new
// one, so the new holder waits for the TTL. The first holder has no predecessor,
// and an engine that checks fencing numbers rejects the old one.
func (l *Lease) HandoverDelay(now time.Time, engineChecks bool) time.Duration {
	if engineChecks || l.fence <= 1 {
		return 0
	}
	return max(l.ttl-now.Sub(l.acquiredAt), 0)
}

// Tick records that the process is running. A gap of more than maxGap between
// two calls counts as a pause of the process, so call it several times in maxGap.
func (l *Lease) Tick(now time.Time, maxGap time.Duration) {
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > maxGap {
		l.paused = true
	}
	l.lastTick = now
}

// MayActUnconfirmed reports whether the holder may act although its lease has
// expired and the platform is unreachable.
//
// An engine that checks fencing numbers rejects a stale one itself. For an
// engine that ignores them the agent has to check: another incarnation can take
// over the host's slot only while this process is paused, so after a pause it
// must not act until the platform has confirmed the lease.
func (l *Lease) MayActUnconfirmed(engineChecks bool) bool {
	return l.fence != 0 && !l.lost && (engineChecks || !l.paused)
}

// FenceChecker tracks the highest fencing number that the receiver of orders
// has seen.
type FenceChecker struct {
	highest uint64
}

// Admit reports whether an order with this fencing number may be executed.
//
// A holder that resumes after a pause may send its old number after another
// holder has acted with a higher one. The lower number is rejected.
func (k *FenceChecker) Admit(fence uint64) bool {
	if fence < k.highest {
		return false
	}
	k.highest = fence
	return true
}

// Highest returns the highest fencing number admitted.
func (k *FenceChecker) Highest() uint64 { return k.highest }
