package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
)

const drafter = routing.Target("drafter")

func newRouter(seed uint64, hosts int) *routing.Router {
	r := routing.New(routing.DefaultConfig(), "bilbao", "basque-country", rand.New(rand.NewPCG(seed, 1)))
	for i := range hosts {
		h := filbertlever.Host{ID: id(i), Site: "bilbao", Region: "basque-country"}
		r.SetHost(h, true)
		r.SetTargets(h.ID, []routing.Target{drafter})
		r.Report(h.ID, routing.Load{Sequence: 1, Concurrency: 8, Incarnation: "life"})
	}
	return r
}

func id(i int) filbertlever.HostID { return filbertlever.HostID(fmt.Sprint("model-", i)) }

// Requests go to busy hosts although another one is idle.
func TestChoosesIdleHost(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 3)
	for i := range 2 {
		r.Report(id(i), routing.Load{Sequence: 2, Running: 8, Queued: 20, Concurrency: 8, PredictedWait: 5 * time.Second, Incarnation: "life"})
	}
	for range 5 {
		c.Assert(r.Choose(&routing.Request{Target: drafter, PromptTokens: 100}).Host, qt.Equals, id(2))
	}
}

// A request goes to a host that serves another model or none.
func TestChoosesOnlyHostsServingTheTarget(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 3)
	r.SetTargets(id(0), nil)
	r.SetTargets(id(1), []routing.Target{"other"})
	for range 10 {
		c.Assert(r.Choose(&routing.Request{Target: drafter}).Host, qt.Equals, id(2))
	}
	c.Assert(r.Choose(&routing.Request{Target: "missing"}).Reason, qt.Equals, routing.ReasonNoHost)
}

// Requests go to a host that is unusable, or again to a host where they failed.
func TestIneligibleHostsAreNotChosen(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 3)
	r.SetHost(filbertlever.Host{ID: id(0)}, false)
	for range 20 {
		choice := r.Choose(&routing.Request{Target: drafter, Avoid: []filbertlever.HostID{id(1)}})
		c.Assert(choice.Host, qt.Equals, id(2))
	}
	choice := r.Choose(&routing.Request{Target: drafter, Avoid: []filbertlever.HostID{id(1), id(2)}})
	c.Assert(choice.Host, qt.Equals, filbertlever.HostID(""))
}

// All but one of many hosts are unusable, and random sampling misses the remaining one.
func TestFindsTheOnlyEligibleHost(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 500)
	for i := range 499 {
		r.SetHost(filbertlever.Host{ID: id(i)}, false)
	}
	c.Assert(r.Choose(&routing.Request{Target: drafter}).Host, qt.Equals, id(499))
}

// All entries send all their requests to the host that was idle in the latest
// report, and the requests queue there.
func TestEntriesDoNotOverloadOneIdleHost(t *testing.T) {
	c := qt.New(t)
	const hosts, entries, requests = 16, 8, 20
	load := map[filbertlever.HostID]int{}
	routers := make([]*routing.Router, entries)
	for e := range routers {
		routers[e] = newRouter(uint64(e), hosts)
		for i := 1; i < hosts; i++ {
			routers[e].Report(id(i), routing.Load{Sequence: 2, Running: 2, Concurrency: 8, Incarnation: "life"})
		}
	}
	for range requests {
		for _, r := range routers {
			load[r.Choose(&routing.Request{Target: drafter, PromptTokens: 100}).Host]++
		}
	}
	mean := float64(entries*requests) / hosts
	for host, n := range load {
		c.Assert(float64(n) <= 3*mean, qt.IsTrue, qt.Commentf("%s got %d of a mean of %.1f", host, n, mean))
	}
}

// An older report that arrives late restores outdated load.
func TestOlderReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 2)
	r.Report(id(0), routing.Load{Sequence: 9, Running: 8, Queued: 50, Concurrency: 8, Incarnation: "life"})
	r.Report(id(0), routing.Load{Sequence: 8, Concurrency: 8, Incarnation: "life"})
	c.Assert(r.Choose(&routing.Request{Target: drafter}).Host, qt.Equals, id(1))
}

// A host that was chosen but not used counts as busy from then on.
func TestCancelledChoiceIsNotCounted(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 1)
	for range 40 {
		r.Cancel(r.Choose(&routing.Request{Target: drafter}).Host)
	}
	r.Report(id(0), routing.Load{Sequence: 2, Concurrency: 8, Incarnation: "life"})
	c.Assert(r.Choose(&routing.Request{Target: drafter}).QueuePosition, qt.Equals, -7)
}

// A report that was made before the last requests arrived makes the host look
// idle, and it gets more requests.
func TestUnreportedRequestsAreCounted(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 1)
	for range 40 {
		r.Choose(&routing.Request{Target: drafter})
	}
	r.Report(id(0), routing.Load{Sequence: 2, Running: 8, Queued: 2, Concurrency: 8, Incarnation: "life", Received: 10})
	r.SetHost(filbertlever.Host{ID: "model-9", Site: "bilbao", Region: "basque-country"}, true)
	r.SetTargets("model-9", []routing.Target{drafter})
	r.Report("model-9", routing.Load{Sequence: 1, Running: 8, Queued: 20, Concurrency: 8, Incarnation: "life"})
	c.Assert(r.Choose(&routing.Request{Target: drafter}).Host, qt.Equals, filbertlever.HostID("model-9"))
}

// Requests with the same long prefix go to different hosts, and each one prefills it again.
func TestPrefixIsRoutedToItsCache(t *testing.T) {
	c := qt.New(t)
	request := &routing.Request{Target: drafter, Prefix: routing.PrefixHash("hauler-1", "a long clause"), PromptTokens: 4000}
	first := newRouter(1, 64).Choose(request)
	r := newRouter(2, 64)
	r.Choose(request)
	again := r.Choose(request)
	c.Assert(again.Reason, qt.Equals, routing.ReasonPrefixCached)
	c.Assert([]filbertlever.HostID{first.Candidates[0].Host, first.Candidates[1].Host}, qt.Contains, again.Host)
}

// One organisation can infer from the speed of an answer what another one asked.
func TestPrefixesDoNotCrossOrganisations(t *testing.T) {
	c := qt.New(t)
	c.Assert(routing.PrefixHash("hauler-1", "clause"), qt.Not(qt.Equals), routing.PrefixHash("hauler-2", "clause"))
	c.Assert(routing.PrefixHash("a", "bc"), qt.Not(qt.Equals), routing.PrefixHash("ab", "c"))
}

// Choosing a host allocates memory.
func TestChooseDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 2700)
	request := &routing.Request{Target: drafter, Prefix: 77, PromptTokens: 500}
	c.Assert(testing.AllocsPerRun(1000, func() { r.Choose(request) }), qt.Equals, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, hosts := range []int{16, 256, 2700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			r := newRouter(1, hosts)
			request := &routing.Request{Target: drafter, PromptTokens: 500}
			b.ReportAllocs()
			for b.Loop() {
				request.Prefix++
				r.Choose(request)
			}
		})
	}
}

// Three hosts that serve a model report to a few of 460 entries, and the others
// refuse requests for it; or the reports of an agent exceed their bandwidth.
func TestReportsReachEnoughEntries(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		entries, agents, count int
		interval               time.Duration
	}{
		{8, 16, 8, time.Second},
		{460, 2200, 8, time.Second},
		{460, 200, 74, 3083333333},
		{460, 3, 460, 19166666666},
		{0, 0, 0, time.Second},
	} {
		count, interval := routing.ReportPlan(test.entries, test.agents, time.Second)
		c.Assert(count, qt.Equals, test.count)
		c.Assert(interval, qt.Equals, test.interval)
	}
}

// During a rolling version change, long answers that began shortly before were interrupted and resumed
// on another host, and those interrupted twice were lost. Short answers end in time and may still use
// the host.
func TestLongAnswersAvoidHostsDueForInterruption(t *testing.T) {
	c := qt.New(t)
	config := routing.DefaultConfig()
	config.InterruptCost = 150 * time.Millisecond
	const interrupted, available filbertlever.HostID = "leaving", "staying"
	tests := []struct {
		name           string
		answerDuration time.Duration
		lastAttempt    bool
		waiting        int
		want           filbertlever.HostID
		willInterrupt  bool
	}{
		{"a short answer", 300 * time.Millisecond, false, 8, interrupted, false},
		{"a long answer", 2 * time.Second, false, 8, available, false},
		{"a long answer, but the other host has a long queue", 2 * time.Second, false, 20, interrupted, true},
		{"the last attempt", 2 * time.Second, true, 20, available, false},
		{"an answer of unknown length", 0, false, 8, interrupted, false},
	}
	for _, test := range tests {
		r := routing.New(config, "a", "ra", rand.New(rand.NewPCG(1, 2)))
		for _, id := range []filbertlever.HostID{interrupted, available} {
			r.SetHost(filbertlever.Host{ID: id, Site: "a", Region: "ra"}, true)
			r.SetTargets(id, []routing.Target{"m"})
			r.SetOtherRequests(id, 0, 16, 0)
		}
		r.SetOtherRequests(available, test.waiting, 16, 0)
		r.SetInterruptAt(interrupted, 11*time.Second)
		choice := r.Choose(&routing.Request{Target: "m", Now: 10 * time.Second, AnswerDuration: test.answerDuration, LastAttempt: test.lastAttempt})
		c.Check(choice.Host, qt.Equals, test.want, qt.Commentf(test.name))
		c.Check(choice.WillInterrupt, qt.Equals, test.willInterrupt, qt.Commentf(test.name))
	}
}

// Streams are cut off, as their last attempt is placed on a host that interrupts it although another one
// stays for longer.
func TestLastAttemptPrefersTheHostThatStaysLongest(t *testing.T) {
	for _, stays := range []time.Duration{time.Second, 1500 * time.Millisecond, 3 * time.Second} {
		c := qt.New(t)
		config := routing.DefaultConfig()
		config.InterruptCost = 150 * time.Millisecond
		r := routing.New(config, "a", "ra", rand.New(rand.NewPCG(1, 2)))
		for id, leavesIn := range map[filbertlever.HostID]time.Duration{"leaving": 500 * time.Millisecond, "staying": stays} {
			r.SetHost(filbertlever.Host{ID: id, Site: "a", Region: "ra"}, true)
			r.SetTargets(id, []routing.Target{"m"})
			r.SetInterruptAt(id, 10*time.Second+leavesIn)
		}
		r.SetOtherRequests("leaving", 4, 16, 0)
		r.SetOtherRequests("staying", 12, 16, 0)
		choice := r.Choose(&routing.Request{Target: "m", Now: 10 * time.Second, AnswerDuration: 2 * time.Second, LastAttempt: true})
		c.Check(choice.Host, qt.Equals, filbertlever.HostID("staying"), qt.Commentf("%v", stays))
	}
}

// All entries became available at once and each considered the engines idle. Twelve prompts reached
// each engine at the same time, and all answers were late. The prompts of other entries must count
// towards the prefill backlog.
func TestPrefillOfOtherRoutersIsCounted(t *testing.T) {
	c := qt.New(t)
	config := routing.DefaultConfig()
	config.TypicalPrefill = 30 * time.Millisecond
	r := routing.New(config, "a", "ra", rand.New(rand.NewPCG(1, 2)))
	for _, id := range []filbertlever.HostID{"busy", "free"} {
		r.SetHost(filbertlever.Host{ID: id, Site: "a", Region: "ra"}, true)
		r.SetTargets(id, []routing.Target{"m"})
	}
	now := 10 * time.Second
	r.SetOtherRequests("busy", 8, 16, now)
	r.SetOtherRequests("free", 8, 16, 0)
	choice := r.Choose(&routing.Request{Target: "m", PromptTokens: 900, Now: now})
	c.Assert(choice.Host, qt.Equals, filbertlever.HostID("free"))
	c.Assert(choice.PrefillWait, qt.Equals, time.Duration(0))
	choice = r.Choose(&routing.Request{Target: "m", PromptTokens: 900, Now: now, Avoid: []filbertlever.HostID{"free"}})
	c.Assert(choice.PrefillWait, qt.Equals, 240*time.Millisecond)
	// Fewer requests of other routers add nothing to the prefill backlog.
	r.SetOtherRequests("busy", 2, 16, now+time.Second)
	choice = r.Choose(&routing.Request{Target: "m", PromptTokens: 900, Now: now + time.Second, Avoid: []filbertlever.HostID{"free"}})
	c.Assert(choice.PrefillWait, qt.Equals, time.Duration(0))
}

// A prompt is sent to a host that cached its prefix, but a new process runs there now. The caches,
// counts and bias of the previous process no longer apply.
func TestResetHostDropsStateOfPreviousProcess(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 4)
	request := &routing.Request{Target: drafter, Prefix: 7, PromptTokens: 1000, Now: time.Second}
	owners := r.Choose(request).Candidates
	request.Avoid = []filbertlever.HostID{owners[0].Host, owners[1].Host}
	first := r.Choose(request)
	r.SetInterruptAt(first.Host, time.Minute)
	r.Observe(first.Host, 0, time.Second, time.Second)
	other := owners[0].Host
	for i := range 4 {
		if id(i) != first.Host {
			request.Avoid = append(request.Avoid, id(i))
			other = id(i)
		}
	}
	r.ResetHost(other)
	c.Assert(r.Choose(request).Predicted > first.Predicted, qt.IsTrue)
	r.ResetHost(first.Host)
	request.AnswerDuration = time.Hour
	again := r.Choose(request)
	c.Assert(again.Host, qt.Equals, first.Host, qt.Commentf("targets are set separately"))
	c.Assert(again.Predicted, qt.Equals, first.Predicted)
	c.Assert(again.WillInterrupt, qt.IsFalse)
	c.Assert(again.PrefillWait, qt.Equals, time.Duration(0))
	c.Assert(again.Reason, qt.Equals, routing.ReasonLeastPredicted)
}

// A request that only some regions may run goes to a host elsewhere, or misses the few hosts of
// its region among many others.
func TestRequestStaysInItsRegions(t *testing.T) {
	c := qt.New(t)
	r := newRouter(1, 500)
	r.SetHost(filbertlever.Host{ID: id(7), Region: "asturias"}, true)
	for range 20 {
		c.Assert(r.Choose(&routing.Request{Target: drafter, Regions: filbertlever.Regions{"asturias"}}).Host, qt.Equals, id(7))
	}
	c.Assert(r.Choose(&routing.Request{Target: drafter, Regions: filbertlever.Regions{}}).Reason, qt.Equals, routing.ReasonNoHost)
}
