package sidecar

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// orderResultEngine is a model server that returns a preset error to load orders.
type orderResultEngine struct {
	*fakeEngine
	orderErr error
	// accepts is true if the server nevertheless accepts the order and holds the version.
	accepts bool
}

func (e *orderResultEngine) Load(_ context.Context, model string, version uint64, _ freshness.Check) error {
	if e.accepts {
		e.mu.Lock()
		e.report.Models = []catalog.Model{{Name: model, Version: version}}
		e.mu.Unlock()
	}
	return e.orderErr
}

// An agent reported a failed load although the server had accepted the order and only the
// response was lost. A server that rejects an order gets the next one at once, because
// waiting for lateOrderWindow would leave it without weights for a second.
func TestUnansweredOrderIsResolvedFromReports(t *testing.T) {
	c := qt.New(t)
	errReset := errors.New("connection reset")
	tests := []struct {
		orderErr error
		accepts  bool
		boot     catalog.Boot
		ok       bool
		minTime  time.Duration
		maxTime  time.Duration
	}{
		{orderErr: errReset, accepts: true, ok: true, maxTime: lateOrderWindow / 2},
		{orderErr: errReset, minTime: lateOrderWindow, maxTime: 2 * lateOrderWindow},
		{orderErr: fmt.Errorf("load: %w", ErrOrderRejected), maxTime: lateOrderWindow / 2},
		// A restarted server does not execute the order.
		{orderErr: errReset, boot: 7, maxTime: lateOrderWindow / 2},
	}
	for _, test := range tests {
		entry := newFakeEntry(t, 2, 2)
		server := &orderResultEngine{fakeEngine: &fakeEngine{staged: map[int][]byte{}}, orderErr: test.orderErr, accepts: test.accepts}
		s := newAgent(entry, server.fakeEngine, Config{})
		s.engine = server
		for piece, digest := range entry.manifest.Digests {
			s.cachePiece(digest, entry.pieces[piece])
		}
		l := &loadTask{sidecar: s, state: newModelState(), target: catalog.ModelVersion{Model: "drafter", Version: 2}, manifest: &entry.manifest, idle: true, boot: test.boot}
		startedAt := boottime.Now()
		err := l.execute(context.Background())
		took := boottime.Now() - startedAt
		c.Check(err == nil, qt.Equals, test.ok, qt.Commentf("%v", err))
		c.Check(took >= test.minTime && took < test.maxTime, qt.IsTrue, qt.Commentf("%v: after %v", test.orderErr, took))
	}
}
