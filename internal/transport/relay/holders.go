package relay

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

const (
	// holderConcurrency is how many pieces an entry fetches from holders at once. Each
	// holder sends one piece at a time, alongside the responses that it is serving.
	holderConcurrency = 4
	// holderTimeout limits one such request. Pieces for the rest of the site may be
	// queued at a holder.
	holderTimeout = 1500 * time.Millisecond
	// holderRetryAttempts is the number of attempts for a piece after which holders, and
	// the caches of other entries, are asked again.
	holderRetryAttempts = 8
	// holderLabel is the metric label for pieces from holders.
	holderLabel = "Holder"
)

// fetchFromHolders asks hosts of this site whose servers hold a version for a piece of it.
// It returns false if none returns the correct piece. A version that servers hold need not
// come from the origin, which may be unreachable.
//
// The origin slot is released first so that other fetches can use it. A holder sends one
// piece at a time, and a fetch that had failed at the origin kept its slot while it waited
// for a holder.
func (r *Relay) fetchFromHolders(id catalog.ModelVersion, piece int, manifest *Manifest, slot *originSlot) ([]byte, bool) {
	holders := relays.HoldersToQuery(r.view.Holders(id), pieceKey(id, piece))
	if len(holders) == 0 {
		return nil, false
	}
	slot.release()
	r.holderLimit <- struct{}{}
	defer func() { <-r.holderLimit }()
	for _, holder := range holders {
		data, err := fetch(context.Background(), r.client, holder.Address, PathPiece, pieceValues(id, &piece, relays.RoleAny), holderTimeout, manifest.PieceLimit())
		if err == nil && !manifest.Verify(piece, data) {
			err = fmt.Errorf("piece %d of %s version %d: digest differs", piece, id.Model, id.Version)
		}
		if err == nil {
			r.metrics.bytes.WithLabelValues(holderLabel).Add(float64(len(data)))
			return data, true
		}
		r.log.Info("piece fetch from a holder failed", zap.String("Model", id.Model), zap.Uint64("Version", id.Version),
			zap.Int("Piece", piece), zap.String("Backend", holder.Backend), zap.Error(err))
	}
	return nil, false
}

// PrefetchManifest fetches the manifest of a version that servers hold if this entry is
// its home or origin fetcher, so that it is available while the origin is unreachable.
// It returns immediately.
func (r *Relay) PrefetchManifest(id catalog.ModelVersion) {
	if r.roleOf(id, -1) < relays.RoleHome {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.ensureState(id)
	if v.manifestRequested {
		return
	}
	v.manifestRequested = true
	go r.runManifestPrefetch(id)
}

// manifestPrefetchAttempts and manifestPrefetchInterval limit the prefetch of a manifest.
// A later request for the manifest fetches it independently.
const (
	manifestPrefetchAttempts = 20
	manifestPrefetchInterval = 500 * time.Millisecond
)

// runManifestPrefetch fetches a manifest, with retries.
func (r *Relay) runManifestPrefetch(id catalog.ModelVersion) {
	startedAt := boottime.Now()
	for range manifestPrefetchAttempts {
		_, err := r.Manifest(context.Background(), id, relays.RoleAny)
		if err == nil {
			r.log.Info("manifest prefetched", zap.String("Model", id.Model), zap.Uint64("Version", id.Version),
				zap.Duration("Took", boottime.Now()-startedAt))
			return
		}
		time.Sleep(manifestPrefetchInterval)
	}
	r.log.Warn("manifest prefetch failed", zap.String("Model", id.Model), zap.Uint64("Version", id.Version))
}
