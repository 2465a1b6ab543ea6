package distribution_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
)

const chunks = 256

// A set of weights must reach any number of hosts in little more than the time
// it takes one link to carry it.
func TestWeightsReachAllHostsNearLinkSpeed(t *testing.T) {
	c := qt.New(t)
	ticks := map[int]int{}
	for _, hosts := range []int{16, 64, 128} {
		s := newSwarm(hosts, 1, chunks)
		ticks[hosts] = s.run(10 * chunks)
		t.Logf("%d hosts: %d ticks for %d chunks, %.2f copies", hosts, ticks[hosts], chunks, s.copies())
		c.Assert(s.complete(), qt.IsTrue)
		c.Assert(s.copies(), qt.Equals, 1.0)
		c.Assert(float64(ticks[hosts]) <= 1.25*chunks, qt.IsTrue)
	}
	c.Assert(float64(ticks[128]) <= 1.15*float64(ticks[16]), qt.IsTrue)
}

// Sending a chunk to a site more than once fills the slow links between sites.
func TestEachChunkIsSentToEachSiteOnce(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(48, 3, chunks)
	s.run(10 * chunks)
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.crossSite, qt.Equals, 2*chunks)
}

// Hosts that fail during a transfer, whether root, relay or leaf, must neither
// stop it nor multiply the load on the origin.
func TestTransferCompletesWhenHostsFail(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(40, 1, chunks)
	s.run(chunks / 4)
	for i := range 4 {
		s.hosts[i*9].dead = true
	}
	ticks := s.run(10 * chunks)
	t.Logf("%d more ticks, %.2f copies", ticks, s.copies())
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.copies() <= 1.25, qt.IsTrue)
	c.Assert(float64(ticks) <= 1.6*chunks, qt.IsTrue)
}

// Hosts whose links stall silently still look alive and must not stop the
// transfer.
func TestTransferCompletesWhenLinksStall(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(40, 1, chunks)
	s.hosts[3].silent = true
	s.hosts[20].silent = true
	ticks := s.run(10 * chunks)
	t.Logf("%d ticks, %.2f copies", ticks, s.copies())
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.copies() <= 1.25, qt.IsTrue)
}

// A host with faulty memory sends only corrupt chunks. Its children must not
// keep requesting chunks from it.
func TestCorruptPeerIsAvoided(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(40, 1, chunks)
	s.hosts[5].corrupt = true
	ticks := s.run(10 * chunks)
	c.Assert(s.corruptChunks <= 4*len(s.hosts), qt.IsTrue, qt.Commentf("%d corrupt chunks", s.corruptChunks))
	t.Logf("%d ticks, %.2f copies", ticks, s.copies())
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.copies() <= 1.25, qt.IsTrue)
	c.Assert(float64(ticks) <= 1.6*chunks, qt.IsTrue)
}

// A host that restarts empty after all others are complete must fetch from
// peers and not from the origin.
func TestLateJoinerFetchesFromPeers(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(20, 1, chunks)
	s.run(10 * chunks)
	fetchesBefore := s.originFetches
	late := s.join(s.order[4], chunks-1)
	s.run(10 * chunks)
	c.Assert(late.planner.Complete(), qt.IsTrue)
	c.Assert(s.originFetches, qt.Equals, fetchesBefore)
}

// A root slower than the others must still fetch its chunks from the origin. If
// it assumed that others took them over, all hosts would wait for a takeover.
func TestSlowRootFetchesFromOrigin(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(2, 1, chunks)
	slow := s.hosts[0]
	slow.planner.ObserveHighest(chunks-1, s.now)
	for i := 0; ; i++ {
		fetch, ok, _ := slow.planner.Next(s.now)
		if !ok {
			break
		}
		if fetch.Reason == distribution.ReasonRoot {
			return
		}
		c.Assert(i < chunks, qt.IsTrue)
	}
	c.Fatal("the root fetches nothing from the origin")
}

// During an origin outage the roots must not overload the origin with retries,
// and they must resume afterwards.
func TestTransferResumesAfterOriginOutage(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(20, 1, chunks)
	s.run(chunks / 4)
	s.originDown = true
	s.run(chunks)
	c.Assert(s.complete(), qt.IsFalse)
	s.originDown = false
	s.run(10 * chunks)
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.copies() <= 1.5, qt.IsTrue, qt.Commentf("%.2f copies", s.copies()))
}

// With a very slow origin, a host must not open a connection for each of its
// chunks at once.
func TestOriginFetchesAreLimited(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(1, 1, chunks)
	host := s.hosts[0]
	fetches := 0
	for range chunks {
		s.now = s.now.Add(s.config.TakeoverTimeout)
		if _, ok, _ := host.planner.Next(s.now); ok {
			fetches++
		}
	}
	c.Assert(fetches, qt.Equals, s.config.OriginWindow)
}

// The chunks of a root that cannot reach the origin must be taken over, and by
// few hosts.
func TestRootCannotReachOrigin(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(20, 1, chunks)
	s.hosts[4].originUnreachable = true
	ticks := s.run(6 * chunks)
	t.Logf("%d ticks, %.2f copies", ticks, s.copies())
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.copies() <= 1.25, qt.IsTrue, qt.Commentf("%.2f copies", s.copies()))
}

// A transfer at full link speed delays the first tokens of live requests.
func TestBandwidthLimitDuringLiveRequests(t *testing.T) {
	c := qt.New(t)
	limit := distribution.BandwidthLimit{Capacity: 1000, Share: distribution.DefaultBandwidthShare}
	c.Assert(limit.Rate(3) < 1000, qt.IsTrue)
	c.Assert(math.IsInf(limit.Rate(0), 1), qt.IsTrue)
	c.Assert(math.IsInf(distribution.BandwidthLimit{}.Rate(3), 1), qt.IsTrue)
}

// A site that is cut off during a transfer must not block the hosts that fetch
// through it.
func TestTransferCompletesWhenSiteIsCutOff(t *testing.T) {
	c := qt.New(t)
	s := newSwarm(30, 3, chunks)
	s.run(chunks / 4)
	for _, host := range s.hosts {
		host.dead = host.dead || host.peer.Site == "site-1"
	}
	ticks := s.run(10 * chunks)
	t.Logf("%d more ticks, %.2f copies", ticks, s.copies())
	c.Assert(s.complete(), qt.IsTrue)
	c.Assert(s.copies() <= 1.5, qt.IsTrue)
}
