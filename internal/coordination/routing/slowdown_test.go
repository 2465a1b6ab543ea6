package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

// chooseByCost is the choice of a router that knows neither slowdowns nor free memory.
func chooseByCost(r *Router, request *Request) Choice {
	var choice Choice
	p := r.pools[request.Target]
	best, owner, bestCost := int32(-1), int32(-1), time.Duration(0)
	consider := func(i int32) {
		if choice.CandidateCount == maxCandidates || !r.eligible(i, request) || slices.ContainsFunc(choice.Candidates[:choice.CandidateCount], func(c Candidate) bool { return c.Host == r.hosts[i].id }) {
			return
		}
		h, prefill := &r.hosts[i], float64(request.PromptTokens)
		if i == owner || r.prefixCached(i, request.Prefix) {
			prefill *= 1 - r.config.PrefixShare
		}
		predicted := time.Duration(prefill*float64(r.config.PrefillPerToken)) + max(h.prefillUntil-request.Now, 0) + h.currentBias(request.Now) + r.config.FirstToken + r.predictWait(h)
		interrupt := h.interruptAt > request.Now && request.AnswerDuration > 0 && request.Now+predicted+request.AnswerDuration > h.interruptAt
		cost := predicted + r.interruptCost(h, request, predicted, interrupt)
		if h.suspect {
			cost += r.config.SuspectCost
		}
		choice.Candidates[choice.CandidateCount] = Candidate{h.id, predicted}
		choice.CandidateCount++
		if best < 0 || cost < bestCost {
			best, bestCost, choice.Predicted, choice.WillInterrupt = i, cost, predicted, interrupt
		}
	}
	if request.Prefix != 0 {
		first, second := p.owners(request.Prefix)
		owner = first
		consider(first)
		consider(second)
	}
	r.sample(r.hostsIn(p, request.Regions), consider, &choice.CandidateCount)
	choice.Host, choice.QueuePosition, choice.Reason = r.hosts[best].id, r.hosts[best].queuePosition(), ReasonLeastPredicted
	if best == owner || r.prefixCached(best, request.Prefix) {
		choice.Reason = ReasonPrefixCached
	}
	choice.PrefillWait = max(r.hosts[best].prefillUntil-request.Now, 0)
	r.recordSent(best, request.Prefix)
	r.hosts[best].prefillUntil = max(r.hosts[best].prefillUntil, request.Now) + time.Duration(request.PromptTokens)*r.config.PrefillPerToken
	return choice
}

func drawRequest(t *rapid.T, now time.Duration) *Request {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	return &Request{Target: "m", Prefix: rapid.Uint64Range(0, 9).Draw(t, "prefix"), PromptTokens: rapid.IntRange(0, 4000).Draw(t, "prompt"), AnswerTokens: rapid.IntRange(0, 600).Draw(t, "answer"),
		AnswerDuration: ms("duration", 9000), Remaining: ms("remaining", 9000), MaxEventGap: ms("gap", 600), LastAttempt: rapid.Bool().Draw(t, "last"), Now: now}
}

// An installation whose servers are equally fast must not notice that slowdowns are known: the choices and
// the random numbers used must be the same as without.
func TestChoiceIsUnchangedWithoutSlowHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, hosts := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 30).Draw(t, "hosts")
		got, want := newTestRouter("", hosts, rand.New(rand.NewPCG(seed, 1))), newTestRouter("", hosts, rand.New(rand.NewPCG(seed, 1)))
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			i, n := rapid.IntRange(0, hosts-1).Draw(t, "host"), rapid.IntRange(0, 20).Draw(t, "n")
			id := testHost(i).ID
			for _, r := range []*Router{got, want} {
				switch n % 5 {
				case 0:
					r.SetOtherRequests(id, n, testSlots, now)
				case 1:
					r.SetSuspect(id, n > 10)
				case 2:
					r.SetInterruptAt(id, now+time.Duration(n)*100*time.Millisecond)
				case 3:
					r.Observe(id, 0, time.Duration(n)*10*time.Millisecond, now)
				case 4:
					r.Release(id)
				}
			}
			got.SetSlowdown(id, rapid.Float64Range(-1, 1.2499).Draw(t, "slowdown"))
			got.SetFreeMemory(id, rapid.SampledFrom([]int{-1, 4600}).Draw(t, "free"))
			request := drawRequest(t, now)
			if a, b := got.Choose(request), chooseByCost(want, request); a != b {
				t.Fatalf("got %+v, want %+v", a, b)
			}
		}
		if got.rng.Uint64() != want.rng.Uint64() {
			t.Fatal("different random numbers were used")
		}
	})
}

// Requests gathered at a slow server, or ended there after their deadline, while another server had a free
// slot. A slow server must not hold more than its limit nor get such a request if another candidate is free.
func TestSlowHostKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 8).Draw(t, "hosts")
		r := newTestRouter("", hosts, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		for i := range hosts {
			r.SetOtherRequests(testHost(i).ID, rapid.IntRange(0, 14).Draw(t, "requests"), testSlots, 0)
			r.Observe(testHost(i).ID, 0, time.Duration(rapid.IntRange(0, 4000).Draw(t, "late"))*time.Millisecond, time.Second)
			r.SetSlowdown(testHost(i).ID, rapid.SampledFrom([]float64{0, 1, 2.5, 16, math.Inf(1), math.NaN()}).Draw(t, "slowdown"))
		}
		request := drawRequest(t, time.Second)
		choice := r.Choose(request)
		chosen := &r.hosts[r.index[choice.Host]]
		overLimit := chosen.isSlow() && chosen.requests() > r.speedLimit(chosen.slowdown, request.MaxEventGap)
		overdue := chosen.isSlow() && request.Remaining > 0 && choice.Predicted+chosen.scale(request.AnswerDuration) > request.Remaining
		candidates := choice.Candidates[:choice.CandidateCount]
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return r.hosts[r.index[c.Host]].isSlow() }) {
			return
		}
		for _, c := range candidates {
			other := &r.hosts[r.index[c.Host]]
			if free := other != chosen && other.requests() < testSlots; free && (!other.isSlow() && (overLimit || overdue) || choice.QueuePosition > 0) {
				t.Fatalf("%+v chosen while %s was free", choice, c.Host)
			}
		}
	})
}

// Slow servers were chosen as if they were fast. Each case holds for one rule of the choice between an idle
// server that is 2.5 times as slow, first token 282 ms, and one whose first tokens came late, 713 ms.
func TestSlowHostAgainstLateHost(t *testing.T) {
	second := time.Second
	for name, test := range map[string]struct {
		request          Request
		slowBusy, inline int
		backlog          time.Duration
		region, want     string
	}{
		"first token":                   {want: "m0"},
		"half of the additional time":   {request: Request{AnswerDuration: 570 * time.Millisecond}, want: "m0"},
		"more than half of it":          {request: Request{AnswerDuration: 580 * time.Millisecond}, want: "m1"},
		"ends before its deadline":      {request: Request{AnswerDuration: second / 2, Remaining: 1532 * time.Millisecond}, want: "m0"},
		"ends after its deadline":       {request: Request{AnswerDuration: second / 2, Remaining: 1531 * time.Millisecond}, want: "m1"},
		"deadline, but the other full":  {request: Request{AnswerDuration: second / 2, Remaining: second}, inline: 12, want: "m0"},
		"within its limit":              {request: Request{MaxEventGap: 120 * time.Millisecond}, slowBusy: 3, want: "m0"},
		"over its limit":                {request: Request{MaxEventGap: 120 * time.Millisecond}, slowBusy: 4, want: "m1"},
		"limit, the other elsewhere":    {request: Request{MaxEventGap: 120 * time.Millisecond}, slowBusy: 4, inline: 11, region: "rb", want: "m0"},
		"limit, the other with prompts": {request: Request{MaxEventGap: 120 * time.Millisecond}, slowBusy: 4, backlog: 101 * time.Millisecond, want: "m0"},
	} {
		r, now := newTestRouter("", 2, rand.New(rand.NewPCG(1, 1))), time.Minute
		r.config.OtherRegionMargin = 2
		if test.region != "" {
			r.hosts[1].region = test.region
		}
		r.SetOtherRequests("m0", test.slowBusy, testSlots, 0)
		r.SetOtherRequests("m1", test.inline, testSlots, 0)
		r.hosts[1].prefillUntil = now + test.backlog
		r.Observe("m1", 0, 2*time.Second, now)
		r.SetSlowdown("m0", 2.5)
		test.request.Target, test.request.PromptTokens, test.request.Now = "m", meanPrompt, now
		choice := r.Choose(&test.request)
		qt.Check(t, string(choice.Host), qt.Equals, test.want, qt.Commentf("%s", name))
		if name == "first token" {
			qt.Check(t, choice.Predicted, qt.Equals, 282*time.Millisecond)
			r.SetOtherRequests("m0", 1, testSlots, now)
			qt.Check(t, r.hosts[0].prefillUntil-now, qt.Equals, 2*72*time.Millisecond)
		}
	}
}

// The gap at an engine like the measured ones (58 to 68 ms, 150 to 190 ms at a slowdown of 2.5) must be
// predicted, so that a limit neither idles a slow server nor stretches the gaps of its answers.
func TestSpeedLimit(t *testing.T) {
	r := newTestRouter("", 1, nil)
	for _, test := range []struct {
		slowdown float64
		gap      time.Duration
		want     int
	}{{1, 60 * time.Millisecond, 12}, {2.5, 150 * time.Millisecond, 12}, {2.5, 120 * time.Millisecond, 4}, {2.5, 100 * time.Millisecond, 1}, {16, 300 * time.Millisecond, 1}, {2.5, 0, math.MaxInt}} {
		qt.Check(t, r.speedLimit(test.slowdown, test.gap), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func BenchmarkChooseUneven(b *testing.B) {
	r := newTestRouter("", 2700, rand.New(rand.NewPCG(1, 1)))
	for i := range 2700 {
		r.SetSlowdown(testHost(i).ID, slowShare(2.5)(i, 0))
		r.SetFreeMemory(testHost(i).ID, i*10)
	}
	request := &Request{Target: "m", PromptTokens: 900, AnswerTokens: 119, AnswerDuration: time.Second, Remaining: testDeadline, MaxEventGap: 300 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		request.Now += time.Millisecond
		request.Prefix++
		r.Release(r.Choose(request).Host)
	}
}

// A request that was refused at a server with free slots stays in its backlog of prompts, so that the server
// looks busy to those who may use the slots.
func TestWithdrawnRequestLeavesNoBacklog(t *testing.T) {
	c := qt.New(t)
	for _, slowdown := range []float64{1, 2.5} {
		r := New(Config{PrefillPerToken: time.Millisecond}, "a", "ra", rand.New(rand.NewPCG(1, 1)))
		r.SetHost(filbertlever.Host{ID: "h", Site: "a", Region: "ra"}, true)
		r.SetTargets("h", []Target{"m"})
		r.SetSlowdown("h", slowdown)
		request := &Request{Target: "m", PromptTokens: 100, Now: time.Second}
		first := r.Choose(request)
		r.Withdraw("h", request.PromptTokens)
		again := r.Choose(request)
		c.Check(again.PrefillWait, qt.Equals, first.PrefillWait)
		c.Check(again.QueuePosition, qt.Equals, first.QueuePosition)
	}
}
