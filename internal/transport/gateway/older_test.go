package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

const (
	switchoverModel   = "drafter"
	switchoverService = "models"
	switchoverBackend = "server-1"
	// switchoverBound is the bound of a version on the largest installation that was met.
	switchoverBound = 10300 * time.Millisecond
	// switchoverNamedAt is when the version was named that the server lacks.
	switchoverNamedAt = 20 * time.Second
	// engineQueueSize is how many requests an engine queues beyond its slots.
	engineQueueSize = 24
)

// simulatedRequest is one attempt at the modelled engine.
type simulatedRequest struct {
	prompt int
	// arrivesAt is when the server has the request, and closes when it learns that the
	// entry has closed the connection; 0 if it never does.
	arrivesAt, closedAt time.Duration
	startedAt           time.Duration
	promptRead          int
}

// simulatedEngine works in passes as the engines do: the prompts of those who wait are read
// in order, a pass that has begun is finished, and whoever has been read whole begins
// at its end. It drops who has closed, but only between two passes.
type simulatedEngine struct {
	*catalog.Engine
	requests []*simulatedRequest
}

// run lets the engine work until a time.
func (m *simulatedEngine) run(until time.Duration) {
	answer := time.Duration(m.UsualAnswer) * m.Step
	for now := switchoverNamedAt; now < until; {
		var ready []*simulatedRequest
		running := 0
		for _, r := range m.requests {
			switch {
			case r.startedAt != 0 && now < r.startedAt+answer:
				running++
			case r.startedAt == 0 && r.arrivesAt <= now && (r.closedAt == 0 || now < r.closedAt):
				ready = append(ready, r)
			}
		}
		ready = ready[:min(len(ready), max(m.Slots-running, 0))]
		left, tokens := m.Stride*m.Chunk, 0
		for _, r := range ready {
			part := min(r.prompt-r.promptRead, left-tokens)
			r.promptRead += part
			tokens += part
		}
		now += max(time.Duration(m.Stride)*m.Step+time.Duration(tokens)*m.PromptToken, time.Millisecond)
		for _, r := range ready {
			if r.promptRead == r.prompt {
				r.startedAt = now
			}
		}
	}
}

// waitingRequests is how many requests the engine has at a time that have not begun.
func (m *simulatedEngine) waitingRequests(now time.Duration) int {
	n := 0
	for _, r := range m.requests {
		if r.arrivesAt <= now && (r.closedAt == 0 || now < r.closedAt) && (r.startedAt == 0 || r.startedAt > now) {
			n++
		}
	}
	return n
}

// newTypicalEngine is an engine as the installations have it: a pass that reads all it can
// takes half a second.
func newTypicalEngine() *catalog.Engine {
	return &catalog.Engine{Slots: 12, Step: 7 * time.Millisecond, Stride: 7, PromptToken: 32680 * time.Nanosecond, Chunk: 2048,
		UsualPrompt: 965, UsualAnswer: 121, Models: []string{switchoverModel}}
}

// newSwitchoverEntry is an entry that knows one server, which holds version 2 of the versions 2
// and 3 that are named.
func newSwitchoverEntry(engine *catalog.Engine, seed uint64) *Gateway {
	rng := rand.New(rand.NewPCG(seed, 1))
	config := fleet.DefaultConfig()
	config.Site, config.Region, config.Regions = "a", "ra", map[string]string{"a": "ra"}
	g := &Gateway{crashes: newCrashes(), config: Config{Bound: switchoverBound}, fleet: fleet.New(config, rng), gate: admission.DefaultEntryGate(), rng: rng,
		named: map[string][]named{switchoverModel: {{version: 2, namedAt: switchoverNamedAt - 2*time.Second}, {version: 3, namedAt: switchoverNamedAt}}}}
	state := catalog.New(1, nil, []catalog.Service{{Name: switchoverService, Engine: engine}}, nil, catalog.Limits{})
	g.state.Store(state)
	g.fleet.SetState(state, switchoverNamedAt)
	g.fleet.SetNamed(switchoverModel, []uint64{2, 3}, switchoverNamedAt)
	g.fleet.Apply([]catalog.Backend{{ID: switchoverBackend, Boot: 1, Revision: 1, Service: switchoverService, Address: "10.0.0.1:1", Site: "a",
		Slots: engine.Slots, Models: []catalog.Model{{Name: switchoverModel, Version: 2}}}}, nil, true, switchoverNamedAt)
	return g
}

// newSwitchoverAttempt is a request of a caller, or an answer under way that goes on.
func newSwitchoverAttempt(g *Gateway, prompt int, resumed bool) *attempts {
	route := &catalog.Route{Kind: catalog.KindStream, Resumable: true, Attempts: 2, Goal: 400 * time.Millisecond, Pause: 300 * time.Millisecond}
	a := &attempts{exchange: &exchange{gateway: g, route: route, service: switchoverService,
		call: &Call{Model: switchoverModel, PromptTokens: prompt, AnswerTokens: 121}}}
	if resumed {
		a.stream = &eventStream{version: 2}
	}
	return a
}

// send places a request now and puts it on its way. It returns nil if it is not sent.
func (m *simulatedEngine) send(g *Gateway, now time.Duration, prompt int, resumed bool, travel time.Duration) *simulatedRequest {
	a := newSwitchoverAttempt(g, prompt, resumed)
	placement := a.choose(now)
	if !placement.Found {
		return nil
	}
	if m.waitingRequests(now) >= m.Slots+engineQueueSize {
		// Refused at once, and not run.
		g.fleet.Ended(placement.Backend.ID)
		return nil
	}
	r := &simulatedRequest{prompt: prompt, arrivesAt: now + travel}
	if a.beginBy != 0 {
		r.closedAt = a.beginBy + travel
	}
	m.requests = append(m.requests, r)
	return r
}

// latestStart is when the last request began.
func (m *simulatedEngine) latestStart() time.Duration {
	last := time.Duration(0)
	for _, r := range m.requests {
		last = max(last, r.startedAt)
	}
	return last
}

// Requests began on old weights 50 to 190 ms after their bound, some with a whole answer.
// The first server that had the version in force got 83 requests within 80 ms, from
// all entries and from answers that had broken off elsewhere, 1.9 s before the bound of
// the next version. They waited in its queue for up to 1.75 s, and as they had been sent
// more than 1.5 s ahead, nobody took them back.
func TestRequestsSentLongBeforeDeadlineAreCancelled(t *testing.T) {
	c := qt.New(t)
	for _, resumed := range []bool{false, true} {
		engine := &simulatedEngine{Engine: newTypicalEngine()}
		first := switchoverNamedAt + switchoverBound - 1900*time.Millisecond
		for entry := range 12 {
			g := newSwitchoverEntry(engine.Engine, uint64(entry))
			for range 3 {
				engine.send(g, first+time.Duration(entry)*6*time.Millisecond, 1900, resumed, 5*time.Millisecond)
			}
		}
		c.Assert(len(engine.requests) > engine.Slots, qt.IsTrue)
		engine.run(switchoverNamedAt + 2*switchoverBound)
		c.Check(engine.latestStart() <= switchoverNamedAt+switchoverBound, qt.IsTrue, qt.Commentf("resumed %v: the last began %v after the bound", resumed, engine.latestStart()-switchoverNamedAt-switchoverBound))
	}
}

// Callers were told "may have run" 140 ms before the bound, and 50 to 80 ms after it their
// requests began on old weights. Their entry had closed the connection at the last moment.
// The close came 100 ms later, and a pass that had begun to read their prompts was
// finished, which takes up to half a second.
func TestRequestIsCancelledBeforeItsLastPassStarts(t *testing.T) {
	c := qt.New(t)
	bound := switchoverNamedAt + switchoverBound
	for ahead := 200 * time.Millisecond; ahead < 1500*time.Millisecond; ahead += 10 * time.Millisecond {
		engine := &simulatedEngine{Engine: newTypicalEngine()}
		for entry := range 12 {
			engine.send(newSwitchoverEntry(engine.Engine, uint64(entry)), bound-ahead, 1200, false, 100*time.Millisecond)
		}
		engine.run(bound + 2*time.Second)
		c.Check(engine.latestStart() <= bound, qt.IsTrue, qt.Commentf("sent %v ahead: the last began %v after the bound", ahead, engine.latestStart()-bound))
	}
}

// The same for any load, prompts, engines and ways that take up to a fifth of a second,
// as those did that lay behind pieces of weights on a server's link.
func TestNoRequestStartsOnOldWeightsAfterDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := newTypicalEngine()
		engine.Slots = rapid.IntRange(4, 24).Draw(t, "slots")
		engine.Stride = rapid.IntRange(1, 9).Draw(t, "stride")
		engine.Chunk = rapid.SampledFrom([]int{256, 512, 1024, 2048}).Draw(t, "chunk")
		m := &simulatedEngine{Engine: engine}
		bound := switchoverNamedAt + switchoverBound
		var entries []*Gateway
		for entry := range rapid.SampledFrom([]int{1, 4, 12, 24}).Draw(t, "entries") {
			entries = append(entries, newSwitchoverEntry(engine, uint64(entry)))
		}
		aheads := rapid.SliceOfN(rapid.SampledFrom([]int{3000, 2000, 1700, 1600, 1400, 1200, 1000, 800, 700, 600, 400, 200}), 1, 3).Draw(t, "aheads")
		slices.SortFunc(aheads, func(a, b int) int { return b - a })
		travel := time.Duration(rapid.SampledFrom([]int{1, 20, 60, 100, 200}).Draw(t, "travel")) * time.Millisecond
		for burst, ahead := range aheads {
			label := strconv.Itoa(burst)
			each := rapid.IntRange(1, 6).Draw(t, "each"+label)
			prompt := rapid.SampledFrom([]int{40, 700, 1300, 2000, 3880}).Draw(t, "prompt"+label)
			resumed := rapid.Bool().Draw(t, "resumed"+label)
			for i := range each * len(entries) {
				now := bound - time.Duration(ahead-i)*time.Millisecond
				m.send(entries[i%len(entries)], now, prompt, resumed, travel)
			}
		}
		m.run(bound + 6*time.Second)
		if last := m.latestStart(); last > bound {
			t.Fatalf("a request began %v after the bound", last-bound)
		}
	})
}
