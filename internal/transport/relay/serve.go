package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Routes adds the calls that agents and other entries make.
func (r *Relay) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathManifest, r.serveManifest)
	mux.HandleFunc("GET "+pathPiece, r.servePiece)
}

func query(req *http.Request) (catalog.NamedVersion, int, error) {
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

// asHome reports whether another entry asks, which takes this one for the home.
func asHome(req *http.Request) bool { return req.URL.Query().Get("Home") != "" }

func (r *Relay) serveManifest(w http.ResponseWriter, req *http.Request) {
	named, _, err := query(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	manifest, err := r.Manifest(req.Context(), named, asHome(req))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(manifest)
}

func (r *Relay) servePiece(w http.ResponseWriter, req *http.Request) {
	named, piece, err := query(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Prefetch(named)
	data, err := r.Piece(req.Context(), named, piece, asHome(req))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
