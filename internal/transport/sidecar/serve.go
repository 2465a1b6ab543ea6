package sidecar

import (
	"context"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// giving bounds the pieces given out at once: a caller's events wait behind what is queued on the
// host's link.
const giving = 1

// Routes adds the calls of entries.
func (s *Sidecar) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+relay.PathPiece, s.servePiece)
}

// servePiece gives out a piece that is held or lies beside the server. Whoever asks
// checks it: what is staged may have turned bad, or be of another version.
func (s *Sidecar) servePiece(w http.ResponseWriter, r *http.Request) {
	named, piece, err := relay.Query(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case s.giving <- struct{}{}:
		defer func() { <-s.giving }()
	case <-r.Context().Done():
		return
	}
	data, err := s.heldPiece(r.Context(), named.Model, named.Version, piece)
	if err != nil {
		s.log.Warn("piece not given", zap.String("Model", named.Model), zap.Int("Piece", piece), zap.Error(err))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if data == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// A caller that is gone is noticed by the server loop.
	_, _ = w.Write(data)
}

// heldPiece returns a piece from memory, else what lies beside the server; nil if
// there is none.
func (s *Sidecar) heldPiece(ctx context.Context, model string, version uint64, piece int) ([]byte, error) {
	s.mu.Lock()
	var manifest *relay.Manifest
	if m, ok := s.models[model]; ok {
		manifest = m.known[version]
	}
	s.mu.Unlock()
	if manifest != nil && piece >= 0 && piece < len(manifest.Digests) {
		if data, ok := s.piece(manifest.Digests[piece]); ok {
			return data, nil
		}
	}
	return s.engine.Staged(ctx, model, piece)
}
