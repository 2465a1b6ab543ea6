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

// Intervals and timeouts of fetches and loads.
const (
	// stepInterval is the interval between checks of what to fetch or load next.
	stepInterval = 100 * time.Millisecond
	// stagingTime is the time reserved to stage the pieces and read them back.
	stagingTime = 250 * time.Millisecond
	// loadTimeout limits the wait for a load to finish; afterwards it is planned again.
	loadTimeout = 6 * time.Second
	// expectedLoadTime is the estimated duration of a load before it starts.
	expectedLoadTime = 400 * time.Millisecond
	// loadPollInterval is the interval between report requests during a load.
	loadPollInterval = 50 * time.Millisecond
	// stallThreshold is the time without a new piece after which the end of a fetch can no
	// longer be estimated, for example while the origin is unreachable.
	stallThreshold = 500 * time.Millisecond
	// retryDelay is the pause after a failed fetch or load.
	retryDelay = 200 * time.Millisecond
)

// modelState is an agent's state of one model. It is protected by the agent's lock.
type modelState struct {
	// complete holds the manifests of versions whose pieces are all cached, and completeAt
	// since when. manifests holds those of all versions whose fetch was started.
	complete   map[uint64]*relay.Manifest
	manifests  map[uint64]*relay.Manifest
	completeAt map[uint64]time.Duration
	// doubted holds the IDs of the manifests that pieces did not match in the last fetch.
	doubted  map[uint64]string
	fetching bool
	loading  bool
	// idle is true while the server has no requests for the model and receives none, and
	// will not receive any once the load in progress has finished.
	idle bool
	// loadingVersion is the version being loaded, while loading.
	loadingVersion uint64
	// fetchingVersion is the version being fetched, and cancelFetch cancels the fetch.
	// fetchThrottled is true if the server had requests for the model when it started.
	fetchingVersion uint64
	fetchThrottled  bool
	cancelFetch     context.CancelCauseFunc
	cancelLoad      context.CancelCauseFunc
	// stagingMu is held while pieces are staged, because the server has one staging area
	// for all versions.
	stagingMu sync.Mutex
	// missingPieces is the number of pieces that the fetch in progress lacks, and pieceTime
	// the average time per piece so far.
	missingPieces int
	pieceTime     time.Duration
	lastPieceAt   time.Duration
	// switchAt is when the server will switch to another version; 0 if no switch is
	// planned.
	switchAt time.Duration
	// loadedAt is when the load in progress is expected to finish; 0 if there is none or it
	// was cancelled.
	loadedAt time.Duration
	// unproven is the version that the server may have loaded from corrupt pieces; 0 if there is
	// none. Reports omit it, so that entries send no requests for it.
	unproven uint64
}

func newModelState() *modelState {
	return &modelState{complete: map[uint64]*relay.Manifest{}, manifests: map[uint64]*relay.Manifest{}, completeAt: map[uint64]time.Duration{}, doubted: map[uint64]string{}, cancelFetch: func(error) {}, cancelLoad: func(error) {}}
}

// loadedIn estimates the time until the server holds the version that is being fetched or
// loaded; 0 if there is none.
func (m *modelState) loadedIn(now time.Duration) time.Duration {
	if m.loading && m.loadedAt > 0 {
		return max(m.loadedAt-now, loadPollInterval)
	}
	if m.fetching && m.missingPieces == 0 && now-m.lastPieceAt < stallThreshold {
		// Staged pieces are being read back, which usually yields the complete version.
		return stagingTime + expectedLoadTime
	}
	if m.fetching && m.missingPieces > 0 && now-m.lastPieceAt < stallThreshold {
		return time.Duration(m.missingPieces)*m.pieceTime + stagingTime + expectedLoadTime
	}
	return 0
}

func (s *Sidecar) runSteps(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.stepRequested:
		}
		s.step(ctx, boottime.Now())
	}
}

// requestStep triggers a step without waiting for the next tick.
func (s *Sidecar) requestStep() {
	select {
	case s.stepRequested <- struct{}{}:
	default:
	}
}

// step starts the next fetch and load of each model.
//
// An agent starts a second before its new model server responds. It fetches the weights
// in the meantime, because a starting server holds none. The exception is the first start
// of an installation, whose servers may already hold the weights delivered with it.
func (s *Sidecar) step(ctx context.Context, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasView || !s.hasReport && (s.everReported || s.config.FirstStart) {
		return
	}
	config := switchover.DefaultConfig(s.config.MaxStaleness).WithMaxPass(s.view.LongestPass)
	for model, versions := range s.versionsByModel() {
		p := &modelPlan{Config: config, model: model, state: s.modelState(model), versions: versions, loadedVersion: loadedVersion(s.report.Models, model), now: now}
		p.idle = config.Idle(p.loadedVersion, versions, now)
		p.state.idle = p.idle && config.IsDrained(p.loadedVersion, versions, now, s.idleReportAt()) && !(p.state.loading && !config.Idle(p.state.loadingVersion, versions, now))
		for i := range versions {
			versions[i].Complete = p.state.complete[versions[i].Version] != nil
			versions[i].CompleteAt = p.state.completeAt[versions[i].Version]
			if manifest := p.state.manifests[versions[i].Version]; manifest != nil {
				versions[i].MissingPieces, versions[i].TotalPieces, versions[i].SizeKnown = s.missingPieces(manifest), len(manifest.Digests), true
				s.pieceTimes.Initial = switchover.PieceTimeAtRate(manifest.PieceBytes, s.view.OriginRate)
			}
		}
		s.fetchNext(ctx, p)
		s.loadNext(ctx, p)
	}
}

// idleReportAt returns when the last report was requested if it shows no requests,
// otherwise 0. The caller holds the lock.
func (s *Sidecar) idleReportAt() time.Duration {
	if !s.hasReport || s.report.Running > 0 || s.report.Queued > 0 {
		return 0
	}
	return s.reportRequestedAt
}

// modelPlan is the input for planning one model's fetch and load in one step.
type modelPlan struct {
	switchover.Config
	model         string
	state         *modelState
	versions      []switchover.TargetVersion
	loadedVersion uint64
	// idle is true if the server receives no requests for the model.
	idle bool
	now  time.Duration
}

func (s *Sidecar) modelState(model string) *modelState {
	m, ok := s.models[model]
	if !ok {
		m = newModelState()
		s.models[model] = m
	}
	return m
}

// fetchNext starts or cancels a fetch; the caller holds the lock.
func (s *Sidecar) fetchNext(ctx context.Context, p *modelPlan) {
	m := p.state
	if m.fetching && p.ShouldAbandon(m.fetchingVersion, p.versions, p.now, s.pieceTimes.Estimate()) {
		m.cancelFetch(errSuperseded)
	}
	version, ok := p.NextFetch(p.loadedVersion, p.versions, p.now, s.pieceTimes.Estimate())
	if !ok || m.fetching {
		return
	}
	m.fetching, m.fetchingVersion, m.fetchThrottled = true, version, !p.idle
	f := &fetchTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: p.model, Version: version}}
	ctx, m.cancelFetch = context.WithCancelCause(ctx)
	go f.run(ctx)
}

// loadNext starts a load that is due; the caller holds the lock.
func (s *Sidecar) loadNext(ctx context.Context, p *modelPlan) {
	m := p.state
	version, switchAt, ok := p.NextChange(p.loadedVersion, p.versions, s.view.ServerIndex, s.view.ServerCount)
	if p.idle {
		switchAt = 0
	}
	s.recordSwitch(m, switchAt, ok && !p.idle)
	if !ok || !s.hasReport || m.loading || s.report.Loading || p.now < switchAt-p.DrainDuration-stagingTime {
		return
	}
	m.loading, m.loadingVersion = true, version
	ctx, m.cancelLoad = context.WithCancelCause(ctx)
	m.loadedAt = max(p.now+stagingTime, switchAt) + expectedLoadTime
	l := &loadTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: p.model, Version: version}, idle: p.idle, orderAt: switchAt, quietPeriod: p.DrainDuration, manifest: m.complete[version], boot: s.boot}
	go l.run(ctx)
}

// recordSwitch records when the server will switch versions and abort its requests, so
// that entries send longer requests to other servers. The caller holds the lock.
func (s *Sidecar) recordSwitch(m *modelState, switchAt time.Duration, planned bool) {
	if m.loading {
		return
	}
	if !planned {
		switchAt = 0
	}
	s.broadcastNext = s.broadcastNext || switchAt != m.switchAt
	m.switchAt = switchAt
}

// versionsByModel returns the wanted versions of each model, oldest first.
func (s *Sidecar) versionsByModel() map[string][]switchover.TargetVersion {
	models := map[string][]switchover.TargetVersion{}
	for _, n := range s.view.Named {
		models[n.Model] = append(models[n.Model], switchover.TargetVersion{Version: n.Version, SetAt: s.viewReadAt - n.Age})
	}
	return models
}

// prune removes the state of versions older than the one that the server holds, and the
// pieces that no remaining version uses. The caller holds the lock.
func (s *Sidecar) prune(model string, m *modelState) {
	loaded := loadedVersion(s.report.Models, model)
	for version := range m.manifests {
		if version < loaded {
			delete(m.manifests, version)
			delete(m.complete, version)
			delete(m.completeAt, version)
		}
	}
	used := map[string]bool{}
	for _, other := range s.models {
		for _, manifest := range other.manifests {
			for _, digest := range manifest.Digests {
				used[digest] = true
			}
		}
	}
	for digest := range s.pieces {
		if !used[digest] {
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
