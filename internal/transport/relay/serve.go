package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// Routes registers the handlers for requests of agents and other entries.
func (r *Relay) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathManifest, r.serveManifest)
	mux.HandleFunc("GET "+PathPiece, r.servePiece)
}

// ParseQuery returns the version and the piece that a request specifies.
func ParseQuery(req *http.Request) (catalog.ModelVersion, int, error) {
	values := req.URL.Query()
	number, err := strconv.ParseUint(values.Get("Version"), 10, 64)
	if err != nil {
		return catalog.ModelVersion{}, 0, fmt.Errorf("version %q: expected a number", values.Get("Version"))
	}
	piece := 0
	if text := values.Get("Piece"); text != "" {
		if piece, err = strconv.Atoi(text); err != nil {
			return catalog.ModelVersion{}, 0, fmt.Errorf("piece %q: expected a number", text)
		}
	}
	return catalog.ModelVersion{Model: values.Get("Model"), Version: number}, piece, nil
}

// requestedRole returns the role that the requester assumes this entry has.
func requestedRole(req *http.Request) relays.Role {
	// An agent does not send this parameter.
	role, _ := strconv.Atoi(req.URL.Query().Get("As"))
	return min(max(relays.Role(role), relays.RoleAny), relays.RoleOriginFetcher)
}

func (r *Relay) serveManifest(w http.ResponseWriter, req *http.Request) {
	id, _, err := ParseQuery(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	manifest, err := r.otherManifest(req.Context(), id, requestedRole(req), req.URL.Query().Get(doubtedParam))
	if err != nil {
		http.Error(w, err.Error(), statusCode(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(manifest)
}

func (r *Relay) servePiece(w http.ResponseWriter, req *http.Request) {
	id, piece, err := ParseQuery(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.URL.Query().Get(cachedOnlyParam) != "" {
		r.serveCached(w, id, piece)
		return
	}
	r.Prefetch(id)
	data, err := r.Piece(req.Context(), id, piece, requestedRole(req))
	if err != nil {
		http.Error(w, err.Error(), statusCode(err))
		return
	}
	if req.URL.Query().Get("Await") != "" {
		// The agent waits for several pieces and then transfers them one by one.
		data = nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// statusCode returns the status for an error, from which the requester decides
// whether to retry.
func statusCode(err error) int {
	switch {
	case errors.Is(err, ErrRemoved):
		return http.StatusGone
	case errors.Is(err, errNoSource), errors.Is(err, errNoPiece), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
