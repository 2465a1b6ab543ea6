package contention

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func newController(levels int) *Controller { return New(levels, slots, rand.New(rand.NewPCG(1, 1))) }

// ordered reports whether the most urgent level is served, no level less often than a less urgent one
// by over a tolerance, and none less often than the floor, a share of how often all are served.
func ordered(shares [4]float64, urgent, tolerance, floor float64) bool {
	return shares[0] > urgent && shares[1] < shares[0]+tolerance && shares[2] < shares[1]+tolerance && min(shares[1], shares[2]) > floor*shares[3]
}

// Urgent callers are refused as often as others, a level starves, or over a tenth of those who were
// served without reserves is refused. At 2.5 times the capacity the most urgent level alone asks for more
// than there is.
func TestOverloadIsServedByUrgency(t *testing.T) {
	for _, m := range []model{{}, {retries: [3]int{3, 3, 3}}} {
		for _, load := range []float64{0.9, 1.05, 1.3, 1.6, 2.5} {
			urgent := 0.95
			if load > 2 {
				urgent = 0.7
			}
			m.load, m.uncontrolled = load, true
			before, _ := m.run(10*time.Second, 70*time.Second)
			m.uncontrolled = false
			after, _ := m.run(10*time.Second, 70*time.Second)
			t.Logf("retries %v, load %.2f: before %.3f, after %.3f", m.retries, load, before, after)
			qt.Check(t, ordered(after, urgent, 0.05, 0.9/3) && after[3] > 0.9*before[3], qt.IsTrue)
			qt.Check(t, load > 1 || after[2] > before[2]-0.03, qt.IsTrue)
		}
	}
}

// The order of the levels, the floor or the use of the capacity depends on the load, on how often callers
// return, or on what entries know of each other.
func TestOrderAndFloorAtAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model{load: rapid.Float64Range(0.5, 3).Draw(t, "load"), partitioned: rapid.Bool().Draw(t, "partitioned"), seed: rapid.Uint64().Draw(t, "seed")}
		if rapid.Bool().Draw(t, "return") {
			m.retries = [3]int{1, 1, 1}
		}
		shares, _ := m.run(5*time.Second, 25*time.Second)
		if !ordered(shares, 0, 0.05, 0.25) || shares[3]*max(m.load, 1) < 0.85 {
			t.Fatalf("served %.3f", shares)
		}
	})
}

// Urgent callers are refused while demand or capacity changes, or less urgent ones give way long after the
// overload.
func TestChangingLoads(t *testing.T) {
	for name, m := range map[string]model{
		"a step to 1.6 times the capacity for 8 s": {load: 1.6},
		"oscillating demand":                       {load: 1.6, oscillates: true},
		"a third of the servers lost":              {load: 0.9, lost: servers / 3},
	} {
		shares, last := m.run(10*time.Second, 18*time.Second)
		t.Logf("%s: %.3f", name, shares)
		qt.Check(t, ordered(shares, 0.93, 0.05, 0.25) && !last.Contended, qt.IsTrue, qt.Commentf("%s: %.3f, pressure %.2f", name, shares, last.Pressure))
	}
}

// Callers of the least urgent level who return more often than others are served more often than those of a
// more urgent level, or take the place of the most urgent. If they are seen to return only after a while, this holds
// for few returns.
func TestRetryAbuse(t *testing.T) {
	for seed := range uint64(6) {
		for _, m := range []model{{retries: [3]int{1, 1, 4}}, {retries: [3]int{1, 1, 20}}, {retries: [3]int{1, 1, 4}, recognised: goal * 4 / 10}} {
			m.load, m.seed = 1.6, seed
			shares, _ := m.run(10*time.Second, 18*time.Second)
			qt.Check(t, ordered(shares, 0.9, 0.05, 0.25), qt.IsTrue, qt.Commentf("%d returns, recognised after %v: %.3f", m.retries[2], m.recognised, shares))
		}
	}
}

// Callers of one level who return more often than others starve a less urgent level.
func TestRetriesDoNotStarveOthers(t *testing.T) {
	for seed := range uint64(6) {
		shares, _ := model{load: 1.6, retries: [3]int{1, 20, 1}, seed: seed}.run(10*time.Second, 18*time.Second)
		qt.Check(t, ordered(shares, 0.9, 0.05, 0.25), qt.IsTrue, qt.Commentf("%.3f", shares))
	}
}

// feed lets the most urgent level ask 1,000 times a second, and refuses some of each 10 requests.
func feed(c *Controller, from, to time.Duration, refused int) Status {
	for now := from; now < to; now += time.Millisecond {
		room := Room{Free: slots, Admissible: true}
		if int(now/time.Millisecond)%10 < refused {
			room = Room{Free: -1}
		}
		c.Decide(Request{}, room, now)
	}
	return c.Status(to)
}

// The pressure follows a step too late, never ends, or survives a frozen host.
func TestPressureFollowsRefusals(t *testing.T) {
	c := newController(2)
	qt.Assert(t, feed(c, 0, 200*time.Millisecond, 0).Pressure, qt.Equals, 0.0)
	qt.Assert(t, feed(c, 200*time.Millisecond, 500*time.Millisecond, 5).Pressure > 0, qt.IsTrue)
	qt.Assert(t, feed(c, 500*time.Millisecond, time.Second, 5).Pressure, qt.Equals, 1.0)
	qt.Assert(t, feed(c, time.Second, 6*time.Second, 0).Pressure, qt.Equals, 0.0)
	qt.Assert(t, feed(c, 6*time.Second, 8*time.Second, 5).Pressure, qt.Equals, 1.0)
	qt.Assert(t, c.Contended(9*time.Second+time.Millisecond), qt.IsFalse)
}

// Refusals for other reasons than room make less urgent requests give way, or a resumed process takes the
// counts that waited in its socket for news.
func TestOnlyRecentLackOfRoomIsPressure(t *testing.T) {
	c := newController(2)
	for now := time.Duration(0); now < time.Second; now += time.Millisecond {
		c.Decide(Request{}, Room{Free: 5}, now)
	}
	qt.Assert(t, c.Contended(time.Second), qt.IsFalse)
	resumed := 10 * time.Second
	for i, demand := range []uint64{0, 500} {
		c.ApplyPeer("peer", Demand{Admitted: make([]uint64, 2), Refused: []uint64{demand, 0}, NoRoom: []uint64{demand, 0}}, resumed+time.Duration(i)*time.Millisecond)
	}
	qt.Assert(t, c.Contended(resumed+100*time.Millisecond), qt.IsFalse)
}

// A request must leave another number of slots free than its level, attempts and share imply, shares bind in a
// level that is served, or a level gives way further than a less urgent one.
func TestReserves(t *testing.T) {
	c := newController(3)
	feed(c, 0, 2*time.Second, 5)
	set := func(level, admitted, refused int) {
		n := counts{admitted: float64(admitted), refused: float64(refused)}
		c.served[level], c.floor[level] = n.admitted, n
	}
	set(0, 40, 0)
	set(1, 30, 10)
	set(2, 30, 30)
	c.pressure = 1
	for request, want := range map[Request]float64{
		{}: 0, {Late: true}: 1.2, {Returning: true}: 0, {OverShare: 2}: 0,
		{Level: 1}: 1.2, {Level: 1, Returning: true}: 0.7, {Level: 1, Late: true}: 2.1, {Level: 1, OverShare: 0.4}: 1.4, {Level: 1, OverShare: 3}: 1.7,
		{Level: 2}: 2.1, {Level: 2, Late: true}: 3, {Level: 2, Late: true, OverShare: 3}: 3,
	} {
		_, got := c.reserve(request, request.Level)
		qt.Check(t, got > want-1e-9 && got < want+1e-9, qt.IsTrue, qt.Commentf("%+v: %v", request, got))
	}
	// A level that gives way makes those below it give way too.
	c.yields[1] = 1
	qt.Check(t, c.Status(2*time.Second).Reserves, qt.DeepEquals, []float64{0, 3, 3})
	c.pressure = 0
	qt.Check(t, c.decide(Request{Level: 2, Late: true}, 2, Room{Admissible: true}).Admit, qt.IsTrue)
}

// Counts from before a restart or a pause, or of other levels, raise the pressure.
func TestPeerCounts(t *testing.T) {
	demand := func(levels int, n uint64) Demand {
		return Demand{Admitted: make([]uint64, levels), Refused: slices.Repeat([]uint64{n}, levels), NoRoom: slices.Repeat([]uint64{n}, levels)}
	}
	check := func(name string, before Demand, age time.Duration, counted bool) {
		c := newController(2)
		c.ApplyPeer("peer", before, 0)
		for now := time.Duration(0); now < age; now += 500 * time.Millisecond {
			c.Contended(now)
		}
		c.ApplyPeer("peer", demand(2, 500), age)
		qt.Check(t, c.Contended(age), qt.Equals, counted, qt.Commentf(name))
	}
	check("regular reports", demand(2, 0), 200*time.Millisecond, true)
	check("a restart", demand(2, 1000), 200*time.Millisecond, false)
	check("a pause", demand(2, 0), peerTTL+time.Millisecond, false)
	check("another desired state", demand(3, 0), 200*time.Millisecond, false)
}

// The requests of callers who return are not told from others, or those of an entry of an earlier version, which
// does not tell who returns, are lost.
func TestPeersTellWhoReturns(t *testing.T) {
	for _, returned := range [][]uint64{nil, {2}} {
		c, want := newController(1), counts{admitted: 3, refused: 5, noRoom: 3}
		c.ApplyPeer("peer", Demand{Admitted: []uint64{7}, Refused: []uint64{1}, NoRoom: []uint64{1}}, 0)
		c.ApplyPeer("peer", Demand{Admitted: []uint64{10}, Refused: []uint64{6}, NoRoom: []uint64{4}, Returned: returned}, 200*time.Millisecond)
		if returned != nil {
			want.returned = 2
		}
		qt.Check(t, c.floor[0], qt.Equals, want)
	}
}

// A request is refused although more slots are free than any reserve or admitted although the gate refuses
// it, a less urgent level has a smaller reserve, or a refused caller returns too late for its goal.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels, now := rapid.IntRange(1, 10).Draw(t, "levels"), time.Duration(0)
		c, n := newController(levels), rapid.SliceOfN(rapid.Uint64(), levels, levels)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 1500}).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "peer") == 0 {
				c.ApplyPeer("peer", Demand{Admitted: n.Draw(t, "admitted"), Refused: n.Draw(t, "refused"), NoRoom: n.Draw(t, "no room"), Returned: n.Draw(t, "returned")}, now)
			}
			r := Request{Level: rapid.IntRange(-1, levels).Draw(t, "level"), Late: rapid.Bool().Draw(t, "late"), Returning: rapid.Bool().Draw(t, "returning"), OverShare: rapid.Float64().Draw(t, "over share"), Goal: goal}
			room := Room{Free: rapid.IntRange(0, slots).Draw(t, "free"), Admissible: rapid.IntRange(0, 3).Draw(t, "gate") > 0}
			reserves, d := c.Status(now).Reserves, c.Decide(r, room, now)
			bounded := slices.IsSorted(reserves) && reserves[0] == 0 && max(reserves[levels-1], d.Reserve) <= c.maxReserve+1e-9
			admitted := room.Admissible && (d.Admit || float64(room.Free) <= c.maxReserve+1) || !room.Admissible && !d.Admit
			answered := d.Admit == (d.Reason == ReasonAdmitted) && (d.Admit || d.RetryAfter >= minRetryAfter && d.RetryAfter <= goal*4/10)
			if !bounded || !admitted || !answered {
				t.Fatalf("reserves %v, %+v: %+v", reserves, room, d)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	c, i := newController(10), 0
	b.ReportAllocs()
	for b.Loop() {
		free := i%slots - slots/2
		c.Decide(Request{Level: i % 10, OverShare: 0.5}, Room{Free: free, Admissible: free >= 0}, time.Duration(i)*100*time.Microsecond)
		i++
	}
}
