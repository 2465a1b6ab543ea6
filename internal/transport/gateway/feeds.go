package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// One entry of each region follows the store, the others follow it: the store's
// calls then grow with the regions and not with the entries.
const (
	// readerWait is how long an entry lets the reader wait for a change.
	readerWait = 700 * time.Millisecond
	// readerAge is the age of a reader's view up to which it is used. A reader's
	// own is below 2.1 s; one that has lost the store passes this soon after.
	readerAge = 2300 * time.Millisecond
	// readerTimeout bounds a call to the reader beyond its waiting.
	readerTimeout = 400 * time.Millisecond
	// feedKept is how many answers of the store a reader keeps for the others.
	feedKept = 256
)

// chunk is an answer of the store.
type chunk struct {
	after uint64
	rows  Rows
}

// feedLog is what a reader knows of one table's changes.
type feedLog struct {
	chunks []chunk
	// from and head are the revisions between which all changes are here.
	from, head uint64
	// confirmed is when the read was sent that last confirmed head.
	confirmed time.Duration
	// changed is closed when a chunk is added.
	changed chan struct{}
}

// feeds keeps the logs of all tables.
type feeds struct {
	mu     sync.Mutex
	tables map[Table]*feedLog
}

func newFeeds() *feeds { return &feeds{tables: map[Table]*feedLog{}} }

// restart begins a table's log anew after a whole read.
func (f *feeds) restart(table Table, revision uint64, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.tables[table]; ok {
		close(old.changed)
	}
	f.tables[table] = &feedLog{from: revision, head: revision, confirmed: sent, changed: make(chan struct{})}
}

// publish adds what the store answered to a call for changes after a revision.
func (f *feeds) publish(table Table, after uint64, rows Rows, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return
	}
	if after > log.head {
		// Some changes came through another entry and are not here.
		log.chunks, log.from = nil, after
	}
	log.head = max(log.head, rows.Revision)
	log.confirmed = sent
	if len(rows.Raw) == 0 {
		return
	}
	log.chunks = append(log.chunks, chunk{after: after, rows: rows})
	if len(log.chunks) > feedKept {
		log.from = log.chunks[0].rows.Revision
		log.chunks = log.chunks[1:]
	}
	close(log.changed)
	log.changed = make(chan struct{})
}

// FeedAnswer is what a reader tells of a table.
type FeedAnswer struct {
	// Revision is up to where the reader's view is current.
	Revision uint64
	// Age is how long ago the read was sent that confirmed it.
	Age time.Duration
	// Raw are rows as the store sent them, in order of its answers.
	Raw []json.RawMessage
}

// since returns the changes after a revision, or waits for some. It returns
// false if the log does not reach back so far.
func (f *feeds) since(ctx context.Context, table Table, after uint64) (FeedAnswer, bool) {
	timer := time.NewTimer(readerWait)
	defer timer.Stop()
	for waited := false; ; {
		answer, changed, ok := f.look(table, after)
		if !ok || len(answer.Raw) > 0 || waited {
			return answer, ok
		}
		select {
		case <-ctx.Done():
			waited = true
		case <-timer.C:
			waited = true
		case <-changed:
		}
	}
}

func (f *feeds) look(table Table, after uint64) (FeedAnswer, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok || after < log.from {
		return FeedAnswer{}, nil, false
	}
	answer := FeedAnswer{Revision: log.head, Age: boottime.Now() - log.confirmed}
	for _, c := range log.chunks {
		if c.rows.Revision > after {
			answer.Raw = append(answer.Raw, c.rows.Raw)
		}
	}
	return answer, log.changed, true
}

// PathFeed is where entries follow their region's reader.
const PathFeed = "/feed"

func (g *Gateway) serveFeed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		http.Error(w, "After: expected a number", http.StatusBadRequest)
		return
	}
	answer, ok := g.feeds.since(r.Context(), Table(r.URL.Query().Get("Table")), after)
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// reader returns the peer address of the entry that reads the store for this
// region; false if it is this one.
func (g *Gateway) reader(now time.Duration) (filbertlever.HostID, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var entries []relays.Entry
	addresses := map[filbertlever.HostID]string{}
	for _, e := range g.peers.alive(now) {
		if e.Region == g.config.Self.Region && (e.Host == g.config.Self.Host || g.peers.isReady(e.Host)) {
			entries = append(entries, relays.Entry{Host: e.Host, Site: e.Region})
			addresses[e.Host] = e.Peers
		}
	}
	host := relays.Home(entries, g.config.Self.Region, "reader")
	return host, addresses[host], host != g.config.Self.Host
}

// followReader asks the region's reader for changes after a revision. It returns
// the time at which the view was surely current. It returns false if the store
// must be asked instead: this entry is the reader, or the reader is gone, does
// not reach back so far, or has not heard from the store for too long.
func (g *Gateway) followReader(ctx context.Context, table Table, after uint64) (Rows, time.Duration, bool) {
	sent := boottime.Now()
	host, address, other := g.reader(sent)
	if !other {
		return Rows{}, 0, false
	}
	answer, err := g.fetchFeed(ctx, address, table, after)
	if err == nil && answer.Age > readerAge {
		err = fmt.Errorf("its view is %v old", answer.Age)
	}
	if err != nil {
		g.log.Info("store asked directly", zap.String("Table", string(table)), zap.String("Reader", string(host)), zap.Error(err))
		return Rows{}, 0, false
	}
	rows := Rows{Revision: max(answer.Revision, after), Raw: joinRows(answer.Raw)}
	return rows, sent - answer.Age, true
}

func (g *Gateway) fetchFeed(ctx context.Context, address string, table Table, after uint64) (FeedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, readerWait+readerTimeout)
	defer cancel()
	values := url.Values{"Table": {string(table)}, "After": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathFeed+"?"+values.Encode(), nil)
	if err != nil {
		return FeedAnswer{}, err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return FeedAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return FeedAnswer{}, fmt.Errorf("answered %d", response.StatusCode)
	}
	var answer FeedAnswer
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// joinRows makes one list of several.
func joinRows(lists []json.RawMessage) []byte {
	if len(lists) == 0 {
		return nil
	}
	joined := []byte{'['}
	for i, list := range lists {
		if i > 0 {
			joined = append(joined, ',')
		}
		joined = append(joined, list[1:len(list)-1]...)
	}
	return append(joined, ']')
}
