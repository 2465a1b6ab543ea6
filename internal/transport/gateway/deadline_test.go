package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// emptyOrigin is an origin that no longer has any version.
type emptyOrigin struct{}

func (emptyOrigin) Manifest(context.Context, string, catalog.ModelVersion) (relay.Manifest, error) {
	return relay.Manifest{}, relay.ErrRemoved
}

func (emptyOrigin) Piece(context.Context, string, catalog.ModelVersion, int) ([]byte, error) {
	return nil, relay.ErrRemoved
}

// newEntryWithServer returns an entry without named versions, whose only server holds a version.
func newEntryWithServer(t *testing.T, holds uint64) *Gateway {
	g := newSwitchoverEntry(newTypicalEngine(), 1)
	now := boottime.Now()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = socket.Close() })
	g.log, g.socket, g.peers, g.versionsByModel = zap.NewNop(), datagrams.New(socket), newPeers(Entry{Host: "self"}, now), map[string][]namedVersion{}
	g.stop, g.metrics = drain.New(drain.Config{}), newMetrics(prometheus.NewRegistry())
	g.relay = relay.New(relays.Entry{Host: "self"}, relayView{g}, emptyOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	g.fleet.Apply([]catalog.Backend{{ID: switchoverBackend, Boot: 1, Revision: 2, Service: switchoverService, Address: "10.0.0.1:1", Site: "a",
		Slots: 12, Models: []catalog.Model{{Name: switchoverModel, Version: holds}}}}, nil, true, now)
	return g
}

// placeTypicalRequest places a new request of a typical size.
func (g *Gateway) placeTypicalRequest(now time.Duration) (found bool, cancelAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := newSwitchoverAttempt(g, 900, false)
	placement := a.choose(now)
	return placement.Found, placement.startDeadline
}

// Two versions were named 2 s apart, and an entry that started afterwards read only the newest from
// the store. It ignored the older one in its peers' heartbeats, so requests started on version 1 up
// to 1.1 s after the deadline of version 2.
func TestRestartedEntryLearnsOlderVersionFromPeers(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	now := boottime.Now()
	g.mu.Lock()
	g.setNamed([]catalog.ModelVersion{{Model: switchoverModel, Version: 3}}, true, switchover.Naming{}, sourceStore, now-6*time.Second)
	g.mu.Unlock()
	age := switchoverBound + 100*time.Millisecond
	g.handleDatagram(&Datagram{Heartbeat: &Heartbeat{Entry: Entry{Host: "peer", Datagrams: g.socket.Address().String()}, Named: []NamedAge{
		{Model: switchoverModel, Version: 2, Age: age, Known: true},
		{Model: switchoverModel, Version: 3, Age: age - 2*time.Second, Known: true},
	}}}, g.socket.Address())
	found, cancelAt := g.placeTypicalRequest(boottime.Now())
	c.Assert(found, qt.IsFalse, qt.Commentf("sent to version 1, %v after the deadline of version 2, to start within %v",
		age-switchoverBound, cancelAt-boottime.Now()))
}

// A server that had not loaded version 2 by its deadline correctly got no requests. When version 3
// was named 25 s later it got requests on version 1 again, because version 2 was pruned after
// twice the bound and its passed deadline was no longer known.
func TestPassedDeadlineIsKeptWhenNextVersionIsNamed(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	now := boottime.Now()
	g.mu.Lock()
	g.setNamed([]catalog.ModelVersion{{Model: switchoverModel, Version: 2}}, false, switchover.Naming{}, sourceStore, now-25*time.Second)
	g.mu.Unlock()
	found, _ := g.placeTypicalRequest(now)
	c.Assert(found, qt.IsFalse)
	g.mu.Lock()
	g.setNamed([]catalog.ModelVersion{{Model: switchoverModel, Version: 3}}, false, switchover.Naming{}, sourceStore, now)
	g.mu.Unlock()
	found, _ = g.placeTypicalRequest(now)
	c.Assert(found, qt.IsFalse, qt.Commentf("sent to version 1, 14.7 s after the deadline of version 2"))
}

// A request to a plain service that named a model was refused permanently. A plain server holds
// no version, which looked like an outdated one.
func TestPlainServiceIgnoresVersionDeadlines(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 2)
	now := boottime.Now()
	state := catalog.New(2, nil, []catalog.Service{{Name: switchoverService, Engine: newTypicalEngine()}, {Name: "orders"}}, catalog.Callers{}, catalog.Limits{})
	g.state.Store(state)
	g.fleet.SetState(state, now)
	g.fleet.Apply([]catalog.Backend{{ID: "order-1", Boot: 1, Revision: 3, Service: "orders", Address: "10.0.0.2:1", Site: "a", Slots: 6}}, nil, false, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setNamed([]catalog.ModelVersion{{Model: switchoverModel, Version: 2}}, false, switchover.Naming{}, sourceStore, now-25*time.Second)
	a := newSwitchoverAttempt(g, 0, false)
	a.service = "orders"
	c.Assert(a.choose(now).Found, qt.IsTrue)
}

// burstStore answers calls for changes like a store that gets two changes in quick succession,
// a desired state and then a version.
type burstStore struct {
	Store
	mu      sync.Mutex
	head    uint64
	changed chan struct{}
}

func (s *burstStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *burstStore) current() (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head, s.changed
}

func (s *burstStore) Read(context.Context, Table) (Rows, error) {
	head, _ := s.current()
	return rows(head, `[{}]`), nil
}

func (s *burstStore) Follow(ctx context.Context, _ Table, after uint64, wait time.Duration, _ func()) (Rows, error) {
	head, changed := s.current()
	if head <= after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return Rows{}, ctx.Err()
		}
		head, _ = s.current()
	}
	if head <= after {
		return Rows{Revision: head}, nil
	}
	return rows(head, `[{}]`), nil
}

// Entries waited 0.13 to 0.38 s after each change to batch further ones. A version named 20 ms after
// a desired state was observed that much later. Its deadline counts from the observation, and
// only 0.15 s are reserved for that delay.
func TestVersionIsObservedInTimeAfterAnotherChange(t *testing.T) {
	maxDelay := switchoverBound - switchover.DefaultConfig(switchoverBound).StartDeadline(0)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			store := &burstStore{head: 1, changed: make(chan struct{})}
			g := &Gateway{crashes: newCrashes(), store: store, log: zap.NewNop(), feeds: newFeeds(), rng: rand.New(rand.NewPCG(seed, 1)), peers: newPeers(Entry{Host: "self"}, 0)}
			g.entriesListed.Store(true)
			observed := make(chan time.Time, 1)
			ctx, cancel := context.WithCancel(context.Background())
			w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, apply: func(rows Rows, _ uint64, _, _ bool) error {
				if rows.Revision == 3 {
					select {
					case observed <- time.Now():
					default:
					}
				}
				return nil
			}}
			go w.run(ctx)
			time.Sleep(5 * time.Second)
			store.change()
			time.Sleep(20 * time.Millisecond)
			namedAt := time.Now()
			store.change()
			delay := (<-observed).Sub(namedAt)
			cancel()
			synctest.Wait()
			c.Check(delay <= maxDelay, qt.IsTrue, qt.Commentf("seed %d: observed %v after it was named", seed, delay))
		}
	})
}

// A host was suspended while a request waited for a connection, and the request was sent after its
// caller's deadline with the time that had been left before: timers stop during the suspension.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	g := newEntryWithServer(t, 1)
	for _, left := range []time.Duration{-time.Second, time.Minute} {
		a := newSwitchoverAttempt(g, 900, false)
		a.ctx, a.deadline, a.deadlineAt = context.Background(), time.Now().Add(time.Minute), boottime.Now()+left
		a.organisation.ID = "o"
		placement := g.fleet.Choose(a.placementRequest(boottime.Now()), boottime.Now())
		attempt := a.newAttempt(chosenServer{Placement: placement})
		err := attempt.checkBeforeSend()
		qt.Check(t, errors.Is(err, errDeadlinePassed), qt.Equals, left < 0, qt.Commentf("%v", err))
	}
}
