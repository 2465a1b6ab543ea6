package gateway

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// rowBatch holds rows that are sent together.
type rowBatch struct {
	// revision is that of the answer in which the rows arrived.
	revision uint64
	// compressed holds the rows as compressRows returned them.
	compressed       []byte
	uncompressedSize int
	// key is that of the only row if it is large; otherwise empty. A later row with the same key
	// replaces the batch.
	key string
	// changed is when the oldest row was written; zero if unknown.
	changed switchover.Naming
}

// largeRow is the size from which on a row is sent only in its newest version.
const largeRow = 8 << 10

// newBatches compresses rows, or reuses the batches in which another entry sent them. Each large row
// gets a batch of its own, and only the newest version of it is kept.
func (f *feeds) newBatches(rows Rows) []rowBatch {
	lists := rows.batches
	if lists == nil && len(rows.Raw) > 0 {
		lists = f.separateLargeRows(rows.Raw)
	}
	var batches []rowBatch
	for _, list := range lists {
		batch := rowBatch{revision: rows.Revision, compressed: list.compressed, uncompressedSize: len(list.raw), key: list.key, changed: rows.changed}
		if batch.compressed == nil {
			batch.compressed = compressKeyedRows(list.raw, list.key)
		}
		batches, _ = withoutReplaced(batches, []rowBatch{batch})
		batches = append(batches, batch)
	}
	return batches
}

// rowList is a list of rows, and its compressed form if it is known. key is that of the only row if it
// is large; otherwise empty.
type rowList struct {
	raw        json.RawMessage
	compressed []byte
	key        string
}

// rawOf returns the rows of lists.
func rawOf(lists []rowList) []json.RawMessage {
	var raw []json.RawMessage
	for _, list := range lists {
		raw = append(raw, list.raw)
	}
	return raw
}

// separateLargeRows splits a list into the small rows, in their order, and a list for each large row.
func (f *feeds) separateLargeRows(raw []byte) []rowList {
	var rows []json.RawMessage
	if f.rowKey == nil || len(raw) < largeRow || json.Unmarshal(raw, &rows) != nil {
		return []rowList{{raw: raw}}
	}
	var small []json.RawMessage
	var large []rowList
	for _, row := range rows {
		list := append(append(json.RawMessage("["), row...), ']')
		if len(row) < largeRow {
			small = append(small, list)
		} else {
			large = append(large, rowList{raw: list, key: f.rowKey(row)})
		}
	}
	if len(small) > 0 {
		large = append([]rowList{{raw: joinRows(small)}}, large...)
	}
	return large
}

// withoutReplaced returns the batches that none of the added ones replaces, and the uncompressed size
// of the others.
func withoutReplaced(batches, added []rowBatch) (kept []rowBatch, removedBytes int) {
	for _, batch := range batches {
		if batch.key != "" && slices.ContainsFunc(added, func(a rowBatch) bool { return a.key == batch.key }) {
			removedBytes += batch.uncompressedSize
			continue
		}
		kept = append(kept, batch)
	}
	return kept, removedBytes
}

// FeedResponse is a reader's response to a call for the rows of a table.
type FeedResponse struct {
	// Revision is the revision up to which the reader's view is current.
	Revision uint64
	// Age is how long ago the read was sent that confirmed the revision.
	Age time.Duration
	// ObservedAge is how long ago the region's reader received the newest change.
	ObservedAge time.Duration
	// ChangedAge is how long ago the oldest of the rows was written, as far as the reader knows; negative if
	// unknown. ChangedEstimated is true if it may have been written later.
	ChangedAge       time.Duration
	ChangedEstimated bool
	// Arriving is true if the reader is receiving a change, with which it will confirm its view.
	Arriving bool
	// Compressed holds the compressed batches of rows, one after the other, in the order in
	// which the store sent them.
	Compressed []byte
	// Raw holds the rows as the store sent them. It is set only in a fetched response.
	Raw []json.RawMessage
	// batches are the lists of Raw with their compressed forms.
	batches []rowList
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
	// headerObservedAge is in nanoseconds, and headerArriving is present if a change is arriving.
	headerObservedAge = "Feed-Observed-Age"
	headerArriving    = "Feed-Arriving"
	// headerChangedAge is in nanoseconds, and headerChangedEstimated present if that age is estimated.
	headerChangedAge       = "Feed-Changed-Age"
	headerChangedEstimated = "Feed-Changed-Estimated"
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
func compressRows(raw []byte) []byte { return compressKeyedRows(raw, "") }

// compressKeyedRows is compressRows for a large row. Its key is in the header of the result, so that the
// followers do not decode the row for it.
func compressKeyedRows(raw []byte, key string) []byte {
	var compressed bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&compressed)
	w.Name = url.QueryEscape(key)
	// Writing to a buffer does not fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return compressed.Bytes()
}

// decompressRows returns the lists of rows that were compressed one after the other.
func decompressRows(compressed []byte) ([]rowList, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	source := bytes.NewReader(compressed)
	r, err := gzip.NewReader(source)
	if err != nil {
		return nil, err
	}
	var lists []rowList
	for remaining, start := int64(maxDecompressedBytes), 0; ; {
		r.Multistream(false)
		key, err := url.QueryUnescape(r.Name)
		if err != nil || len(key) > maxNameBytes {
			return nil, errName
		}
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
		// The reader reads no further than the end of a list.
		end := len(compressed) - source.Len()
		lists = append(lists, rowList{raw: list, compressed: compressed[start:end], key: key})
		start = end
		switch err := r.Reset(source); {
		case errors.Is(err, io.EOF):
			return lists, nil
		case err != nil:
			return nil, err
		}
	}
}

func (g *Gateway) serveFeed(w http.ResponseWriter, r *http.Request) {
	request, err := parseFeedRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, ok := g.feeds.changesSince(r.Context(), request)
	if !ok && g.feeds.isUnreachable(request.Table) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !ok {
		w.Header().Set(headerRevision, strconv.FormatUint(g.feeds.head(request.Table), 10))
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Compressed)))
	w.Header().Set(headerRevision, strconv.FormatUint(response.Revision, 10))
	w.Header().Set(headerAge, strconv.FormatInt(int64(response.Age), 10))
	w.Header().Set(headerObservedAge, strconv.FormatInt(int64(response.ObservedAge), 10))
	if response.Arriving {
		w.Header().Set(headerArriving, "true")
	}
	if response.ChangedAge >= 0 {
		w.Header().Set(headerChangedAge, strconv.FormatInt(int64(response.ChangedAge), 10))
	}
	if response.ChangedEstimated {
		w.Header().Set(headerChangedEstimated, "true")
	}
	g.mu.Lock()
	store := g.storeUptime(boottime.Now())
	g.mu.Unlock()
	if store != nil {
		w.Header().Set(headerStoreFirst, strconv.Itoa(int(store.First)))
		w.Header().Set(headerStoreLast, strconv.Itoa(int(store.Last)))
	}
	g.feeds.sending.Add(1)
	defer g.feeds.sending.Add(-1)
	_, _ = w.Write(response.Compressed)
}

// Query parameters of a feed request.
const (
	paramTable     = "Table"
	paramAfter     = "After"
	paramNewerThan = "NewerThan"
	// paramAge and paramWait are in nanoseconds.
	paramAge  = "Age"
	paramWait = "Wait"
)

// query encodes a request.
func (r FeedRequest) query() url.Values {
	values := url.Values{paramTable: {string(r.Table)}, paramAfter: {strconv.FormatUint(r.After, 10)}}
	for name, value := range map[string]uint64{paramNewerThan: r.NewerThan, paramAge: uint64(r.Age), paramWait: uint64(r.Wait)} {
		if value > 0 {
			values.Set(name, strconv.FormatUint(value, 10))
		}
	}
	return values
}

// parseFeedRequest decodes a request. Parameters that earlier builds do not send may be absent.
func parseFeedRequest(values url.Values) (FeedRequest, error) {
	request := FeedRequest{Table: Table(values.Get(paramTable))}
	var age, wait uint64
	for name, target := range map[string]*uint64{paramAfter: &request.After, paramNewerThan: &request.NewerThan, paramAge: &age, paramWait: &wait} {
		if name != paramAfter && values.Get(name) == "" {
			continue
		}
		var err error
		if *target, err = strconv.ParseUint(values.Get(name), 10, 63); err != nil {
			return FeedRequest{}, fmt.Errorf("%s: expected a number", name)
		}
	}
	request.Age, request.Wait = time.Duration(age), time.Duration(wait)
	return request, nil
}

// feedTimeout bounds a call for changes.
const feedTimeout = feedPollWait + feedTransferTimeout

// fetchFeed asks another entry for the changes of a table. They must begin to arrive within the timeout
// and then arrive without longer pauses than feedTransferTimeout. onProgress is called whenever some
// have arrived; it may be nil.
func (g *Gateway) fetchFeed(ctx context.Context, address string, wanted FeedRequest, timeout time.Duration, onProgress func()) (FeedResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeout, func() { cancel(errSourceSilent) })
	defer timer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathFeed+"?"+wanted.query().Encode(), nil)
	if err != nil {
		return FeedResponse{}, err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return FeedResponse{}, cmp.Or(context.Cause(ctx), err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		timer.Stop()
		timer = time.AfterFunc(feedTransferTimeout, func() { cancel(errSourceStalled) })
		defer timer.Stop()
		feed, err := decodeFeed(response.Header, &idleTimeoutReader{response.Body, timer, onProgress})
		if err != nil {
			return FeedResponse{}, cmp.Or(context.Cause(ctx), err)
		}
		g.recordReportedUptime(feed.Store)
		return feed, nil
	case http.StatusGone:
		head, err := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
		if err == nil && wanted.After > 0 && head <= wanted.After {
			return FeedResponse{}, errSourceBehind
		}
		if err == nil && wanted.After > 0 && revision.Era(head) > revision.Era(wanted.After) {
			return FeedResponse{}, ErrStoreRestored
		}
		return FeedResponse{}, ErrRevisionPruned
	case http.StatusServiceUnavailable:
		return FeedResponse{}, errReaderDisconnected
	}
	return FeedResponse{}, fmt.Errorf("feed of table %s from %s: answered %d", wanted.Table, address, response.StatusCode)
}

// Errors of calls to other entries.
var (
	errSourceSilent  = errors.New("the entry did not respond in time")
	errSourceStalled = errors.New("the response stopped arriving")
	errSourceBehind  = errors.New("the view of the entry is older than the requested changes")
)

// idleTimeoutReader extends a timeout while a body is arriving.
//
// Rows that many entries fetch at once take longer than a call may last. If the entries gave up and
// started again, none of the transfers would ever finish.
type idleTimeoutReader struct {
	body       io.Reader
	timer      *time.Timer
	onProgress func()
}

func (r *idleTimeoutReader) Read(data []byte) (int, error) {
	n, err := r.body.Read(data)
	if n > 0 {
		r.timer.Reset(feedTransferTimeout)
		if r.onProgress != nil {
			r.onProgress()
		}
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
	if observed, err := strconv.ParseInt(header.Get(headerObservedAge), 10, 64); err == nil && observed > 0 {
		feed.ObservedAge = time.Duration(observed)
	}
	feed.Arriving, feed.ChangedEstimated, feed.ChangedAge = header.Get(headerArriving) != "", header.Get(headerChangedEstimated) != "", -1
	if changed, err := strconv.ParseInt(header.Get(headerChangedAge), 10, 64); err == nil {
		feed.ChangedAge = time.Duration(changed)
	}
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
	if feed.batches, err = decompressRows(feed.Compressed); err != nil {
		return FeedResponse{}, fmt.Errorf("decode feed: %w", err)
	}
	feed.Raw = rawOf(feed.batches)
	return feed, nil
}
