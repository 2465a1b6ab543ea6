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

// How many pieces are moved at once: for an idle server enough to keep the host's
// link full; for one that serves a single one, since callers' events wait behind
// what is queued on the link. More are waited for, as sources are many pieces apart.
const (
	lanesIdle     = 16
	lanesServing  = 1
	piecesAwaited = 16
)

// errSuperseded means that a version is no longer worth fetching.
var errSuperseded = errors.New("a newer version will be the only one to answer")

// fetching brings the pieces of one version to the host.
type fetching struct {
	agent   *Sidecar
	weights *weights
	named   catalog.NamedVersion
	// wide and narrow have room for the pieces that may be moved at once, to any server
	// and to one that serves.
	wide, narrow chan struct{}
}

// idle reports whether the server has no requests for the model and gets none.
//
// Guard: a server may begin to answer while a set is fetched, and its requests would wait behind
// pieces on its link; it is asked anew for each piece.
func (f *fetching) idle() bool {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	return f.weights.idle
}

func (f *fetching) run(ctx context.Context) {
	s := f.agent
	began := boottime.Now()
	s.mu.Lock()
	f.weights.left, f.weights.pieceAt = 0, began
	s.mu.Unlock()
	manifest, err := f.manifest(ctx)
	if err == nil {
		s.mu.Lock()
		f.weights.known[f.named.Version] = &manifest
		s.mu.Unlock()
		f.takeStaged(ctx, &manifest)
		err = f.fetch(ctx, &manifest)
	}
	if err == nil {
		f.stageWhole(ctx, &manifest)
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
	f.weights.whole[f.named.Version], f.weights.wholeAt[f.named.Version] = &manifest, boottime.Now()
	s.prune(f.named.Model, f.weights)
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
// Guard: with one piece waited for at a time, all that others have fetched meanwhile waits behind it.
func (f *fetching) fetch(ctx context.Context, manifest *relay.Manifest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.wide, f.narrow = make(chan struct{}, lanesIdle), make(chan struct{}, lanesServing)
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

// firstPace is what a piece is taken to need before the first has come.
const firstPace = 35 * time.Millisecond

// progress prepares the prediction of when a fetch ends, and returns what to
// call after each piece.
func (f *fetching) progress(manifest *relay.Manifest) func() {
	s, m := f.agent, f.weights
	began, done := boottime.Now(), 0
	s.mu.Lock()
	missing := s.missing(manifest)
	m.left, m.pace, m.pieceAt = missing, firstPace, began
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		done++
		now := boottime.Now()
		s.pace.Came(now)
		m.left, m.pace, m.pieceAt = missing-done, (now-began)/time.Duration(done), now
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
	lane := f.wide
	if !f.idle() {
		lane = f.narrow
		if err := relay.AwaitPiece(ctx, f.agent.client, address, f.named, piece); err != nil {
			return nil, err
		}
	}
	lane <- struct{}{}
	defer func() { <-lane }()
	return relay.FetchPiece(ctx, f.agent.client, address, f.named, piece)
}

// takeStaged takes what already lies beside the server and is a piece of the
// version: a server that crashed has lost its weights, but not what was staged,
// and versions share pieces.
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

// stageWhole lays a whole set beside the server before its turn has come.
//
// Guard: all processes may lose power while servers wait for their turn. What only agents hold is
// lost; what is staged stays. A server that crashes meanwhile loads the newer version, which is
// wanted all the same.
func (f *fetching) stageWhole(ctx context.Context, manifest *relay.Manifest) {
	s := f.agent
	s.mu.Lock()
	answers := s.hasReport
	s.mu.Unlock()
	if f.idle() || !answers || !f.weights.staging.TryLock() {
		return
	}
	defer f.weights.staging.Unlock()
	for piece, digest := range manifest.Digests {
		data, ok := s.piece(digest)
		if !ok {
			return
		}
		if err := s.engine.Stage(ctx, f.named.Model, piece, data); err != nil {
			// The load lays and checks all pieces again.
			s.log.Warn("piece not staged", zap.Int("Piece", piece), zap.Error(err))
			return
		}
	}
}

// stageEarly lays a piece beside an idle server while others are on their way,
// which leaves only the reading back for after the last.
// Beside a server that serves, it would overwrite what a restart loads again.
//
// Guard: another version may be about to be loaded. Pieces laid between its last
// check and its order would be taken with it, and the server would answer with
// weights of two versions; nothing is laid until that load has ended.
func (f *fetching) stageEarly(ctx context.Context, piece int, data []byte) {
	f.agent.mu.Lock()
	answers := f.agent.hasReport
	f.agent.mu.Unlock()
	if !f.idle() || !answers || !f.weights.staging.TryLock() {
		return
	}
	defer f.weights.staging.Unlock()
	if err := f.agent.engine.Stage(ctx, f.named.Model, piece, data); err != nil {
		// All pieces are read back before the load, and laid again where they differ.
		f.agent.log.Warn("piece not staged", zap.Int("Piece", piece), zap.Error(err))
	}
}
