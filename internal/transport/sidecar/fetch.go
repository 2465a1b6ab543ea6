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
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// Limits of concurrent transfers.
const (
	// maxTransfersIdle is enough to keep the host's link full while the server is idle.
	maxTransfersIdle = 16
	// maxTransfersServing applies while the server serves, because callers' events wait
	// behind what is queued on the link.
	maxTransfersServing = 1
	// maxPiecesAwaited is higher because the sources' progress differs by many pieces.
	maxPiecesAwaited = 16
)

// errDigestMismatch means that a piece does not match its digest in the manifest. Either may be
// wrong.
var errDigestMismatch = errors.New("digest mismatch")

// errSuperseded means that a version is no longer worth fetching.
var errSuperseded = errors.New("superseded by a newer version")

// fetchTask fetches the pieces of one version to the host.
type fetchTask struct {
	sidecar *Sidecar
	state   *modelState
	target  catalog.ModelVersion
	// idleSlots and servingSlots are semaphores that limit concurrent transfers, beside an
	// idle server and beside one that serves.
	idleSlots, servingSlots chan struct{}
}

// serverIdle reports whether the server has no requests for the model and receives none.
//
// It is checked for each piece, because a server may start to serve during a fetch and its
// requests would wait behind pieces on its link.
func (f *fetchTask) serverIdle() bool {
	f.sidecar.mu.Lock()
	defer f.sidecar.mu.Unlock()
	return f.state.idle
}

func (f *fetchTask) run(ctx context.Context) {
	s := f.sidecar
	startedAt := boottime.Now()
	s.mu.Lock()
	f.state.missingPieces, f.state.lastPieceAt = 0, startedAt
	s.mu.Unlock()
	manifest, err := f.fetchManifest(ctx)
	if err == nil {
		s.mu.Lock()
		f.state.manifests[f.target.Version] = &manifest
		s.mu.Unlock()
		f.reuseStaged(ctx, &manifest)
		err = f.fetchPieces(ctx, &manifest)
	}
	if err == nil {
		f.stageComplete(ctx, &manifest)
	}
	if err != nil {
		s.log.Warn("failed to fetch weights", zap.String("Model", f.target.Model), zap.Uint64("Version", f.target.Version), zap.Error(err))
		sleep(ctx, retryDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.state.fetching = false
	f.state.cancelFetch(nil)
	delete(f.state.doubted, f.target.Version)
	if errors.Is(err, errDigestMismatch) {
		f.state.doubted[f.target.Version] = manifest.ID()
	}
	if err != nil {
		return
	}
	took := boottime.Now() - startedAt
	s.metrics.fetchSeconds.Observe(took.Seconds())
	s.log.Info("weights fetched", zap.String("Model", f.target.Model), zap.Uint64("Version", f.target.Version), zap.Duration("Took", took))
	f.state.complete[f.target.Version], f.state.completeAt[f.target.Version] = &manifest, boottime.Now()
	s.prune(f.target.Model, f.state)
}

// sources returns the entries to ask for a piece, in the order in which to ask them.
func (f *fetchTask) sources(piece int) []gateway.Entry {
	all := f.sidecar.currentEntries()
	byHost := make(map[filbertlever.HostID]gateway.Entry, len(all))
	candidates := make([]relays.Entry, 0, len(all))
	for _, entry := range all {
		byHost[entry.Host] = entry
		candidates = append(candidates, relays.Entry{Host: entry.Host, Site: entry.Site})
	}
	key := fmt.Sprintf("%s/%d/%d", f.target.Model, f.target.Version, piece)
	var ordered []gateway.Entry
	for _, host := range relays.CandidatesFor(candidates, f.sidecar.config.Site, key) {
		ordered = append(ordered, byHost[host])
	}
	return ordered
}

func (f *fetchTask) fetchManifest(ctx context.Context) (relay.Manifest, error) {
	f.sidecar.mu.Lock()
	doubted := f.state.doubted[f.target.Version]
	f.sidecar.mu.Unlock()
	var lastErr error = errNoEntry
	for _, entry := range f.sources(-1) {
		manifest, err := relay.FetchManifest(ctx, f.sidecar.client, entry.Peers, f.target, doubted)
		if err == nil && len(manifest.Digests) > 0 {
			return manifest, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return relay.Manifest{}, lastErr
}

// fetchPieces fetches every piece that is not cached. It waits for several pieces
// concurrently, in the order in which entries fetch them, and limits the transfers by the
// slots for an idle or a serving server.
//
// If it waited for one piece at a time, pieces that other entries already have would wait
// behind a late one.
func (f *fetchTask) fetchPieces(ctx context.Context, manifest *relay.Manifest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.idleSlots, f.servingSlots = make(chan struct{}, maxTransfersIdle), make(chan struct{}, maxTransfersServing)
	progress := f.trackProgress(manifest)
	awaited := make(chan struct{}, maxPiecesAwaited)
	failed := make(chan error, len(manifest.Digests))
	var group sync.WaitGroup
	for piece, digest := range manifest.Digests {
		if _, ok := f.sidecar.cachedPiece(digest); ok {
			continue
		}
		awaited <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-awaited }()
			err := f.fetchPiece(ctx, manifest, piece)
			if err == nil {
				progress()
				return
			}
			failed <- err
			if errors.Is(err, relay.ErrRemoved) {
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

// initialPieceTime is the assumed time per piece until the first one has arrived.
const initialPieceTime = 35 * time.Millisecond

// trackProgress initializes the estimate of when the fetch ends, and returns a function
// that must be called after each piece.
func (f *fetchTask) trackProgress(manifest *relay.Manifest) func() {
	s, m := f.sidecar, f.state
	startedAt, done := boottime.Now(), 0
	s.mu.Lock()
	missing := s.missingPieces(manifest)
	m.missingPieces, m.pieceTime, m.lastPieceAt = missing, initialPieceTime, startedAt
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		done++
		now := boottime.Now()
		s.pieceTimes.ObservePiece(now)
		m.missingPieces, m.pieceTime, m.lastPieceAt = missing-done, (now-startedAt)/time.Duration(done), now
	}
}

// fetchPiece fetches one piece from the first entry that returns it intact.
//
// A piece may be corrupted in transit or at an entry, so it is only cached if it matches
// the manifest's digest.
func (f *fetchTask) fetchPiece(ctx context.Context, manifest *relay.Manifest, piece int) error {
	s := f.sidecar
	var lastErr error = errNoEntry
	for _, entry := range f.sources(piece) {
		data, err := f.transferPiece(ctx, entry.Peers, piece, manifest.PieceLimit())
		if err != nil {
			lastErr = err
			continue
		}
		if !manifest.Verify(piece, data) {
			s.metrics.corruptPieces.Inc()
			lastErr = fmt.Errorf("piece %d from %s: %w", piece, entry.Host, errDigestMismatch)
			s.log.Warn("piece is corrupt", zap.Int("Piece", piece), zap.String("Entry", string(entry.Host)))
			continue
		}
		s.metrics.fetchedBytes.Add(float64(len(data)))
		s.cachePiece(manifest.Digests[piece], data)
		f.stageEarly(ctx, piece, data)
		return nil
	}
	return lastErr
}

// transferPiece downloads a piece from an entry. Beside a server that serves, it first
// waits until the entry has the piece, so that no slot is held during the wait.
func (f *fetchTask) transferPiece(ctx context.Context, address string, piece int, limit int64) ([]byte, error) {
	slots := f.idleSlots
	if !f.serverIdle() {
		slots = f.servingSlots
		if err := relay.AwaitPiece(ctx, f.sidecar.client, address, f.target, piece); err != nil {
			return nil, err
		}
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	return relay.FetchPiece(ctx, f.sidecar.client, address, f.target, piece, limit)
}

// reuseStaged reads back the staged pieces that belong to the version. A server that
// crashed has no weights but still has its staged pieces, and versions share pieces.
func (f *fetchTask) reuseStaged(ctx context.Context, manifest *relay.Manifest) {
	s := f.sidecar
	s.mu.Lock()
	reachable := s.hasReport
	s.mu.Unlock()
	if !reachable {
		return
	}
	staged, err := s.engine.ListStaged(ctx, f.target.Model)
	if err != nil {
		s.log.Warn("failed to list staged pieces", zap.String("Model", f.target.Model), zap.Error(err))
		return
	}
	reused := 0
	for _, piece := range staged {
		if piece < 0 || piece >= len(manifest.Digests) {
			continue
		}
		if _, ok := s.cachedPiece(manifest.Digests[piece]); ok {
			continue
		}
		data, err := s.engine.ReadStaged(ctx, f.target.Model, piece)
		if err != nil {
			s.log.Warn("failed to read staged piece", zap.Int("Piece", piece), zap.Error(err))
			return
		}
		if data != nil && manifest.Verify(piece, data) {
			s.cachePiece(manifest.Digests[piece], data)
			reused++
		}
	}
	s.log.Info("staged pieces reused", zap.String("Model", f.target.Model), zap.Uint64("Version", f.target.Version),
		zap.Int("Staged", len(staged)), zap.Int("Taken", reused))
}

// stageComplete stages a complete version before the server's scheduled switchover.
//
// All processes may lose power while servers wait for their switchovers. Pieces in an agent's
// memory are then lost, but staged ones survive. A server that crashes in the meantime
// loads the newer version, which is acceptable because that version is wanted as well.
func (f *fetchTask) stageComplete(ctx context.Context, manifest *relay.Manifest) {
	s := f.sidecar
	s.mu.Lock()
	reachable := s.hasReport
	s.mu.Unlock()
	if f.serverIdle() || !reachable || !f.state.stagingMu.TryLock() {
		return
	}
	defer f.state.stagingMu.Unlock()
	for piece, digest := range manifest.Digests {
		data, ok := s.cachedPiece(digest)
		if !ok {
			return
		}
		if err := s.engine.Stage(ctx, f.target.Model, piece, data); err != nil {
			// The load stages and verifies all pieces again.
			s.log.Warn("failed to stage piece", zap.Int("Piece", piece), zap.Error(err))
			return
		}
	}
}

// stageEarly stages a piece at an idle server while other pieces are still in flight, so
// that only the verification is left once the last one has arrived. At a server that
// serves, the piece would overwrite what a restarted server loads.
//
// If another version is being loaded, nothing is staged until that load has ended.
// Pieces staged between its last verification and its order would be loaded with it, and
// the server would answer with weights of two versions.
func (f *fetchTask) stageEarly(ctx context.Context, piece int, data []byte) {
	f.sidecar.mu.Lock()
	reachable := f.sidecar.hasReport
	f.sidecar.mu.Unlock()
	if !f.serverIdle() || !reachable || !f.state.stagingMu.TryLock() {
		return
	}
	defer f.state.stagingMu.Unlock()
	if err := f.sidecar.engine.Stage(ctx, f.target.Model, piece, data); err != nil {
		// All pieces are read back before the load, and staged again where they differ.
		f.sidecar.log.Warn("failed to stage piece", zap.Int("Piece", piece), zap.Error(err))
	}
}
