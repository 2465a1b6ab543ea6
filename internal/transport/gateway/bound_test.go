package gateway

import (
	"context"
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

// emptyOrigin is an origin that has no version any more.
type emptyOrigin struct{}

func (emptyOrigin) Manifest(context.Context, string, catalog.NamedVersion) (relay.Manifest, error) {
	return relay.Manifest{}, relay.ErrGone
}

func (emptyOrigin) Piece(context.Context, string, catalog.NamedVersion, int) ([]byte, error) {
	return nil, relay.ErrGone
}

// newEntryWithServer is an entry that has heard of no version, whose only server holds one.
func newEntryWithServer(t *testing.T, holds uint64) *Gateway {
	g := newSwitchoverEntry(newTypicalEngine(), 1)
	now := boottime.Now()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = socket.Close() })
	g.log, g.socket, g.peers, g.named = zap.NewNop(), datagrams.New(socket), newPeers(Entry{Host: "self"}, now), map[string][]named{}
	g.stop, g.metrics = drain.New(drain.Config{}), newMetrics(prometheus.NewRegistry())
	g.relay = relay.New(relays.Entry{Host: "self"}, relayView{g}, emptyOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	g.fleet.Apply([]catalog.Backend{{ID: switchoverBackend, Boot: 1, Revision: 2, Service: switchoverService, Address: "10.0.0.1:1", Site: "a",
		Slots: 12, Models: []catalog.Model{{Name: switchoverModel, Version: holds}}}}, nil, true, now)
	return g
}

// place places a fresh request of a usual size.
func (g *Gateway) placeTypicalRequest(now time.Duration) (found bool, beginBy time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := newSwitchoverAttempt(g, 900, false)
	placement := a.choose(now)
	return placement.Found, a.beginBy
}

// Requests began on version 1 up to 1.1 s after the bound of version 2. Two versions were
// named 2 s apart while the origin was away; an entry started after that, and the store
// tells of the newest only. Its peers' heartbeats told of both, with their ages, but what
// it does not know from the store it does not take.
func TestRestartedEntryLearnsOlderVersionFromPeers(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	now := boottime.Now()
	g.mu.Lock()
	g.setNamed([]catalog.NamedVersion{{Model: switchoverModel, Version: 3}}, true, now-6*time.Second)
	g.mu.Unlock()
	late := switchoverBound + 100*time.Millisecond
	g.take(&Datagram{Beat: &Beat{Entry: Entry{Host: "peer", Datagrams: g.socket.Address().String()}, Named: []NamedAge{
		{Model: switchoverModel, Version: 2, Age: late, Known: true},
		{Model: switchoverModel, Version: 3, Age: late - 2*time.Second, Known: true},
	}}}, g.socket.Address())
	found, beginBy := g.placeTypicalRequest(boottime.Now())
	c.Assert(found, qt.IsFalse, qt.Commentf("sent to version 1, %v after the bound of version 2, to begin within %v",
		late-switchoverBound, beginBy-boottime.Now()))
}

// A server that had not taken version 2 within its bound got nothing, as it must. When
// version 3 was named 25 s later it got requests again, on version 1: a version named
// more than two bounds ago is forgotten, and with it that its bound has passed.
func TestPassedDeadlineIsKeptWhenNextVersionIsNamed(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	now := boottime.Now()
	g.mu.Lock()
	g.setNamed([]catalog.NamedVersion{{Model: switchoverModel, Version: 2}}, false, now-25*time.Second)
	g.mu.Unlock()
	found, _ := g.placeTypicalRequest(now)
	c.Assert(found, qt.IsFalse)
	g.mu.Lock()
	g.setNamed([]catalog.NamedVersion{{Model: switchoverModel, Version: 3}}, false, now)
	g.mu.Unlock()
	found, _ = g.placeTypicalRequest(now)
	c.Assert(found, qt.IsFalse, qt.Commentf("sent to version 1, 14.7 s after the bound of version 2"))
}

// A lookup at a plain service was refused for good, as its caller named a model: a plain
// server holds no version, and so seemed to have one that may not answer any more.
func TestPlainServiceIgnoresVersionDeadlines(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 2)
	now := boottime.Now()
	state := catalog.New(2, nil, []catalog.Service{{Name: switchoverService, Engine: newTypicalEngine()}, {Name: "orders"}}, nil, catalog.Limits{})
	g.state.Store(state)
	g.fleet.SetState(state, now)
	g.fleet.Apply([]catalog.Backend{{ID: "order-1", Boot: 1, Revision: 3, Service: "orders", Address: "10.0.0.2:1", Site: "a", Slots: 6}}, nil, false, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setNamed([]catalog.NamedVersion{{Model: switchoverModel, Version: 2}}, false, now-25*time.Second)
	a := newSwitchoverAttempt(g, 0, false)
	a.service = "orders"
	c.Assert(a.choose(now).Found, qt.IsTrue)
}

// burstStore answers calls for changes as a store does that gets two of them, a desired
// state and, a moment later, a version.
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

func (s *burstStore) Follow(ctx context.Context, _ Table, after uint64, wait time.Duration) (Rows, error) {
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

// A version was named 20 ms after a desired state. Entries leave changes to gather for
// 0.13 to 0.38 s after each, and heard of the version so much later; its bound counts from
// when they hear, and 0.15 s are kept for that.
func TestVersionIsObservedInTimeAfterAnotherChange(t *testing.T) {
	hearing := switchoverBound - switchover.DefaultConfig(switchoverBound).BeginBy(0)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for seed := range uint64(10) {
			store := &burstStore{head: 1, changed: make(chan struct{})}
			g := &Gateway{crashes: newCrashes(), store: store, log: zap.NewNop(), feeds: newFeeds(), rng: rand.New(rand.NewPCG(seed, 1)), peers: newPeers(Entry{Host: "self"}, 0)}
			g.listed.Store(true)
			heard := make(chan time.Time, 1)
			ctx, cancel := context.WithCancel(context.Background())
			w := &watch{gateway: g, table: TableDesired, wait: followWait, apply: func(rows Rows, _ uint64, _, _ bool) error {
				if rows.Revision == 3 {
					select {
					case heard <- time.Now():
					default:
					}
				}
				return nil
			}}
			go w.run(ctx)
			time.Sleep(5 * time.Second)
			store.change()
			time.Sleep(20 * time.Millisecond)
			named := time.Now()
			store.change()
			late := (<-heard).Sub(named)
			cancel()
			synctest.Wait()
			c.Check(late <= hearing, qt.IsTrue, qt.Commentf("seed %d: heard %v after it was named", seed, late))
		}
	})
}
