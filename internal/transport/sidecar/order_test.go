package sidecar

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// lateEngine is a model server that stood still: the answer to its order does not come in
// time, and it accepts the order a moment after its agent has given up.
type lateEngine struct {
	*engine
	accepted sync.WaitGroup
}

func (e *lateEngine) Load(ctx context.Context, model string, version uint64) error {
	e.accepted.Go(func() {
		time.Sleep(100 * time.Millisecond)
		_ = e.engine.Load(ctx, model, version)
	})
	return context.DeadlineExceeded
}

// Answers were made with weights of two versions: an order had no answer in time, its
// agent took it for not given and laid pieces of the next version, and the server, which
// had stood still, accepted the order then.
func TestNothingIsStagedAfterAnOrderWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	older, newer := newWeightsEntry(t, 2, 3), newWeightsEntry(t, 3, 3)
	server := &lateEngine{engine: &engine{staged: map[int][]byte{}}}
	s := newAgent(newer, server.engine, Config{})
	s.engine = server
	s.hasReport, s.reportedOnce = true, true
	for piece, digest := range older.manifest.Digests {
		s.keep(digest, older.pieces[piece])
	}
	m := newWeights()
	m.known[2], m.whole[2] = &older.manifest, &older.manifest
	m.idle = true
	s.models["drafter"] = m
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	l := &load{agent: s, weights: m, named: catalog.NamedVersion{Model: "drafter", Version: 2}, manifest: &older.manifest, idle: true}
	_ = l.carry(ctx)
	f := &fetching{agent: s, weights: m, named: catalog.NamedVersion{Model: "drafter", Version: 3}}
	f.run(ctx)
	server.accepted.Wait()
	c.Assert(server.loaded, qt.HasLen, 3)
	for piece, data := range server.loaded {
		c.Check(string(data), qt.Equals, string(older.pieces[piece]))
	}
}
