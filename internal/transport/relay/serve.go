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

// Routes adds the calls that agents and other entries make.
func (r *Relay) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathManifest, r.serveManifest)
	mux.HandleFunc("GET "+PathPiece, r.servePiece)
}

// Query decodes which piece of which version is asked for.
func Query(req *http.Request) (catalog.NamedVersion, int, error) {
	values := req.URL.Query()
	number, err := strconv.ParseUint(values.Get("Version"), 10, 64)
	if err != nil {
		return catalog.NamedVersion{}, 0, fmt.Errorf("version %q: expected a number", values.Get("Version"))
	}
	piece := 0
	if text := values.Get("Piece"); text != "" {
		if piece, err = strconv.Atoi(text); err != nil {
			return catalog.NamedVersion{}, 0, fmt.Errorf("piece %q: expected a number", text)
		}
	}
	return catalog.NamedVersion{Model: values.Get("Model"), Version: number}, piece, nil
}

// askedAs is what the one who asks takes this entry for.
func askedAs(req *http.Request) relays.Role {
	// An agent does not say.
	role, _ := strconv.Atoi(req.URL.Query().Get("As"))
	return min(max(relays.Role(role), relays.RoleAny), relays.RoleDrawer)
}

func (r *Relay) serveManifest(w http.ResponseWriter, req *http.Request) {
	named, _, err := Query(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	manifest, err := r.Manifest(req.Context(), named, askedAs(req))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(manifest)
}

func (r *Relay) servePiece(w http.ResponseWriter, req *http.Request) {
	named, piece, err := Query(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.URL.Query().Get(paramHeld) != "" {
		r.serveHeld(w, named, piece)
		return
	}
	r.Prefetch(named)
	data, err := r.Piece(req.Context(), named, piece, askedAs(req))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	if req.URL.Query().Get("Await") != "" {
		// An agent that waited for several pieces now moves them one by one.
		data = nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// statusOf tells those who ask whether to ask again.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrGone):
		return http.StatusGone
	case errors.Is(err, errNoSource), errors.Is(err, errNoPiece), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
