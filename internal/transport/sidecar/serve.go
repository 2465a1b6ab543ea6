package sidecar

import (
	"context"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// maxConcurrentServes limits the pieces served concurrently, because callers' events wait
// behind what is queued on the host's link.
const maxConcurrentServes = 1

// Routes registers the handlers of requests from entries.
func (s *Sidecar) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+relay.PathPiece, s.servePiece)
}

// servePiece serves a piece that is cached or staged. The client verifies it, because a
// staged piece may be corrupt or belong to another version.
func (s *Sidecar) servePiece(w http.ResponseWriter, r *http.Request) {
	version, piece, err := relay.ParseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case s.serveSlots <- struct{}{}:
		defer func() { <-s.serveSlots }()
	case <-r.Context().Done():
		return
	}
	data, err := s.findPiece(r.Context(), version.Model, version.Version, piece)
	if err != nil {
		s.log.Warn("failed to serve piece", zap.String("Model", version.Model), zap.Int("Piece", piece), zap.Error(err))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if data == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// The HTTP server handles clients that disconnected.
	_, _ = w.Write(data)
}

// findPiece returns a piece from memory, otherwise the staged one; nil if there is none.
func (s *Sidecar) findPiece(ctx context.Context, model string, version uint64, piece int) ([]byte, error) {
	s.mu.Lock()
	var manifest *relay.Manifest
	if m, ok := s.models[model]; ok {
		manifest = m.manifests[version]
	}
	s.mu.Unlock()
	if manifest != nil && piece >= 0 && piece < len(manifest.Digests) {
		if data, ok := s.cachedPiece(manifest.Digests[piece]); ok {
			return data, nil
		}
	}
	return s.engine.ReadStaged(ctx, model, piece)
}
