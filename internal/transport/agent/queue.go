package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
)

// requestQueue is the admission queue of the backend server. It is safe for
// concurrent use.
type requestQueue struct {
	mu      sync.Mutex
	queue   *admission.Queue
	limit   *admission.Limit
	lastID  uint64
	waiters map[uint64]chan admission.Decision
	// cancels holds the cancel function of each running request. They are called
	// to make entries resume the requests on other hosts.
	cancels    map[uint64]context.CancelCauseFunc
	maxWaiting int
	// received counts the requests received from each entry.
	received map[filbertlever.HostID]uint64
}

// Defaults that apply until a bundle is active. The target time to the first
// token and the interval also apply afterwards.
const (
	defaultConcurrency = 8
	defaultQueueSize   = 64
	targetFirstToken   = 2 * time.Second
	expireInterval     = 50 * time.Millisecond
)

func newRequestQueue() *requestQueue {
	return &requestQueue{
		queue:      admission.NewQueue(defaultConcurrency, defaultQueueSize),
		limit:      admission.NewLimit(defaultConcurrency, targetFirstToken),
		waiters:    map[uint64]chan admission.Decision{},
		cancels:    map[uint64]context.CancelCauseFunc{},
		maxWaiting: defaultQueueSize,
		received:   map[filbertlever.HostID]uint64{},
	}
}

// resize sets the limits on running and waiting requests.
func (q *requestQueue) resize(concurrency, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = admission.NewLimit(concurrency, targetFirstToken)
	q.maxWaiting = size
	q.queue.Resize(concurrency, size)
}

// errMoved is the cause with which a running request is cancelled so that its
// entry resumes it on another host.
var errMoved = errors.New("backend server is leaving; go on elsewhere")

// admit waits until the item of an entry may run. The returned context is cancelled with
// errMoved when the request must continue on another host. The caller calls
// release when the request has ended.
func (q *requestQueue) admit(ctx context.Context, entry filbertlever.HostID, item admission.Item) (run context.Context, release func(), refusal *admission.Decision) {
	decisions := make(chan admission.Decision, 1)
	q.mu.Lock()
	q.received[entry]++
	q.lastID++
	item.ID = q.lastID
	q.waiters[item.ID] = decisions
	q.deliver(q.queue.Offer(item, time.Now()))
	q.mu.Unlock()
	var decision admission.Decision
	select {
	case decision = <-decisions:
	case <-ctx.Done():
		if q.removeWaiting(item.ID) {
			return nil, nil, &admission.Decision{Verdict: admission.VerdictRefuse, Reason: "caller left"}
		}
		decision = <-decisions
	}
	if decision.Verdict != admission.VerdictStart {
		return nil, nil, &decision
	}
	run, cancel := context.WithCancelCause(ctx)
	q.mu.Lock()
	q.cancels[item.ID] = cancel
	q.mu.Unlock()
	return run, func() { q.release(item.ID) }, nil
}

// removeWaiting removes an item from the queue and reports whether it was still
// waiting.
func (q *requestQueue) removeWaiting(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.queue.Cancel(id) {
		return false
	}
	delete(q.waiters, id)
	return true
}

// release removes a running request and starts waiting ones.
func (q *requestQueue) release(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancels[id](nil)
	delete(q.cancels, id)
	q.deliver(q.queue.Done(id, time.Now()))
}

// deliver sends decisions to the waiting requests. The caller holds the lock.
func (q *requestQueue) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if decision.Verdict == admission.VerdictWait {
			continue
		}
		if waiter, ok := q.waiters[decision.ID]; ok {
			waiter <- decision
			delete(q.waiters, decision.ID)
		}
	}
}

// recordFirstToken records the time from the start of a request to its first
// token and adjusts the concurrency limit.
func (q *requestQueue) recordFirstToken(latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.RecordFirstToken(latency, time.Now())
	q.queue.Resize(q.limit.Value(), q.maxWaiting)
}

// recordFailure records a failed request and adjusts the concurrency limit.
func (q *requestQueue) recordFailure() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.RecordFailure(time.Now())
	q.queue.Resize(q.limit.Value(), q.maxWaiting)
}

// recordRefused counts a request of an entry that was refused before it was queued.
func (q *requestQueue) recordRefused(entry filbertlever.HostID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.received[entry]++
}

// load returns the current load.
func (q *requestQueue) load() control.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.loadLocked()
}

// loadFor returns the current load for a report to an entry. It contains each received
// request that has not ended: the entry subtracts the received requests from those that it
// has sent, so one that is counted only there would be missing from its estimate.
func (q *requestQueue) loadFor(entry filbertlever.HostID) control.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := q.loadLocked()
	load.ReceivedRequests = q.received[entry]
	return load
}

// loadLocked is load for callers that hold the lock.
func (q *requestQueue) loadLocked() control.Load {
	return control.Load{
		Sequence:    q.queue.Sequence(),
		Running:     q.queue.Running(),
		Queued:      q.queue.Waiting(),
		Concurrency: q.limit.Value(),
		Wait:        q.queue.PredictedWait(),
	}
}

// inFlight returns the number of running and waiting requests.
func (q *requestQueue) inFlight() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Running() + q.queue.Waiting()
}

// refuseWaiting refuses all waiting requests because the backend server is
// stopping.
func (q *requestQueue) refuseWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.queue.Flush(reasonStopping))
}

// interruptRunning cancels all running requests, so that entries resume them on
// other hosts.
func (q *requestQueue) interruptRunning() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, cancel := range q.cancels {
		cancel(errMoved)
	}
}

// run periodically refuses requests that can no longer meet their deadline, and
// passes the current load to onLoad.
func (q *requestQueue) run(ctx context.Context, onLoad func(control.Load)) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.mu.Lock()
			q.deliver(q.queue.Expire(time.Now()))
			q.mu.Unlock()
			onLoad(q.load())
		}
	}
}
