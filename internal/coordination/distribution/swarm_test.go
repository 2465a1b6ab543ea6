package distribution_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
)

// tick is the time in which a host's link carries one chunk in each direction.
const tick = 10 * time.Millisecond

// longPoll is how many ticks a host holds a peer's request for a chunk that it
// lacks.
const longPoll = 50

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// swarm simulates hosts whose links carry one chunk per tick and an origin that
// carries two.
type swarm struct {
	config        distribution.Config
	chunks        int
	now           time.Time
	ticks         int
	hosts         []*member
	byID          map[filbertlever.HostID]*member
	order         []distribution.Peer
	origin        []*request
	originFetches int
	crossSite     int
	corruptChunks int
	// originDown fails every fetch from the origin.
	originDown bool
}

// member is one host.
type member struct {
	peer    distribution.Peer
	planner *distribution.Planner
	holds   map[int]bool
	// queue holds the requests at this host, oldest first.
	queue []*request
	// A dead host refuses requests, a silent one accepts them and never
	// answers, and a corrupt one sends wrong bytes.
	dead, silent, corrupt bool
	// originUnreachable fails the host's fetches from the origin.
	originUnreachable bool
	doneAt            int
}

// request is a fetch in flight.
type request struct {
	from  *member
	fetch distribution.Fetch
	// start is the tick in which the fetch began.
	start int
}

// newSwarm returns hosts spread evenly over sites, none of which holds a chunk.
func newSwarm(hosts, sites, chunks int) *swarm {
	config := distribution.DefaultConfig()
	config.TakeoverTimeout = 20 * tick
	config.Backoff = 50 * tick
	s := &swarm{config: config, chunks: chunks, now: epoch, byID: map[filbertlever.HostID]*member{}}
	for i := range hosts {
		s.order = append(s.order, distribution.Peer{ID: filbertlever.HostID(fmt.Sprint("model-", i)), Site: fmt.Sprint("site-", i%sites)})
	}
	for _, peer := range s.order {
		s.join(peer, -1)
	}
	return s
}

// join adds a host that knows the highest chunk fetched so far.
func (s *swarm) join(peer distribution.Peer, highest int) *member {
	m := &member{peer: peer, planner: distribution.New(s.config, peer, s.chunks, s.order, highest, s.now), holds: map[int]bool{}}
	s.hosts = append(s.hosts, m)
	s.byID[peer.ID] = m
	return m
}

// run steps until every live host is complete or maxTicks have passed, and
// returns the number of ticks.
func (s *swarm) run(maxTicks int) int {
	for s.ticks = 0; s.ticks < maxTicks && !s.complete(); s.ticks++ {
		s.step()
	}
	return s.ticks
}

// complete reports whether every live host holds all chunks.
func (s *swarm) complete() bool {
	for _, m := range s.hosts {
		if !m.dead && !m.silent && !m.planner.Complete() {
			return false
		}
	}
	return true
}

// step advances the simulation by one tick.
func (s *swarm) step() {
	s.now = s.now.Add(tick)
	for _, m := range s.hosts {
		if !m.dead {
			s.start(m)
		}
	}
	received := map[*member]bool{}
	for range 2 {
		s.origin = s.serveOrigin(s.origin, received)
	}
	for _, m := range s.hosts {
		if !m.dead && !m.silent {
			s.serve(m, received)
		}
		m.queue = s.expire(m)
	}
}

// start begins all fetches that a host's planner allows now.
func (s *swarm) start(m *member) {
	for {
		fetch, ok, _ := m.planner.Next(s.now)
		if !ok {
			return
		}
		r := &request{from: m, fetch: fetch, start: s.ticks}
		if fetch.Source.Kind != distribution.SourcePeer {
			if s.originDown || m.originUnreachable || fetch.Source.Kind == distribution.SourceStore {
				m.planner.Failed(fetch.Chunk, distribution.FailureError, s.now)
				continue
			}
			s.origin = append(s.origin, r)
			continue
		}
		source := s.byID[fetch.Source.Host]
		if source == nil || source.dead {
			m.planner.Failed(fetch.Chunk, distribution.FailureError, s.now)
			continue
		}
		m.planner.ObserveHighest(source.planner.Highest(), s.now)
		source.queue = append(source.queue, r)
	}
}

// serveOrigin serves one request at the origin and returns the remaining ones.
func (s *swarm) serveOrigin(queue []*request, received map[*member]bool) []*request {
	for i, r := range queue {
		if r.from.dead {
			continue
		}
		if received[r.from] {
			continue
		}
		received[r.from] = true
		s.originFetches++
		s.deliver(r, false)
		return append(queue[:i:i], queue[i+1:]...)
	}
	return queue
}

// serve sends at most one chunk from a host to a peer.
func (s *swarm) serve(m *member, received map[*member]bool) {
	uploads := distribution.UploadQueue{}
	ready := map[uint64]*request{}
	for i, r := range m.queue {
		if m.holds[r.fetch.Chunk] && !received[r.from] && !r.from.dead {
			ready[uint64(i)] = r
			uploads.Submit(distribution.Upload{ID: uint64(i), Chunk: r.fetch.Chunk, Descendants: r.fetch.Descendants})
		}
	}
	next, ok := uploads.Done()
	if !ok {
		return
	}
	r := ready[next.ID]
	received[r.from] = true
	if m.peer.Site != r.from.peer.Site {
		s.crossSite++
	}
	r.from.planner.ObserveHighest(m.planner.Highest(), s.now)
	m.queue = slices.Delete(m.queue, int(next.ID), int(next.ID)+1)
	s.deliver(r, m.corrupt)
}

// deliver ends a request with the chunk or with corrupt bytes.
func (s *swarm) deliver(r *request, corrupt bool) {
	if corrupt {
		s.corruptChunks++
		r.from.planner.Failed(r.fetch.Chunk, distribution.FailureCorrupt, s.now)
		return
	}
	r.from.holds[r.fetch.Chunk] = true
	r.from.planner.Done(r.fetch.Chunk, s.now)
	if r.from.planner.Complete() {
		r.from.doneAt = s.ticks
	}
}

// expire ends requests at dead hosts with an error, and those that waited for
// too long: a live host that lacks the chunk reports it as unavailable, and a
// silent one stalls.
func (s *swarm) expire(m *member) []*request {
	var remaining []*request
	for _, r := range m.queue {
		switch {
		case m.dead:
			r.from.planner.Failed(r.fetch.Chunk, distribution.FailureError, s.now)
		case m.silent && s.ticks-r.start > longPoll:
			r.from.planner.Failed(r.fetch.Chunk, distribution.FailureStalled, s.now)
		case !m.silent && s.ticks-r.start > longPoll && !m.holds[r.fetch.Chunk]:
			r.from.planner.ObserveHighest(m.planner.Highest(), s.now)
			r.from.planner.Failed(r.fetch.Chunk, distribution.FailureNotAvailable, s.now)
		default:
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// copies returns how many times the set was fetched from the origin.
func (s *swarm) copies() float64 { return float64(s.originFetches) / float64(s.chunks) }
