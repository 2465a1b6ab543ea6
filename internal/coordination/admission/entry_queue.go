package admission

import (
	"slices"
	"time"
)

// EntryQueue holds late requests at an entry until a server has a free slot for them. It serves the
// seconds after an outage, when hundreds of callers retry whose answers are already late. Without it
// each refusal cost them a retry, most had only one left, and slots were free again two seconds later.
//
// New requests do not wait here: in a long overload every queued request is late and takes a slot
// from one that would be in time. Queued requests only get slots that are free anyway, and the
// capacity shrinks when few of them are served. It is not safe for concurrent use.
type EntryQueue struct {
	// capacity is how many requests may wait.
	capacity float64
	waiting  []queuedRequest
	// next is the ID assigned last.
	next uint64
}

type queuedRequest struct {
	id      uint64
	service string
	// timeout is when the wait ends without a slot.
	timeout time.Duration
}

// Bounds of an EntryQueue.
const (
	// The capacity starts at initialCapacity and stays between minCapacity and maxCapacity. Each
	// served request raises it by capacityIncrease, and each request that times out multiplies it by
	// capacityDecreaseFactor.
	initialCapacity        = 32
	minCapacity            = 4
	maxCapacity            = 64
	capacityIncrease       = 0.5
	capacityDecreaseFactor = 0.7
	// queuedMaxPrefillWait is the longest prefill backlog of a server that gets a queued request. It
	// is lower than for new requests.
	queuedMaxPrefillWait = 60 * time.Millisecond
	// queuedReservedSlots is how many slots of a server are kept free for new requests.
	queuedReservedSlots = 3
	// queuedMaxGoalShare is the largest fraction of the first-token goal that the predicted first
	// token may take at a server that gets a queued request.
	queuedMaxGoalShare = 0.5
)

// EntryQueueTimeout is how long a request waits in an EntryQueue. Its prompt still has to be read
// before its caller disconnects.
const EntryQueueTimeout = 1200 * time.Millisecond

// NewEntryQueue returns an empty queue.
func NewEntryQueue() *EntryQueue { return &EntryQueue{capacity: initialCapacity} }

// Add queues a request of a service until a timeout. It returns false if the queue is full.
func (q *EntryQueue) Add(service string, timeout time.Duration) (id uint64, ok bool) {
	if len(q.waiting) >= int(q.capacity) {
		return 0, false
	}
	q.next++
	q.waiting = append(q.waiting, queuedRequest{id: q.next, service: service, timeout: timeout})
	return q.next, true
}

// Remove removes a request whose caller has disconnected.
func (q *EntryQueue) Remove(id uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r queuedRequest) bool { return r.id == id })
}

// Empty reports whether no request waits.
func (q *EntryQueue) Empty() bool { return len(q.waiting) == 0 }

// Dispatch offers slots to the queued requests in the order of arrival. Once take refuses a request,
// no further ones of its service are offered. Dispatch returns the requests that timed out.
func (q *EntryQueue) Dispatch(now time.Duration, take func(id uint64) bool) (expired []uint64) {
	full := map[string]bool{}
	q.waiting = slices.DeleteFunc(q.waiting, func(r queuedRequest) bool {
		if !full[r.service] && take(r.id) {
			q.capacity = min(q.capacity+capacityIncrease, maxCapacity)
			return true
		}
		full[r.service] = true
		if now < r.timeout {
			return false
		}
		q.capacity = max(q.capacity*capacityDecreaseFactor, minCapacity)
		expired = append(expired, r.id)
		return true
	})
	return expired
}

// AdmitQueued reports whether a queued request is sent to a server: only if enough slots are free
// and the prefill backlog is short.
func (g EntryGate) AdmitQueued(f Forecast, goal time.Duration) bool {
	return f.QueuePosition <= -queuedReservedSlots && f.PrefillWait <= queuedMaxPrefillWait && f.Predicted <= time.Duration(queuedMaxGoalShare*float64(goal))
}
