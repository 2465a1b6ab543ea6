package relay

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Plan holds the versions of a model that operators request, and the settings by which
// some of them may be skipped.
type Plan struct {
	// Config holds the times of a switchover to a new version.
	Config switchover.Config
	// Versions lists the requested versions, oldest first. Only the fields Version and
	// SetAt of each are set.
	Versions []switchover.TargetVersion
	// OriginRate is the bandwidth of the origin's link in bytes per second, or 0 if
	// unknown.
	OriginRate float64
}

// SetPlan replaces the plan of a model.
func (r *Relay) SetPlan(model string, plan Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plans[model] = plan
	r.revision++
}

// skipTTL is how long a decision to skip a version is valid.
const skipTTL = 500 * time.Millisecond

// isSkipped reports whether a requested version is skipped in favour of a newer one. It
// is checked again right before each fetch from the origin. Otherwise pieces that were
// requested before operators requested the newer version would be fetched first.
func (r *Relay) isSkipped(id catalog.ModelVersion) bool {
	now := boottime.Now()
	r.mu.Lock()
	v := r.lookupState(id)
	if v == nil || !v.skipped || now-v.skipDecidedAt < skipTTL {
		defer r.mu.Unlock()
		return v != nil && v.skipped
	}
	r.mu.Unlock()
	return r.decideSkip(id, now)
}

// decideSkip decides whether a version is skipped, and records the decision.
func (r *Relay) decideSkip(id catalog.ModelVersion, now time.Duration) bool {
	skipped := r.shouldSkip(id, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.lookupState(id); v != nil {
		v.skipped, v.skipDecidedAt = skipped, now
	}
	return skipped
}

// planRevision returns how many times a plan was set.
func (r *Relay) planRevision() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// shouldSkip reports whether a version need not be fetched because a newer one suffices.
func (r *Relay) shouldSkip(id catalog.ModelVersion, now time.Duration) bool {
	r.mu.Lock()
	plan := r.plans[id.Model]
	r.mu.Unlock()
	versions := slices.Clone(plan.Versions)
	maxPieceTime := time.Duration(0)
	for i := range versions {
		n := &versions[i]
		other := catalog.ModelVersion{Model: id.Model, Version: n.Version}
		manifest, ok := r.cachedManifest(other)
		if !ok {
			continue
		}
		remaining, pieceTime, ok := r.progress(other, &manifest)
		if ok {
			n.MissingPieces, n.TotalPieces, n.SizeKnown = remaining, len(manifest.Digests), true
			maxPieceTime = max(maxPieceTime, pieceTime)
		}
	}
	return plan.Config.IsSuperseded(id.Version, versions, now, maxPieceTime)
}

// progress estimates how many pieces of a version all entries lack and how long each one
// takes. It extrapolates from this entry's own pieces, as all entries lack about the same
// share. It returns false if this entry has no pieces of its own.
func (r *Relay) progress(id catalog.ModelVersion, manifest *Manifest) (remaining int, pieceTime time.Duration, ok bool) {
	own := len(r.ownPieces(id, manifest))
	if own == 0 {
		return 0, 0, false
	}
	total := len(manifest.Digests)
	missing := len(r.missingPieces(id, manifest))
	r.mu.Lock()
	defer r.mu.Unlock()
	estimator := r.pieceTimes
	estimator.Initial = switchover.PieceTimeAtRate(manifest.PieceBytes, r.plans[id.Model].OriginRate) * time.Duration(total) / time.Duration(own)
	return missing * total / own, estimator.Estimate() * time.Duration(own) / time.Duration(total), true
}

// cachedManifest returns the manifest of a version if it was fetched.
func (r *Relay) cachedManifest(id catalog.ModelVersion) (Manifest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.lookupState(id); v != nil && v.manifest != nil {
		return *v.manifest, true
	}
	return Manifest{}, false
}
