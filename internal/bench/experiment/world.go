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

// request is what a caller asks, with all its tries.
type request struct {
	spec         *Kind
	promptTokens int
	answerTokens int
	// arrivedAt is when the caller asked first.
	arrivedAt time.Duration
	attempts  int
	// current is the try under way.
	current *attempt
}

// event is something that happens at a time; order keeps what happens at once in its order.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is one play.
type simulation struct {
	*Experiment
	policy    *Policy
	now       time.Duration
	events    eventQueue
	nextOrder uint64
	entries   []*entry
	engines   []*engine
	byID      map[string]*engine
	// arrivals draws what is asked, which is the same with any policy, and rng all else.
	arrivals *rand.Rand
	rng      *rand.Rand
	outcome  Outcome
}

// warmUpDuration is when requests begin to come: entries have heard of all servers by then.
const warmUpDuration = time.Second

// Simulate plays an experiment with one policy and seed.
func (e *Experiment) Simulate(policy *Policy, seed uint64) Outcome {
	w := &simulation{Experiment: e, policy: policy, byID: map[string]*engine{},
		arrivals: rand.New(rand.NewPCG(seed, 0)), rng: rand.New(rand.NewPCG(seed, 1))}
	w.outcome = Outcome{Seconds: make([]Second, int(math.Ceil(e.Length.Seconds())))}
	w.createHosts(seed)
	w.scheduleInitialEvents()
	end := warmUpDuration + e.Length
	for _, k := range e.Kinds {
		end = max(end, warmUpDuration+e.Length+k.Limit)
	}
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	return w.outcome
}

func (w *simulation) after(d time.Duration, do func()) {
	w.nextOrder++
	heap.Push(&w.events, event{w.now + d, w.nextOrder, do})
}

func (w *simulation) createHosts(seed uint64) {
	regions := map[string]string{}
	for _, r := range w.Regions {
		regions[r.Name] = r.Name
		for n := range r.Servers {
			s := &engine{simulation: w, id: fmt.Sprintf("%s-server-%d", r.Name, n), region: r.Name, loadedVersion: 1}
			s.address = s.id + ":1"
			w.engines, w.byID[s.id] = append(w.engines, s), s
		}
	}
	for _, r := range w.Regions {
		for n := range r.Entries {
			host := filbertlever.HostID(fmt.Sprintf("%s-entry-%d", r.Name, n))
			w.entries = append(w.entries, newEntry(w, host, r.Name, regions, rand.New(rand.NewPCG(seed, uint64(len(w.entries)+2)))))
		}
	}
}

// scheduleInitialEvents plans what happens by itself.
func (w *simulation) scheduleInitialEvents() {
	for _, e := range w.entries {
		near := 0
		for _, other := range w.entries {
			if other.region == e.region {
				near++
			}
		}
		nearPeriod := max(minGossipInterval, time.Duration(near-1)*gossipIntervalPerLocalEntry)
		farPeriod := max(minGossipInterval, time.Duration(len(w.entries)-near)*gossipIntervalPerRemoteEntry)
		w.after(w.randomDelay(nearPeriod), func() { e.gossip(true, nearPeriod) })
		w.after(w.randomDelay(farPeriod), func() { e.gossip(false, farPeriod) })
	}
	for _, s := range w.engines {
		w.after(w.randomDelay(reportInterval), func() { w.reportPeriodically(s) })
	}
	for i := range w.Kinds {
		w.after(warmUpDuration+w.nextInterval(&w.Kinds[i], 0), func() { w.createRequest(&w.Kinds[i]) })
	}
	for _, o := range w.Outages {
		for _, s := range w.engines {
			w.after(warmUpDuration+o.At, s.stop)
			w.after(warmUpDuration+o.At+o.For+w.randomDelay(reportInterval), s.start)
		}
	}
}

func (w *simulation) randomDelay(most time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(most))
}

// nextInterval returns the time to the next request of a kind, after a time since the begin.
func (w *simulation) nextInterval(k *Kind, since time.Duration) time.Duration {
	rate := k.PerSecond
	for _, b := range w.Bursts {
		if since >= b.At && since < b.At+b.For && (b.Kind == "" || b.Kind == k.Name) {
			rate *= b.Factor
		}
	}
	return time.Duration(w.arrivals.ExpFloat64() * float64(time.Second) / rate)
}

// Sizes are spread: a part of each is common to all, and none is longer than so many times the mean.
const (
	minSizeFactor = 0.3
	maxSizeFactor = 4
)

func (w *simulation) randomSize(mean int) int {
	return max(1, int(float64(mean)*min(minSizeFactor+(1-minSizeFactor)*w.arrivals.ExpFloat64(), maxSizeFactor)))
}

// createRequest lets a caller ask, and plans the next one.
func (w *simulation) createRequest(k *Kind) {
	since := w.now - warmUpDuration
	if since >= w.Length {
		return
	}
	r := &request{spec: k, promptTokens: w.randomSize(k.Prompt), answerTokens: w.randomSize(k.Answer), arrivedAt: w.now}
	w.secondOf(r).Asked++
	w.startAttempt(r)
	w.after(w.nextInterval(k, since), func() { w.createRequest(k) })
}

func (w *simulation) startAttempt(r *request) {
	r.attempts++
	w.entries[w.rng.IntN(len(w.entries))].handle(r)
}

// meanSizes returns the mean sizes of all kinds.
func (w *simulation) meanSizes() (prompt, answer int) {
	rate, prompts, answers := 0.0, 0.0, 0.0
	for _, k := range w.Kinds {
		rate += k.PerSecond
		prompts += k.PerSecond * float64(k.Prompt)
		answers += k.PerSecond * float64(k.Answer)
	}
	return int(prompts / rate), int(answers / rate)
}

// reportPeriodically lets a server report its load, and again after a period.
func (w *simulation) reportPeriodically(s *engine) {
	w.report(s)
	w.after(reportInterval, func() { w.reportPeriodically(s) })
}

// report sends a server's load to the entries of its region, and which weights it holds to all.
func (w *simulation) report(s *engine) {
	s.sequence++
	load := fleet.Load{Address: s.address, Sequence: s.sequence, Running: len(s.running), Queued: len(s.queued), LoadedIn: max(s.loadEnd-w.now, 0)}
	if s.loadedVersion > 0 {
		load.Models = []catalog.Model{{Name: modelName, Version: s.loadedVersion}}
	}
	w.after(reportDelay, func() {
		for _, e := range w.entries {
			e.fleet.Report(load, w.now)
		}
	})
}

func (w *simulation) secondOf(r *request) *Second {
	return &w.outcome.Seconds[int((r.arrivedAt-warmUpDuration)/time.Second)]
}

// recordFirstToken notes the first event of an answer.
func (w *simulation) recordFirstToken(j *attempt) {
	r := j.request
	took := w.now - r.arrivedAt
	w.outcome.FirstTokens = append(w.outcome.FirstTokens, took)
	if took <= r.spec.Goal {
		w.secondOf(r).InTime++
	} else {
		w.secondOf(r).Late++
	}
	j.entry.fleet.Progress(j.server.id, w.now)
	j.entry.fleet.Observe(j.server.id, j.predictedDelay, w.now-j.placedAt, w.now)
}

// completeAttempt ends a job whose answer is whole.
func (w *simulation) completeAttempt(j *attempt) {
	j.ended = true
	j.entry.fleet.Answered(j.server.id, w.now)
	j.entry.fleet.Ended(j.server.id)
}

// failAttempt ends a job whose server has stopped; its caller asks again.
func (w *simulation) failAttempt(j *attempt) {
	j.ended = true
	j.entry.fleet.Ended(j.server.id)
	j.entry.fleet.NoteModelMissing(j.server.id, w.now)
	if j.prefilled {
		s := w.secondOf(j.request)
		s.Broken++
		return
	}
	w.refuseAttempt(j.request, 0)
}

// refuseAttempt ends a try; the caller comes back if it may.
func (w *simulation) refuseAttempt(r *request, retry time.Duration) {
	s := w.secondOf(r)
	s.RefusedAttempts++
	left := r.arrivedAt + r.spec.Limit - w.now
	// Callers wait a third of the time that they have left at most.
	wait := min(retry, left/3)
	if r.attempts > r.spec.Retries || left <= 0 {
		s.Refused++
		return
	}
	w.after(wait, func() { w.startAttempt(r) })
}
