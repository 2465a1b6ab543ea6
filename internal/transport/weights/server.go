// Package weights transfers chunks of weights between hosts, following the decisions of
// package distribution.
package weights

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Paths and headers between hosts.
const (
	PathChunk    = "/weights/chunk/"
	PathManifest = "/weights/manifest/"
	// PathSet is where the engine on the same host reads a verified set.
	PathSet = "/weights/whole/"
	// headerHighest is the header with the highest chunk that the sender knows to exist
	// outside the origin.
	headerHighest    = "Filbertlever-Highest"
	paramWait        = "wait"
	paramSet         = "set"
	paramChunk       = "chunk"
	paramDescendants = "below"
)

// maxWait limits how long a request from a peer waits for a chunk.
const maxWait = 2 * time.Second

// Library holds the sets of weights that a host has or is fetching. It is safe for
// concurrent use.
type Library struct {
	chunks *state.ChunkStore

	mu   sync.Mutex
	sets map[filbertlever.Digest]*set
}

// set is one set of weights.
type set struct {
	manifest *bundle.Manifest
	encoded  []byte
	// highest is the highest chunk known to exist outside the origin, or -1.
	highest int
}

// NewLibrary returns an empty library that stores its chunks in a chunk store.
func NewLibrary(chunks *state.ChunkStore) *Library {
	return &Library{chunks: chunks, sets: map[filbertlever.Digest]*set{}}
}

// Add adds a set under the digest of its encoded manifest.
func (l *Library) Add(digest filbertlever.Digest, manifest *bundle.Manifest, encoded []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.sets[digest]; !ok {
		l.sets[digest] = &set{manifest: manifest, encoded: encoded, highest: -1}
	}
}

// Manifest returns the manifest of a set, or nil.
func (l *Library) Manifest(digest filbertlever.Digest) *bundle.Manifest {
	if s := l.set(digest); s != nil {
		return s.manifest
	}
	return nil
}

// Retain removes the sets that are not in keep, and all chunks that no retained set
// contains.
func (l *Library) Retain(keep map[filbertlever.Digest]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chunks := map[filbertlever.Digest]bool{}
	for digest, s := range l.sets {
		if !keep[digest] {
			delete(l.sets, digest)
			continue
		}
		for _, chunk := range s.manifest.Chunks {
			chunks[chunk] = true
		}
	}
	l.chunks.Retain(chunks)
}

// Held returns how many chunks of a set are stored, and how many the set has.
func (l *Library) Held(digest filbertlever.Digest) (held, chunks int) {
	manifest := l.Manifest(digest)
	if manifest == nil {
		return 0, 0
	}
	for _, chunk := range manifest.Chunks {
		if l.chunks.Get(chunk) != nil {
			held++
		}
	}
	return held, len(manifest.Chunks)
}

// WriteSet writes a complete set to w. It fails if a chunk is not stored.
func (l *Library) WriteSet(w io.Writer, digest filbertlever.Digest) error {
	manifest := l.Manifest(digest)
	if manifest == nil {
		return fmt.Errorf("weights %s: manifest not in the library", digest.Short())
	}
	for i, chunk := range manifest.Chunks {
		data := l.chunks.Get(chunk)
		if data == nil {
			return fmt.Errorf("weights %s: chunk %d is not stored", digest.Short(), i)
		}
		if _, err := w.Write(data); err != nil {
			return fmt.Errorf("weights %s: %w", digest.Short(), err)
		}
	}
	return nil
}

func (l *Library) set(digest filbertlever.Digest) *set {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sets[digest]
}

func (l *Library) setHighest(digest filbertlever.Digest, highest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.sets[digest]; ok {
		s.highest = max(s.highest, highest)
	}
}

func (l *Library) highest(digest filbertlever.Digest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.sets[digest]; ok {
		return s.highest
	}
	return -1
}

// Pacer limits the rate of weight traffic while live requests are in flight.
type Pacer interface {
	// Wait blocks until n more bytes may be sent or received.
	Wait(ctx context.Context, n int) error
}

// Server serves chunks and manifests to other hosts.
type Server struct {
	chunkLibrary *Library
	pacer        Pacer

	mu      sync.Mutex
	uploads distribution.UploadQueue
	// lastID is the ID of the last upload.
	lastID uint64
	// waiting holds a channel for each upload that waits for a slot. The channel is closed
	// when the upload gets a slot.
	waiting map[uint64]chan struct{}
}

// uploadSlots is how many chunks a host sends concurrently. It is enough to saturate its
// link, and low enough that the first chunks arrive soon.
const uploadSlots = 2

// NewServer returns a server for the sets of a library.
func NewServer(library *Library, pacer Pacer) *Server {
	return &Server{
		chunkLibrary: library,
		pacer:        pacer,
		uploads:      distribution.UploadQueue{Slots: uploadSlots},
		waiting:      map[uint64]chan struct{}{},
	}
}

// acquireSlot waits for an upload slot and returns the function that releases it.
func (s *Server) acquireSlot(ctx context.Context, upload distribution.Upload) (release func(), err error) {
	s.mu.Lock()
	s.lastID++
	upload.ID = s.lastID
	if s.uploads.Submit(upload) {
		s.mu.Unlock()
		return s.releaseSlot, nil
	}
	acquired := make(chan struct{})
	s.waiting[upload.ID] = acquired
	s.mu.Unlock()
	select {
	case <-acquired:
		return s.releaseSlot, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	stillWaiting := s.uploads.Cancel(upload.ID)
	delete(s.waiting, upload.ID)
	s.mu.Unlock()
	if !stillWaiting {
		// The upload got a slot at the same time as ctx ended.
		s.releaseSlot()
	}
	return nil, ctx.Err()
}

// releaseSlot gives an upload slot to the next waiting upload.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.uploads.Done()
	if !ok {
		return
	}
	if acquired, ok := s.waiting[next.ID]; ok {
		close(acquired)
		delete(s.waiting, next.ID)
	}
}

// Routes registers the server's handlers on a mux. Each is wrapped by requireRole.
func (s *Server) Routes(mux *http.ServeMux, requireRole func(http.Handler) http.Handler) {
	mux.Handle("GET "+PathChunk+"{digest}", requireRole(http.HandlerFunc(s.chunk)))
	mux.Handle("GET "+PathManifest+"{digest}", requireRole(http.HandlerFunc(s.manifest)))
}

// ServeSet serves complete sets to the engine on the same host.
func (s *Server) ServeSet(w http.ResponseWriter, request *http.Request) {
	digest := filbertlever.Digest(request.PathValue("digest"))
	manifest := s.chunkLibrary.Manifest(digest)
	if manifest == nil {
		http.NotFound(w, request)
		return
	}
	if held, chunks := s.chunkLibrary.Held(digest); held < chunks {
		http.Error(w, "set is not complete", http.StatusConflict)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(manifest.Size, 10))
	// An error ends the response early, which the engine detects by the Content-Length.
	_ = s.chunkLibrary.WriteSet(w, digest)
}

// manifest serves the encoded manifest of a set.
func (s *Server) manifest(w http.ResponseWriter, request *http.Request) {
	digest := filbertlever.Digest(request.PathValue("digest"))
	set := s.chunkLibrary.set(digest)
	if set == nil {
		http.NotFound(w, request)
		return
	}
	w.Header().Set(headerHighest, strconv.Itoa(s.chunkLibrary.highest(digest)))
	_, _ = w.Write(set.encoded)
}

// chunk serves a chunk. If the chunk is not stored yet, it waits for as long as the peer
// allows, up to maxWait.
func (s *Server) chunk(w http.ResponseWriter, request *http.Request) {
	digest := filbertlever.Digest(request.PathValue("digest"))
	query := request.URL.Query()
	wait, _ := time.ParseDuration(query.Get(paramWait))
	wait = min(wait, maxWait)
	received := time.Now()
	data, ok := s.waitForChunk(request.Context(), digest, wait)
	set := filbertlever.Digest(query.Get(paramSet))
	w.Header().Set(headerHighest, strconv.Itoa(s.chunkLibrary.highest(set)))
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	chunk, _ := strconv.Atoi(query.Get(paramChunk))
	descendants, _ := strconv.Atoi(query.Get(paramDescendants))
	// A peer that receives nothing within its stall timeout treats this host as stalled and
	// avoids it, which would happen just when the host is busiest. A request that gets no slot
	// in time is therefore answered with "not yet", and the peer sends it again.
	slotCtx, cancel := context.WithTimeout(request.Context(), max(wait-time.Since(received), minSlotWait))
	defer cancel()
	release, err := s.acquireSlot(slotCtx, distribution.Upload{Chunk: chunk, Descendants: descendants})
	if err != nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	defer release()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.send(request.Context(), w, data)
}

// send writes a chunk in blocks of writeSize bytes.
//
// A peer whose link has stalled reads no more data and would hold its slot indefinitely.
// Each block has its own write deadline, after which the slot is released.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, data []byte) {
	controller := http.NewResponseController(w)
	for at := 0; at < len(data); at += writeSize {
		block := data[at:min(at+writeSize, len(data))]
		if err := s.pacer.Wait(ctx, len(block)); err != nil {
			return
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// minSlotWait is the minimum time that a request may wait for an upload slot.
const minSlotWait = 10 * time.Millisecond

// A chunk is written in blocks of writeSize bytes, each within writeTimeout.
const (
	writeSize    = 256 << 10
	writeTimeout = time.Second
)

// waitForChunk returns a chunk and waits for it if it is not stored yet.
func (s *Server) waitForChunk(ctx context.Context, digest filbertlever.Digest, wait time.Duration) ([]byte, bool) {
	data, stored := s.chunkLibrary.chunks.Wait(digest)
	if data != nil || wait <= 0 {
		return data, data != nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-stored:
		data = s.chunkLibrary.chunks.Get(digest)
	case <-timer.C:
	case <-ctx.Done():
	}
	return data, data != nil
}
