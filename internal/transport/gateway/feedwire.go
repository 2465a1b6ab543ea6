package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// chunk is an answer of the store, or of the reader that it was told by.
type chunk struct {
	revision uint64
	// packed are the rows as pack made them, and size is what they were before.
	packed []byte
	size   int
}

func newChunk(rows Rows) chunk {
	packed := rows.packed
	if packed == nil && len(rows.Raw) > 0 {
		packed = pack(rows.Raw)
	}
	return chunk{revision: rows.Revision, packed: packed, size: len(rows.Raw)}
}

// FeedAnswer is what a reader tells of a table.
type FeedAnswer struct {
	// Revision is up to where the reader's view is current.
	Revision uint64
	// Age is how long ago the read was sent that confirmed it.
	Age time.Duration
	// Packed are the rows in order of the store's answers, each as pack made it, one
	// after the other.
	Packed []byte
	// Raw are the rows as the store sent them; only where the answer was fetched.
	Raw []json.RawMessage
	// Store is the reader's knowledge of the store's uptime; nil if it has none.
	Store *StoreUptime
}

// PathFeed is where entries follow their region's reader.
const PathFeed = "/feed"

// Headers of an answer; the body is what is packed.
const (
	headerRevision = "Feed-Revision"
	// headerAge is in nanoseconds.
	headerAge = "Feed-Age"
	// headerFirst and headerLast are the store's uptime, in milliseconds before the answer.
	headerFirst = "Store-First"
	headerLast  = "Store-Last"
)

// unpackedMost bounds what an answer may hold: a whole table of the store, and twice what is kept
// of its changes.
const unpackedMost = 8 << 20

// packers keep their tables, which cost as much to allocate as a list to compress.
var packers = sync.Pool{New: func() any {
	// The level is a constant that is allowed.
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

// pack compresses a list of rows.
//
// Guard: sent as the store sends it, a large desired state fills the reader's link; followers time
// out and fetch it themselves. It is compressed once, and sent to all as it is.
func pack(raw []byte) []byte {
	var packed bytes.Buffer
	w := packers.Get().(*gzip.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	// A buffer takes all that is written.
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}

// unpack returns the lists that were packed one after the other.
func unpack(packed []byte) ([]json.RawMessage, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	from := bytes.NewReader(packed)
	r, err := gzip.NewReader(from)
	if err != nil {
		return nil, err
	}
	var lists []json.RawMessage
	for left := int64(unpackedMost); ; {
		r.Multistream(false)
		// Guard: a few bytes may unpack to more than the memory of a small host.
		list, err := io.ReadAll(io.LimitReader(r, left+1))
		if err != nil {
			return nil, err
		}
		left -= int64(len(list))
		switch {
		case left < 0:
			return nil, errTooLarge
		case len(list) < 2 || list[0] != '[' || !json.Valid(list):
			return nil, fmt.Errorf("expected a list of rows, got %q", list[:min(len(list), 20)])
		}
		lists = append(lists, list)
		switch err := r.Reset(from); {
		case errors.Is(err, io.EOF):
			return lists, nil
		case err != nil:
			return nil, err
		}
	}
}

func (g *Gateway) serveFeed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		http.Error(w, "After: expected a number", http.StatusBadRequest)
		return
	}
	answer, ok := g.feeds.since(r.Context(), Table(r.URL.Query().Get("Table")), after)
	if !ok && g.feeds.lost(Table(r.URL.Query().Get("Table"))) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !ok {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Packed)))
	w.Header().Set(headerRevision, strconv.FormatUint(answer.Revision, 10))
	w.Header().Set(headerAge, strconv.FormatInt(int64(answer.Age), 10))
	g.mu.Lock()
	store := g.storeUptime(boottime.Now())
	g.mu.Unlock()
	if store != nil {
		w.Header().Set(headerFirst, strconv.Itoa(int(store.First)))
		w.Header().Set(headerLast, strconv.Itoa(int(store.Last)))
	}
	_, _ = w.Write(answer.Packed)
}

// feedTimeout bounds a call for changes.
const feedTimeout = readerWait + readerTimeout

// fetchFeed asks another entry for changes after a revision, 0 for the whole table. Changes are there
// within a time; a whole table begins to arrive within it.
func (g *Gateway) fetchFeed(ctx context.Context, address string, table Table, after uint64, within time.Duration) (FeedAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(within, cancel)
	defer timer.Stop()
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
	switch response.StatusCode {
	case http.StatusOK:
		body := io.Reader(response.Body)
		if after == 0 {
			body = &progress{body, timer}
		}
		answer, err := decodeFeed(response.Header, body)
		if err == nil {
			g.noteReported(answer.Store)
		}
		return answer, err
	case http.StatusGone:
		return FeedAnswer{}, ErrHistoryGone
	case http.StatusServiceUnavailable:
		return FeedAnswer{}, errReaderLost
	}
	return FeedAnswer{}, fmt.Errorf("answered %d", response.StatusCode)
}

// progress puts a timeout off while a body is arriving.
//
// Guard: a whole table that many entries fetch at once takes longer than a call may last; given up
// and begun again, none would ever arrive.
type progress struct {
	body  io.Reader
	timer *time.Timer
}

func (p *progress) Read(data []byte) (int, error) {
	n, err := p.body.Read(data)
	if n > 0 {
		p.timer.Reset(readerTimeout)
	}
	return n, err
}

// decodeFeed decodes a reader's answer.
//
// Guard: a view goes on from the revision that an answer names. One that no store
// reaches would leave out all that is ever written afterwards.
func decodeFeed(header http.Header, body io.Reader) (FeedAnswer, error) {
	revision, err := strconv.ParseUint(header.Get(headerRevision), 10, 64)
	if err != nil {
		return FeedAnswer{}, fmt.Errorf("decode feed: %s: %w", headerRevision, err)
	}
	age, err := strconv.ParseInt(header.Get(headerAge), 10, 64)
	switch {
	case err != nil:
		return FeedAnswer{}, fmt.Errorf("decode feed: %s: %w", headerAge, err)
	case revision > revisionMost:
		return FeedAnswer{}, fmt.Errorf("decode feed: Revision: %w", errRevision)
	case age < 0:
		return FeedAnswer{}, fmt.Errorf("decode feed: Age: %w", errAge)
	}
	answer := FeedAnswer{Revision: revision, Age: time.Duration(age)}
	if header.Get(headerFirst) != "" {
		first, firstErr := strconv.ParseUint(header.Get(headerFirst), 10, 16)
		last, lastErr := strconv.ParseUint(header.Get(headerLast), 10, 16)
		if err := errors.Join(firstErr, lastErr); err != nil {
			return FeedAnswer{}, fmt.Errorf("decode feed: %s: %w", headerFirst, err)
		}
		answer.Store = &StoreUptime{First: uint16(first), Last: uint16(last)}
	}
	if answer.Packed, err = io.ReadAll(io.LimitReader(body, unpackedMost)); err != nil {
		return FeedAnswer{}, fmt.Errorf("decode feed: %w", err)
	}
	if answer.Raw, err = unpack(answer.Packed); err != nil {
		return FeedAnswer{}, fmt.Errorf("decode feed: %w", err)
	}
	return answer, nil
}
