package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// One entry of each region, the reader, follows the store, and the other entries get its changes
// through a tree of entries. The number of calls to the store then grows with the number of regions
// instead of the number of entries, and no link carries a change more than a few times.
const (
	// feedPollWait is how long an entry may hold a follower's request while it waits for a change.
	feedPollWait = 700 * time.Millisecond
	// maxFeedAge is the maximum age of a reader's view that a follower accepts. The age of
	// a reader's view stays below the duration of two calls to the store, so a reader that is
	// disconnected from the store soon exceeds the limit.
	maxFeedAge = 2300 * time.Millisecond
	// maxEntriesFeedAge is the same limit for the list of entries, whose calls wait longer.
	maxEntriesFeedAge = 2 * entriesFollowWait
	// feedTransferTimeout is how long the response of another entry may be late, and how long it may
	// pause once it is arriving.
	feedTransferTimeout = 400 * time.Millisecond
	// confirmStep is by how much a view must be newer than that of a follower for the follower's
	// request to be answered before a change.
	confirmStep = 250 * time.Millisecond
	// arrivingTTL is how long after the last bytes of a change a view counts as about to change.
	arrivingTTL = time.Second
	// maxFeedBatches limits the store's answers that an entry keeps for its followers, and
	// maxFeedBytes their uncompressed size, because followers decompress and decode all of them.
	maxFeedBatches = 256
	maxFeedBytes   = 2 << 20
)

// feedLog holds the recent changes of one table for followers.
type feedLog struct {
	// snapshot is the whole table as of startRevision, without large rows that a later batch replaces.
	// It is valid if hasSnapshot is true. Otherwise the log serves changes only.
	snapshot    []rowBatch
	hasSnapshot bool
	// batches are the changes since, without large rows that a later one replaces.
	batches []rowBatch
	// batchBytes is the uncompressed size of all batches, which are sent together.
	batchBytes int
	// startRevision and headRevision are the revisions between which the log contains all changes.
	startRevision, headRevision uint64
	// confirmedAt is when the read was sent that last confirmed headRevision.
	confirmedAt time.Duration
	// observedAt is when the region's reader received the newest batch.
	observedAt time.Duration
	// arrivingUntil is until when this entry expects a change that has begun to arrive.
	arrivingUntil time.Duration
	// changed is closed when a batch is added, the view is confirmed or the store becomes unreachable.
	changed chan struct{}
	// unreachable is true while the store does not answer the reader.
	unreachable bool
}

// feeds holds the logs of all tables.
type feeds struct {
	mu     sync.Mutex
	tables map[Table]*feedLog
	// resetSignal is closed when a log is reset.
	resetSignal chan struct{}
	// rowKey returns the key of a row. If it is nil, no rows are replaced.
	rowKey func(row json.RawMessage) string
	// sending is the number of responses that are being sent to other entries.
	sending atomic.Int64
	// fetches counts the calls to other entries, and changeDelay measures the time from the arrival of a
	// change at the region's reader until it is in force at this entry.
	fetches     *prometheus.CounterVec
	changeDelay *prometheus.HistogramVec
}

func newFeeds() *feeds {
	return &feeds{tables: map[Table]*feedLog{}, resetSignal: make(chan struct{}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_gateway_table_fetches_total",
			Help: "Calls to other entries for the changes of a table, by the place of that entry in the tree and result.",
		}, []string{"Table", "Source", "Result"}),
		changeDelay: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "filbertlever_gateway_table_change_delay_seconds",
			Help:    "Time from the arrival of a change at the region's reader until it was in force at this entry.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"Table"}),
	}
}

// register registers the metrics.
func (f *feeds) register(registry prometheus.Registerer) {
	registry.MustRegister(f.fetches, f.changeDelay, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filbertlever_gateway_feed_transfers",
		Help: "Responses with rows that are being sent to other entries.",
	}, func() float64 { return float64(f.sending.Load()) }))
}

// reset replaces a table's log after the whole table was read.
func (f *feeds) reset(table Table, rows Rows, sentAt time.Duration) {
	snapshot := f.newBatches(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.tables[table]; ok {
		close(old.changed)
	}
	f.tables[table] = &feedLog{snapshot: snapshot, hasSnapshot: rows.Revision > 0, startRevision: rows.Revision, headRevision: rows.Revision, confirmedAt: sentAt, observedAt: boottime.Now() - rows.observedAge, changed: make(chan struct{})}
	close(f.resetSignal)
	f.resetSignal = make(chan struct{})
}

// publish adds the answer of the store, or of a reader, to a call for changes after a
// revision. sentAt is a time at which the view was certainly current.
func (f *feeds) publish(table Table, after uint64, rows Rows, sentAt time.Duration) {
	added := f.newBatches(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return
	}
	if after > log.headRevision {
		// Some changes arrived through another entry and are missing from this log. A
		// snapshot without them would be incomplete, so it is dropped.
		log.batches, log.batchBytes, log.startRevision, log.snapshot, log.hasSnapshot = nil, 0, after, nil, false
	}
	log.headRevision = max(log.headRevision, rows.Revision)
	log.confirmedAt, log.unreachable, log.arrivingUntil = max(log.confirmedAt, sentAt), false, 0
	if len(added) > 0 {
		log.observedAt = boottime.Now() - rows.observedAge
		log.add(added)
	}
	log.wake()
}

// add adds batches, and removes large rows that they replace and the oldest batches beyond the limits.
func (l *feedLog) add(added []rowBatch) {
	l.snapshot, _ = withoutReplaced(l.snapshot, added)
	var removed int
	l.batches, removed = withoutReplaced(l.batches, added)
	l.batchBytes -= removed
	for _, batch := range added {
		l.batches = append(l.batches, batch)
		l.batchBytes += batch.uncompressedSize
	}
	for len(l.batches) > maxFeedBatches || l.batchBytes > maxFeedBytes && len(l.batches) > len(added) {
		l.startRevision = l.batches[0].revision
		l.batchBytes -= l.batches[0].uncompressedSize
		l.batches = l.batches[1:]
		l.snapshot, l.hasSnapshot = nil, false
	}
}

// wake wakes the followers that wait for a change.
func (l *feedLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// markArriving records that a change of a table is arriving, with which the view will be confirmed.
func (f *feeds) markArriving(table Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if log, ok := f.tables[table]; ok {
		log.arrivingUntil = boottime.Now() + arrivingTTL
	}
}

// markUnreachable records that the store does not answer calls for a table, and wakes waiting followers.
// Followers that continued to wait for a disconnected reader would observe changes too late.
func (f *feeds) markUnreachable(table Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if log, ok := f.tables[table]; ok {
		log.markUnreachable()
	}
}

// markAllUnreachable records that the store does not answer calls for any table.
func (f *feeds) markAllUnreachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, log := range f.tables {
		log.markUnreachable()
	}
}

func (l *feedLog) markUnreachable() {
	if !l.unreachable {
		l.unreachable = true
		l.wake()
	}
}

// head returns the revision of the view of a table; 0 if there is none.
func (f *feeds) head(table Table) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if log, ok := f.tables[table]; ok {
		return log.headRevision
	}
	return 0
}

// isUnreachable reports whether the store does not answer calls for a table.
func (f *feeds) isUnreachable(table Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	return ok && log.unreachable
}

// age returns the age of the view of a table.
func (f *feeds) age(table Table, now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return 0
	}
	return now - log.confirmedAt
}

// FeedRequest asks for changes of a table.
type FeedRequest struct {
	Table Table
	// After is the revision of the follower's view; 0 asks for the whole table.
	After uint64
	// NewerThan is a revision that the whole table must exceed; 0 if any will do.
	NewerThan uint64
	// Age is the age of the follower's view; 0 if it is unknown.
	Age time.Duration
	// Wait is how long the request may be held until there is a change; 0 means feedPollWait.
	Wait time.Duration
}

// changesSince returns the changes after a revision, and waits if there are none yet or, if the
// follower states the age of its view, until that of this entry is newer. With revision 0 it returns
// the whole table. It returns false if the log does not reach back to the revision.
func (f *feeds) changesSince(ctx context.Context, request FeedRequest) (FeedResponse, bool) {
	wait := feedPollWait
	if request.Wait > 0 {
		wait = min(wait, request.Wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	knownAt := boottime.Now() - request.Age
	for timedOut := false; ; {
		response, changed, ok := f.available(request.Table, request.After)
		// A table may be empty, for example while an installation starts.
		isSnapshot := request.After == 0 && response.Revision > request.NewerThan
		isChange := request.After > 0 && len(response.Compressed) > 0
		isNewer := request.Age > 0 && boottime.Now()-response.Age >= knownAt+confirmStep
		if !ok || isChange || isNewer || isSnapshot {
			return response, ok
		}
		if timedOut {
			if request.After == 0 {
				// A snapshot that is too old would be transferred in vain.
				response.Compressed = nil
			}
			return response, ok
		}
		select {
		case <-ctx.Done():
			timedOut = true
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

// available returns what the log has after a revision, and a channel that is closed when
// there may be more.
func (f *feeds) available(table Table, after uint64) (FeedResponse, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	wantsSnapshot := after == 0
	switch {
	case wantsSnapshot && !ok:
		return FeedResponse{}, f.resetSignal, true
	case !ok, log.unreachable && !wantsSnapshot, wantsSnapshot && !log.hasSnapshot, !wantsSnapshot && after < log.startRevision:
		// A reader that is disconnected from the store serves no changes, but it still serves
		// its snapshot and the age of its view, which a new process needs.
		return FeedResponse{}, nil, false
	}
	now := boottime.Now()
	response := FeedResponse{Revision: log.headRevision, Age: now - log.confirmedAt, ObservedAge: now - log.observedAt, ChangedAge: -1, Arriving: now < log.arrivingUntil}
	if wantsSnapshot {
		for _, batch := range log.snapshot {
			response.Compressed = append(response.Compressed, batch.compressed...)
		}
	}
	var changed switchover.Naming
	for _, batch := range log.batches {
		if batch.revision > after {
			response.Compressed = append(response.Compressed, batch.compressed...)
			changed = changed.Earlier(batch.changed)
		}
	}
	if response.ChangedEstimated = changed.Estimated; changed.At != 0 {
		response.ChangedAge = max(now-changed.At, 0)
	}
	return response, log.changed, true
}
