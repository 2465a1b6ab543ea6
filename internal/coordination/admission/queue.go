// Package admission decides which request a backend server runs next, which
// requests wait, and which are refused immediately because they cannot meet
// their deadline.
package admission

import (
	"container/heap"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Item is a request offered to a Queue.
type Item struct {
	// ID is unique among the items of a queue.
	ID           uint64
	Organisation filbertlever.OrganisationID
	Priority     filbertlever.Priority
	// Weight is the organisation's weight in fair queueing; 0 counts as 1.
	Weight int
	// Cost is the predicted work, in a unit common to all items.
	Cost     float64
	Deadline time.Time
}

// Verdict says whether an item starts, waits or is refused.
type Verdict int

// The verdicts.
const (
	VerdictStart Verdict = iota + 1
	VerdictWait
	VerdictRefuse
)

// Decision is the verdict on one item.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  string
	// RetryAfter is the delay before a retry, set with VerdictRefuse.
	RetryAfter time.Duration
}

// Reasons for refusals.
const (
	ReasonFull      = "queue full"
	ReasonDeadline  = "cannot start before the deadline"
	ReasonOverShare = "organisation has more than its share of the queue"
)

const (
	// initialServiceTime is the estimate of an item's run time before any item has ended.
	initialServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of the newest item in the smoothed run time.
	serviceTimeWeight = 0.1
	// Refused callers get a retry delay between queueMinRetryAfter and queueMaxRetryAfter.
	queueMinRetryAfter = 20 * time.Millisecond
	queueMaxRetryAfter = 30 * time.Second
)

// Queue is the weighted fair queue of one backend server. Organisations share
// the server in proportion to their weights. Priorities only order the items of
// one organisation, so that its urgent work cannot starve another organisation.
// It is not safe for concurrent use.
type Queue struct {
	concurrency int
	// headroom is how many items above concurrency may start for organisations
	// with no running item, so that they need not wait until another
	// organisation's item ends.
	headroom   int
	maxWaiting int
	running    map[uint64]runningItem
	flows      map[filbertlever.OrganisationID]*flow
	waiting    int
	// virtualTime is the start tag of the item started last (start-time fair queueing).
	virtualTime float64
	// serviceTime is the smoothed run time of an item, and timePerCost the
	// smoothed run time per unit of cost in nanoseconds.
	serviceTime time.Duration
	timePerCost float64
	// sequence counts the changes of the queue and orders load reports.
	sequence uint64
}

type runningItem struct {
	started time.Time
	cost    float64
	flow    *flow
}

// flow holds the items of one organisation.
type flow struct {
	organisation filbertlever.OrganisationID
	weight       float64
	// finishTag is the virtual finish time of the flow's last started item.
	finishTag float64
	items     itemHeap
	running   int
}

// NewQueue returns a queue that runs concurrency items at once and lets
// maxWaiting items wait.
func NewQueue(concurrency, maxWaiting int) *Queue {
	return &Queue{
		concurrency: concurrency,
		headroom:    concurrency / headroomDivisor,
		maxWaiting:  maxWaiting,
		running:     map[uint64]runningItem{},
		flows:       map[filbertlever.OrganisationID]*flow{},
		serviceTime: initialServiceTime,
	}
}

// Resize changes the limits. Running items are not interrupted.
func (q *Queue) Resize(concurrency, maxWaiting int) {
	q.concurrency = concurrency
	q.headroom = concurrency / headroomDivisor
	q.maxWaiting = maxWaiting
}

// headroomDivisor divides the concurrency to give the headroom. Engines batch
// requests, so a few more slow them down only slightly.
const headroomDivisor = 4

// canStart reports whether a flow may start an item now.
func (q *Queue) canStart(f *flow) bool {
	if len(q.running) < q.concurrency {
		return true
	}
	return f.running == 0 && len(q.running) < q.concurrency+q.headroom
}

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return q.waiting }

// Sequence grows with every change of the queue.
func (q *Queue) Sequence() uint64 { return q.sequence }

// PredictedWait predicts how long a new item waits before it starts.
func (q *Queue) PredictedWait() time.Duration {
	if len(q.running) < q.concurrency && q.waiting == 0 {
		return 0
	}
	rounds := float64(q.waiting+1) / float64(max(q.concurrency, 1))
	return time.Duration(rounds * float64(q.serviceTime))
}

// Offer adds a new item. The first decision is on the item itself. A second
// decision, if any, refuses a waiting item that was evicted for it.
func (q *Queue) Offer(item Item, now time.Time) []Decision {
	q.sequence++
	f := q.flowFor(item)
	free := len(q.running) < q.concurrency && q.waiting == 0
	if free || len(f.items) == 0 && f.running == 0 && q.canStart(f) {
		q.start(f, item, now)
		return []Decision{{ID: item.ID, Verdict: VerdictStart}}
	}
	if q.missesDeadline(item, now.Add(q.predictedFlowWait(f))) {
		return []Decision{q.refuse(item.ID, ReasonDeadline)}
	}
	if q.waiting < q.maxWaiting {
		q.push(f, item)
		return []Decision{{ID: item.ID, Verdict: VerdictWait}}
	}
	// The queue is full. An item is evicted from the organisation with the
	// largest backlog relative to its weight, so that a burst of one
	// organisation cannot lock out the others.
	victim := q.largestBacklog()
	if victim == nil || victim == f || backlog(victim) <= (float64(len(f.items))+1)/f.weight {
		return []Decision{q.refuse(item.ID, ReasonFull)}
	}
	evicted := victim.removeLast()
	q.waiting--
	q.push(f, item)
	return []Decision{{ID: item.ID, Verdict: VerdictWait}, q.refuse(evicted.ID, ReasonOverShare)}
}

// Done records that a running item ended. It returns decisions on waiting
// items: those to start, and those refused because they would miss their
// deadline.
func (q *Queue) Done(id uint64, now time.Time) []Decision {
	run, ok := q.running[id]
	if !ok {
		return nil
	}
	q.sequence++
	delete(q.running, id)
	run.flow.running--
	ran := now.Sub(run.started)
	q.serviceTime += time.Duration(serviceTimeWeight * float64(ran-q.serviceTime))
	q.timePerCost += serviceTimeWeight * (float64(ran)/run.cost - q.timePerCost)
	q.pruneFlow(run.flow)
	return q.startWaiting(now)
}

// Cancel removes a waiting item whose caller has disconnected, and reports
// whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, f := range q.flows {
		for i := range f.items {
			if f.items[i].ID != id {
				continue
			}
			heap.Remove(&f.items, i)
			q.waiting--
			q.sequence++
			q.pruneFlow(f)
			return true
		}
	}
	return false
}

// missesDeadline reports whether an item that starts at start is predicted to
// end after its deadline. Such items are refused. Under overload every item
// would otherwise wait until just before its deadline, start and end too late,
// and all work would be wasted.
func (q *Queue) missesDeadline(item Item, start time.Time) bool {
	return start.Add(time.Duration(q.timePerCost * max(item.Cost, 1))).After(item.Deadline)
}

// Expire refuses the waiting items that can no longer meet their deadline.
func (q *Queue) Expire(now time.Time) []Decision {
	var decisions []Decision
	for _, f := range q.flows {
		for i := 0; i < len(f.items); {
			if !q.missesDeadline(f.items[i], now) {
				i++
				continue
			}
			item := heap.Remove(&f.items, i).(Item)
			q.waiting--
			q.sequence++
			decisions = append(decisions, q.refuse(item.ID, ReasonDeadline))
			i = 0
		}
		q.pruneFlow(f)
	}
	return decisions
}

// Flush refuses all waiting items. It is used when the process shuts down.
func (q *Queue) Flush(reason string) []Decision {
	var decisions []Decision
	for _, f := range q.flows {
		for _, item := range f.items {
			decisions = append(decisions, q.refuse(item.ID, reason))
		}
		q.waiting -= len(f.items)
		f.items = nil
		q.pruneFlow(f)
	}
	q.sequence++
	return decisions
}

// startWaiting starts waiting items while slots are free.
func (q *Queue) startWaiting(now time.Time) []Decision {
	var decisions []Decision
	for {
		f := q.nextFlow()
		if f == nil {
			return decisions
		}
		item := heap.Pop(&f.items).(Item)
		q.waiting--
		if q.missesDeadline(item, now) {
			decisions = append(decisions, q.refuse(item.ID, ReasonDeadline))
			q.pruneFlow(f)
			continue
		}
		q.start(f, item, now)
		decisions = append(decisions, Decision{ID: item.ID, Verdict: VerdictStart})
	}
}

// nextFlow returns the flow with the lowest start tag among those that may
// start an item, nil if there is none.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.items) == 0 || !q.canStart(f) {
			continue
		}
		if best == nil || q.startTag(f) < q.startTag(best) ||
			q.startTag(f) == q.startTag(best) && f.organisation < best.organisation {
			best = f
		}
	}
	return best
}

// startTag returns the virtual start time of the flow's next item.
func (q *Queue) startTag(f *flow) float64 {
	return max(q.virtualTime, f.finishTag)
}

func (q *Queue) start(f *flow, item Item, now time.Time) {
	tag := q.startTag(f)
	q.virtualTime = tag
	f.finishTag = tag + max(item.Cost, 1)/f.weight
	f.running++
	q.running[item.ID] = runningItem{started: now, cost: max(item.Cost, 1), flow: f}
}

func (q *Queue) push(f *flow, item Item) {
	heap.Push(&f.items, item)
	q.waiting++
}

// predictedFlowWait predicts the wait of a new item of a flow. It counts the
// flow's own items and the items of other flows that fair queueing starts
// first.
func (q *Queue) predictedFlowWait(f *flow) time.Duration {
	own := float64(len(f.items) + 1)
	ahead := own
	for _, other := range q.flows {
		if other != f {
			ahead += min(float64(len(other.items)), own*other.weight/f.weight)
		}
	}
	return time.Duration(ahead / float64(max(q.concurrency, 1)) * float64(q.serviceTime))
}

// largestBacklog returns the flow with the most waiting items relative to its
// weight, nil if no item waits.
func (q *Queue) largestBacklog() *flow {
	var largest *flow
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if largest == nil || backlog(f) > backlog(largest) ||
			backlog(f) == backlog(largest) && f.organisation < largest.organisation {
			largest = f
		}
	}
	return largest
}

// backlog returns the number of waiting items per unit of weight.
func backlog(f *flow) float64 {
	return float64(len(f.items)) / f.weight
}

func (q *Queue) refuse(id uint64, reason string) Decision {
	return Decision{ID: id, Verdict: VerdictRefuse, Reason: reason, RetryAfter: min(max(q.PredictedWait(), queueMinRetryAfter), queueMaxRetryAfter)}
}

// flowFor returns the flow of an item's organisation and updates its weight.
func (q *Queue) flowFor(item Item) *flow {
	f, ok := q.flows[item.Organisation]
	if !ok {
		f = &flow{organisation: item.Organisation}
		q.flows[item.Organisation] = f
	}
	f.weight = float64(max(item.Weight, 1))
	return f
}

// pruneFlow removes a flow that has no items and whose finish tag no longer
// affects the order.
func (q *Queue) pruneFlow(f *flow) {
	if f.running == 0 && len(f.items) == 0 && f.finishTag <= q.virtualTime {
		delete(q.flows, f.organisation)
	}
}

// removeLast removes and returns the item that would have run last.
func (f *flow) removeLast() Item {
	last := 0
	for i := range f.items {
		if f.items.Less(last, i) {
			last = i
		}
	}
	return heap.Remove(&f.items, last).(Item)
}

// itemHeap orders the items of one flow by priority, then by arrival (ID).
type itemHeap []Item

func (h itemHeap) Len() int      { return len(h) }
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h itemHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].ID < h[j].ID
}

// Push appends an Item, as container/heap requires.
func (h *itemHeap) Push(x any) { *h = append(*h, x.(Item)) }

// Pop removes the last Item, as container/heap requires.
func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	return item
}
