package intake

import "time"

// Group is whom a request counts for: its organisation or, if it has none, the address of its caller.
type Group string

// Request is a request whose header or body a process holds. It is used with one Budget.
type Request struct {
	// connection carries the request; nil if it shares its connection with others.
	connection *Connection
	group      Group
	// held is the memory that the request uses, and charged what it counts for. A large request is charged
	// for what is expected to arrive, so that it can finish.
	held, charged int64
	// expected is the size that was announced; negative if none was.
	expected int64
	arrived  int64
	// arriving is true until the request has been received whole. Whole requests are not evicted, because
	// they may be running.
	arriving  bool
	startedAt time.Duration
	// paidUntil is when the request would have received what it has at the least rate. It is never later
	// than the last arrival, so that a fast beginning does not excuse a pause.
	paidUntil time.Duration
	// position is the index in Budget.arriving.
	position int
	evicted  bool
	evict    func()
}

// Held returns the memory that the request uses.
func (r *Request) Held() int64 { return r.held }

// Evicted reports whether the request was evicted, or has ended.
func (r *Request) Evicted() bool { return r.evicted }

// Lag returns how far the request is behind the least rate.
func (r *Request) Lag(now time.Duration) time.Duration { return max(now-r.paidUntil, 0) }

// paceFloor is the least age that the pace of a request is computed with.
const paceFloor = 100 * time.Millisecond

// pace returns the mean rate of a request, in bytes per second.
func (r *Request) pace(now time.Duration) float64 {
	return float64(r.arrived) / max(now-r.startedAt, paceFloor).Seconds()
}

// Budget divides the memory for headers and bodies among requests.
//
// Nothing waits in a Budget: a request that needs more memory gets it at once, or is refused. A large
// request gets the memory for all that it has announced, so that it can finish unless it is evicted. Whole
// requests never are.
type Budget struct {
	limits Limits
	// total is what all requests are charged, and large the part of those that use more than SmallBytes.
	total, large int64
	// byGroup is the part of large of each group.
	byGroup map[Group]int64
	// arriving are the requests that may be evicted, in no order.
	arriving []*Request
}

// NewBudget returns a budget without requests.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits, byGroup: map[Group]int64{}} }

// Held returns the memory that all requests are charged.
func (b *Budget) Held() int64 { return b.total }

// Begin adds a request on a connection, which is nil if other requests share it. evict is called if the
// request is evicted; it must not call the budget.
func (b *Budget) Begin(connection *Connection, now time.Duration, evict func()) *Request {
	r := &Request{connection: connection, expected: -1, arriving: true, startedAt: now, paidUntil: now, position: len(b.arriving), evict: evict}
	b.arriving = append(b.arriving, r)
	return r
}

// Expect records whom a request counts for and the size of its body; negative if it announced none. It must
// be called before the request is large.
func (b *Budget) Expect(r *Request, group Group, size int64) {
	r.group, r.expected = group, size
	if size >= 0 {
		r.expected += r.held
	}
}

// Arrived records bytes that a request has received.
func (b *Budget) Arrived(r *Request, n int64, now time.Duration) {
	r.arrived += n
	r.paidUntil = min(r.paidUntil+time.Duration(float64(n)/float64(b.limits.LeastRate)*float64(time.Second)), now)
}

// Excuse records that a request was kept waiting by this process.
func (b *Budget) Excuse(r *Request, waited time.Duration) {
	r.paidUntil += waited
	r.startedAt += waited
}

// Deadline returns when a request has fallen behind the least rate by the grace period.
func (b *Budget) Deadline(r *Request) time.Duration { return r.paidUntil + b.limits.Grace }

// Grow gives a request more memory, or returns false if it must be refused. Others may be evicted.
func (b *Budget) Grow(r *Request, n int64, now time.Duration) bool {
	if r.evicted {
		return false
	}
	charge := b.chargeFor(r, n) - r.charged
	for !b.fits(r, charge) {
		victim := b.victim(r, charge, now)
		if victim == nil {
			return false
		}
		b.remove(victim)
		victim.evicted = true
		victim.evict()
	}
	r.held += n
	b.charge(r, charge)
	return true
}

// chargeFor returns what a request is charged once it holds n more bytes. A large one that has announced
// no size is charged for twice what it holds.
func (b *Budget) chargeFor(r *Request, n int64) int64 {
	needed := r.held + n
	switch {
	case needed <= r.charged:
		return r.charged
	case !r.arriving || !b.isLarge(needed):
		return max(needed, r.charged)
	case r.expected >= 0:
		return max(needed, r.expected)
	}
	return max(needed, min(2*needed, b.limits.LargestRequest()))
}

// Whole records that a request has been received whole. It is not evicted from then on.
func (b *Budget) Whole(r *Request) {
	if !r.evicted {
		b.removeArriving(r)
		b.charge(r, r.held-r.charged)
	}
}

// End removes a request.
func (b *Budget) End(r *Request) {
	if !r.evicted {
		b.remove(r)
		r.evicted = true
	}
}

// charge changes what a request is charged.
func (b *Budget) charge(r *Request, n int64) {
	before := b.largePart(r.charged)
	r.charged += n
	b.total += n
	change := b.largePart(r.charged) - before
	b.large += change
	if change == 0 {
		return
	}
	if b.byGroup[r.group] += change; b.byGroup[r.group] == 0 {
		delete(b.byGroup, r.group)
	}
}

// largePart returns the part of a charge that counts as large.
func (b *Budget) largePart(charged int64) int64 {
	if b.isLarge(charged) {
		return charged
	}
	return 0
}

func (b *Budget) isLarge(bytes int64) bool { return bytes > b.limits.SmallBytes }

// fits reports whether a request can be charged n more bytes.
func (b *Budget) fits(r *Request, n int64) bool {
	large := b.large + b.largePart(r.charged+n) - b.largePart(r.charged)
	return n <= 0 || b.total+n <= b.limits.Bytes && (large <= b.limits.LargestRequest() || large == b.large)
}

// A request is evicted for a faster one of its group if it is slower by paceFactor, and slower than
// slowFactor times the least rate.
const (
	paceFactor = 2
	slowFactor = 4
)

// victim returns the request that is evicted so that r can be charged n more bytes; nil if r must be
// refused. It is the one that is farthest behind the least rate; if none is by more than the patience, the
// slowest large one of the group that holds most, or a slow one of the same group.
func (b *Budget) victim(r *Request, n int64, now time.Duration) *Request {
	// Small requests leave nothing to large ones while there is room beside these.
	onlyLarge := b.isLarge(r.charged+n) && b.total+n <= b.limits.Bytes
	behind := b.farthestBehind(now, func(other *Request) bool {
		return other != r && other.charged > 0 && (!onlyLarge || b.isLarge(other.charged))
	})
	if behind != nil {
		if r.arriving && r.Lag(now) > behind.Lag(now) {
			return nil
		}
		return behind
	}
	heaviest := b.heaviestGroup()
	if victim := b.slowest(now, func(other *Request) bool { return other.group == heaviest }); victim != nil && heaviest != r.group &&
		b.byGroup[r.group]+n <= b.byGroup[heaviest]-victim.charged {
		return victim
	}
	slowest := b.slowest(now, func(other *Request) bool { return other != r && other.group == r.group })
	if slowest != nil && r.arriving && slowest.pace(now) < min(r.pace(now)/paceFactor, slowFactor*float64(b.limits.LeastRate)) {
		return slowest
	}
	return nil
}

// heaviestGroup returns the group whose large requests hold most.
func (b *Budget) heaviestGroup() Group {
	var heaviest Group
	for group, held := range b.byGroup {
		if most := b.byGroup[heaviest]; held > most || held == most && group < heaviest {
			heaviest = group
		}
	}
	return heaviest
}

// slowest returns the slowest large request that is arriving; nil if there is none.
func (b *Budget) slowest(now time.Duration, eligible func(*Request) bool) *Request {
	var slowest *Request
	for _, r := range b.arriving {
		if b.isLarge(r.charged) && eligible(r) && (slowest == nil || r.pace(now) < slowest.pace(now)) {
			slowest = r
		}
	}
	return slowest
}

// farthestBehind returns the request that is farthest behind the least rate; nil if none is by more than
// the patience.
func (b *Budget) farthestBehind(now time.Duration, eligible func(*Request) bool) *Request {
	var farthest *Request
	for _, r := range b.arriving {
		if lag := r.Lag(now); lag > b.limits.Patience && (farthest == nil || lag > farthest.Lag(now)) && eligible(r) {
			farthest = r
		}
	}
	return farthest
}

// Stalled returns the connection of a listener whose request is farthest behind the least rate; nil if
// none is by more than the patience.
func (b *Budget) Stalled(listener Listener, now time.Duration) *Connection {
	r := b.farthestBehind(now, func(r *Request) bool { return r.connection != nil && r.connection.listener == listener })
	if r == nil {
		return nil
	}
	return r.connection
}

// remove takes a request out of the budget.
func (b *Budget) remove(r *Request) {
	b.charge(r, -r.charged)
	b.removeArriving(r)
}

func (b *Budget) removeArriving(r *Request) {
	if !r.arriving {
		return
	}
	last := b.arriving[len(b.arriving)-1]
	b.arriving[r.position], last.position = last, r.position
	b.arriving = b.arriving[:len(b.arriving)-1]
	r.arriving = false
}
