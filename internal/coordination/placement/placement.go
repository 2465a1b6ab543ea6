// Package placement derives from the accepted bundle which weights a host must
// have loaded, and tracks each set of weights until the engine has loaded it.
package placement

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Kind is the kind of a set of weights.
type Kind string

// The kinds.
const (
	KindModel   Kind = "Model"
	KindAdapter Kind = "Adapter"
)

// Weights is a set of weights that a host must serve.
type Weights struct {
	Kind Kind
	// Model is the name that requests use. For an adapter it is "model/adapter".
	Model    string
	Version  string
	Manifest filbertlever.Digest
	// Base is the manifest of an adapter's base model. It is empty for a model.
	Base     filbertlever.Digest
	MaxBatch int
	Role     string
}

// Wanted returns the weights that each host of a pool must serve, models
// before their adapters.
func Wanted(b *bundle.Bundle, pool string) []Weights {
	var wanted []Weights
	for _, model := range b.PoolModels(pool) {
		wanted = append(wanted, Weights{
			Kind:     KindModel,
			Model:    model.Name,
			Version:  model.Version,
			Manifest: model.Manifest,
			MaxBatch: model.Engine.MaxBatch,
			Role:     model.Engine.Role,
		})
		for _, adapter := range model.Adapters {
			wanted = append(wanted, Weights{
				Kind:     KindAdapter,
				Model:    model.Name + "/" + adapter.Name,
				Version:  adapter.Version,
				Manifest: adapter.Manifest,
				Base:     model.Manifest,
			})
		}
	}
	return wanted
}

// Stage is the stage of a set of weights on a host.
type Stage string

// The stages, in order.
const (
	StageFetching Stage = "Fetching"
	StageVerified Stage = "Verified"
	StageLoading  Stage = "Loading"
	StageLive     Stage = "Live"
	// StageFailed means that a load failed and will be retried.
	StageFailed Stage = "Failed"
)

// Progress is the state of one set of weights on a host.
type Progress struct {
	Weights Weights
	Stage   Stage
	// Digest is the digest of the whole set. It is set once the set is verified.
	Digest filbertlever.Digest
	// Failures counts failed loads. Reason describes the last failure.
	Failures int
	Reason   string
	// retryAt is the earliest time for a retry of a failed load.
	retryAt time.Time
}

// Loader tracks the stages of the weights that one host must serve. It is not
// safe for concurrent use.
type Loader struct {
	sets []*Progress
	// replaced are live sets that the bundle no longer lists. Each is kept until
	// its replacement is live.
	replaced []*Progress
}

// Backoff between retries of a failed load.
const (
	baseLoadBackoff = 500 * time.Millisecond
	maxLoadBackoff  = 30 * time.Second
)

// SetWanted replaces the wanted sets. A set that stays wanted keeps its stage. A
// live set that is replaced by another version continues to serve until that
// version is live. Any other set is dropped at whatever stage it is.
func (l *Loader) SetWanted(wanted []Weights) {
	previous := append(l.sets, l.replaced...)
	l.sets = make([]*Progress, 0, len(wanted))
	l.replaced = nil
	for _, weights := range wanted {
		l.sets = append(l.sets, findOrNew(previous, weights))
	}
	for _, p := range previous {
		if p.Stage == StageLive && !slices.Contains(wanted, p.Weights) {
			l.replaced = append(l.replaced, p)
		}
	}
	l.dropReplaced()
}

func findOrNew(previous []*Progress, weights Weights) *Progress {
	for _, p := range previous {
		if p.Weights == weights {
			return p
		}
	}
	return &Progress{Weights: weights, Stage: StageFetching}
}

// dropReplaced drops the replaced sets whose model is no longer wanted or whose
// new version is live.
func (l *Loader) dropReplaced() {
	l.replaced = slices.DeleteFunc(l.replaced, func(old *Progress) bool {
		for _, p := range l.sets {
			if p.Weights.Model == old.Weights.Model {
				return p.Stage == StageLive
			}
		}
		return true
	})
}

// Unfetched returns the sets whose chunks have not all been fetched.
func (l *Loader) Unfetched() []Weights {
	var unfetched []Weights
	for _, p := range l.sets {
		if p.Stage == StageFetching {
			unfetched = append(unfetched, p.Weights)
		}
	}
	return unfetched
}

// MarkVerified records that all chunks of a set are fetched and verified.
func (l *Loader) MarkVerified(weights Weights, digest filbertlever.Digest) {
	p := l.find(weights)
	if p != nil && p.Stage == StageFetching {
		p.Stage = StageVerified
		p.Digest = digest
	}
}

// Next returns the set that the engine must load now, if any, and marks it as
// loading. Only one load is in flight at a time. An adapter is loaded after its
// base model.
//
// An engine that loads an incomplete set would serve partial weights, so only a
// verified set is returned.
func (l *Loader) Next(now time.Time) (Progress, bool) {
	for _, p := range l.sets {
		if p.Stage == StageLoading {
			return Progress{}, false
		}
	}
	for _, p := range l.sets {
		ready := p.Stage == StageVerified || p.Stage == StageFailed && !now.Before(p.retryAt)
		if !ready || !l.baseLive(p.Weights.Base) {
			continue
		}
		p.Stage = StageLoading
		return *p, true
	}
	return Progress{}, false
}

// MarkLoaded records the digest that the engine attested after a load and reports
// whether the set is live.
//
// The engine may have read damaged bytes, or a load by another lease holder may
// have replaced the weights. A digest that differs from the expected one counts as
// a failed load.
func (l *Loader) MarkLoaded(weights Weights, attested filbertlever.Digest, now time.Time) bool {
	p := l.find(weights)
	if p == nil || p.Stage != StageLoading {
		return false
	}
	if attested != p.Digest {
		l.fail(p, "engine attested "+attested.Short()+", expected "+p.Digest.Short(), now)
		return false
	}
	p.Stage = StageLive
	p.Reason = ""
	l.dropReplaced()
	return true
}

// MarkFailed records a failed load. The load is retried with backoff as long as
// the set is wanted. All reports the failure until the load succeeds.
func (l *Loader) MarkFailed(weights Weights, reason string, now time.Time) {
	if p := l.find(weights); p != nil && p.Stage == StageLoading {
		l.fail(p, reason, now)
	}
}

// Reconcile compares the digests that the engine has loaded with the live sets. A
// set that the engine no longer has, as after a restart of the engine, is loaded
// again. Reconcile reports whether anything changed.
func (l *Loader) Reconcile(loaded []filbertlever.Digest) bool {
	count := len(l.replaced)
	l.replaced = slices.DeleteFunc(l.replaced, func(old *Progress) bool {
		return !slices.Contains(loaded, old.Digest)
	})
	changed := len(l.replaced) < count
	for _, p := range l.sets {
		if p.Stage == StageLive && !slices.Contains(loaded, p.Digest) {
			p.Stage = StageVerified
			p.Reason = "engine lost the weights"
			changed = true
		}
	}
	return changed
}

// Live returns the sets that requests may use, including replaced sets that still serve.
func (l *Loader) Live() []Progress {
	var live []Progress
	for _, p := range append(slices.Clone(l.sets), l.replaced...) {
		if p.Stage == StageLive {
			live = append(live, *p)
		}
	}
	return live
}

// All returns the progress of every wanted set.
func (l *Loader) All() []Progress {
	all := make([]Progress, len(l.sets))
	for i, p := range l.sets {
		all[i] = *p
	}
	return all
}

func (l *Loader) baseLive(base filbertlever.Digest) bool {
	if base == "" {
		return true
	}
	for _, p := range l.sets {
		if p.Weights.Kind == KindModel && p.Weights.Manifest == base {
			return p.Stage == StageLive
		}
	}
	return false
}

func (l *Loader) fail(p *Progress, reason string, now time.Time) {
	p.Stage = StageFailed
	p.Reason = reason
	p.retryAt = now.Add(min(baseLoadBackoff<<min(p.Failures, 10), maxLoadBackoff))
	p.Failures++
}

func (l *Loader) find(weights Weights) *Progress {
	for _, p := range l.sets {
		if p.Weights == weights {
			return p
		}
	}
	return nil
}
