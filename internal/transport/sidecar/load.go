package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
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
	// retryPause is the pause after a failed step.
	retryPause = 200 * time.Millisecond
)

// How many pieces are moved at once: for an idle server enough to keep the host's
// link full; for one that serves a single one, since callers' events wait behind
// what is queued on the link, 34 ms for each piece. More are waited for: drawers
// are up to 20 pieces apart.
const (
	lanesIdle     = 16
	lanesServing  = 1
	piecesAwaited = 16
)

// weights is what an agent holds of one model. The agent's lock guards it.
type weights struct {
	// whole has the manifests of versions whose pieces are all here, and known
	// those of versions that were begun.
	whole    map[uint64]*relay.Manifest
	known    map[uint64]*relay.Manifest
	fetching bool
	loading  bool
	// fetched is the version being fetched, and abandon gives it up.
	fetched uint64
	abandon context.CancelCauseFunc
	// staging is held by whoever lays pieces beside the server: there is one place
	// for all versions.
	staging sync.Mutex
	// left is how many pieces of the fetch under way are missing, and pace how
	// long each took.
	left int
	pace time.Duration
	// leavesAt is when the server will be changed; 0 if that is not due.
	leavesAt time.Duration
	// servedAt is when the load under way should be done; 0 if there is none.
	servedAt time.Duration
}

func newWeights() *weights {
	return &weights{whole: map[uint64]*relay.Manifest{}, known: map[uint64]*relay.Manifest{}, abandon: func(error) {}}
}

// servedIn predicts when the server will hold what it is being brought; 0 if
// nothing is.
func (w *weights) servedIn(now time.Duration) time.Duration {
	if w.loading {
		return max(w.servedAt-now, awaitPause)
	}
	if w.fetching && w.left > 0 {
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
			s.step(ctx, boottime.Now())
		}
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
	config := switchover.DefaultConfig(s.config.Bound)
	for model, named := range s.named() {
		m, ok := s.models[model]
		if !ok {
			m = newWeights()
			s.models[model] = m
		}
		for i := range named {
			named[i].Whole = m.whole[named[i].Version] != nil
			if manifest := m.known[named[i].Version]; manifest != nil {
				named[i].Left, named[i].Known = s.missing(manifest), true
			}
		}
		has := held(s.report.Models, model)
		idle := config.Idle(has, named, now)
		if m.fetching && config.Abandons(m.fetched, named, now) {
			m.abandon(errSuperseded)
		}
		if version, ok := config.Fetches(has, named, now); ok && !m.fetching {
			m.fetching, m.fetched = true, version
			f := &fetching{agent: s, weights: m, named: catalog.NamedVersion{Model: model, Version: version}, lanes: lanesServing}
			if idle {
				f.lanes, f.idle = lanesIdle, true
			}
			fetch, abandon := context.WithCancelCause(ctx)
			m.abandon = abandon
			go f.run(fetch)
		}
		version, begin, ok := config.Next(has, named, s.viewed.Place, s.viewed.Count)
		if idle {
			begin = 0
		}
		s.noteLeaving(m, begin, ok && !idle)
		if !ok || !s.hasReport || m.loading || s.report.Loading || now < begin-config.Quiet-stageTime {
			continue
		}
		m.loading = true
		m.servedAt = max(now+stageTime, begin) + loadTime
		l := &load{agent: s, weights: m, named: catalog.NamedVersion{Model: model, Version: version}, idle: idle, begin: begin, quiet: config.Quiet, manifest: m.whole[version]}
		go l.run(ctx)
	}
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

// errSuperseded means that a version is no longer worth fetching.
var errSuperseded = errors.New("a newer version will be the only one to answer")

// fetching brings the pieces of one version to the host.
type fetching struct {
	agent   *Sidecar
	weights *weights
	named   catalog.NamedVersion
	lanes   int
	// moving has room for the pieces that may be moved at once.
	moving chan struct{}
	// idle is true if the server gets no requests for the model.
	idle bool
}

func (f *fetching) run(ctx context.Context) {
	s := f.agent
	began := boottime.Now()
	manifest, err := f.manifest(ctx)
	if err == nil {
		s.mu.Lock()
		f.weights.known[f.named.Version] = &manifest
		s.mu.Unlock()
		f.takeStaged(ctx, &manifest)
		err = f.fetch(ctx, &manifest)
	}
	if err != nil {
		s.log.Warn("weights not fetched", zap.String("Model", f.named.Model), zap.Uint64("Version", f.named.Version), zap.Error(err))
		sleep(ctx, retryPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.weights.fetching = false
	f.weights.abandon(nil)
	if err != nil {
		return
	}
	took := boottime.Now() - began
	s.metrics.seconds.Observe(took.Seconds())
	s.log.Info("weights fetched", zap.String("Model", f.named.Model), zap.Uint64("Version", f.named.Version), zap.Duration("Took", took))
	f.weights.whole[f.named.Version] = &manifest
	s.prune(f.named.Model, f.weights)
}

// prune drops versions older than the one that is served, and the pieces that
// only they had; the caller holds the lock.
func (s *Sidecar) prune(model string, m *weights) {
	has := held(s.report.Models, model)
	for version := range m.known {
		if version < has {
			delete(m.known, version)
			delete(m.whole, version)
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

// load makes the server serve one version whose pieces are here.
type load struct {
	agent    *Sidecar
	weights  *weights
	named    catalog.NamedVersion
	manifest *relay.Manifest
	// idle is true if the server gets no requests for the model, so that nothing
	// has to be kept from it.
	idle bool
	// begin is when the order is to be given.
	begin time.Duration
	// quiet is how long before that the server gets no new requests.
	quiet time.Duration
}

func (l *load) run(ctx context.Context) {
	s := l.agent
	err := l.carry(ctx)
	result := "Done"
	if err != nil {
		result = "Failed"
		s.log.Warn("load failed", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Error(err))
		sleep(ctx, retryPause)
	}
	s.metrics.loads.WithLabelValues(result).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.weights.loading, l.weights.leavesAt, s.switching = false, 0, false
	s.prune(l.named.Model, l.weights)
}

// carry stages and checks the pieces, keeps requests away and gives the order.
func (l *load) carry(ctx context.Context) error {
	s := l.agent
	l.weights.staging.Lock()
	defer l.weights.staging.Unlock()
	if err := l.stage(ctx, l.manifest); err != nil {
		return err
	}
	if !l.idle {
		sleep(ctx, l.begin-l.quiet-boottime.Now())
		s.setSwitching(true)
		sleep(ctx, l.quiet)
	}
	if err := s.engine.Load(ctx, l.named.Model, l.named.Version); err != nil {
		return err
	}
	s.log.Info("load ordered", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Bool("Idle", l.idle))
	return l.await(ctx)
}

// sources returns the entries to ask for a piece, one after the other.
func (f *fetching) sources(piece int) []gateway.Entry {
	all := f.agent.entriesNow()
	byHost := make(map[filbertlever.HostID]gateway.Entry, len(all))
	candidates := make([]relays.Entry, 0, len(all))
	for _, entry := range all {
		byHost[entry.Host] = entry
		candidates = append(candidates, relays.Entry{Host: entry.Host, Site: entry.Site})
	}
	key := fmt.Sprintf("%s/%d/%d", f.named.Model, f.named.Version, piece)
	var ordered []gateway.Entry
	for _, host := range relays.Ways(candidates, f.agent.config.Site, key) {
		ordered = append(ordered, byHost[host])
	}
	return ordered
}

func (f *fetching) manifest(ctx context.Context) (relay.Manifest, error) {
	var last error = errNoEntry
	for _, entry := range f.sources(-1) {
		manifest, err := relay.FetchManifest(ctx, f.agent.client, entry.Peers, f.named)
		if err == nil && len(manifest.Digests) > 0 {
			return manifest, nil
		}
		if err != nil {
			last = err
		}
	}
	return relay.Manifest{}, last
}

// fetch draws every piece that is not held. Some are waited for at once, in the
// order in which homes draw, and so many as there are lanes are moved at once.
//
// Guard: with one piece waited for at a time, all that others had drawn meanwhile
// waited behind it: sets that the origin's link allows in 2.9 s took 4.3 to 5.2 s,
// and when it came back after an outage, 28 of 64 pieces were still to come.
func (f *fetching) fetch(ctx context.Context, manifest *relay.Manifest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.moving = make(chan struct{}, f.lanes)
	progress := f.progress(manifest)
	waiting := make(chan struct{}, piecesAwaited)
	failed := make(chan error, len(manifest.Digests))
	var group sync.WaitGroup
	for piece, digest := range manifest.Digests {
		if _, ok := f.agent.piece(digest); ok {
			continue
		}
		waiting <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-waiting }()
			err := f.fetchPiece(ctx, manifest, piece)
			if err == nil {
				progress()
				return
			}
			failed <- err
			if errors.Is(err, relay.ErrGone) {
				cancel(err)
			}
		})
	}
	group.Wait()
	if err := context.Cause(ctx); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// firstPace is what a piece takes as far as is known before the first: 32 KiB
// on a link of 7.6 Mbit/s.
const firstPace = 35 * time.Millisecond

// progress prepares the prediction of when a fetch ends, and returns what to
// call after each piece.
func (f *fetching) progress(manifest *relay.Manifest) func() {
	s, m := f.agent, f.weights
	began, done := boottime.Now(), 0
	s.mu.Lock()
	missing := s.missing(manifest)
	m.left, m.pace = missing, firstPace
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		done++
		m.left, m.pace = missing-done, (boottime.Now()-began)/time.Duration(done)
	}
}

// fetchPiece draws one piece from the first entry that has it whole.
//
// Guard: a piece may be corrupted on its way or at an entry; only one that
// matches the manifest's digest is kept.
func (f *fetching) fetchPiece(ctx context.Context, manifest *relay.Manifest, piece int) error {
	s := f.agent
	var last error = errNoEntry
	for _, entry := range f.sources(piece) {
		data, err := f.move(ctx, entry.Peers, piece)
		if err != nil {
			last = err
			continue
		}
		if !manifest.Verify(piece, data) {
			s.metrics.corrupt.Inc()
			last = fmt.Errorf("piece %d from %s: digest differs", piece, entry.Host)
			s.log.Warn("piece is corrupt", zap.Int("Piece", piece), zap.String("Entry", string(entry.Host)))
			continue
		}
		s.metrics.fetched.Add(float64(len(data)))
		s.keep(manifest.Digests[piece], data)
		f.stageEarly(ctx, piece, data)
		return nil
	}
	return last
}

// move brings a piece from an entry once the entry has it.
func (f *fetching) move(ctx context.Context, address string, piece int) ([]byte, error) {
	if f.lanes < piecesAwaited {
		if err := relay.AwaitPiece(ctx, f.agent.client, address, f.named, piece); err != nil {
			return nil, err
		}
	}
	f.moving <- struct{}{}
	defer func() { <-f.moving }()
	return relay.FetchPiece(ctx, f.agent.client, address, f.named, piece)
}

// takeStaged takes what already lies beside the server and is a piece of the
// version: a server that crashed has lost its weights, but not what was staged,
// and versions share pieces. A set over the host's link takes 2.3 s.
func (f *fetching) takeStaged(ctx context.Context, manifest *relay.Manifest) {
	s := f.agent
	s.mu.Lock()
	answers := s.hasReport
	s.mu.Unlock()
	if !answers {
		return
	}
	staged, err := s.engine.StagedPieces(ctx, f.named.Model)
	if err != nil {
		s.log.Warn("staged pieces not listed", zap.String("Model", f.named.Model), zap.Error(err))
		return
	}
	taken := 0
	for _, piece := range staged {
		if piece < 0 || piece >= len(manifest.Digests) {
			continue
		}
		if _, ok := s.piece(manifest.Digests[piece]); ok {
			continue
		}
		data, err := s.engine.Staged(ctx, f.named.Model, piece)
		if err != nil {
			s.log.Warn("staged piece not read", zap.Int("Piece", piece), zap.Error(err))
			return
		}
		if data != nil && manifest.Verify(piece, data) {
			s.keep(manifest.Digests[piece], data)
			taken++
		}
	}
	s.log.Info("staged pieces taken", zap.String("Model", f.named.Model), zap.Uint64("Version", f.named.Version),
		zap.Int("Staged", len(staged)), zap.Int("Taken", taken))
}

// stageEarly lays a piece beside an idle server while others are on their way,
// which leaves only the reading back for after the last: 0.13 s became 0.05 s.
// Beside a server that serves, it would overwrite what a restart loads again.
//
// Guard: another version may be about to be loaded. Pieces laid between its last
// check and its order would be taken with it, and the server would answer with
// weights of two versions; nothing is laid until that load has ended.
func (f *fetching) stageEarly(ctx context.Context, piece int, data []byte) {
	f.agent.mu.Lock()
	answers := f.agent.hasReport
	f.agent.mu.Unlock()
	if !f.idle || !answers || !f.weights.staging.TryLock() {
		return
	}
	defer f.weights.staging.Unlock()
	if err := f.agent.engine.Stage(ctx, f.named.Model, piece, data); err != nil {
		// All pieces are read back before the load, and laid again where they differ.
		f.agent.log.Warn("piece not staged", zap.Int("Piece", piece), zap.Error(err))
	}
}

// stageTries bounds the rounds of staging and checking.
const stageTries = 3

// stage lays the pieces beside the server and reads each back.
//
// Guard: what is staged is not checked by the server and may rot before the
// load, and the server would then answer with weights that are not whole; a
// piece that does not read back as it should is laid again.
func (l *load) stage(ctx context.Context, manifest *relay.Manifest) error {
	s := l.agent
	for range stageTries {
		spoilt := 0
		for piece, digest := range manifest.Digests {
			staged, err := s.engine.Staged(ctx, l.named.Model, piece)
			if err != nil {
				return err
			}
			if staged != nil && manifest.Verify(piece, staged) {
				continue
			}
			spoilt++
			data, ok := s.piece(digest)
			if !ok {
				return fmt.Errorf("piece %d of %s is no longer held", piece, l.named.Model)
			}
			if err := s.engine.Stage(ctx, l.named.Model, piece, data); err != nil {
				return err
			}
		}
		if spoilt == 0 {
			return nil
		}
	}
	return fmt.Errorf("staged pieces of %s do not stay whole", l.named.Model)
}

// await waits until the server reports the version.
func (l *load) await(ctx context.Context) error {
	s := l.agent
	for end := boottime.Now() + loadMost; boottime.Now() < end; {
		sleep(ctx, awaitPause)
		report, err := s.engine.Report(ctx)
		if err != nil {
			return err
		}
		if held(report.Models, l.named.Model) >= l.named.Version {
			s.mu.Lock()
			s.report, s.hasReport, s.switching = report, true, false
			s.mu.Unlock()
			s.tell(true)
			s.log.Info("version served", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version))
			return nil
		}
		if !report.Loading {
			return fmt.Errorf("server neither loads nor holds version %d", l.named.Version)
		}
	}
	return fmt.Errorf("version %d not served after %v", l.named.Version, loadMost)
}
