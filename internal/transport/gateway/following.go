package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// livenessInterval is the interval at which an entry that waits for a source checks that it is alive.
const livenessInterval = 200 * time.Millisecond

// alternateWait is how long a source may hold a request that is made because another source failed.
const alternateWait = 50 * time.Millisecond

// followReader asks the entries above this one in the region's tree for changes. It also returns a
// time at which the view was certainly current. It returns false if this entry must ask the store
// itself, because it is the reader, or because its sources fail and it is its turn. It fails if several
// readers are disconnected from the store, or if it is not this entry's turn.
//
// If the reader is disconnected, its followers ask the next reader, and only that one asks the
// store. If all followers asked the store, each would fetch the same large desired state over
// one slow link.
//
// If the store answers no entry, one entry keeps trying and the others ask the readers again
// a little later. They also ask the store one after the other: that it did not answer an entry may
// be due to an outage that has ended, after which it does not answer the one that keeps trying.
//
// Readers whose calls the store leaves unanswered notice it one after the other, which takes
// too long to remove servers that leave within their time limit. The rows of servers are small,
// so a follower of such a reader asks the store for them itself.
func (w *tableWatch) followReader(ctx context.Context) (Rows, time.Duration, bool, error) {
	g := w.gateway
	var previous filbertlever.HostID
	for range maxReaderAttempts {
		now := boottime.Now()
		from := g.selectSources(now)
		if len(from.hosts) == 0 {
			w.failingSince = 0
			return Rows{}, 0, false, nil
		}
		w.position, w.size = from.position, from.size
		if w.asksStore(now) {
			g.log.Info("asking the store, as the view is old", w.fields(zap.Int("Position", from.position), zap.Duration("Age", now-w.confirmedAt))...)
			return Rows{}, 0, false, nil
		}
		if from.root == previous {
			// Only the entry that keeps trying for all others is left.
			break
		}
		previous = from.root
		rows, at, step, err := w.fetchChanges(ctx, from)
		switch {
		case err == nil:
			w.failingSince = 0
			return rows, at, true, nil
		case errors.Is(err, errViewDue):
			// The next round asks the store, or other sources.
			continue
		case errors.Is(err, ErrStoreRestored):
			return Rows{}, 0, false, err
		case errors.Is(err, ErrRevisionPruned) && g.isRegionStarting(now):
			// The reader has not read the table yet.
			return Rows{}, 0, false, errReaderDisconnected
		case errors.Is(err, ErrRevisionPruned):
			// Other entries have a newer view, but not the changes since this one.
			return Rows{}, 0, false, err
		case errors.Is(err, errReaderDisconnected):
			g.log.Info("reader disconnected from the store", zap.String("Table", string(w.table)), zap.String("Reader", string(from.root)))
			g.mu.Lock()
			g.peers.markStoreUnreachable(from.root)
			readsItself := w.table == TableBackends && !g.storeUnreachable(now) && g.storeIsUp(now)
			g.mu.Unlock()
			if readsItself {
				return Rows{}, 0, false, nil
			}
			continue
		}
		if w.failingSince == 0 {
			w.failingSince = boottime.Now()
		}
		if step == relays.StepReadStore {
			g.log.Info("asking the store instead of other entries", w.fields(zap.Int("Position", from.position), zap.Duration("FailingFor", boottime.Now()-w.failingSince), zap.Error(err))...)
			return Rows{}, 0, false, nil
		}
		return Rows{}, 0, false, fmt.Errorf("%w: %w", errSourcesFailed, err)
	}
	if w.mayRetryStore(boottime.Now()) {
		g.log.Info("asking the store again instead of the disconnected reader", w.fields(zap.String("Reader", string(previous)))...)
		return Rows{}, 0, false, nil
	}
	return Rows{}, 0, false, errReaderDisconnected
}

// errSourcesDead means that all sources stopped sending heartbeats while they were asked.
var errSourcesDead = errors.New("the other entries count as dead")

// errSourcesFailed means that no other entry has a usable view, and that it is not this entry's turn to
// ask the store.
var errSourcesFailed = errors.New("no other entry has a recent view")

// errViewDue means that no source confirmed the view before this entry's turn to ask the store.
var errViewDue = errors.New("the view is due to be confirmed")

// view returns what this entry knows about the age of its view of the table.
func (w *tableWatch) view() freshness.View {
	v := freshness.View{ConfirmedAt: w.confirmedAt, UnansweredAt: time.Duration(w.gateway.storeUnansweredAt.Load())}
	if w.table != TableEntries && w.confirmedAt != 0 {
		v.Limit = time.Duration(w.gateway.applyDelay.Load())
	}
	return v
}

// asksStore reports whether this entry asks the store itself, although others may be asked.
func (w *tableWatch) asksStore(now time.Duration) bool {
	v := w.view()
	if w.table != TableDesired && v.StoreIsAway(now) {
		// The calls for desired states find out when the store is back.
		return false
	}
	return v.AsksStore(relays.StoreAge(v.Limit, w.position, w.size), now)
}

// isDue reports whether the view has to be confirmed soon.
func (w *tableWatch) isDue(now time.Duration) bool {
	v := w.view()
	return v.Limit > 0 && now-v.ConfirmedAt >= relays.StoreAge(v.Limit, 0, w.size)
}

// untilDue returns the time until the view has to be confirmed soon, or until this entry asks the store. It
// returns livenessInterval if there is nothing to wait for.
func (w *tableWatch) untilDue(now time.Duration) time.Duration {
	v := w.view()
	if v.Limit <= 0 {
		return livenessInterval
	}
	for _, position := range []int{0, w.position} {
		if left := v.ConfirmedAt + relays.StoreAge(v.Limit, position, w.size) - now; left > 0 {
			return left
		}
	}
	return livenessInterval
}

// retryDelay returns how long to wait before the sources are asked again.
func (w *tableWatch) retryDelay(now time.Duration) time.Duration {
	return min(readerRetryDelay, w.untilDue(now))
}

// sourceCall is a call to another entry.
type sourceCall struct {
	gateway  *Gateway
	host     filbertlever.HostID
	address  string
	request  FeedRequest
	timeout  time.Duration
	response FeedResponse
	err      error
	// sentAt, arrivingAt and endedAt are when the call was made, when its response began to arrive and
	// when it ended.
	sentAt, arrivingAt, endedAt time.Duration
	arriving                    chan<- *sourceCall
	ended                       chan<- *sourceCall
}

// run makes the call. Both channels have room for it.
func (c *sourceCall) run(ctx context.Context) {
	c.response, c.err = c.gateway.fetchFeed(ctx, c.address, c.request, c.timeout, func() {
		if c.arrivingAt == 0 {
			c.arrivingAt = boottime.Now()
			c.arriving <- c
		}
		c.gateway.feeds.markArriving(c.request.Table)
	})
	c.endedAt = boottime.Now()
	c.ended <- c
}

// fetchChanges asks the sources for changes until one of them responds. If none does, it returns the
// error of the last one, and whether to ask the store or the sources again.
func (w *tableWatch) fetchChanges(ctx context.Context, from sources) (Rows, time.Duration, relays.StepKind, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arriving, ended := make(chan *sourceCall, len(from.hosts)), make(chan *sourceCall, len(from.hosts))
	state := relays.Following{Sources: relays.PreferResponsive(from.hosts, w.isSuspected), Position: from.position, FailingSince: w.failingSince}
	index := map[*sourceCall]int{}
	var pruned error
	err := errSourcesDead
	for {
		state.Now = boottime.Now()
		w.gateway.failDead(state.Attempts, state.Now)
		if w.asksStore(state.Now) && !state.IsArriving() {
			for _, a := range state.Attempts {
				w.suspects[a.Source] = state.Now + relays.SuspicionTTL
			}
			return Rows{}, 0, relays.StepRetry, errViewDue
		}
		state.Due = w.isDue(state.Now)
		step := state.Next()
		timer := time.After(min(livenessInterval, w.untilDue(state.Now)))
		switch step.Kind {
		case relays.StepAsk:
			call := w.newSourceCall(step.Source, from, len(state.Attempts) > 0)
			call.arriving, call.ended = arriving, ended
			index[call] = len(state.Attempts)
			state.Attempts = append(state.Attempts, relays.Attempt{Source: step.Source})
			go call.run(ctx)
			continue
		case relays.StepReadStore, relays.StepRetry:
			return Rows{}, 0, step.Kind, cmp.Or(pruned, err)
		case relays.StepWait:
			if step.Until > 0 {
				timer = time.After(min(step.Until-state.Now, livenessInterval))
			}
		}
		select {
		case <-ctx.Done():
			return Rows{}, 0, relays.StepRetry, ctx.Err()
		case <-timer:
		case call := <-arriving:
			state.Attempts[index[call]].ArrivingSince = boottime.Now()
		case call := <-ended:
			rows, at, ok := w.gateway.acceptFeed(w.table, call.host, w.revision, call.sentAt, call.response, call.err)
			if ok && state.Due && len(rows.Raw) == 0 && at <= w.confirmedAt {
				ok = false
			}
			w.countFetch(call, from, ok)
			if ok {
				rows.source, rows.waited, rows.transferred = call.host, call.endedAt-call.sentAt, 0
				if call.arrivingAt > 0 {
					rows.waited, rows.transferred = call.arrivingAt-call.sentAt, call.endedAt-call.arrivingAt
				}
				rows.changed = w.gateway.changedIn(call)
				return rows, at, step.Kind, nil
			}
			state.Attempts[index[call]].Failed = true
			err = call.failure()
			switch {
			case errors.Is(err, ErrStoreRestored), errors.Is(err, errReaderDisconnected) && call.host == from.root:
				return Rows{}, 0, step.Kind, err
			case errors.Is(err, ErrRevisionPruned):
				pruned = err
			}
			w.suspects[call.host] = boottime.Now() + relays.SuspicionTTL
		}
	}
}

// failDead marks the calls to entries that no longer count as alive as failed. Such an entry is noticed
// before its calls time out.
func (g *Gateway) failDead(attempts []relays.Attempt, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, a := range attempts {
		if !a.Failed && !g.peers.isHostAlive(a.Source, now) {
			attempts[i].Failed = true
		}
	}
}

// newSourceCall returns a call to a source. alternate is true if another source was asked before.
func (w *tableWatch) newSourceCall(host filbertlever.HostID, from sources, alternate bool) *sourceCall {
	now := boottime.Now()
	call := &sourceCall{gateway: w.gateway, host: host, address: from.addresses[host], sentAt: now, timeout: feedTimeout,
		request: FeedRequest{Table: w.table, After: w.revision, Age: w.gateway.feeds.age(w.table, now)}}
	if alternate {
		call.request.Wait, call.timeout = alternateWait, alternateWait+feedTransferTimeout
	}
	return call
}

// failure returns why the response of an ended call cannot be used.
func (c *sourceCall) failure() error {
	if c.err != nil {
		return c.err
	}
	return errOldView
}

// isSuspected reports whether a source failed recently.
func (w *tableWatch) isSuspected(host filbertlever.HostID) bool {
	until, ok := w.suspects[host]
	if ok && boottime.Now() >= until {
		delete(w.suspects, host)
		return false
	}
	return ok
}

// countFetch counts a call to a source.
func (w *tableWatch) countFetch(c *sourceCall, from sources, ok bool) {
	source, result := "Alternate", "Failed"
	switch c.host {
	case from.hosts[0]:
		source = "Parent"
	case from.root:
		source = "Root"
	}
	switch err := c.failure(); {
	case ok:
		result = "Answered"
	case errors.Is(err, errSourceSilent):
		result = "Silent"
	case errors.Is(err, errSourceStalled):
		result = "Stalled"
	case errors.Is(err, errReaderDisconnected):
		result = "Disconnected"
	case errors.Is(err, ErrRevisionPruned):
		result = "Pruned"
	case errors.Is(err, errOldView), errors.Is(err, errSourceBehind):
		result = "Stale"
	}
	w.gateway.feeds.fetches.WithLabelValues(string(w.table), source, result).Inc()
}

// maxReaderAttempts limits how many readers are asked one after the other.
const maxReaderAttempts = 3

// errReaderEra means that a reader has not learned yet that the store was restored.
var errReaderEra = errors.New("the view of the reader is from an earlier era of the store")

// errReaderDisconnected means that the store does not answer the reader.
var errReaderDisconnected = errors.New("the reader is disconnected from the store")

// acceptFeed returns the rows of another entry's response. It returns false if the call failed or
// the view of that entry is too old.
func (g *Gateway) acceptFeed(table Table, host filbertlever.HostID, after uint64, sentAt time.Duration, response FeedResponse, err error) (Rows, time.Duration, bool) {
	if err == nil && revision.Era(response.Revision) < revision.Era(after) {
		err = errReaderEra
	}
	limit := maxAgeOf(table)
	if response.Arriving {
		// Another entry would fetch the same change again.
		limit *= 2
	}
	if err == nil && response.Age > limit {
		err = fmt.Errorf("view of the entry is %v old, the limit is %v", response.Age, limit)
	}
	if err != nil {
		g.log.Info("no changes from another entry", zap.String("Table", string(table)), zap.String("Source", string(host)), zap.Error(err))
		return Rows{}, 0, false
	}
	if response.Arriving {
		g.feeds.markArriving(table)
	}
	rows := Rows{Revision: max(response.Revision, after), Raw: joinRows(response.Raw), batches: response.batches, observedAge: response.ObservedAge}
	return rows, sentAt - response.Age, true
}

// changedIn returns when the rows in the response of an ended call were written. The response may have waited
// in the socket while this process was suspended, so that its ages count from when the call was made.
func (g *Gateway) changedIn(c *sourceCall) switchover.Naming {
	if c.response.ChangedAge < 0 {
		return switchover.Naming{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	givenAt := cmp.Or(c.arrivingAt, c.endedAt)
	if g.peers.suspensions.Interrupted(c.sentAt, boottime.Now()) {
		givenAt = c.sentAt
	}
	return switchover.Naming{At: givenAt - c.response.ChangedAge, Estimated: c.response.ChangedEstimated || givenAt == c.sentAt}
}

// maxAgeOf returns the maximum age of a reader's view of a table that a follower accepts.
func maxAgeOf(table Table) time.Duration {
	if table == TableEntries {
		return maxEntriesFeedAge
	}
	return maxFeedAge
}
