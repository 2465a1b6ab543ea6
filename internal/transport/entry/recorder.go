package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/order"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
)

// notifyRecorded notifies the agent's gate that the platform has stored the result
// of the order.
func (p *orderRequest) notifyRecorded(row order.Row) {
	if row.State != order.StateDone && row.State != order.StateUnknown {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	_ = p.entry.node.Control().Notify(ctx, row.Agent, control.MethodRecorded, control.Recorded{
		Incarnation:  row.Incarnation,
		Organisation: p.organisation,
		Key:          p.message.IdempotencyKey,
	})
}

// pendingRecord is the result of an order that is not yet stored on the platform.
type pendingRecord struct {
	order    *orderRequest
	key      string
	row      order.Row
	revision uint64
}

const (
	recorderQueueSize  = 4096
	recorderRetryDelay = 500 * time.Millisecond
)

// recorder stores the results of orders that could not be written immediately. It
// retries each until the platform responds.
type recorder struct {
	entry     *Entry
	queue     chan pendingRecord
	unwritten atomic.Int64
}

// pending returns the number of results that are not yet stored.
func (r *recorder) pending() int { return int(r.unwritten.Load()) }

// enqueueRecord queues a result that is not yet stored, if there is one.
func (p *orderRequest) enqueueRecord(key string, result order.Result) {
	if result.PendingRow == nil {
		return
	}
	r := p.entry.recorder
	select {
	case r.queue <- pendingRecord{order: p, key: key, row: *result.PendingRow, revision: result.Revision}:
		r.unwritten.Add(1)
	default:
		p.entry.log.Error("order result dropped: the queue of unwritten results is full", zap.String("Organisation", string(p.organisation)))
	}
}

// run writes queued results until ctx is done.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-r.queue:
			for !r.write(ctx, pending) {
				select {
				case <-ctx.Done():
					return
				case <-time.After(recorderRetryDelay):
				}
			}
			r.unwritten.Add(-1)
		}
	}
}

// write stores a result if its row has not changed. It reports whether the record
// needs no further attempt, which includes a row that has changed since.
func (r *recorder) write(ctx context.Context, pending pendingRecord) bool {
	applied, _, _, err := r.entry.platform.Commit(ctx, platform.Write{Key: pending.key, Value: pending.row, ExpectedRevision: pending.revision})
	if err != nil {
		return false
	}
	if applied {
		pending.order.notifyRecorded(pending.row)
	}
	return true
}
