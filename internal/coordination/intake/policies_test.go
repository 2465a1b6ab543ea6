package intake

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// comparePolicies makes TestPoliciesBesideCrowds play all policies and more seeds, for the table of design 24.
var comparePolicies = flag.Bool("policies", false, "compare all policies")

// memory is what a policy of the model decides on. Budget is one.
type memory interface {
	Begin(connection *Connection, now time.Duration, evict func()) *Request
	Expect(r *Request, group Group, size int64)
	Arrived(r *Request, n int64, now time.Duration)
	Grow(r *Request, n int64, now time.Duration) bool
	Whole(r *Request)
	End(r *Request)
	Deadline(r *Request) time.Duration
}

// simplePolicy is a policy that was weighed. victim chooses among the requests that are arriving, of which
// there is at least one; nil refuses the request that needs memory.
type simplePolicy struct {
	*Budget
	limit  int64
	victim func(arriving []*Request, r *Request, now time.Duration) *Request
}

func (p *simplePolicy) Grow(r *Request, n int64, now time.Duration) bool {
	for !r.evicted && p.total+n > p.limit {
		others := slices.DeleteFunc(slices.Clone(p.arriving), func(other *Request) bool { return other == r || other.held == 0 })
		var victim *Request
		if len(others) > 0 {
			victim = p.victim(others, r, now)
		}
		if victim == nil {
			return false
		}
		p.remove(victim)
		victim.evicted = true
		victim.evict()
	}
	if !r.evicted {
		r.held += n
		p.charge(r, n)
	}
	return !r.evicted
}

// modelPolicies are the policies in the order of the table in the design note.
func modelPolicies(limits Limits) []struct {
	name string
	new  func() memory
} {
	simple := func(limit int64, victim func([]*Request, *Request, time.Duration) *Request) func() memory {
		return func() memory { return &simplePolicy{Budget: NewBudget(limits), limit: limit, victim: victim} }
	}
	first := func([]*Request, *Request, time.Duration) *Request { return nil }
	largest := func(arriving []*Request, _ *Request, _ time.Duration) *Request {
		return slices.MaxFunc(arriving, func(a, b *Request) int { return int(a.held - b.held) })
	}
	slowest := func(arriving []*Request, r *Request, now time.Duration) *Request {
		victim := slices.MinFunc(arriving, func(a, b *Request) int { return int(a.pace(now) - b.pace(now)) })
		if victim.pace(now) < r.pace(now) {
			return victim
		}
		return nil
	}
	behind := func(arriving []*Request, _ *Request, now time.Duration) *Request {
		victim := slices.MaxFunc(arriving, func(a, b *Request) int { return int(a.Lag(now) - b.Lag(now)) })
		if victim.Lag(now) > limits.Patience {
			return victim
		}
		return nil
	}
	share := func(arriving []*Request, r *Request, now time.Duration) *Request {
		held := map[Group]int64{}
		for _, other := range arriving {
			held[other.group] += other.held
		}
		if held[r.group] >= limits.Bytes/4 {
			return nil
		}
		return largest(arriving, r, now)
	}
	return []struct {
		name string
		new  func() memory
	}{
		{"first come", simple(limits.Bytes, first)},
		{"the largest is evicted", simple(limits.Bytes, largest)},
		{"the slowest is evicted", simple(limits.Bytes, slowest)},
		{"the one behind is evicted", simple(limits.Bytes, behind)},
		{"a quarter for each organisation", simple(limits.Bytes, share)},
		{"chosen", func() memory { return NewBudget(limits) }},
	}
}

// modelClient sends requests one after the other.
type modelClient struct {
	size int64
	// step is how much arrives in each interval.
	step     int64
	interval time.Duration
	// stays is true if the client does not send the last byte and waits.
	stays bool
	group Group
	// pause is the time between two requests, and serving how long a whole one is held.
	pause, serving time.Duration

	current        *Request
	received       int64
	next, begun    time.Duration
	ends           time.Duration
	requests, done int
	delay          time.Duration
}

// advance lets the client act.
func (m *modelClient) advance(p memory, now time.Duration) {
	switch {
	case m.current != nil && m.ends > 0:
		if now >= m.ends {
			p.End(m.current)
			m.current, m.next = nil, now+m.pause
			m.done++
			m.delay += now - m.begun
			m.begun = 0
		}
	case m.current != nil && (m.current.Evicted() || now > p.Deadline(m.current)):
		m.refused(p, now)
	case now < m.next:
	case m.current == nil:
		m.current, m.received, m.ends = p.Begin(nil, now, func() {}), 0, 0
		p.Expect(m.current, m.group, m.size)
		if m.begun == 0 {
			m.begun = now
			m.requests++
		}
	case m.stays && m.received == m.size-1:
	default:
		n := min(m.step, m.size-m.received)
		if m.stays {
			n = min(n, m.size-1-m.received)
		}
		if !p.Grow(m.current, n, now) {
			m.refused(p, now)
			return
		}
		p.Arrived(m.current, n, now)
		m.received += n
		m.next = now + m.interval
		if m.received == m.size {
			p.Whole(m.current)
			m.ends = now + m.serving
		}
	}
}

// refused lets the client come back for the same request.
func (m *modelClient) refused(p memory, now time.Duration) {
	const retryAfter = 300 * time.Millisecond
	p.End(m.current)
	m.current, m.next = nil, now+retryAfter
}

// Compares policies for the memory of bodies, in virtual time, beside crowds of clients that do not behave.
// The table is part of design 24.
func TestPoliciesBesideCrowds(t *testing.T) {
	const (
		kib, mib  = 1 << 10, 1 << 20
		duration  = 60 * time.Second
		crowdSize = 200
	)
	seeds := 1
	if *comparePolicies {
		seeds = 5
	}
	limits := LimitsOf(Host{Memory: 284 * mib, Descriptors: 4100})
	for _, crowd := range []struct {
		name   string
		client modelClient
	}{
		{"none", modelClient{}},
		{"at once, cut short", modelClient{size: 4 * mib, step: 4 * mib, interval: 10 * time.Millisecond, stays: true}},
		{"64 KiB each 30 ms, cut short", modelClient{size: 4 * mib, step: 64 * kib, interval: 30 * time.Millisecond, stays: true}},
		{"20 KB/s", modelClient{size: 4 * mib, step: 2000, interval: 100 * time.Millisecond}},
		{"small, cut short", modelClient{size: 40 * kib, step: 40 * kib, interval: 10 * time.Millisecond, stays: true}},
		{"at once, cut short, of another organisation", modelClient{size: 4 * mib, step: 4 * mib, interval: 10 * time.Millisecond, stays: true, group: "crowd"}},
		{"64 KiB each 30 ms, of another organisation", modelClient{size: 4 * mib, step: 64 * kib, interval: 30 * time.Millisecond, stays: true, group: "crowd"}},
		{"whole, held for 5 s", modelClient{size: 4 * mib, step: 4 * mib, interval: 10 * time.Millisecond, serving: 5 * time.Second}},
	} {
		for _, policy := range modelPolicies(limits) {
			if !*comparePolicies && policy.name != "chosen" {
				continue
			}
			var small, large, slow modelClient
			for seed := range seeds {
				rng, p := rand.New(rand.NewPCG(uint64(seed), 1)), policy.new()
				ordinary := []*modelClient{
					{size: 2 * kib, step: 2 * kib, interval: 10 * time.Millisecond, pause: 20 * time.Millisecond, serving: 100 * time.Millisecond},
					{size: 4 * mib, step: 16 * kib, interval: 10 * time.Millisecond, pause: 500 * time.Millisecond, serving: 100 * time.Millisecond},
					{size: mib, step: 10 * kib, interval: 100 * time.Millisecond, pause: 500 * time.Millisecond, serving: 100 * time.Millisecond},
				}
				clients := slices.Clone(ordinary)
				for range crowdSize {
					if crowd.client.size > 0 {
						c := crowd.client
						c.next = time.Duration(rng.Int64N(int64(time.Second)))
						clients = append(clients, &c)
					}
				}
				for now := time.Millisecond; now < duration; now += 10 * time.Millisecond {
					rng.Shuffle(len(clients), func(i, j int) { clients[i], clients[j] = clients[j], clients[i] })
					for _, c := range clients {
						c.advance(p, now)
					}
				}
				for i, sum := range []*modelClient{&small, &large, &slow} {
					sum.requests += ordinary[i].requests
					sum.done += ordinary[i].done
					sum.delay += ordinary[i].delay
				}
			}
			mean := func(m modelClient) time.Duration {
				return (m.delay / time.Duration(max(m.done, 1))).Round(10 * time.Millisecond)
			}
			t.Logf("| %s | %s | %d of %d, %v | %d of %d, %v | %d of %d, %v |", crowd.name, policy.name, small.done, small.requests, mean(small),
				large.done, large.requests, mean(large), slow.done, slow.requests, mean(slow))
			if policy.name == "chosen" {
				qt.Check(t, small.done >= small.requests-seeds, qt.IsTrue, qt.Commentf("small requests are kept out: %d of %d", small.done, small.requests))
			}
		}
	}
}
