// Package placement decides which weights a host must have loaded, from the
// accepted bundle alone, and carries each of them to the engine.
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
	// Model is the name that requests use; for an adapter "model/adapter".
	Model    string
	Version  string
	Manifest filbertlever.Digest
	// Base is the manifest of the model below an adapter; empty for a model.
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

// Stage is how far a set of weights has come on a host.
type Stage string

// The stages, in order.
const (
	StageFetching Stage = "Fetching"
	StageVerified Stage = "Verified"
	StageLoading  Stage = "Loading"
	StageLive     Stage = "Live"
	// StageFailed is a load that failed and waits for its next try.
	StageFailed Stage = "Failed"
)

// Progress is the state of one set of weights on a host.
type Progress struct {
	Weights Weights
	Stage   Stage
	// Digest is that of the whole set, known once the manifest is.
	Digest filbertlever.Digest
	// Failures counts loads that failed, and Reason is the last one's.
	Failures int
	Reason   string
	// retryAt is when a failed load is tried again.
	retryAt time.Time
}

// Loader carries the wanted weights of one host through their stages. It is
// not safe for concurrent use.
type Loader struct {
	sets []*Progress
	// replaced are live sets that the bundle no longer names, each kept until
	// the set that takes its place is live.
	replaced []*Progress
}

// Pauses between tries of a failed load.
const (
	baseLoadBackoff = 500 * time.Millisecond
	maxLoadBackoff  = 30 * time.Second
)

// SetWanted replaces what is wanted. A set that stays wanted keeps its stage.
// A live set that another version replaces goes on serving until that one is
// live; any other set is dropped, wherever it was.
func (l *Loader) SetWanted(wanted []Weights) {
	before := append(l.sets, l.replaced...)
	l.sets = make([]*Progress, 0, len(wanted))
	l.replaced = nil
	for _, weights := range wanted {
		l.sets = append(l.sets, findOrNew(before, weights))
	}
	for _, p := range before {
		if p.Stage == StageLive && !slices.Contains(wanted, p.Weights) {
			l.replaced = append(l.replaced, p)
		}
	}
	l.dropReplaced()
}

func findOrNew(before []*Progress, weights Weights) *Progress {
	for _, p := range before {
		if p.Weights == weights {
			return p
		}
	}
	return &Progress{Weights: weights, Stage: StageFetching}
}

// dropReplaced drops the outgoing sets whose model is wanted no more or is live in
// its new version.
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

// Fetch returns the sets whose chunks are still to be fetched.
func (l *Loader) Fetch() []Weights {
	var fetch []Weights
	for _, p := range l.sets {
		if p.Stage == StageFetching {
			fetch = append(fetch, p.Weights)
		}
	}
	return fetch
}

// Verified notes that the whole set is at hand, chunk by chunk verified.
func (l *Loader) Verified(weights Weights, digest filbertlever.Digest) {
	p := l.find(weights)
	if p != nil && p.Stage == StageFetching {
		p.Stage = StageVerified
		p.Digest = digest
	}
}

// Next returns the set that the engine must be told to load now, if any, and
// marks it as loading. One load is under way at a time; an adapter waits for
// its model.
//
// Guard: an engine that loads an incomplete set would serve partial weights;
// only a verified set is ever returned.
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

// Loaded notes what the engine attested after a load, and reports whether the
// set is live.
//
// Guard: the engine may have read damaged bytes, or another holder's order may
// have replaced the weights; a digest other than the manifest's is a failure.
func (l *Loader) Loaded(weights Weights, attested filbertlever.Digest, now time.Time) bool {
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

// Failed notes that a load failed; it is tried again after a pause, for as
// long as the set is wanted, and reported meanwhile.
func (l *Loader) Failed(weights Weights, reason string, now time.Time) {
	if p := l.find(weights); p != nil && p.Stage == StageLoading {
		l.fail(p, reason, now)
	}
}

// Attested compares what the engine says that it has loaded with what is
// live, and takes back the stage of a set that is gone, as after an engine's
// restart. It reports whether anything changed.
func (l *Loader) Attested(loaded []filbertlever.Digest) bool {
	kept := len(l.replaced)
	l.replaced = slices.DeleteFunc(l.replaced, func(old *Progress) bool {
		return !slices.Contains(loaded, old.Digest)
	})
	changed := len(l.replaced) < kept
	for _, p := range l.sets {
		if p.Stage == StageLive && !slices.Contains(loaded, p.Digest) {
			p.Stage = StageVerified
			p.Reason = "engine lost the weights"
			changed = true
		}
	}
	return changed
}

// Live returns the sets that requests may use, outgoing ones included.
func (l *Loader) Live() []Progress {
	var live []Progress
	for _, p := range append(slices.Clone(l.sets), l.replaced...) {
		if p.Stage == StageLive {
			live = append(live, *p)
		}
	}
	return live
}

// All returns the state of every wanted set.
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
