package sidecar

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
)

// suspendingEngine is a model server whose host is suspended once, right after the last read of
// a pass over the staged pieces or while an order is on its way.
type suspendingEngine struct {
	*fakeEngine
	afterPass, beforeAccept func()
	once                    sync.Once
	lastPiece               int
}

func (e *suspendingEngine) ReadStaged(ctx context.Context, model string, piece int) ([]byte, error) {
	data, err := e.fakeEngine.ReadStaged(ctx, model, piece)
	if piece == e.lastPiece && e.afterPass != nil {
		e.once.Do(e.afterPass)
	}
	return data, err
}

func (e *suspendingEngine) Load(ctx context.Context, model string, version uint64, check freshness.Check) error {
	if e.beforeAccept == nil {
		return e.fakeEngine.Load(ctx, model, version, check)
	}
	e.beforeAccept()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Models = []catalog.Model{{Name: model, Version: version}}
	return nil
}

// newSuspendedLoad returns a load of a version whose pieces are cached and staged.
func newSuspendedLoad(t *testing.T, server *suspendingEngine) (*loadTask, *fakeEntry) {
	entry := newFakeEntry(t, 2, 3)
	server.fakeEngine, server.lastPiece = &fakeEngine{staged: map[int][]byte{}}, 2
	s := newAgent(entry, server.fakeEngine, Config{})
	s.engine, s.hasReport, s.everReported = server, true, true
	m := newModelState()
	s.models["drafter"] = m
	for piece, digest := range entry.manifest.Digests {
		s.cachePiece(digest, entry.pieces[piece])
		server.staged[piece] = entry.pieces[piece]
	}
	return &loadTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 2}, manifest: &entry.manifest, idle: true}, entry
}

// Callers got answers of corrupt weights: the host was suspended between the last verification
// of the staged pieces and the load order, and the order relied on the old verification.
func TestPiecesAreVerifiedAgainAfterSuspension(t *testing.T) {
	t.Parallel()
	server := &suspendingEngine{}
	l, entry := newSuspendedLoad(t, server)
	server.afterPass = func() {
		_ = server.Stage(context.Background(), "drafter", 1, []byte("bad"))
		time.Sleep(corruptionGrace + 100*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*corruptionGrace)
	defer cancel()
	// The server never reports the load; the test only checks what it loaded.
	_ = l.execute(ctx)
	qt.Assert(t, server.loaded, qt.HasLen, 3)
	for piece, data := range server.loaded {
		qt.Check(t, string(data), qt.Equals, string(entry.pieces[piece]))
	}
}

// Callers got answers of corrupt weights: the order lay unread at a suspended host while pieces
// became corrupt. The version is withheld unless the pieces are still intact after the order.
func TestLateLoadIsWithheldUnlessProven(t *testing.T) {
	for _, corrupt := range []bool{false, true} {
		t.Run(map[bool]string{false: "Intact", true: "Corrupt"}[corrupt], func(t *testing.T) {
			t.Parallel()
			server := &suspendingEngine{}
			l, _ := newSuspendedLoad(t, server)
			server.beforeAccept = func() {
				if corrupt {
					_ = server.Stage(context.Background(), "drafter", 1, []byte("bad"))
				}
				time.Sleep(corruptionGrace + 100*time.Millisecond)
			}
			qt.Assert(t, l.execute(context.Background()), qt.IsNil)
			s := l.sidecar
			s.mu.Lock()
			defer s.mu.Unlock()
			served, withheld := s.servedModels()
			qt.Check(t, withheld, qt.Equals, corrupt)
			qt.Check(t, served, qt.HasLen, map[bool]int{false: 1, true: 0}[corrupt])
		})
	}
}
