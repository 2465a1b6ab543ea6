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

	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// rowBatch is one answer of the store, or of the reader that passed it on.
type rowBatch struct {
	revision uint64
	// compressed holds the rows as compressRows returned them.
	compressed       []byte
	uncompressedSize int
}

func newRowBatch(rows Rows) rowBatch {
	compressed := rows.compressed
	if compressed == nil && len(rows.Raw) > 0 {
		compressed = compressRows(rows.Raw)
	}
	return rowBatch{revision: rows.Revision, compressed: compressed, uncompressedSize: len(rows.Raw)}
}

// FeedResponse is a reader's response to a call for the rows of a table.
type FeedResponse struct {
	// Revision is the revision up to which the reader's view is current.
	Revision uint64
	// Age is how long ago the read was sent that confirmed the revision.
	Age time.Duration
	// Compressed holds the compressed batches of rows, one after the other, in the order in
	// which the store sent them.
	Compressed []byte
	// Raw holds the rows as the store sent them. It is set only in a fetched response.
	Raw []json.RawMessage
	// Store is the store's uptime as far as the reader knows it, or nil.
	Store *StoreUptime
}

// PathFeed is the path at which entries follow their region's reader.
const PathFeed = "/feed"

// Headers of a feed response. Its body is FeedResponse.Compressed.
const (
	headerRevision = "Feed-Revision"
	// headerAge is in nanoseconds.
	headerAge = "Feed-Age"
	// headerStoreFirst and headerStoreLast are the bounds of the store's uptime, in milliseconds
	// before the response.
	headerStoreFirst = "Store-First"
	headerStoreLast  = "Store-Last"
)

// maxDecompressedBytes bounds the size of a response: a whole table of the store, and twice the
// changes that an entry keeps.
const maxDecompressedBytes = 8 << 20

// gzipWriters reuses the writers' tables. Allocating them costs as much as compressing a list.
var gzipWriters = sync.Pool{New: func() any {
	// NewWriterLevel fails for invalid levels only.
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return w
}}

// compressRows compresses a list of rows.
//
// An uncompressed large desired state would saturate the reader's link. The followers would time
// out and fetch it from the store. It is compressed once, and the result is sent to all followers.
func compressRows(raw []byte) []byte {
	var compressed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&compressed)
	// Writing to a buffer does not fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return compressed.Bytes()
}

// decompressRows returns the lists of rows that were compressed one after the other.
func decompressRows(compressed []byte) ([]json.RawMessage, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	source := bytes.NewReader(compressed)
	r, err := gzip.NewReader(source)
	if err != nil {
		return nil, err
	}
	var lists []json.RawMessage
	for remaining := int64(maxDecompressedBytes); ; {
		r.Multistream(false)
		// A few bytes may decompress to more than the memory of a small host.
		list, err := io.ReadAll(io.LimitReader(r, remaining+1))
		if err != nil {
			return nil, err
		}
		remaining -= int64(len(list))
		switch {
		case remaining < 0:
			return nil, errTooLarge
		case len(list) < 2 || list[0] != '[' || !json.Valid(list):
			return nil, fmt.Errorf("expected a list of rows, got %q", list[:min(len(list), 20)])
		}
		lists = append(lists, list)
		switch err := r.Reset(source); {
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
	response, ok := g.feeds.changesSince(r.Context(), Table(r.URL.Query().Get("Table")), after)
	if !ok && g.feeds.isUnreachable(Table(r.URL.Query().Get("Table"))) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !ok {
		w.Header().Set(headerRevision, strconv.FormatUint(g.feeds.head(Table(r.URL.Query().Get("Table"))), 10))
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Compressed)))
	w.Header().Set(headerRevision, strconv.FormatUint(response.Revision, 10))
	w.Header().Set(headerAge, strconv.FormatInt(int64(response.Age), 10))
	g.mu.Lock()
	store := g.storeUptime(boottime.Now())
	g.mu.Unlock()
	if store != nil {
		w.Header().Set(headerStoreFirst, strconv.Itoa(int(store.First)))
		w.Header().Set(headerStoreLast, strconv.Itoa(int(store.Last)))
	}
	_, _ = w.Write(response.Compressed)
}

// feedTimeout bounds a call for changes.
const feedTimeout = feedPollWait + feedTransferTimeout

// fetchFeed asks another entry for the changes of a table after a revision, or for the whole table
// if the revision is 0. Changes must arrive completely within the timeout. A whole table must
// begin to arrive within it.
func (g *Gateway) fetchFeed(ctx context.Context, address string, table Table, after uint64, timeout time.Duration) (FeedResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	values := url.Values{"Table": {string(table)}, "After": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathFeed+"?"+values.Encode(), nil)
	if err != nil {
		return FeedResponse{}, err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return FeedResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		body := io.Reader(response.Body)
		if after == 0 {
			body = &idleTimeoutReader{body, timer}
		}
		feed, err := decodeFeed(response.Header, body)
		if err == nil {
			g.recordReportedUptime(feed.Store)
		}
		return feed, err
	case http.StatusGone:
		head, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
		if err == nil && after > 0 && revision.Era(head) > revision.Era(after) {
			return FeedResponse{}, ErrStoreRestored
		}
		return FeedResponse{}, ErrRevisionPruned
	case http.StatusServiceUnavailable:
		return FeedResponse{}, errReaderDisconnected
	}
	return FeedResponse{}, fmt.Errorf("feed of table %s from %s: answered %d", table, address, response.StatusCode)
}

// idleTimeoutReader extends a timeout while a body is arriving.
//
// A whole table that many entries fetch at once takes longer than a call may last. If the entries
// gave up and started again, none of the transfers would ever finish.
type idleTimeoutReader struct {
	body  io.Reader
	timer *time.Timer
}

func (r *idleTimeoutReader) Read(data []byte) (int, error) {
	n, err := r.body.Read(data)
	if n > 0 {
		r.timer.Reset(feedTransferTimeout)
	}
	return n, err
}

// decodeFeed decodes a reader's response.
//
// A view continues from the revision of the response. A revision that the store never reaches
// would make the view miss all later changes.
func decodeFeed(header http.Header, body io.Reader) (FeedResponse, error) {
	head, err := strconv.ParseUint(header.Get(headerRevision), 10, 64)
	if err != nil {
		return FeedResponse{}, fmt.Errorf("decode feed: %s: %w", headerRevision, err)
	}
	age, err := strconv.ParseInt(header.Get(headerAge), 10, 64)
	switch {
	case err != nil:
		return FeedResponse{}, fmt.Errorf("decode feed: %s: %w", headerAge, err)
	case revision.Number(head) > maxRevision:
		return FeedResponse{}, fmt.Errorf("decode feed: Revision: %w", errRevision)
	case age < 0:
		return FeedResponse{}, fmt.Errorf("decode feed: Age: %w", errOutOfRange)
	}
	feed := FeedResponse{Revision: head, Age: time.Duration(age)}
	if header.Get(headerStoreFirst) != "" {
		first, firstErr := strconv.ParseUint(header.Get(headerStoreFirst), 10, 16)
		last, lastErr := strconv.ParseUint(header.Get(headerStoreLast), 10, 16)
		if err := errors.Join(firstErr, lastErr); err != nil {
			return FeedResponse{}, fmt.Errorf("decode feed: %s: %w", headerStoreFirst, err)
		}
		feed.Store = &StoreUptime{First: uint16(first), Last: uint16(last)}
	}
	if feed.Compressed, err = io.ReadAll(io.LimitReader(body, maxDecompressedBytes)); err != nil {
		return FeedResponse{}, fmt.Errorf("decode feed: %w", err)
	}
	if feed.Raw, err = decompressRows(feed.Compressed); err != nil {
		return FeedResponse{}, fmt.Errorf("decode feed: %w", err)
	}
	return feed, nil
}
