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
	kind   *Kind
	prompt int
	answer int
	// asked is when the caller asked first.
	asked time.Duration
	tries int
	// job is the try under way.
	job *job
}

// event is something that happens at a time; order keeps what happens at once in its order.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one play.
type world struct {
	*Experiment
	policy  *Policy
	now     time.Duration
	events  events
	order   uint64
	entries []*entry
	engines []*engine
	byID    map[string]*engine
	// arrivals draws what is asked, which is the same with any policy, and rng all else.
	arrivals *rand.Rand
	rng      *rand.Rand
	outcome  Outcome
}

// begin is when requests begin to come: entries have heard of all servers by then.
const begin = time.Second

// Play plays an experiment with one policy and seed.
func (e *Experiment) Play(policy *Policy, seed uint64) Outcome {
	w := &world{Experiment: e, policy: policy, byID: map[string]*engine{},
		arrivals: rand.New(rand.NewPCG(seed, 0)), rng: rand.New(rand.NewPCG(seed, 1))}
	w.outcome = Outcome{Seconds: make([]Second, int(math.Ceil(e.Length.Seconds())))}
	w.build(seed)
	w.schedule()
	end := begin + e.Length
	for _, k := range e.Kinds {
		end = max(end, begin+e.Length+k.Limit)
	}
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	return w.outcome
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) build(seed uint64) {
	regions := map[string]string{}
	for _, r := range w.Regions {
		regions[r.Name] = r.Name
		for n := range r.Servers {
			s := &engine{world: w, id: fmt.Sprintf("%s-server-%d", r.Name, n), region: r.Name, holds: 1}
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

// schedule plans what happens by itself.
func (w *world) schedule() {
	for _, e := range w.entries {
		near := 0
		for _, other := range w.entries {
			if other.region == e.region {
				near++
			}
		}
		nearPeriod := max(countsNear, time.Duration(near-1)*countsNearEach)
		farPeriod := max(countsNear, time.Duration(len(w.entries)-near)*countsFarEach)
		w.after(w.random(nearPeriod), func() { e.gossip(true, nearPeriod) })
		w.after(w.random(farPeriod), func() { e.gossip(false, farPeriod) })
	}
	for _, s := range w.engines {
		w.after(w.random(reportEvery), func() { w.reports(s) })
	}
	for i := range w.Kinds {
		w.after(begin+w.gap(&w.Kinds[i], 0), func() { w.ask(&w.Kinds[i]) })
	}
	for _, o := range w.Outages {
		for _, s := range w.engines {
			w.after(begin+o.At, s.stop)
			w.after(begin+o.At+o.For+w.random(reportEvery), s.start)
		}
	}
}

func (w *world) random(most time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(most))
}

// gap returns the time to the next request of a kind, after a time since the begin.
func (w *world) gap(k *Kind, since time.Duration) time.Duration {
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
	sizeCommon = 0.3
	sizeMost   = 4
)

func (w *world) size(mean int) int {
	return max(1, int(float64(mean)*min(sizeCommon+(1-sizeCommon)*w.arrivals.ExpFloat64(), sizeMost)))
}

// ask lets a caller ask, and plans the next one.
func (w *world) ask(k *Kind) {
	since := w.now - begin
	if since >= w.Length {
		return
	}
	r := &request{kind: k, prompt: w.size(k.Prompt), answer: w.size(k.Answer), asked: w.now}
	w.second(r).Asked++
	w.try(r)
	w.after(w.gap(k, since), func() { w.ask(k) })
}

func (w *world) try(r *request) {
	r.tries++
	w.entries[w.rng.IntN(len(w.entries))].arrive(r)
}

// usual returns the mean sizes of all kinds.
func (w *world) usual() (prompt, answer int) {
	rate, prompts, answers := 0.0, 0.0, 0.0
	for _, k := range w.Kinds {
		rate += k.PerSecond
		prompts += k.PerSecond * float64(k.Prompt)
		answers += k.PerSecond * float64(k.Answer)
	}
	return int(prompts / rate), int(answers / rate)
}

// reports lets a server report its load, and again after a period.
func (w *world) reports(s *engine) {
	w.report(s)
	w.after(reportEvery, func() { w.reports(s) })
}

// report sends a server's load to the entries of its region, and which weights it holds to all.
func (w *world) report(s *engine) {
	s.sequence++
	load := fleet.Load{Address: s.address, Sequence: s.sequence, Running: len(s.running), Queued: len(s.queued), LoadedIn: max(s.loadedAt-w.now, 0)}
	if s.holds > 0 {
		load.Models = []catalog.Model{{Name: model, Version: s.holds}}
	}
	w.after(reportLag, func() {
		for _, e := range w.entries {
			e.fleet.Report(load, w.now)
		}
	})
}

func (w *world) second(r *request) *Second {
	return &w.outcome.Seconds[int((r.asked-begin)/time.Second)]
}

// first notes the first event of an answer.
func (w *world) first(j *job) {
	r := j.asked
	took := w.now - r.asked
	w.outcome.First = append(w.outcome.First, took)
	if took <= r.kind.Goal {
		w.second(r).InTime++
	} else {
		w.second(r).Late++
	}
	j.entry.fleet.Progress(j.server.id, w.now)
	j.entry.fleet.Observe(j.server.id, j.predicted, w.now-j.placed, w.now)
}

// answered ends a job whose answer is whole.
func (w *world) answered(j *job) {
	j.over = true
	j.entry.fleet.Answered(j.server.id, w.now)
	j.entry.fleet.Ended(j.server.id)
}

// lost ends a job whose server has stopped; its caller asks again.
func (w *world) lost(j *job) {
	j.over = true
	j.entry.fleet.Ended(j.server.id)
	j.entry.fleet.NoteModelMissing(j.server.id, w.now)
	if j.read {
		s := w.second(j.asked)
		s.Broken++
		return
	}
	w.refused(j.asked, 0)
}

// refused ends a try; the caller comes back if it may.
func (w *world) refused(r *request, retry time.Duration) {
	s := w.second(r)
	s.Tries++
	left := r.asked + r.kind.Limit - w.now
	// Callers wait a third of the time that they have left at most.
	wait := min(retry, left/3)
	if r.tries > r.kind.Retries || left <= 0 {
		s.Refused++
		return
	}
	w.after(wait, func() { w.try(r) })
}
