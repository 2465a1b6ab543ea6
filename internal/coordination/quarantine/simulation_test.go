package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// simulation models backend servers that run requests, some of which crash them.
type simulation struct {
	*cluster
	rng     *rand.Rand
	now     time.Duration
	servers []*modelServer
	// processes and next are the numbers of the last process and of the next request.
	processes int
	next      int
	// nextRequest returns the next request that crashes no server.
	nextRequest func() *quarantine.Request
	// onSent and onCrash are called when a request that crashes servers is sent to one, and when it
	// crashes it. They may be nil.
	onSent, onCrash func(r *modelRequest)
	// crashes counts the crashes that requests caused, and sent how often these requests were
	// sent to servers. refused counts the other requests that were refused.
	crashes, sent, refused int
}

type modelServer struct {
	process quarantine.Process
	// downUntil is when the server is up again after its last crash.
	downUntil time.Duration
	running   []*modelRequest
}

type modelRequest struct {
	*quarantine.Request
	entry int
	// begins is when the first event of the answer arrives, of requests with parts.
	begins time.Duration
	begun  bool
	// crashes is true if the request crashes its server 100 ms after it started.
	crashes  bool
	until    time.Duration
	attempts int
}

const (
	step = 50 * ms
	// answerDuration is how long an answer usually takes. restartDuration is how long a server
	// is down after a crash.
	answerDuration  = 1200 * ms
	restartDuration = 3 * time.Second
	// maxRequestAttempts is how often a request that crashes no server is sent: to two servers in each
	// of its caller's two attempts.
	maxRequestAttempts = 4
)

func newSimulation(seed uint64, servers int) *simulation {
	sim := &simulation{cluster: newCluster(8), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, next: 1}
	sim.nextRequest = func() *quarantine.Request { return whole(request(sim.next)) }
	for range servers {
		s := &modelServer{}
		sim.start(s)
		sim.servers = append(sim.servers, s)
	}
	return sim
}

func (sim *simulation) start(s *modelServer) {
	sim.processes++
	*s = modelServer{process: process(sim.processes)}
}

// dispatch sends a request to a server, unless its entry refuses it or no server is up.
func (sim *simulation) dispatch(r *modelRequest) {
	if _, held := sim.tables[r.entry].Held(r.Request, sim.now); held {
		if !r.crashes {
			sim.refused++
		}
		return
	}
	for range 20 {
		s := sim.servers[sim.rng.IntN(len(sim.servers))]
		if sim.now < s.downUntil {
			continue
		}
		r.attempts++
		if len(r.Parts) > 0 {
			r.begun, r.begins = false, sim.now+2*step+time.Duration(sim.rng.Int64N(int64(answerDuration/4)))
		}
		r.until = sim.now + answerDuration/2 + time.Duration(sim.rng.Int64N(int64(answerDuration)))
		if r.crashes {
			sim.sent++
			if sim.onSent != nil {
				sim.onSent(r)
			}
			r.until = sim.now + 2*step
		}
		s.running = append(s.running, r)
		return
	}
}

// crash crashes a server. The requests that it ran are retried.
func (sim *simulation) crash(s *modelServer) {
	inFlight := map[int][]quarantine.Attempt{}
	for _, r := range s.running {
		inFlight[r.entry] = append(inFlight[r.entry], quarantine.Attempt{Request: r.Request, Process: s.process, Begun: r.begun, ClosedByServer: true})
	}
	sim.crashAttempts(s.process, inFlight, sim.now)
	failed := s.running
	sim.start(s)
	s.downUntil = sim.now + restartDuration
	for _, r := range failed {
		if r.attempts == 2 {
			r.entry = sim.rng.IntN(len(sim.tables))
		}
		if !r.crashes && r.attempts < maxRequestAttempts || r.crashes && r.attempts < 2 {
			sim.dispatch(r)
		}
	}
}

// run runs the simulation until a time, with perServer requests per server in flight.
func (sim *simulation) run(until time.Duration, perServer int) {
	for ; sim.now < until; sim.now += step {
		inFlight := 0
		for _, s := range sim.servers {
			inFlight += len(s.running)
		}
		for ; inFlight < perServer*len(sim.servers); inFlight++ {
			sim.dispatch(&modelRequest{Request: sim.nextRequest(), entry: sim.rng.IntN(len(sim.tables))})
			sim.next++
		}
		for _, s := range sim.servers {
			sim.step(s)
		}
		sim.advance(sim.now)
	}
}

func (sim *simulation) step(s *modelServer) {
	remaining := s.running[:0]
	crashed := false
	for _, r := range s.running {
		if len(r.Parts) > 0 && !r.begun && !r.crashes && sim.now >= r.begins {
			r.begun = true
			sim.tables[r.entry].RecordBegun(r.Request, sim.now)
		}
		switch {
		case sim.now < r.until:
			remaining = append(remaining, r)
		case r.crashes:
			remaining, crashed = append(remaining, r), true
			if sim.onCrash != nil {
				sim.onCrash(r)
			}
		default:
			sim.tables[r.entry].RecordAnswer(r.Fingerprint, sim.now)
		}
	}
	s.running = remaining
	if crashed {
		sim.crashes++
		sim.crash(s)
	}
}

// holds returns the number of requests that are held.
func (sim *simulation) holds() int {
	n := 0
	for _, report := range sim.tables[0].HoldReports(sim.now) {
		n += len(report.Holds)
	}
	return n
}

// maxWronglyHeld is the share of requests that may be held although they crash no server,
// while most servers crash for other reasons. These are requests of which every attempt was
// at a server that crashed in this way.
const maxWronglyHeld = 1e-4

// Requests must not be held because they share a server with a request that crashes it. Such
// a request is sent 15 times, two a second, at any entry. No other request may be refused,
// even while 15 of 24 servers crash for other reasons, five in a row.
func TestUninvolvedRequestsAreNotHeld(t *testing.T) {
	for _, otherCrashes := range []int{0, 5} {
		for _, perServer := range []int{1, 8, 32} {
			t.Run(fmt.Sprintf("%d requests a server, %d ends in a row", perServer, otherCrashes), func(t *testing.T) {
				held, sent := 0, 0
				// The number of requests is the same for each value of perServer.
				for seed := range uint64(20 * 32 / perServer) {
					sim := newSimulation(seed, 24)
					sim.repeatCrash(perServer, otherCrashes)
					qt.Assert(t, sim.refused, qt.Equals, 0, qt.Commentf("seed %d", seed))
					qt.Assert(t, sim.crashes <= 6, qt.IsTrue, qt.Commentf("seed %d: %d servers crashed", seed, sim.crashes))
					qt.Assert(t, sim.held(request(0), sim.now), qt.Equals, 8)
					held, sent = held+sim.holds()-1, sent+sim.next
				}
				qt.Assert(t, float64(held) <= maxWronglyHeld*float64(sent), qt.IsTrue, qt.Commentf("%d of %d", held, sent))
				qt.Assert(t, otherCrashes > 0 || held == 0, qt.IsTrue)
			})
		}
	}
}

// repeatCrash sends a request that crashes servers 15 times.
func (sim *simulation) repeatCrash(perServer, otherCrashes int) {
	sim.run(3*time.Second, perServer)
	for n := range 15 {
		sim.dispatch(&modelRequest{Request: whole(request(0)), entry: sim.rng.IntN(8), crashes: true})
		for range otherCrashes * (n % 5 / 4) {
			sim.crash(sim.servers[sim.rng.IntN(len(sim.servers))])
			sim.run(sim.now+100*ms, perServer)
		}
		sim.run(sim.now+500*ms, perServer)
	}
}

// A lookup that all callers of an organisation send is in flight at each server, and so at
// each crash. It must not be held, because servers answer it. The crashes are those of another
// request that is sent repeatedly, and of a rack of six servers that fails at once.
func TestPopularRequestIsNotHeld(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed, 24)
		popular := request(2_000_000)
		sim.run(2*time.Second, 4)
		for n := range 40 {
			for range 8 {
				sim.dispatch(&modelRequest{Request: whole(popular), entry: sim.rng.IntN(8)})
			}
			if n%3 == 0 {
				sim.dispatch(&modelRequest{Request: whole(request(0)), entry: sim.rng.IntN(8), crashes: true})
			}
			if n == 20 {
				for _, s := range sim.servers[:6] {
					sim.crash(s)
				}
			}
			sim.run(sim.now+200*ms, 4)
		}
		qt.Assert(t, sim.refused, qt.Equals, 0, qt.Commentf("seed %d", seed))
		qt.Assert(t, sim.held(popular, sim.now), qt.Equals, 0, qt.Commentf("seed %d", seed))
		qt.Assert(t, sim.held(request(0), sim.now), qt.Equals, 8)
		qt.Assert(t, sim.crashes <= 8, qt.IsTrue, qt.Commentf("seed %d: %d servers crashed", seed, sim.crashes))
	}
}

// Two different requests that crash servers are sent at the same time, five a second in total.
// Both must be held, and none of the other requests may be refused.
func TestTwoRequestsThatCrashServersAreHeld(t *testing.T) {
	held, sent := 0, 0
	for seed := range uint64(100) {
		sim := newSimulation(seed, 24)
		sim.run(2*time.Second, 8)
		for range 15 {
			for n := range 2 {
				sim.dispatch(&modelRequest{Request: whole(request(1_000_000 + n)), entry: sim.rng.IntN(8), crashes: true})
			}
			sim.run(sim.now+400*ms, 8)
		}
		qt.Assert(t, sim.refused, qt.Equals, 0, qt.Commentf("seed %d", seed))
		qt.Assert(t, sim.crashes <= 12, qt.IsTrue, qt.Commentf("seed %d: %d servers crashed", seed, sim.crashes))
		held, sent = held+sim.holds()-2, sent+sim.next
	}
	qt.Assert(t, float64(held) <= maxWronglyHeld*float64(sent), qt.IsTrue, qt.Commentf("%d of %d", held, sent))
}
