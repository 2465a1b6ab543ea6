package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// FetchConfig holds the limits and timeouts of a Fetcher.
type FetchConfig struct {
	Planner distribution.Config
	// StallTimeout is how long a fetch may receive no data before it is cancelled.
	StallTimeout time.Duration
	// PeerWait is how long a peer that does not have a chunk yet may wait for it before it
	// responds.
	PeerWait time.Duration
}

// DefaultFetchConfig returns the configuration used in production.
func DefaultFetchConfig() FetchConfig {
	return FetchConfig{Planner: distribution.DefaultConfig(), StallTimeout: time.Second, PeerWait: time.Second}
}

// FetchedBytes counts the bytes fetched, by kind of source.
type FetchedBytes struct {
	Origin, Store, Peer atomic.Int64
}

// Add counts n bytes from a kind of source.
func (b *FetchedBytes) Add(kind distribution.SourceKind, n int) {
	switch kind {
	case distribution.SourceOrigin:
		b.Origin.Add(int64(n))
	case distribution.SourceStore:
		b.Store.Add(int64(n))
	default:
		b.Peer.Add(int64(n))
	}
}

// Fetcher fetches sets of weights into a library. It is safe for concurrent use.
type Fetcher struct {
	config       FetchConfig
	self         distribution.Peer
	chunkLibrary *Library
	sources      Sources
	log          *zap.Logger
	// Fetched counts the bytes fetched.
	Fetched FetchedBytes
}

// NewFetcher returns a fetcher for a host.
func NewFetcher(config FetchConfig, self distribution.Peer, library *Library, sources Sources, log *zap.Logger) *Fetcher {
	return &Fetcher{config: config, self: self, chunkLibrary: library, sources: sources, log: log}
}

// Fetch fetches and verifies every missing chunk of a set whose manifest is in the library,
// and returns nil once all chunks are stored. The hosts are those that fetch the same set.
func (f *Fetcher) Fetch(ctx context.Context, digest filbertlever.Digest, hosts []distribution.Peer, favour bundle.Favour) error {
	manifest := f.chunkLibrary.Manifest(digest)
	if manifest == nil {
		return fmt.Errorf("fetch weights %s: manifest unknown", digest.Short())
	}
	config := f.config.Planner
	config.FetchStragglersFromOrigin = favour == bundle.FavourTime
	now := time.Now()
	t := &transfer{
		fetcher:  f,
		digest:   digest,
		manifest: manifest,
		planner:  distribution.New(config, f.self, len(manifest.Chunks), hosts, f.chunkLibrary.highest(digest), now),
		events:   make(chan event, config.Window),
	}
	for i, chunk := range manifest.Chunks {
		if f.chunkLibrary.chunks.Get(chunk) != nil {
			t.planner.MarkHeld(i)
		}
	}
	return t.loop(ctx)
}

// transfer is the fetch of one set in progress.
type transfer struct {
	fetcher  *Fetcher
	digest   filbertlever.Digest
	manifest *bundle.Manifest
	planner  *distribution.Planner
	events   chan event
	workers  sync.WaitGroup
}

type eventKind int

const (
	eventProgress eventKind = iota + 1
	eventHighest
	eventEnd
)

// event is sent by a worker to the loop.
type event struct {
	kind  eventKind
	chunk int
	// highest is set for eventHighest.
	highest int
	err     error
}

// loop owns the planner. It starts fetches and handles their events.
func (t *transfer) loop(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer t.workers.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !t.planner.Complete() {
		wait := t.start(ctx)
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return fmt.Errorf("fetch weights %s: %w", t.digest.Short(), ctx.Err())
		case e := <-t.events:
			t.handle(e)
		case <-timer.C:
		}
	}
	return nil
}

// start starts every fetch that the planner returns, and returns the time until the planner
// may return another.
func (t *transfer) start(ctx context.Context) time.Duration {
	for {
		fetch, ok, wait := t.planner.Next(time.Now())
		if !ok {
			return max(wait, time.Millisecond)
		}
		w := worker{transfer: t, fetch: fetch}
		t.workers.Go(func() { w.run(ctx) })
		if ce := t.fetcher.log.Check(zap.DebugLevel, "chunk fetch started"); ce != nil {
			ce.Write(zap.String("Weights", t.digest.Short()), zap.Int("Chunk", fetch.Chunk),
				zap.Stringer("Source", fetch.Source.Kind), zap.String("Peer", string(fetch.Source.Host)),
				zap.String("Reason", string(fetch.Reason)))
		}
	}
}

// handle updates the planner with an event.
func (t *transfer) handle(e event) {
	now := time.Now()
	switch e.kind {
	case eventProgress:
		t.planner.Progress(e.chunk, now)
	case eventHighest:
		t.planner.ObserveHighest(e.highest, now)
	case eventEnd:
		t.end(e, now)
	}
	t.fetcher.chunkLibrary.setHighest(t.digest, t.planner.Highest())
}

// end reports the end of a fetch to the planner.
func (t *transfer) end(e event, now time.Time) {
	if e.err == nil {
		t.planner.Done(e.chunk, now)
		return
	}
	failure := failureOf(e.err)
	t.planner.Failed(e.chunk, failure, now)
	if failure != distribution.FailureNotAvailable {
		t.fetcher.log.Info("chunk not fetched", zap.String("Weights", t.digest.Short()),
			zap.Int("Chunk", e.chunk), zap.Error(e.err))
	}
}

var errCorrupt = errors.New("chunk does not match its digest")

func failureOf(err error) distribution.Failure {
	switch {
	case errors.Is(err, ErrNotYet):
		return distribution.FailureNotAvailable
	case errors.Is(err, ErrStalled):
		return distribution.FailureStalled
	case errors.Is(err, errCorrupt):
		return distribution.FailureCorrupt
	default:
		return distribution.FailureError
	}
}

// worker fetches one chunk.
type worker struct {
	transfer *transfer
	fetch    distribution.Fetch
}

func (w *worker) run(ctx context.Context) {
	data, err := w.get(ctx)
	if err == nil {
		err = w.store(data)
	}
	if err != nil {
		err = fmt.Errorf("fetch from %s %s: %w", w.fetch.Source.Kind, w.fetch.Source.Host, err)
	}
	w.send(ctx, event{kind: eventEnd, chunk: w.fetch.Chunk, err: err})
}

// get fetches the chunk, and fails with ErrStalled if no data arrives within the stall
// timeout.
//
// A link that stalls without an error leaves its connection open indefinitely. A stall can
// be detected only because no data arrives.
func (w *worker) get(ctx context.Context) ([]byte, error) {
	config := w.transfer.fetcher.config
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(config.PeerWait+config.StallTimeout, func() { cancel(ErrStalled) })
	defer watchdog.Stop()
	lastProgress := time.Now()
	wait := config.PeerWait
	if w.fetch.Probe {
		wait = 0
	}
	data, err := w.transfer.fetcher.sources.Chunk(ctx, Request{
		Set:         w.transfer.digest,
		Manifest:    w.transfer.manifest,
		Chunk:       w.fetch.Chunk,
		Descendants: w.fetch.Descendants,
		Source:      w.fetch.Source,
		Wait:        wait,
		Progress: func() {
			watchdog.Reset(config.StallTimeout)
			if now := time.Now(); now.Sub(lastProgress) > config.StallTimeout/4 {
				lastProgress = now
				w.send(ctx, event{kind: eventProgress, chunk: w.fetch.Chunk})
			}
		},
		Highest: func(highest int) {
			w.send(ctx, event{kind: eventHighest, highest: highest})
		},
	})
	if err != nil && errors.Is(context.Cause(ctx), ErrStalled) {
		return nil, ErrStalled
	}
	return data, err
}

// store verifies the chunk and stores it.
//
// Peers, the origin and the weight store may all send corrupted chunks. Data that does not
// match the digest in the manifest must not be stored, served to peers or loaded.
func (w *worker) store(data []byte) error {
	want := w.transfer.manifest.Chunks[w.fetch.Chunk]
	w.transfer.fetcher.Fetched.Add(w.fetch.Source.Kind, len(data))
	if filbertlever.DigestOf(data) != want {
		return errCorrupt
	}
	w.transfer.fetcher.chunkLibrary.chunks.Put(want, data)
	return nil
}

// send sends an event to the loop unless ctx ends first.
func (w *worker) send(ctx context.Context, e event) {
	select {
	case w.transfer.events <- e:
	case <-ctx.Done():
	}
}

// maxErrorBody limits how much of the body of an error response is read.
const maxErrorBody = 4 << 10

// FetchManifest fetches a manifest from a peer and adds it to the library. It also records
// the highest chunk of the set that the peer knows to exist outside the origin.
func (l *Library) FetchManifest(ctx context.Context, peers PeerClients, host filbertlever.HostID, digest filbertlever.Digest) error {
	client, base, ok := peers.Peer(host)
	if !ok {
		return fmt.Errorf("manifest %s from %s: address unknown", digest.Short(), host)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+PathManifest+string(digest), nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("manifest %s from %s: %w", digest.Short(), host, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		// The body is read to the end, so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
		return fmt.Errorf("manifest %s from %s: status %s: %w", digest.Short(), host, response.Status, ErrStatus)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, bundle.MaxManifestBytes+1))
	if err != nil {
		return fmt.Errorf("manifest %s from %s: %w", digest.Short(), host, err)
	}
	manifest, err := bundle.DecodeManifest(data, digest)
	if err != nil {
		return fmt.Errorf("from %s: %w", host, err)
	}
	l.Add(digest, manifest, data)
	if highest, err := strconv.Atoi(response.Header.Get(headerHighest)); err == nil {
		l.setHighest(digest, highest)
	}
	return nil
}
