package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testLimits allow two large requests at a time.
func testLimits() Limits {
	return Limits{Bytes: 1000, Reserve: 200, SmallBytes: 50, LeastRate: 100, Grace: 5 * time.Second, Patience: 500 * time.Millisecond,
		Connections: [listenerCount]int{3, 2, 2}}
}

// receive grows a request and records the bytes as received.
func receive(b *Budget, r *Request, n int64, now time.Duration) bool {
	if !b.Grow(r, n, now) {
		return false
	}
	b.Arrived(r, n, now)
	return true
}

func TestStalledRequestIsEvicted(t *testing.T) {
	for _, test := range []struct {
		name string
		// held is what another request has received at 0, and then nothing more. group and whole describe it.
		held  int64
		group Group
		whole bool
		// at is when a request of group a needs memory, and needs how much.
		at    time.Duration
		needs int64
		// fast is true if the request is faster by a factor than the other one.
		fast             bool
		granted, evicted bool
	}{
		{"there is room", 300, "a", false, time.Minute, 500, false, true, false},
		{"stalled", 600, "a", false, 2 * time.Second, 300, false, true, true},
		{"just arrived", 600, "a", false, 0, 300, false, false, false},
		{"slower", 600, "a", false, 400 * time.Millisecond, 700, true, false, false},
		{"slow", 100, "a", false, 400 * time.Millisecond, 750, true, true, true},
		{"whole", 600, "a", true, time.Minute, 300, true, false, false},
		{"another group that holds more", 600, "b", false, 0, 300, false, false, false},
		{"small beside large", 800, "a", false, 0, 40, false, true, false},
		{"larger than the memory", 10, "a", false, 2 * time.Second, 900, true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, b, evicted := qt.New(t), NewBudget(testLimits()), false
			other := b.Begin(nil, 0, func() { evicted = true })
			b.Expect(other, test.group, test.held)
			c.Assert(receive(b, other, test.held, 0), qt.IsTrue)
			if test.whole {
				b.Whole(other)
			}
			r := b.Begin(nil, test.at, func() { t.Fatal("was evicted for itself") })
			b.Expect(r, "a", test.needs)
			if test.fast {
				b.Arrived(r, 10000, test.at)
			}
			c.Check(b.Grow(r, test.needs, test.at), qt.Equals, test.granted)
			c.Check(evicted, qt.Equals, test.evicted)
			c.Check(other.Evicted(), qt.Equals, test.evicted)
		})
	}
}

// One group must not keep another one out, and groups must not take the memory from each other in turns.
func TestGroupsShareTheMemory(t *testing.T) {
	c, limits, evicted := qt.New(t), testLimits(), map[Group]int{}
	limits.Bytes = 1200
	b := NewBudget(limits)
	arrive := func(group Group) bool {
		r := b.Begin(nil, 0, func() { evicted[group]++ })
		b.Expect(r, group, 200)
		return receive(b, r, 100, 0)
	}
	for range 5 {
		c.Assert(arrive("crowd"), qt.IsTrue)
	}
	for _, want := range []bool{true, true, false} {
		c.Assert(arrive("ordinary"), qt.Equals, want)
	}
	c.Assert(arrive("crowd"), qt.IsFalse)
	c.Assert(evicted, qt.DeepEquals, map[Group]int{"crowd": 2})
}

// A fast beginning must not excuse a pause, nor one byte now and then.
func TestLagFollowsTheLeastRate(t *testing.T) {
	c, b := qt.New(t), NewBudget(testLimits())
	r := b.Begin(nil, 0, func() {})
	b.Arrived(r, 10000, 0)
	c.Check(r.Lag(3*time.Second), qt.Equals, 3*time.Second)
	for now := time.Second; now <= 10*time.Second; now += time.Second {
		b.Arrived(r, 1, now)
	}
	c.Check(r.Lag(10*time.Second), qt.Equals, 9900*time.Millisecond)
	c.Check(b.Deadline(r), qt.Equals, 5100*time.Millisecond)
	b.Excuse(r, 2*time.Second)
	c.Check(b.Deadline(r), qt.Equals, 7100*time.Millisecond)
}

// modelRequest is a request in a random order of events.
type modelRequest struct {
	*Request
	size, used int64
	announced  bool
	whole      bool
}

// anyOrder drives a budget with requests in any order, and then lets all of them go on.
func anyOrder(t *rapid.T) {
	limits := testLimits()
	b, now := NewBudget(limits), time.Duration(0)
	var open []*modelRequest
	var growing *modelRequest
	check := func() {
		total, large, used := int64(0), int64(0), int64(0)
		for _, r := range open {
			if r.Evicted() {
				continue
			}
			used += r.used
			if total += r.charged; r.charged > limits.SmallBytes {
				large += r.charged
			}
		}
		if used > total || total != b.Held() || total > limits.Bytes || large != b.large || large > limits.LargestRequest() {
			t.Fatalf("holds %d, %d large; counted %d, %d, used %d", b.Held(), b.large, total, large, used)
		}
	}
	begin := func() {
		r := &modelRequest{size: rapid.Int64Range(1, limits.LargestRequest()).Draw(t, "size")}
		r.Request = b.Begin(nil, now, func() {
			if r.whole {
				t.Fatal("a whole request was evicted")
			}
			if r.Lag(now) > limits.Patience {
				return
			}
			if r.group == growing.group && (r.pace(now)*paceFactor >= growing.pace(now) || growing.whole) {
				t.Fatal("a request that keeps the rate was evicted for one of its group that is not faster")
			}
			if r.group != growing.group && b.byGroup[r.group] <= b.byGroup[growing.group] {
				t.Fatal("a request that keeps the rate was evicted for a group that holds more")
			}
		})
		r.announced = rapid.Bool().Draw(t, "announced")
		size := int64(-1)
		if r.announced {
			size = r.size
		}
		b.Expect(r.Request, Group(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")), size)
		open = append(open, r)
	}
	grow := func(r *modelRequest, n int64) bool {
		growing = r
		n = min(n, r.size-r.used)
		if r.Evicted() || r.whole || !receive(b, r.Request, n, now) {
			if !r.Evicted() && r.announced && r.charged > limits.SmallBytes {
				t.Fatal("a large request that was let in is refused")
			}
			b.End(r.Request)
			return false
		}
		if r.used += n; r.used == r.size {
			r.whole = true
			b.Whole(r.Request)
		}
		return true
	}
	pick := func() *modelRequest { return open[rapid.IntRange(0, len(open)-1).Draw(t, "request")] }
	begin()
	for range rapid.IntRange(1, 40).Draw(t, "events") {
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0:
			begin()
		case 1, 2:
			if r := pick(); !r.whole {
				grow(r, rapid.Int64Range(1, 400).Draw(t, "bytes"))
			}
		case 3:
			now += time.Duration(rapid.Int64Range(0, 3000).Draw(t, "ms")) * time.Millisecond
		case 4:
			b.End(pick().Request)
		case 5:
			// Responses also need memory.
			if r := pick(); r.whole && !r.Evicted() {
				growing = r
				if n := rapid.Int64Range(1, 100).Draw(t, "response"); b.Grow(r.Request, n, now) {
					r.used += n
				}
			}
		}
		check()
	}
	// Whole requests end; of those that are arriving, one at least can finish.
	var arriving []*modelRequest
	for _, r := range open {
		if r.whole {
			b.End(r.Request)
		} else if !r.Evicted() {
			arriving = append(arriving, r)
		}
	}
	finished := len(arriving) == 0
	for len(arriving) > 0 {
		i := rapid.IntRange(0, len(arriving)-1).Draw(t, "next")
		r := arriving[i]
		if !grow(r, 100) || r.whole {
			finished = finished || r.whole
			arriving = append(arriving[:i:i], arriving[i+1:]...)
		}
		now += 10 * time.Millisecond
		check()
	}
	if !finished {
		t.Fatal("no request could finish")
	}
}

// Two half-read bodies must not keep each other from finishing, and no memory may be lost.
func TestAnyOrderOfRequests(t *testing.T) { rapid.Check(t, anyOrder) }

func FuzzAnyOrderOfRequests(f *testing.F) { f.Fuzz(rapid.MakeFuzz(anyOrder)) }

func TestConnectionsAtTheBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		phases []Phase
		// stalled is true if the first connection's request is stalled.
		stalled bool
		at      time.Duration
		// replaced is the connection that a new one replaces; -1 if the new one is refused.
		replaced int
	}{
		{"waiting before idle", []Phase{PhaseIdle, PhaseWaiting, PhaseActive}, false, 0, 1},
		{"longest waiting", []Phase{PhaseActive, PhaseWaiting, PhaseWaiting}, false, 0, 1},
		{"closing before waiting", []Phase{PhaseWaiting, PhaseActive, PhaseClosing}, false, 0, 2},
		{"idle", []Phase{PhaseActive, PhaseActive, PhaseIdle}, false, 0, 2},
		{"all in use", []Phase{PhaseActive, PhaseActive, PhaseActive}, false, time.Minute, -1},
		{"stalled request", []Phase{PhaseActive, PhaseActive, PhaseActive}, true, time.Minute, 0},
		{"caller that just began to read", []Phase{PhaseActive, PhaseSending, PhaseActive}, false, 400 * time.Millisecond, -1},
		{"caller that does not read", []Phase{PhaseActive, PhaseSending, PhaseActive}, false, time.Second, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, connections, closed := qt.New(t), NewConnections(testLimits()), -1
			var opened []*Connection
			for n, phase := range test.phases {
				conn, _, ok := connections.Open(ListenerCallers, nil, 0, func() { closed = n })
				c.Assert(ok, qt.IsTrue)
				connections.SetPhase(conn, phase, 0)
				opened = append(opened, conn)
			}
			_, _, ok := connections.Open(ListenerPublic, nil, test.at, func() {})
			c.Assert(ok, qt.IsTrue, qt.Commentf("listeners share their bound"))
			var stalled *Connection
			if test.stalled {
				stalled = opened[0]
			}
			_, replaced, ok := connections.Open(ListenerCallers, stalled, test.at, func() {})
			c.Assert(ok, qt.Equals, test.replaced >= 0)
			if replaced != nil {
				replaced.Close()
				c.Check(connections.Remove(replaced), qt.IsFalse)
				connections.SetPhase(replaced, PhaseIdle, 0)
			}
			c.Check(closed, qt.Equals, test.replaced)
			c.Check(connections.Count(ListenerCallers), qt.Equals, 3)
		})
	}
}

func TestLimitsFollowFromTheHost(t *testing.T) {
	const mib = 1 << 20
	for _, host := range []Host{
		{Memory: 16 * mib, Descriptors: 64}, {Memory: 128 * mib, Descriptors: 1024}, {Memory: 152 * mib, Descriptors: 2048},
		{Memory: 184 * mib, Descriptors: 4100}, {Memory: 284 * mib, Descriptors: 4100}, {Memory: 536 * mib, Descriptors: 8192},
		{Memory: 64 << 30, Descriptors: 1 << 20},
	} {
		c, l := qt.New(t), LimitsOf(host)
		connections := 0
		for _, n := range l.Connections {
			connections += n
		}
		t.Logf("%d MiB, %d descriptors: %+v", host.Memory/mib, host.Descriptors, l)
		c.Check(16*connections <= 9*host.Descriptors, qt.IsTrue, qt.Commentf("connections to servers get the rest"))
		c.Check(l.SmallBytes <= l.Reserve, qt.IsTrue)
		if host.Memory >= 128*mib {
			c.Check(calmBytes+l.Bytes+int64(connections)*connectionBytes <= host.Memory*4/5, qt.IsTrue, qt.Commentf("%+v", l))
			c.Check(l.LargestRequest() >= 8*mib, qt.IsTrue, qt.Commentf("%+v", l))
		}
	}
}
