package contention

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/filbertlever/filbertlever"
)

const (
	tick                    = 5 * time.Millisecond
	entries, servers, slots = 15, 28, 12
	slotUse, goal           = 1200 * time.Millisecond, time.Second
	// Every viewTicks an entry learns the requests at all servers; every demandTicks it sends its demand.
	viewTicks, demandTicks = 15, 40
)

// model is a service of servers with a queue, and of entries with delayed views of them. In a period
// it is loaded; before and after it, demand is 0.7 times the capacity.
type model struct {
	// load is the demand as a multiple of the capacity of all servers, of which some may be lost; in
	// every other second it is 0.7 if it oscillates.
	load       float64
	lost       int
	oscillates bool
	// Refused callers return this often, by level; from the fourth time on they ignore Retry-After.
	// Misjudged ones are taken for returning ones at once.
	retries                              [3]int
	misjudged, partitioned, uncontrolled bool
	seed                                 uint64
	// Callers are seen to return if they have waited for longer than this.
	recognised time.Duration

	rng         *rand.Rand
	controllers []*Controller
	views       [entries][servers]int
	ends        [servers][]time.Duration
	back        map[time.Duration][]caller
}

type caller struct {
	level, attempt int
	arrived        time.Duration
}

// run returns the share of the callers that arrived in a period who were served, by level and of all,
// and the status of an entry 15 s after the period.
func (m model) run(from, to time.Duration) (shares [4]float64, last Status) {
	m.rng, m.back = rand.New(rand.NewPCG(m.seed, 2)), map[time.Duration][]caller{}
	for range entries {
		m.controllers = append(m.controllers, New(3, slots, m.rng))
	}
	var asked [4]float64
	due := 0.0
	for i := range int((to + 15*time.Second) / tick) {
		now := time.Duration(i) * tick
		for s := range m.ends {
			m.ends[s] = slices.DeleteFunc(m.ends[s], func(end time.Duration) bool { return end <= now })
			m.views[i%viewTicks][s] = len(m.ends[s])
		}
		for to, c := range m.controllers {
			if from := i % demandTicks; from < entries && to != from && !m.partitioned {
				c.ApplyPeer(filbertlever.HostID(rune(from)), m.controllers[from].Demand(), now)
			}
		}
		load, alive, callers := 0.7, servers, m.back[now]
		if now >= from && now < to {
			alive -= m.lost
			if !m.oscillates || now/time.Second%2 == 0 {
				load = m.load
			}
		}
		for due += load * servers * slots * tick.Seconds() / slotUse.Seconds(); due > 0; due -= m.rng.ExpFloat64() {
			callers = append(callers, caller{arrived: now, level: sort.SearchFloat64s([]float64{0.43, 0.66}, m.rng.Float64())})
		}
		for _, c := range callers {
			served := m.attempt(c, alive, now)
			if c.arrived < from || c.arrived >= to {
				continue
			}
			for _, i := range []int{c.level, 3} {
				if c.attempt == 0 {
					asked[i]++
				}
				if served {
					shares[i]++
				}
			}
		}
	}
	for i := range shares {
		shares[i] /= asked[i]
	}
	return shares, m.controllers[0].Status(to + 15*time.Second)
}

// attempt reports whether a caller is served.
func (m *model) attempt(c caller, alive int, now time.Duration) bool {
	entry, waited := m.rng.IntN(entries), now-c.arrived
	view := &m.views[entry]
	best := slices.MinFunc(m.rng.Perm(alive)[:8], func(a, b int) int { return view[a] - view[b] })
	free := slots - view[best] - 1
	d := Decision{Admit: free >= 0, RetryAfter: 30 * time.Millisecond}
	if !m.uncontrolled {
		r := Request{Level: c.level, Returning: (c.attempt > 0 && waited > m.recognised || m.misjudged) && waited <= goal, Late: waited > goal, Goal: goal}
		d = m.controllers[entry].Decide(r, Room{Free: free, Admissible: free >= 0}, now)
	}
	if d.Admit {
		view[best]++
		start, ends := now, m.ends[best]
		if slices.Sort(ends); len(ends) >= slots {
			start = ends[len(ends)-slots]
		}
		m.ends[best] = append(ends, start+time.Duration(m.rng.ExpFloat64()*float64(slotUse)))
	} else if c.attempt++; c.attempt <= m.retries[c.level] {
		if c.attempt > 3 {
			d.RetryAfter = 30 * time.Millisecond
		}
		at := (now + d.RetryAfter + tick - 1).Truncate(tick)
		m.back[at] = append(m.back[at], c)
	}
	return d.Admit
}
