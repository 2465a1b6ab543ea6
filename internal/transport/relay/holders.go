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
	// holderLanes is how many pieces an entry asks holders for at once; each gives
	// out one at a time beside its live answers.
	holderLanes = 4
	// holderTimeout bounds one such call: pieces for the rest of a site may wait at a
	// holder.
	holderTimeout = 1500 * time.Millisecond
	// holderTurn is every how many tries of a piece holders are asked again.
	holderTurn = 8
	// holderKind is how holders are called in metrics.
	holderKind = "Holder"
)

// fromHolders asks hosts of this site that hold a version for a piece of it; false if
// none has it whole.
//
// A set that servers hold need not come from the origin, which may be away.
//
// Guard: a holder gives out one piece at a time, and a try that failed at the origin kept
// its place there while it asked one; it is for others meanwhile.
func (r *Relay) fromHolders(named catalog.NamedVersion, piece int, manifest *Manifest, place *drawPlace) ([]byte, bool) {
	holders := relays.HoldersOf(r.view.Holders(named), pieceKey(named, piece))
	if len(holders) == 0 {
		return nil, false
	}
	place.leave()
	r.holding <- struct{}{}
	defer func() { <-r.holding }()
	for _, holder := range holders {
		data, err := fetch(context.Background(), r.client, holder.Address, PathPiece, pieceValues(named, &piece, relays.RoleAny), holderTimeout)
		if err == nil && !manifest.Verify(piece, data) {
			err = fmt.Errorf("piece %d of %s version %d: digest differs", piece, named.Model, named.Version)
		}
		if err == nil {
			r.metrics.bytes.WithLabelValues(holderKind).Add(float64(len(data)))
			return data, true
		}
		r.log.Info("piece not had from a holder", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
			zap.Int("Piece", piece), zap.String("Backend", holder.Backend), zap.Error(err))
	}
	return nil, false
}

// Learn draws the manifest of a version that servers hold, if this entry is the one of
// its site to have it, so that it is there when the origin is away. It returns at once.
func (r *Relay) Learn(named catalog.NamedVersion) {
	if r.roleOf(named, -1) < relays.RoleHome {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.version(named)
	if v.learnt {
		return
	}
	v.learnt = true
	go r.runLearn(named)
}

// learnTries and learnPause bound the tries to have a manifest ahead; whoever asks for
// one later starts them anew.
const (
	learnTries = 20
	learnPause = 500 * time.Millisecond
)

func (r *Relay) runLearn(named catalog.NamedVersion) {
	began := boottime.Now()
	for range learnTries {
		_, err := r.Manifest(context.Background(), named, relays.RoleAny)
		if err == nil {
			r.log.Info("manifest learnt", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
				zap.Duration("Took", boottime.Now()-began))
			return
		}
		time.Sleep(learnPause)
	}
	r.log.Warn("manifest not learnt", zap.String("Model", named.Model), zap.Uint64("Version", named.Version))
}
