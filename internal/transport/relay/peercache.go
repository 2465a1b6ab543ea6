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
	// peerCacheTimeout limits a request for a piece that another entry may have cached.
	peerCacheTimeout = 150 * time.Millisecond
	// peerCacheBackoff is how long no entry is asked after a request failed. After a
	// power failure many entries may be down, and asking them for every piece would
	// delay the fetch.
	peerCacheBackoff = 1500 * time.Millisecond
	// peerCacheLabel is the metric label for pieces from the caches of other entries.
	peerCacheLabel = "Keeper"
	// cachedOnlyParam is the query parameter that requests a piece only if it is cached.
	cachedOnlyParam = "Held"
)

// observeEntries returns the entries that are alive, and records in departures which ones
// disappeared.
func (r *Relay) observeEntries() ([]relays.Entry, map[filbertlever.HostID]string) {
	_, originSite, ok := r.view.Origin()
	entries, addresses := r.view.Entries()
	if ok {
		r.mu.Lock()
		r.departures.Observe(entries, originSite, boottime.Now())
		r.mu.Unlock()
	}
	return entries, addresses
}

// fetchFromPeerCaches asks other entries for a piece that this one would otherwise fetch
// from the origin, if another origin fetcher may have fetched it before. It returns false
// if none returns the piece.
//
// Without it, when entries stop one after another, each successor fetches again what its
// predecessor had fetched. The origin then sent 3.2 to 3.7 copies of two versions over its
// slow link.
func (r *Relay) fetchFromPeerCaches(id catalog.ModelVersion, piece int, manifest *Manifest, slot *originSlot) ([]byte, bool) {
	entries, addresses := r.observeEntries()
	if !r.shouldAskPeerCaches(id) {
		return nil, false
	}
	slot.release()
	for _, host := range relays.HomesToQuery(r.self, entries, pieceKey(id, piece)) {
		values := pieceValues(id, &piece, relays.RoleAny)
		values.Set(cachedOnlyParam, "1")
		data, err := fetch(context.Background(), r.client, addresses[host], PathPiece, values, peerCacheTimeout, manifest.PieceLimit())
		if err == nil && !manifest.Verify(piece, data) {
			err = fmt.Errorf("piece %d of %s version %d: digest differs", piece, id.Model, id.Version)
		}
		switch {
		case err == nil:
			r.metrics.bytes.WithLabelValues(peerCacheLabel).Add(float64(len(data)))
			return data, true
		case errors.Is(err, errNotCached):
		default:
			r.log.Info("piece fetch from another entry failed", zap.String("Model", id.Model), zap.Uint64("Version", id.Version),
				zap.Int("Piece", piece), zap.String("Entry", string(host)), zap.Error(err))
			r.backOffPeerCaches()
			return nil, false
		}
	}
	return nil, false
}

// shouldAskPeerCaches reports whether other entries are asked for pieces of a version.
func (r *Relay) shouldAskPeerCaches(id catalog.ModelVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.Now() >= r.peerCacheRetryAt && r.departures.MayBeOnPeers(r.ensureState(id).desiredAt)
}

// backOffPeerCaches suspends requests to the caches of other entries for
// peerCacheBackoff.
func (r *Relay) backOffPeerCaches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerCacheRetryAt = boottime.Now() + peerCacheBackoff
}

// errNotCached means that a host does not have a piece.
var errNotCached = errors.New("not held")

// serveCached responds with a piece if it is cached, and otherwise with 404 Not Found.
func (r *Relay) serveCached(w http.ResponseWriter, id catalog.ModelVersion, piece int) {
	data, ok := r.cachedVersionPiece(id, piece)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// cachedVersionPiece returns a piece if it and the manifest of its version are cached.
func (r *Relay) cachedVersionPiece(id catalog.ModelVersion, piece int) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.lookupState(id)
	if v == nil || v.manifest == nil || piece < 0 || piece >= len(v.manifest.Digests) {
		return nil, false
	}
	data, ok := r.piecesByDigest[v.manifest.Digests[piece]]
	return data, ok
}
