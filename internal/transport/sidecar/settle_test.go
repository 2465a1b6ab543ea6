package sidecar

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// answeringEngine is a model server whose answers to orders are given.
type answeringEngine struct {
	*engine
	answer error
	// takes is true if it takes the order all the same, and then holds the version.
	takes bool
}

func (e *answeringEngine) Load(_ context.Context, model string, version uint64) error {
	if e.takes {
		e.mu.Lock()
		e.report.Models = []catalog.Model{{Name: model, Version: version}}
		e.mu.Unlock()
	}
	return e.answer
}

// A server that had taken an order whose answer was lost served the version, while its
// agent reported a failed load. And one that refuses an order is given the next one at
// once: waiting for what it may still do would leave it without weights for a second.
func TestAnOrderWithoutAnswerIsSettledByTheServersReports(t *testing.T) {
	c := qt.New(t)
	lost := errors.New("connection reset")
	tests := []struct {
		answer error
		takes  bool
		boot   catalog.Boot
		ok     bool
		least  time.Duration
		most   time.Duration
	}{
		{answer: lost, takes: true, ok: true, most: orderLies / 2},
		{answer: lost, least: orderLies, most: 2 * orderLies},
		{answer: fmt.Errorf("load: %w", ErrNotTaken), most: orderLies / 2},
		// Its next process knows nothing of the order.
		{answer: lost, boot: 7, most: orderLies / 2},
	}
	for _, test := range tests {
		entry := newWeightsEntry(t, 2, 2)
		server := &answeringEngine{engine: &engine{staged: map[int][]byte{}}, answer: test.answer, takes: test.takes}
		s := newAgent(entry, server.engine, Config{})
		s.engine = server
		for piece, digest := range entry.manifest.Digests {
			s.keep(digest, entry.pieces[piece])
		}
		l := &load{agent: s, weights: newWeights(), named: catalog.NamedVersion{Model: "drafter", Version: 2}, manifest: &entry.manifest, idle: true, boot: test.boot}
		began := boottime.Now()
		err := l.carry(context.Background())
		took := boottime.Now() - began
		c.Check(err == nil, qt.Equals, test.ok, qt.Commentf("%v", err))
		c.Check(took >= test.least && took < test.most, qt.IsTrue, qt.Commentf("%v: after %v", test.answer, took))
	}
}
