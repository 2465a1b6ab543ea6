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

// lateOrderEngine is a model server that was suspended: the order times out, and the
// server accepts it shortly afterwards.
type lateOrderEngine struct {
	*fakeEngine
	accepted sync.WaitGroup
}

func (e *lateOrderEngine) Load(ctx context.Context, model string, version uint64, check freshness.Check) error {
	e.accepted.Go(func() {
		time.Sleep(100 * time.Millisecond)
		_ = e.fakeEngine.Load(ctx, model, version, check)
	})
	return context.DeadlineExceeded
}

// A server answered with weights of two versions. Its order had timed out while it was
// suspended, the agent assumed that it was not accepted and staged pieces of the next
// version, and the server then accepted the order.
func TestNothingIsStagedAfterUnansweredOrder(t *testing.T) {
	c := qt.New(t)
	older, newer := newFakeEntry(t, 2, 3), newFakeEntry(t, 3, 3)
	server := &lateOrderEngine{fakeEngine: &fakeEngine{staged: map[int][]byte{}}}
	s := newAgent(newer, server.fakeEngine, Config{})
	s.engine = server
	s.hasReport, s.everReported = true, true
	for piece, digest := range older.manifest.Digests {
		s.cachePiece(digest, older.pieces[piece])
	}
	m := newModelState()
	m.manifests[2], m.complete[2] = &older.manifest, &older.manifest
	m.idle = true
	s.models["drafter"] = m
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	l := &loadTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 2}, manifest: &older.manifest, idle: true}
	_ = l.execute(ctx)
	f := &fetchTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 3}}
	f.run(ctx)
	server.accepted.Wait()
	c.Assert(server.loaded, qt.HasLen, 3)
	for piece, data := range server.loaded {
		c.Check(string(data), qt.Equals, string(older.pieces[piece]))
	}
}
