package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// load brings one version of a model's weights to the server.
type load struct {
	agent *Sidecar
	named catalog.NamedVersion
	// empty is true if the server holds nothing of the model, so that there is
	// no capacity to keep.
	empty bool
	// since is when the version was named, and turn how long after that this
	// server changes.
	since time.Duration
	turn  time.Duration
}

func (l *load) run(ctx context.Context) {
	s := l.agent
	err := l.carry(ctx)
	result := "Done"
	if err != nil {
		result = "Failed"
		s.log.Warn("load failed", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Error(err))
		l.sleep(ctx, retryPause)
	}
	s.metrics.loads.WithLabelValues(result).Inc()
	s.mu.Lock()
	s.loading, s.switching = false, false
	s.mu.Unlock()
}

// carry fetches, waits for the turn, stages, checks and orders.
func (l *load) carry(ctx context.Context) error {
	s := l.agent
	began := boottime.Now()
	manifest, err := l.manifest(ctx)
	if err != nil {
		return err
	}
	s.keepOnly(&manifest)
	if err := l.fetch(ctx, &manifest); err != nil {
		return err
	}
	took := boottime.Now() - began
	s.metrics.seconds.Observe(took.Seconds())
	s.log.Info("weights fetched", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Duration("Took", took))
	if !l.empty {
		l.sleep(ctx, l.since+l.turn-quietBefore-boottime.Now())
		if s.wanted(l.named.Model) != l.named.Version && boottime.Now() < l.since+l.turn {
			return fmt.Errorf("version %d is superseded", l.named.Version)
		}
		s.setSwitching(true)
		l.sleep(ctx, quietBefore)
	}
	if err := l.stage(ctx, &manifest); err != nil {
		return err
	}
	if err := s.engine.Load(ctx, l.named.Model, l.named.Version); err != nil {
		return err
	}
	return l.await(ctx)
}

func (l *load) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// sources returns the entries to ask for a piece, in order: the piece's home at
// the own site, then the others there, then all.
func (l *load) sources(piece int) []gateway.Entry {
	near, all := l.agent.relays()
	candidates := make([]relays.Entry, 0, len(near))
	for _, entry := range near {
		candidates = append(candidates, relays.Entry{Host: entry.Host, Site: entry.Site})
	}
	key := fmt.Sprintf("%s/%d/%d", l.named.Model, l.named.Version, piece)
	home := relays.Home(candidates, l.agent.config.Site, key)
	var ordered []gateway.Entry
	for _, entry := range near {
		if entry.Host == home {
			ordered = append(ordered, entry)
		}
	}
	for _, entry := range near {
		if entry.Host != home {
			ordered = append(ordered, entry)
		}
	}
	for _, entry := range all {
		if entry.Site != l.agent.config.Site {
			ordered = append(ordered, entry)
		}
	}
	return ordered
}

func (l *load) manifest(ctx context.Context) (relay.Manifest, error) {
	var last error = errNoEntry
	for _, entry := range l.sources(-1) {
		manifest, err := relay.FetchManifest(ctx, l.agent.client, entry.Peers, l.named)
		if err == nil && len(manifest.Digests) > 0 {
			return manifest, nil
		}
		if err != nil {
			last = err
		}
	}
	return relay.Manifest{}, last
}

// fetch draws every piece that is not held, some at once.
func (l *load) fetch(ctx context.Context, manifest *relay.Manifest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lanes := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for piece, digest := range manifest.Digests {
		if _, ok := l.agent.piece(digest); ok {
			continue
		}
		lanes <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-lanes }()
			if err := l.fetchPiece(ctx, manifest, piece); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	return context.Cause(ctx)
}

// fetchPiece draws one piece from the first entry that has it whole.
//
// Guard: a piece may be corrupted on its way or at an entry; only one that
// matches the manifest's digest is kept.
func (l *load) fetchPiece(ctx context.Context, manifest *relay.Manifest, piece int) error {
	s := l.agent
	var last error = errNoEntry
	for _, entry := range l.sources(piece) {
		data, err := relay.FetchPiece(ctx, s.client, entry.Peers, l.named, piece)
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
		s.mu.Lock()
		s.pieces[manifest.Digests[piece]] = data
		s.mu.Unlock()
		return nil
	}
	return last
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
		l.sleep(ctx, awaitPause)
		report, err := s.engine.Report(ctx)
		if err != nil {
			return err
		}
		if held(report.Models, l.named.Model) >= l.named.Version {
			s.mu.Lock()
			s.report, s.hasReport, s.switching = report, true, false
			s.mu.Unlock()
			s.tell()
			s.log.Info("version served", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version),
				zap.Duration("SinceNamed", boottime.Now()-l.since))
			return nil
		}
		if !report.Loading {
			return fmt.Errorf("server neither loads nor holds version %d", l.named.Version)
		}
	}
	return fmt.Errorf("version %d not served after %v", l.named.Version, loadMost)
}

// awaitPause is how often a load under way is looked at.
const awaitPause = 100 * time.Millisecond
