package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Errors of sources.
var (
	// ErrNotYet means that a peer responded but does not have the chunk yet.
	ErrNotYet = errors.New("peer does not have the chunk yet")
	// ErrStalled means that no data arrived within the stall timeout.
	ErrStalled = errors.New("no data received within the stall timeout")
	ErrStatus  = errors.New("unexpected status")
)

// Request is a request for one chunk from a source.
type Request struct {
	// Set is the digest of the manifest.
	Set      filbertlever.Digest
	Manifest *bundle.Manifest
	Chunk    int
	// Descendants is the estimated number of hosts below this one in the chunk's tree.
	Descendants int
	Source      distribution.Source
	// Wait is how long a peer that does not have the chunk yet may wait for it before it
	// responds.
	Wait time.Duration
	// Progress is called when data arrives.
	Progress func()
	// Highest is called with the highest chunk that a peer knows to exist outside the origin.
	Highest func(int)
}

// Sources fetches chunks.
type Sources interface {
	Chunk(ctx context.Context, request Request) ([]byte, error)
}

// PeerClients looks up the HTTP client and the base URL of a host.
type PeerClients interface {
	Peer(filbertlever.HostID) (client *http.Client, baseURL string, ok bool)
}

// HTTPSources fetches chunks over HTTP. It requests them by digest from peers and the weight
// store, and by path and byte range from the origin.
type HTTPSources struct {
	Peers  PeerClients
	Origin string
	// Store is the URL of the weight store. It is empty if there is none.
	Store string
	// Client is used for the origin and the weight store.
	Client *http.Client
	Pacer  Pacer
}

// Chunk fetches one chunk. The caller must verify its digest.
func (s *HTTPSources) Chunk(ctx context.Context, request Request) ([]byte, error) {
	client, httpRequest, err := s.build(ctx, request)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if highest, err := strconv.Atoi(response.Header.Get(headerHighest)); err == nil {
		request.Highest(highest)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusPartialContent:
	case http.StatusNoContent:
		return nil, ErrNotYet
	default:
		return nil, fmt.Errorf("status %s: %w", response.Status, ErrStatus)
	}
	return s.read(ctx, response.Body, request)
}

// build returns the client and the HTTP request for a chunk.
func (s *HTTPSources) build(ctx context.Context, request Request) (*http.Client, *http.Request, error) {
	manifest := request.Manifest
	switch request.Source.Kind {
	case distribution.SourcePeer:
		client, base, ok := s.Peers.Peer(request.Source.Host)
		if !ok {
			return nil, nil, fmt.Errorf("peer %s: address unknown", request.Source.Host)
		}
		url := fmt.Sprintf("%s%s%s?%s=%s&%s=%s&%s=%d&%s=%d", base, PathChunk, manifest.Chunks[request.Chunk],
			paramWait, request.Wait, paramSet, request.Set, paramChunk, request.Chunk, paramDescendants, request.Descendants)
		httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		return client, httpRequest, err
	case distribution.SourceStore:
		if s.Store == "" {
			return nil, nil, fmt.Errorf("no weight store is configured")
		}
		httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Store+"/"+string(manifest.Chunks[request.Chunk]), nil)
		return s.Client, httpRequest, err
	default:
		httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Origin+"/"+manifest.Path, nil)
		if err != nil {
			return nil, nil, err
		}
		from := int64(request.Chunk) * manifest.ChunkSize
		httpRequest.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", from, from+manifest.ChunkLen(request.Chunk)-1))
		return s.Client, httpRequest, nil
	}
}

// readSize is how many bytes are read between two calls of Request.Progress.
const readSize = 64 << 10

// read reads exactly the chunk's length, and ignores any further data.
func (s *HTTPSources) read(ctx context.Context, body io.Reader, request Request) ([]byte, error) {
	data := make([]byte, request.Manifest.ChunkLen(request.Chunk))
	for at := 0; at < len(data); {
		step := min(readSize, len(data)-at)
		if err := s.Pacer.Wait(ctx, step); err != nil {
			return nil, err
		}
		n, err := io.ReadFull(body, data[at:at+step])
		at += n
		if n > 0 {
			request.Progress()
		}
		if err != nil {
			return nil, fmt.Errorf("read %d of %d bytes: %w", at, len(data), err)
		}
	}
	return data, nil
}
