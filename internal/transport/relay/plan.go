package relay

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Plan is what operators want of a model.
type Plan struct {
	Bounds switchover.Config
	// Named are the versions wanted, the oldest first; of each only Version and Since are set.
	Named []switchover.Named
	// OriginRate is the rate of the origin's link in bytes a second; 0 if unknown.
	OriginRate float64
}

// SetPlan takes what operators want of a model from now on.
func (r *Relay) SetPlan(model string, plan Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plans[model] = plan
	r.revision++
}

// skipTTL is how long a decision to skip a version holds before it is made anew.
const skipTTL = 500 * time.Millisecond

// isSkipped reports whether a newer version is fetched instead of one that was asked for.
//
// Guard: pieces that were asked for before a newer version was named were fetched before those of the
// newer one.
func (r *Relay) isSkipped(named catalog.NamedVersion) bool {
	now := boottime.Now()
	r.mu.Lock()
	v := r.known(named)
	if v == nil || !v.skipped || now-v.decidedAt < skipTTL {
		defer r.mu.Unlock()
		return v != nil && v.skipped
	}
	r.mu.Unlock()
	return r.decideSkip(named, now)
}

// decideSkip decides whether a version is skipped, and keeps the decision.
func (r *Relay) decideSkip(named catalog.NamedVersion, now time.Duration) bool {
	skipped := r.skips(named, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.known(named); v != nil {
		v.skipped, v.decidedAt = skipped, now
	}
	return skipped
}

// planRevision counts the plans that were set.
func (r *Relay) planRevision() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// skips reports whether a version is not fetched since a newer one alone suffices.
func (r *Relay) skips(v catalog.NamedVersion, now time.Duration) bool {
	r.mu.Lock()
	plan := r.plans[v.Model]
	r.mu.Unlock()
	named := slices.Clone(plan.Named)
	each := time.Duration(0)
	for i := range named {
		n := &named[i]
		other := catalog.NamedVersion{Model: v.Model, Version: n.Version}
		manifest, ok := r.knownManifest(other)
		if !ok {
			continue
		}
		left, pace, ok := r.progress(other, &manifest)
		if ok {
			n.Left, n.Pieces, n.Known = left, len(manifest.Digests), true
			each = max(each, pace)
		}
	}
	return plan.Bounds.Skips(v.Version, named, now, each)
}

// progress estimates how many pieces of a set the entries miss and what each takes, from this entry's
// own pieces: all entries miss about the same share. It returns false for an entry that has none.
func (r *Relay) progress(named catalog.NamedVersion, manifest *Manifest) (left int, each time.Duration, ok bool) {
	own := len(r.ownPieces(named, manifest))
	if own == 0 {
		return 0, 0, false
	}
	all := len(manifest.Digests)
	missing := len(r.piecesAhead(named, manifest))
	r.mu.Lock()
	defer r.mu.Unlock()
	pace := r.pace
	pace.First = switchover.PieceTime(manifest.PieceBytes, r.plans[named.Model].OriginRate) * time.Duration(all) / time.Duration(own)
	return missing * all / own, pace.Each() * time.Duration(own) / time.Duration(all), true
}

// knownManifest returns the manifest of a version if it is here.
func (r *Relay) knownManifest(named catalog.NamedVersion) (Manifest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.known(named); v != nil {
		for _, f := range v.manifests {
			if f.ended() && f.err == nil {
				return f.value, true
			}
		}
	}
	return Manifest{}, false
}
