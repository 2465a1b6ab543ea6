package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/contention"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/coordination/shares"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// fixedStore is a store with one desired state and one server, neither of which changes.
type fixedStore struct {
	Store
	state *catalog.State
}

func (s *fixedStore) Read(context.Context, Table) (Rows, error) { return rows(1, `[{}]`), nil }
func (s *fixedStore) Follow(ctx context.Context, _ Table, _ uint64, wait time.Duration) (Rows, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return Rows{Revision: 1}, nil
}
func (s *fixedStore) DecodeDesired(Rows, uint64) (Desired, error) {
	return Desired{State: s.state}, nil
}
func (s *fixedStore) DecodeBackends(rows Rows, _ uint64) (Backends, error) {
	if len(rows.Raw) == 0 {
		return Backends{}, nil
	}
	return Backends{Present: []catalog.Backend{{ID: "i-1", Boot: 1, Revision: 1, Service: "models", Address: "10.0.0.1:1", Site: "a", Slots: 4, Models: []catalog.Model{{Name: switchoverModel, Version: 1}}}}}, nil
}
func (s *fixedStore) DecodeEntries(Rows, uint64) (Entries, error) { return Entries{}, nil }
func (s *fixedStore) Register(context.Context, Entry) error       { return nil }
func (s *fixedStore) Holds(context.Context) ([]quarantine.Hold, []BadRow, error) {
	return nil, nil, nil
}
func (s *fixedStore) Versions(context.Context) ([]NamedAge, []BadRow, error)              { return nil, nil, nil }
func (s *fixedStore) SaveVersions(context.Context, filbertlever.HostID, []NamedAge) error { return nil }

// headCodec takes the ID of a request from a header, and its path and host as they are.
type headCodec struct{}

func (headCodec) Parse(r *http.Request) (*Call, error) {
	return &Call{ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, Header: http.Header{}, Model: switchoverModel, PromptTokens: 100, AnswerTokens: 50}, nil
}

// holdingSender answers a request once it is released, and records what it was given.
type holdingSender struct {
	mu       sync.Mutex
	sent     map[string]*Dispatch
	released chan struct{}
}

func (s *holdingSender) Send(ctx context.Context, d *Dispatch) (*Reply, error) {
	s.mu.Lock()
	s.sent[d.Call.ID] = d
	s.mu.Unlock()
	select {
	case <-s.released:
	case <-ctx.Done():
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader("answer"), Length: 6, Verified: true, Finish: func(bool) {}}, nil
}
func (s *holdingSender) ConnectionRefused(catalog.Backend) bool { return false }

func (s *holdingSender) dispatch(id string) *Dispatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[id]
}

// drivenGateway is a running entry with one server of 4 slots, whose requests end together.
type drivenGateway struct {
	*Gateway
	c      *qt.C
	sender *holdingSender
	logs   *observer.ObservedLogs
	wg     sync.WaitGroup
	mu     sync.Mutex
	held   map[string]*httptest.ResponseRecorder
}

func newDrivenGateway(t *testing.T, priorities ...int) *drivenGateway {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var routes []catalog.Route
	for _, priority := range priorities {
		routes = append(routes, catalog.Route{Name: fmt.Sprint(priority), Host: "h", Prefix: fmt.Sprintf("/%d/", len(routes)), Priority: priority, Timeout: 6 * time.Second,
			FirstByteGoal: 400 * time.Millisecond, MaxAttempts: 1, Shares: []catalog.Share{{Service: "models"}}})
	}
	engine := newTypicalEngine()
	engine.Slots = 4
	store := &fixedStore{state: catalog.New(1, routes, []catalog.Service{{Name: "models", Engine: engine}}, nil, catalog.Limits{})}
	sender := &holdingSender{sent: map[string]*Dispatch{}, released: make(chan struct{})}
	core, logs := observer.New(zap.InfoLevel)
	config := Config{Self: Entry{Host: "self", Site: "a", Region: "ra", Datagrams: socket.LocalAddr().String()}, Regions: map[string]string{"a": "ra"}, RetryWindow: time.Second, MaxStaleness: time.Minute}
	d := &drivenGateway{c: c, sender: sender, logs: logs, held: map[string]*httptest.ResponseRecorder{}}
	d.Gateway = New(ctx, config, store, headCodec{}, sender, emptyOrigin{}, &http.Client{}, socket, zap.New(core), prometheus.NewRegistry(), rand.New(rand.NewPCG(1, 2)))
	d.eventually(func() bool { return logs.FilterMessage("backend server listed").Len() > 0 && d.Ready() })
	return d
}

func (d *drivenGateway) eventually(condition func() bool) {
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		d.c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

// hold sends a request and waits until the server has it.
func (d *drivenGateway) hold(id, path string) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		response := d.send(id, path)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.held[id] = response
	}()
	d.eventually(func() bool { return d.sender.dispatch(id) != nil })
}

// send sends a request and returns its response.
func (d *drivenGateway) send(id, path string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "http://h"+path, nil)
	request.Header.Set("Id", id)
	response := httptest.NewRecorder()
	d.ServeHTTP(response, request)
	return response
}

// expectServed releases all held requests and checks that they were answered.
func (d *drivenGateway) expectServed(ids ...string) {
	close(d.sender.released)
	d.wg.Wait()
	for _, id := range ids {
		d.c.Check(d.held[id].Code, qt.Equals, http.StatusOK)
		body, _ := io.ReadAll(d.held[id].Body)
		d.c.Check(string(body), qt.Equals, "answer")
	}
}

// While a service is contended, a less urgent request takes the slot that an urgent one needs, or one
// that was refused runs after all or keeps its slot.
func TestUrgentRequestIsServedUnderContention(t *testing.T) {
	d := newDrivenGateway(t, 0, 1, 2)
	controller := &fakeController{reserve: 2, peers: map[filbertlever.HostID]contention.Demand{}}
	table := &fakeShares{peers: map[filbertlever.HostID][]shares.Usage{}}
	d.Gateway.mu.Lock()
	d.levelled["models"].controller, d.levelled["models"].shares = controller, table
	d.Gateway.mu.Unlock()
	d.hold("a", "/2/")
	d.hold("b", "/2/")
	for i := range 3 {
		id := fmt.Sprint("refused", i)
		response := d.send(id, "/2/")
		d.c.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
		d.c.Assert(response.Header().Get("Retry-After"), qt.Equals, "0.090")
		d.c.Assert(d.sender.dispatch(id), qt.IsNil)
	}
	d.hold("urgent", "/0/")
	d.hold("urgent too", "/0/")
	full := d.send("full", "/0/")
	d.c.Assert(full.Code, qt.Equals, http.StatusServiceUnavailable)
	d.expectServed("a", "b", "urgent", "urgent too")
	d.c.Assert(controller.rooms, qt.DeepEquals, []contention.Room{{Free: 3, Admissible: true}, {Free: 2, Admissible: true}, {Free: 1, Admissible: true}, {Free: 1, Admissible: true},
		{Free: 1, Admissible: true}, {Free: 1, Admissible: true}, {Free: 0, Admissible: true}, {Free: -1}})
	d.c.Assert(table.recorded, qt.HasLen, len(controller.rooms))
	d.c.Assert(d.sender.dispatch("a").Priority, qt.Equals, 2)
	d.c.Assert(d.sender.dispatch("urgent").Priority, qt.Equals, 0)
	line := d.logs.FilterMessage("refused").All()[0].ContextMap()
	d.c.Assert(line["UrgencyLevel"], qt.Equals, int64(2))
	d.c.Assert(line["Reserve"], qt.Equals, 2.0)
	d.c.Assert(line["Decision"], qt.Equals, "LessUrgent")
}

// Routes that do not differ in priority get other answers than before.
func TestEqualPrioritiesAreNotDecidedByLevel(t *testing.T) {
	d := newDrivenGateway(t, 1, 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		d.hold(id, "/1/")
	}
	response := d.send("full", "/0/")
	d.c.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
	d.c.Assert(response.Body.String(), qt.Equals, reasonBusy+"\n")
	d.c.Assert(d.sender.dispatch("full"), qt.IsNil)
	d.expectServed("a", "b", "c", "d")
	d.c.Assert(d.sender.dispatch("a").Priority, qt.Equals, 1)
	d.c.Assert(d.levelled, qt.HasLen, 0)
	for _, line := range append(d.logs.FilterMessage("placed").All(), d.logs.FilterMessage("refused").All()...) {
		_, ok := line.ContextMap()["UrgencyLevel"]
		d.c.Assert(ok, qt.IsFalse)
	}
}

// The demand of entries that fell silent keeps a reserve, or the entry stops to decide without them.
func TestEntryWithSilentPeersDecidesAlone(t *testing.T) {
	d := newDrivenGateway(t, 0, 2)
	controller := &fakeController{reserve: 4, peers: map[filbertlever.HostID]contention.Demand{}}
	table := &fakeShares{peers: map[filbertlever.HostID][]shares.Usage{}}
	now := boottime.Now()
	d.Gateway.mu.Lock()
	d.levelled["models"].controller, d.levelled["models"].shares = controller, table
	d.peers.observeHeartbeat(Entry{Host: "near", Region: "ra", Datagrams: d.config.Self.Datagrams}, true, false, now)
	d.applyCounts(&Counts{From: "near", Sequence: 1, Demand: []ServiceDemand{{Service: "models", Admitted: []uint64{1, 2}, Refused: []uint64{0, 1}}}}, now)
	peers := len(controller.peers)
	d.Gateway.mu.Unlock()
	d.c.Assert(peers, qt.Equals, 1)
	d.sendHeartbeat(now+heartbeatTimeout+time.Second, nil)
	d.Gateway.mu.Lock()
	d.c.Check(controller.peers, qt.HasLen, 0)
	d.Gateway.mu.Unlock()
	d.c.Assert(d.send("less urgent", "/1/").Code, qt.Equals, http.StatusServiceUnavailable)
	d.hold("urgent", "/0/")
	d.expectServed("urgent")
}

// A caller that comes back as told has no better chance than a new one, a late one takes the place of
// one in time, or a caller that states an impossible time counts as returning.
func TestReturningAndLateCallers(t *testing.T) {
	g, controller, table, _ := newLevelledGateway()
	goal := 400 * time.Millisecond
	for name, test := range map[string]struct {
		stated          time.Duration
		states          bool
		goal            time.Duration
		returning, late bool
	}{
		"new":                         {6 * time.Second, true, goal, false, false},
		"delayed on its way":          {5990 * time.Millisecond, true, goal, false, false},
		"returning":                   {5900 * time.Millisecond, true, goal, true, false},
		"late":                        {5500 * time.Millisecond, true, goal, false, true},
		"without a goal":              {time.Second, true, 0, true, false},
		"states no time":              {0, false, goal, false, false},
		"states more than is allowed": {9 * time.Second, true, goal, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			route := &catalog.Route{Timeout: 6 * time.Second, FirstByteGoal: test.goal}
			x := &exchange{gateway: g, route: route, service: "models", call: &Call{HasTimeout: test.states, Timeout: test.stated}, arrived: time.Now(), request: httptest.NewRequest(http.MethodGet, "/", nil),
				priority: 1, levels: 3, organisation: catalog.Organisation{ID: "large"}}
			x.setDeadline()
			defer x.cancel()
			a := &attempts{exchange: x}
			decision := a.decideLevel(fleet.Placement{QueuePosition: -5}, true, true, time.Second)
			c.Assert(decision.request, qt.Equals, contention.Request{Level: 1, Returning: test.returning, Late: test.late, OverShare: 0.5, Goal: test.goal})
			c.Assert(controller.rooms[len(controller.rooms)-1], qt.Equals, contention.Room{Free: 5, Admissible: true})
			c.Assert(table.recorded[len(table.recorded)-1], qt.Equals, newTypicalEngine().Work(0, 0))
			c.Assert(a.decideLevel(fleet.Placement{}, false, true, time.Second), qt.IsNil)
			a.stream = &eventStream{}
			c.Assert(a.decideLevel(fleet.Placement{}, true, true, time.Second), qt.IsNil)
			a.stream, a.levels = nil, 0
			c.Assert(a.decideLevel(fleet.Placement{}, true, true, time.Second), qt.IsNil)
		})
	}
}
