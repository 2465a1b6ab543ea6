package relay

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Limits of prefetching.
const (
	// prefetchBackoff is the pause after a failed attempt to prefetch a version.
	prefetchBackoff = 100 * time.Millisecond
	// prefetchTimeout limits the prefetch of one version. It is much longer than
	// outages of the origin.
	prefetchTimeout = time.Minute
	// newerBatchSize is how many pieces of a newer version are fetched after the
	// oldest version failed, before the oldest is tried again.
	newerBatchSize = originConcurrency
)

// ErrRemoved means that the origin no longer has a version.
var ErrRemoved = errors.New("the version is gone")

// AddVersion registers a version that operators just requested and prefetches its pieces.
// It returns immediately and does not call the view.
func (r *Relay) AddVersion(id catalog.ModelVersion) {
	r.mu.Lock()
	if v := r.ensureState(id); v.desiredAt == 0 {
		v.desiredAt = boottime.Now()
	}
	r.mu.Unlock()
	r.Prefetch(id)
}

// Prefetch fetches the pieces for which this entry is the origin fetcher, or the home at
// another site than the origin's, before agents request them. Fetching pieces only on
// request would leave the origin's link half idle. Prefetch returns immediately. A second
// call for a version only records the time of the request.
//
// It is called when operators request a version and when the first of its pieces is
// requested, but not for its manifest. After a power failure most servers still have
// their pieces staged, and no piece has to be transferred.
func (r *Relay) Prefetch(id catalog.ModelVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.ensureState(id)
	v.lastRequestedAt = boottime.Now()
	if v.requested {
		return
	}
	v.requested, v.prefetching, v.prefetchDeadline = true, true, boottime.Now()+prefetchTimeout
	if !r.prefetchRunning {
		r.prefetchRunning = true
		go r.runPrefetch()
	}
}

// runPrefetch prefetches until no version is left.
//
// The oldest version is finished first, because two versions that share the origin's slow
// link would both be late. A prefetch continues while the origin is unreachable, because
// pieces that only agents request arrive one at a time.
func (r *Relay) runPrefetch() {
	for {
		r.observeEntries()
		versions := r.prefetchQueue()
		if len(versions) == 0 {
			return
		}
		for n, id := range versions {
			limit := newerBatchSize
			if n == 0 {
				limit = math.MaxInt
			}
			err := r.prefetchVersion(id, limit)
			if err == nil {
				// Start over with the oldest remaining version.
				break
			}
			if errors.Is(err, ErrRemoved) {
				r.finishPrefetch(id)
			}
			time.Sleep(prefetchBackoff)
		}
	}
}

// prefetchQueue returns the versions to prefetch, oldest first. If there are none, it
// marks prefetching as ended.
func (r *Relay) prefetchQueue() []catalog.ModelVersion {
	now := boottime.Now()
	var queue []catalog.ModelVersion
	for _, v := range r.prefetchingVersions(now) {
		if r.worthFetching(&v, now) {
			queue = append(queue, v.id)
		} else {
			r.abandonPrefetch(v.id, now)
			r.log.Info("weights prefetch abandoned in favour of a newer version", zap.String("Model", v.id.Model), zap.Uint64("Version", v.id.Version))
		}
	}
	if len(queue) == 0 && r.continuePrefetch() {
		return r.prefetchQueue()
	}
	return queue
}

// continuePrefetch reports whether a version was added to prefetch meanwhile. If not, it
// marks prefetching as ended.
func (r *Relay) continuePrefetch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefetchRunning = slices.ContainsFunc(r.versions, func(v *versionState) bool { return v.prefetching })
	return r.prefetchRunning
}

// prefetchingVersions returns partial copies of the versions that are being prefetched,
// and ends the prefetches that timed out.
func (r *Relay) prefetchingVersions(now time.Duration) []versionState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var active []versionState
	for _, v := range r.versions {
		if v.prefetching && now >= v.prefetchDeadline {
			v.prefetching, v.requested = false, false
			r.log.Warn("weights prefetch timed out", zap.String("Model", v.id.Model), zap.Uint64("Version", v.id.Version))
		}
		if v.prefetching {
			active = append(active, versionState{id: v.id, obsoleteAt: v.obsoleteAt})
		}
	}
	return active
}

// Supersede sets the time from which only a newer version than id may answer requests.
// It applies to older versions as well, but does not postpone an earlier time of theirs.
func (r *Relay) Supersede(id catalog.ModelVersion, obsoleteAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureState(id).obsoleteAt = obsoleteAt
	for _, v := range r.versions {
		if v.id.Model == id.Model && v.id.Version < id.Version && (v.obsoleteAt == 0 || v.obsoleteAt > obsoleteAt) {
			v.obsoleteAt = obsoleteAt
		}
	}
}

// worthFetching reports whether a version is still needed in addition to newer ones, and
// can serve for longer than it takes to fetch its missing pieces.
func (r *Relay) worthFetching(v *versionState, now time.Duration) bool {
	if v.obsoleteAt == 0 {
		return true
	}
	if r.decideSkip(v.id, now) {
		return false
	}
	remaining, pieceTime := 0, time.Duration(0)
	if manifest, ok := r.cachedManifest(v.id); ok {
		remaining, pieceTime, _ = r.progress(v.id, &manifest)
	}
	return switchover.WorthFetching(remaining, pieceTime, now, v.obsoleteAt)
}

// abandonPrefetch ends the prefetch of a version that is no longer worth fetching.
func (r *Relay) abandonPrefetch(id catalog.ModelVersion, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.ensureState(id)
	v.prefetching, v.abandonedAt = false, now
}

// finishPrefetch ends the prefetch of a version that is complete or removed from the origin.
func (r *Relay) finishPrefetch(id catalog.ModelVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ensureState(id).prefetching = false
}

// prefetchVersion fetches up to limit missing pieces of this entry, and finishes the
// prefetch once none is missing. It stops at the first failure and when the plan changes.
func (r *Relay) prefetchVersion(id catalog.ModelVersion, limit int) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	// Manifest logs its failed attempts.
	manifest, err := r.Manifest(ctx, id, relays.RoleAny)
	if err != nil {
		return err
	}
	revision := r.planRevision()
	pieces := r.missingPieces(id, &manifest)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, originConcurrency)
	for _, piece := range pieces[:min(limit, len(pieces))] {
		semaphore <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		if r.planRevision() != revision {
			<-semaphore
			break
		}
		group.Go(func() {
			defer func() { <-semaphore }()
			if _, err := r.Piece(ctx, id, piece, relays.RoleAny); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if len(pieces) <= limit && r.planRevision() == revision {
		r.finishPrefetch(id)
		r.log.Info("weights prefetched", zap.String("Model", id.Model), zap.Uint64("Version", id.Version))
	}
	return nil
}

// missingPieces returns the own pieces of this entry that are not cached.
func (r *Relay) missingPieces(id catalog.ModelVersion, manifest *Manifest) []int {
	var missing []int
	for _, piece := range r.ownPieces(id, manifest) {
		if _, ok := r.cachedPiece(manifest.Digests[piece]); !ok {
			missing = append(missing, piece)
		}
	}
	return missing
}

// ownPieces returns the pieces that this entry prefetches.
func (r *Relay) ownPieces(id catalog.ModelVersion, manifest *Manifest) []int {
	_, originSite, _ := r.view.Origin()
	minRole := relays.RoleHome
	if r.self.Site == originSite {
		// Homes at the origin's site get pieces from the origin fetchers as fast as
		// agents request them.
		minRole = relays.RoleOriginFetcher
	}
	var pieces []int
	for piece := range manifest.Digests {
		if r.roleOf(id, piece) >= minRole {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}
