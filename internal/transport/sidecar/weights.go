package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// Times of loads.
const (
	// weightsEvery is how often it is looked at what to fetch or load next.
	weightsEvery = 100 * time.Millisecond
	// stageTime is kept to lay the pieces beside the server and read them back.
	stageTime = 250 * time.Millisecond
	// loadMost bounds the waiting for a load to end before it is looked at anew.
	loadMost = 6 * time.Second
	// loadTime is what a load takes, as far as is known before it.
	loadTime = 400 * time.Millisecond
	// awaitPause is how often a load under way is looked at.
	awaitPause = 50 * time.Millisecond
	// piecesStalled is the time without a piece after which nothing tells when the rest will come,
	// as while the origin is away.
	piecesStalled = 500 * time.Millisecond
	// retryPause is the pause after a failed step.
	retryPause = 200 * time.Millisecond
)

// weights is what an agent holds of one model. The agent's lock guards it.
type weights struct {
	// whole has the manifests of versions whose pieces are all here, since wholeAt,
	// and known those of versions that were begun.
	whole    map[uint64]*relay.Manifest
	known    map[uint64]*relay.Manifest
	wholeAt  map[uint64]time.Duration
	fetching bool
	loading  bool
	// idle is true while the server has no requests for the model and gets none, nor will
	// once what it loads is there.
	idle bool
	// loads is the version being loaded, while loading.
	loads uint64
	// fetched is the version being fetched, and abandon gives it up. It is beside a
	// server at work if the server had requests for the model.
	fetched uint64
	beside  bool
	abandon context.CancelCauseFunc
	// giveUp gives up the load under way.
	giveUp context.CancelCauseFunc
	// staging is held by whoever lays pieces beside the server: there is one place
	// for all versions.
	staging sync.Mutex
	// left is how many pieces of the fetch under way are missing, and pace how
	// long each took.
	left int
	pace time.Duration
	// pieceAt is when the last piece came.
	pieceAt time.Duration
	// leavesAt is when the server will be changed; 0 if that is not due.
	leavesAt time.Duration
	// servedAt is when the load under way should be done; 0 if there is none, or if it
	// is given up.
	servedAt time.Duration
}

func newWeights() *weights {
	return &weights{whole: map[uint64]*relay.Manifest{}, known: map[uint64]*relay.Manifest{}, wholeAt: map[uint64]time.Duration{}, abandon: func(error) {}, giveUp: func(error) {}}
}

// servedIn predicts when the server will hold what it is being brought; 0 if
// nothing is.
func (w *weights) servedIn(now time.Duration) time.Duration {
	if w.loading && w.servedAt > 0 {
		return max(w.servedAt-now, awaitPause)
	}
	if w.fetching && w.left == 0 && now-w.pieceAt < piecesStalled {
		// What lies staged is being read; as a rule that is all.
		return stageTime + loadTime
	}
	if w.fetching && w.left > 0 && now-w.pieceAt < piecesStalled {
		return time.Duration(w.left)*w.pace + stageTime + loadTime
	}
	return 0
}

func (s *Sidecar) runWeights(ctx context.Context) {
	ticker := time.NewTicker(weightsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.due:
		}
		s.step(ctx, boottime.Now())
	}
}

// stepNow starts what is to be fetched or loaded next without waiting for the next tick.
func (s *Sidecar) stepNow() {
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// step starts what is to be fetched or loaded next.
//
// A host's agent is up a second before its new model server answers. Its weights
// are fetched meanwhile, since a server that starts holds none, except where the
// whole installation starts with what it was delivered with.
func (s *Sidecar) step(ctx context.Context, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasView || !s.hasReport && (s.reportedOnce || s.config.FirstStart) {
		return
	}
	config := switchover.DefaultConfig(s.config.Bound).WithPass(s.viewed.Pass)
	for model, named := range s.named() {
		p := &plan{Config: config, model: model, weights: s.weightsOf(model), named: named, held: held(s.report.Models, model), now: now}
		p.idle = config.Idle(p.held, named, now)
		p.weights.idle = p.idle && config.Still(p.held, named, now, s.emptyAt()) && !(p.weights.loading && !config.Idle(p.weights.loads, named, now))
		for i := range named {
			named[i].Whole = p.weights.whole[named[i].Version] != nil
			named[i].WholeAt = p.weights.wholeAt[named[i].Version]
			if manifest := p.weights.known[named[i].Version]; manifest != nil {
				named[i].Left, named[i].Pieces, named[i].Known = s.missing(manifest), len(manifest.Digests), true
				s.pace.First = switchover.PieceTime(manifest.PieceBytes, s.viewed.OriginRate)
			}
		}
		s.fetchNext(ctx, p)
		s.loadNext(ctx, p)
	}
}

// emptyAt is when the last report was asked for if the server had no request then, else
// 0; the caller holds the lock.
func (s *Sidecar) emptyAt() time.Duration {
	if !s.hasReport || s.report.Running > 0 || s.report.Queued > 0 {
		return 0
	}
	return s.reportAsked
}

// plan is what is known of one model's versions at one step.
type plan struct {
	switchover.Config
	model   string
	weights *weights
	named   []switchover.Named
	held    uint64
	// idle is true if the server gets no requests for the model.
	idle bool
	now  time.Duration
}

func (s *Sidecar) weightsOf(model string) *weights {
	m, ok := s.models[model]
	if !ok {
		m = newWeights()
		s.models[model] = m
	}
	return m
}

// fetchNext starts or gives up a fetch; the caller holds the lock.
func (s *Sidecar) fetchNext(ctx context.Context, p *plan) {
	m := p.weights
	if m.fetching && p.Abandons(m.fetched, p.named, p.now, s.pace.Each()) {
		m.abandon(errSuperseded)
	}
	version, ok := p.Fetches(p.held, p.named, p.now, s.pace.Each())
	if !ok || m.fetching {
		return
	}
	m.fetching, m.fetched, m.beside = true, version, !p.idle
	f := &fetching{agent: s, weights: m, named: catalog.NamedVersion{Model: p.model, Version: version}}
	ctx, m.abandon = context.WithCancelCause(ctx)
	go f.run(ctx)
}

// loadNext starts a load whose turn has come; the caller holds the lock.
func (s *Sidecar) loadNext(ctx context.Context, p *plan) {
	m := p.weights
	version, begin, ok := p.Next(p.held, p.named, s.viewed.Place, s.viewed.Count)
	if p.idle {
		begin = 0
	}
	s.noteLeaving(m, begin, ok && !p.idle)
	if !ok || !s.hasReport || m.loading || s.report.Loading || p.now < begin-p.Quiet-stageTime {
		return
	}
	m.loading, m.loads = true, version
	ctx, m.giveUp = context.WithCancelCause(ctx)
	m.servedAt = max(p.now+stageTime, begin) + loadTime
	l := &load{agent: s, weights: m, named: catalog.NamedVersion{Model: p.model, Version: version}, idle: p.idle, begin: begin, quiet: p.Quiet, manifest: m.whole[version], boot: s.boot}
	go l.run(ctx)
}

// noteLeaving notes when the server will break off what it does, so that entries
// place answers that last longer elsewhere. The caller holds the lock.
func (s *Sidecar) noteLeaving(m *weights, begin time.Duration, due bool) {
	if m.loading {
		return
	}
	if !due {
		begin = 0
	}
	s.news = s.news || begin != m.leavesAt
	m.leavesAt = begin
}

// named returns the versions wanted of each model, oldest first.
func (s *Sidecar) named() map[string][]switchover.Named {
	models := map[string][]switchover.Named{}
	for _, n := range s.viewed.Named {
		models[n.Model] = append(models[n.Model], switchover.Named{Version: n.Version, Since: s.viewedAt - n.Age})
	}
	return models
}

// prune drops versions older than the one that is served, and the pieces that
// only they had; the caller holds the lock.
func (s *Sidecar) prune(model string, m *weights) {
	has := held(s.report.Models, model)
	for version := range m.known {
		if version < has {
			delete(m.known, version)
			delete(m.whole, version)
			delete(m.wholeAt, version)
		}
	}
	wanted := map[string]bool{}
	for _, other := range s.models {
		for _, manifest := range other.known {
			for _, digest := range manifest.Digests {
				wanted[digest] = true
			}
		}
	}
	for digest := range s.pieces {
		if !wanted[digest] {
			delete(s.pieces, digest)
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
