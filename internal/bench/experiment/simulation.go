package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

// request is a request of a caller, with all its attempts.
type request struct {
	spec         *Kind
	promptTokens int
	answerTokens int
	// arrivedAt is the time of the first attempt.
	arrivedAt time.Duration
	// attempts is the number of attempts so far.
	attempts int
	// current is the current attempt.
	current *attempt
	// call is the current try if entries retry; nil if they do not.
	call *call
}

// event is a scheduled event. Events with the same time run in the order of scheduling.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is one run of an experiment.
type simulation struct {
	*Experiment
	policy *Policy
	// load is the factor of the arrival rates.
	load        float64
	disturbance *disturbance
	now         time.Duration
	events      eventQueue
	nextOrder   uint64
	entries     []*entry
	engines     []*engine
	byID        map[string]*engine
	// arrivals generates the requests, which are the same for every policy. rng generates all
	// other random values.
	arrivals *rand.Rand
	rng      *rand.Rand
	// callTimes and retryTimes are when entries received requests and retried them.
	callTimes  []time.Duration
	retryTimes []time.Duration
	outcome    Outcome
}

// warmUpDuration is the time before the first request. By then, entries have received reports of all
// servers.
const warmUpDuration = time.Second

// Simulate runs the experiment with one policy and seed, without disturbances.
func (e *Experiment) Simulate(policy *Policy, seed uint64) Outcome {
	return e.simulate(policy, nil, 1, seed)
}

// simulate runs the experiment with one policy, disturbance, load and seed.
func (e *Experiment) simulate(policy *Policy, d *disturbance, load float64, seed uint64) Outcome {
	sim := &simulation{Experiment: e, policy: policy, disturbance: d, load: load, byID: map[string]*engine{},
		arrivals: rand.New(rand.NewPCG(seed, 0)), rng: rand.New(rand.NewPCG(seed, 1))}
	sim.outcome = Outcome{Seconds: make([]Second, int(math.Ceil(e.Length.Seconds())))}
	sim.createHosts(seed)
	sim.scheduleInitialEvents()
	end := sim.end()
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.outcome.RetryShare = sim.retryShare()
	return sim.outcome
}

// end returns the time at which the simulation ends. All callers have disconnected by then.
func (sim *simulation) end() time.Duration {
	end := warmUpDuration + sim.Length
	for _, k := range sim.Kinds {
		end = max(end, warmUpDuration+sim.Length+k.Limit)
	}
	return end
}

// entriesRetry reports whether entries send requests to more than one server.
func (sim *simulation) entriesRetry() bool { return sim.Kinds[0].MaxServers > 0 }

// after schedules a function to run after a delay.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.nextOrder++
	heap.Push(&sim.events, event{sim.now + d, sim.nextOrder, run})
}

// createHosts creates the engines and entries of all regions.
func (sim *simulation) createHosts(seed uint64) {
	regions := map[string]string{}
	for _, r := range sim.Regions {
		regions[r.Name] = r.Name
		for n := range r.Servers {
			s := &engine{simulation: sim, id: fmt.Sprintf("%s-server-%d", r.Name, n), region: r.Name, loadedVersion: 1, slowdown: 1}
			s.address = s.id + ":1"
			sim.engines, sim.byID[s.id] = append(sim.engines, s), s
		}
	}
	for _, r := range sim.Regions {
		for n := range r.Entries {
			host := filbertlever.HostID(fmt.Sprintf("%s-entry-%d", r.Name, n))
			sim.entries = append(sim.entries, newEntry(sim, host, r.Name, regions, rand.New(rand.NewPCG(seed, uint64(len(sim.entries)+2)))))
		}
	}
}

// scheduleInitialEvents schedules gossip, reports, the first requests and the outages.
func (sim *simulation) scheduleInitialEvents() {
	for _, e := range sim.entries {
		local := 0
		for _, other := range sim.entries {
			if other.region == e.region {
				local++
			}
		}
		localInterval := max(minGossipInterval, time.Duration(local-1)*gossipIntervalPerLocalEntry)
		remoteInterval := max(minGossipInterval, time.Duration(len(sim.entries)-local)*gossipIntervalPerRemoteEntry)
		sim.after(sim.randomDelay(localInterval), func() { e.gossip(true, localInterval) })
		sim.after(sim.randomDelay(remoteInterval), func() { e.gossip(false, remoteInterval) })
	}
	for _, s := range sim.engines {
		sim.after(sim.randomDelay(reportInterval), func() { sim.reportPeriodically(s) })
	}
	for i := range sim.Kinds {
		sim.after(warmUpDuration+sim.nextInterval(&sim.Kinds[i], 0), func() { sim.createRequest(&sim.Kinds[i]) })
	}
	sim.scheduleLimits()
	sim.scheduleDisturbance()
	for _, o := range sim.Outages {
		for _, s := range sim.engines {
			sim.after(warmUpDuration+o.At, s.stop)
			sim.after(warmUpDuration+o.At+o.For+sim.randomDelay(reportInterval), s.start)
		}
	}
}

// randomDelay returns a uniformly distributed delay below a limit.
func (sim *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Float64() * float64(limit))
}

// nextInterval returns the time to the next request of a kind. elapsed is the time since the end
// of the warm-up.
func (sim *simulation) nextInterval(k *Kind, elapsed time.Duration) time.Duration {
	rate := k.PerSecond * sim.load
	for _, b := range sim.Bursts {
		if elapsed >= b.At && elapsed < b.At+b.For && (b.Kind == "" || b.Kind == k.Name) {
			rate *= b.Factor
		}
	}
	return time.Duration(sim.arrivals.ExpFloat64() * float64(time.Second) / rate)
}

// Sizes are the sum of a constant part and an exponentially distributed part, up to a maximum. Both
// limits are multiples of the mean.
const (
	minSizeFactor = 0.3
	maxSizeFactor = 4
)

// randomSize returns a random size in tokens.
func (sim *simulation) randomSize(mean int) int {
	return max(1, int(float64(mean)*min(minSizeFactor+(1-minSizeFactor)*sim.arrivals.ExpFloat64(), maxSizeFactor)))
}

// createRequest starts a new request and schedules the next one.
func (sim *simulation) createRequest(k *Kind) {
	elapsed := sim.now - warmUpDuration
	if elapsed >= sim.Length {
		return
	}
	r := &request{spec: k, promptTokens: sim.randomSize(k.Prompt), answerTokens: sim.randomSize(k.Answer), arrivedAt: sim.now}
	sim.secondOf(r).Requests++
	sim.startAttempt(r)
	sim.after(sim.nextInterval(k, elapsed), func() { sim.createRequest(k) })
}

// startAttempt sends a request to a random entry.
func (sim *simulation) startAttempt(r *request) {
	r.attempts++
	sim.entries[sim.rng.IntN(len(sim.entries))].handle(r)
}

// meanSizes returns the mean sizes over all kinds, weighted by their rates.
func (sim *simulation) meanSizes() (prompt, answer int) {
	rate, prompts, answers := 0.0, 0.0, 0.0
	for _, k := range sim.Kinds {
		rate += k.PerSecond
		prompts += k.PerSecond * float64(k.Prompt)
		answers += k.PerSecond * float64(k.Answer)
	}
	return int(prompts / rate), int(answers / rate)
}

// reportPeriodically sends the reports of a server.
func (sim *simulation) reportPeriodically(s *engine) {
	if sim.now >= max(s.pausedUntil, s.linkedAt) {
		sim.report(s)
	}
	sim.after(reportInterval, func() { sim.reportPeriodically(s) })
}

// report sends a server's load and loaded weights to all entries. It arrives after reportDelay.
func (sim *simulation) report(s *engine) {
	s.sequence++
	load := fleet.Report{Address: s.address, Sequence: s.sequence, Running: len(s.running), Queued: len(s.queued), LoadedIn: max(s.loadEnd-sim.now, 0)}
	if s.loadedVersion > 0 {
		load.Models = []catalog.Model{{Name: modelName, Version: s.loadedVersion}}
	}
	sim.after(reportDelay, func() {
		for _, e := range sim.entries {
			e.fleet.ApplyReport(load, sim.now)
		}
	})
}

// secondOf returns the counters of the second in which a request arrived.
func (sim *simulation) secondOf(r *request) *Second {
	return &sim.outcome.Seconds[int((r.arrivedAt-warmUpDuration)/time.Second)]
}

// recordFirstToken records the first event of an answer.
func (sim *simulation) recordFirstToken(a *attempt) {
	r := a.request
	delay := sim.now - r.arrivedAt
	sim.outcome.FirstTokens = append(sim.outcome.FirstTokens, delay)
	if delay <= r.spec.Goal {
		sim.secondOf(r).InTime++
	} else {
		sim.secondOf(r).Late++
	}
	a.recordLimit()
	a.entry.fleet.RecordProgress(a.server.id, sim.now)
	a.entry.fleet.RecordLatency(a.server.id, a.predictedDelay, sim.now-a.placedAt, sim.now)
}

// completeAttempt ends an attempt whose answer is complete.
func (sim *simulation) completeAttempt(a *attempt) {
	a.ended = true
	a.entry.fleet.RecordSuccess(a.server.id, sim.now)
	a.entry.fleet.ReleaseIfCurrent(catalog.Backend{ID: a.server.id})
}

// failAttempt ends an attempt whose server has stopped. Unless the answer has begun, the caller may
// retry immediately.
func (sim *simulation) failAttempt(a *attempt) {
	if a.call != nil {
		a.call.lose(a)
		return
	}
	a.ended = true
	a.entry.fleet.ReleaseIfCurrent(catalog.Backend{ID: a.server.id})
	a.entry.fleet.RecordModelMissing(a.server.id, sim.now)
	if a.prefilled {
		s := sim.secondOf(a.request)
		s.Broken++
		return
	}
	sim.refuseAttempt(a.request, 0)
}

// refuseAttempt ends a refused attempt and schedules a retry if the caller has retries and time left.
func (sim *simulation) refuseAttempt(r *request, retryAfter time.Duration) {
	if r.call != nil {
		r.call.refuse(retryAfter)
		return
	}
	s := sim.secondOf(r)
	s.RefusedAttempts++
	remaining := r.arrivedAt + r.spec.Limit - sim.now
	// Callers wait for at most a third of their remaining time.
	delay := min(retryAfter, remaining/3)
	if r.attempts > r.spec.Retries || remaining <= 0 {
		s.Refused++
		return
	}
	sim.after(delay, func() { sim.startAttempt(r) })
}
