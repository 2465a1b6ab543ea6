package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

const (
	// keeperTimeout bounds a call for a piece that another entry may have.
	keeperTimeout = 150 * time.Millisecond
	// keeperRest is how long no entry is asked after one did not answer: after a loss of
	// power many may be gone, and asked for each piece they would put off the fetch.
	keeperRest = 1500 * time.Millisecond
	// keeperKind is how such entries are called in metrics.
	keeperKind = "Keeper"
	// paramHeld asks for a piece only if it is here.
	paramHeld = "Held"
)

// see notes which entries are alive, and returns them.
func (r *Relay) see() ([]relays.Entry, map[filbertlever.HostID]string) {
	_, originSite, ok := r.view.Origin()
	entries, addresses := r.view.Relays()
	if ok {
		r.mu.Lock()
		r.turnover.See(entries, originSite, boottime.Now())
		r.mu.Unlock()
	}
	return entries, addresses
}

// fromKeepers asks other entries for a piece that this one is to draw from the origin, if
// another one may have drawn it before; false if none has it.
//
// Gain: while entries stop in turn, each that follows drew again what the one before had
// drawn: the origin sent 3.2 to 3.7 copies of two versions over its thin link.
func (r *Relay) fromKeepers(named catalog.NamedVersion, piece int, manifest *Manifest, place *drawPlace) ([]byte, bool) {
	entries, addresses := r.see()
	if !r.asksKeepers(named) {
		return nil, false
	}
	place.leave()
	for _, host := range relays.Keepers(r.self, entries, pieceKey(named, piece)) {
		values := pieceValues(named, &piece, relays.RoleAny)
		values.Set(paramHeld, "1")
		data, err := fetch(context.Background(), r.client, addresses[host], PathPiece, values, keeperTimeout)
		if err == nil && !manifest.Verify(piece, data) {
			err = fmt.Errorf("piece %d of %s version %d: digest differs", piece, named.Model, named.Version)
		}
		switch {
		case err == nil:
			r.metrics.bytes.WithLabelValues(keeperKind).Add(float64(len(data)))
			return data, true
		case errors.Is(err, errNotHeld):
		default:
			r.log.Info("piece not had from another entry", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
				zap.Int("Piece", piece), zap.String("Entry", string(host)), zap.Error(err))
			r.restKeepers()
			return nil, false
		}
	}
	return nil, false
}

// asksKeepers reports whether other entries are asked for pieces of a version.
func (r *Relay) asksKeepers(named catalog.NamedVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.Now() >= r.keepersRestUntil && r.turnover.Since(r.version(named).namedAt)
}

func (r *Relay) restKeepers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepersRestUntil = boottime.Now() + keeperRest
}

// errNotHeld means that an entry does not have a piece.
var errNotHeld = errors.New("not held")

// serveHeld answers with a piece if it is here.
func (r *Relay) serveHeld(w http.ResponseWriter, named catalog.NamedVersion, piece int) {
	data, ok := r.heldPiece(named, piece)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// heldPiece returns a piece of a version whose manifest is known, if it is here.
func (r *Relay) heldPiece(named catalog.NamedVersion, piece int) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known(named)
	if v == nil {
		return nil, false
	}
	for _, f := range v.manifests {
		if f.ended() && f.err == nil && piece >= 0 && piece < len(f.value.Digests) {
			data, ok := r.byDigest[f.value.Digests[piece]]
			return data, ok
		}
	}
	return nil, false
}
