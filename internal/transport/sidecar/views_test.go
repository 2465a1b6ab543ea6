package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
)

func siteEntry(n int, site string) gateway.Entry {
	return gateway.Entry{Host: "entry", Site: site, Peers: fmt.Sprintf("10.0.0.%d:1", n), Datagrams: fmt.Sprintf("10.0.0.%d:2", n)}
}

// Requests were delayed at a site's first entry, because all agents there read their views
// from it. Each agent starts at a different entry. The entry that announced a change is
// asked first, because the others may not have it yet.
func TestAgentsOfSiteAskDifferentEntries(t *testing.T) {
	c := qt.New(t)
	first := map[string]int{}
	for agent := range 60 {
		s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{Address: fmt.Sprintf("10.1.0.%d:8000", agent), Seeds: []string{"10.9.0.1:1"}})
		s.hasView, s.viewReadAt = true, boottime.Now()
		s.entries = []gateway.Entry{siteEntry(1, "b"), siteEntry(2, "a"), siteEntry(3, "a"), siteEntry(4, "a"), siteEntry(5, "a")}
		addresses := s.entryAddresses()
		c.Assert(addresses, qt.HasLen, 6)
		c.Assert(addresses[4:], qt.DeepEquals, []string{"10.0.0.1:1", "10.9.0.1:1"})
		first[addresses[0]]++
		s.notifier = siteEntry(4, "a").Datagrams
		c.Assert(s.entryAddresses()[0], qt.Equals, siteEntry(4, "a").Peers)
		// It is preferred only once, because it may have stopped since.
		c.Assert(s.entryAddresses(), qt.DeepEquals, addresses)
	}
	c.Assert(first, qt.HasLen, 4)
	for address, n := range first {
		c.Check(n < 30, qt.IsTrue, qt.Commentf("%d of 60 ask %s", n, address))
	}
}

// An agent must read the view at once when an entry announces a change. The next regular
// read is up to three seconds later, when MaxStaleness may have passed.
func TestChangeDatagramWakesAgent(t *testing.T) {
	c := qt.New(t)
	s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{})
	s.viewChanged = make(chan struct{}, 1)
	from, err := datagrams.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = from.Close() }()
	data, err := gateway.EncodeDatagram(gateway.Datagram{Changed: true})
	c.Assert(err, qt.IsNil)
	for _, sent := range [][]byte{[]byte("not a message"), data, data} {
		c.Assert(from.Send(sent, s.socket.Address().String()), qt.IsNil)
		c.Assert(s.socket.Receive(s.handleDatagram), qt.IsNil)
	}
	select {
	case <-s.viewChanged:
	default:
		c.Fatal("the agent was not woken by the announcement")
	}
	c.Assert(s.notifier, qt.Equals, from.Address().String())
}

// Agents read an unchanged view again because entries had handled their reports late and taken them
// for outdated. Only what an announcement adds to the agent's view, or its age, counts.
func TestAnnouncementThatAddsNothingDoesNotWakeAgent(t *testing.T) {
	c := qt.New(t)
	const age = 10 * time.Second
	named := func(version uint64, age time.Duration) gateway.NamedAge {
		return gateway.NamedAge{Model: "drafter", Version: version, Age: age, Known: true}
	}
	for _, test := range []struct {
		name      string
		announced []gateway.NamedAge
		woken     bool
	}{
		{"an earlier build announces no ages", nil, true},
		{"the same", []gateway.NamedAge{named(2, age)}, false},
		{"the same, read late", []gateway.NamedAge{named(2, age-time.Second)}, false},
		{"a version is missing", []gateway.NamedAge{named(2, age), named(3, 0)}, true},
		{"a version was named earlier", []gateway.NamedAge{named(2, age+time.Minute)}, true},
	} {
		s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{MaxStaleness: 5 * time.Second})
		s.viewChanged = make(chan struct{}, 1)
		s.hasView, s.viewReadAt, s.view.Named = true, boottime.Now(), []gateway.NamedAge{named(2, age)}
		data, err := gateway.EncodeDatagram(gateway.Datagram{Changed: true, Named: test.announced})
		c.Assert(err, qt.IsNil)
		s.handleDatagram(data, s.socket.Address())
		c.Check(len(s.viewChanged) == 1, qt.Equals, test.woken, qt.Commentf(test.name))
	}
}

// The ages of the versions that an agent reports increase with the time since it read its
// view.
func TestReportedVersionAgesIncrease(t *testing.T) {
	c := qt.New(t)
	s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{})
	c.Assert(s.namedVersions(time.Second), qt.IsNil)
	s.hasView, s.viewReadAt = true, time.Second
	c.Assert(s.namedVersions(time.Second), qt.IsNotNil, qt.Commentf("a view without versions is reported as empty, not nil"))
	s.view = gateway.View{Named: []gateway.NamedAge{{Model: "drafter", Version: 2, Age: time.Second, Known: true}}}
	want := []gateway.NamedAge{{Model: "drafter", Version: 2, Age: 3 * time.Second, Known: true}}
	c.Assert(slices.Equal(s.namedVersions(3*time.Second), want), qt.IsTrue)
	c.Assert(s.view.Named[0].Age, qt.Equals, time.Second)
}

// Versions in an answer that took long appeared younger to the agent than they are, so entries
// announced them again, and the server would have changed after the deadline.
func TestAgesOfSlowAnswerAreNotTooLow(t *testing.T) {
	c := qt.New(t)
	namedAt := boottime.Now() - time.Second
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		view := gateway.View{Named: []gateway.NamedAge{{Model: "drafter", Version: 2, Age: boottime.Now() - namedAt, Known: true}}}
		time.Sleep(20 * time.Millisecond)
		_ = json.NewEncoder(w).Encode(view)
	}))
	defer slow.Close()
	s, answers := newAgent(&fakeEntry{}, &fakeEngine{}, Config{}), make(chan viewAnswer, 1)
	s.askEntry(context.Background(), strings.TrimPrefix(slow.URL, "http://"), answers)
	s.setView(<-answers)
	now := boottime.Now()
	c.Assert(s.namedVersions(now)[0].Age >= now-namedAt, qt.IsTrue)
}

// fakeStore is a store that counts the reads of its entries.
type fakeStore struct {
	entries []gateway.Entry
	reads   int
}

func (l *fakeStore) ReadEntries(context.Context) (gateway.Entries, error) {
	l.reads++
	return gateway.Entries{Present: l.entries}, nil
}

// The platform's store got one call from each starting agent, 591 in a day of 46 s, for
// entries that the agents also got from their seeds. It is read only if no seed has
// answered for storeFallbackDelay, and then at most once per storeReadInterval.
func TestStoreIsReadOnlyIfNoEntryAnswers(t *testing.T) {
	c := qt.New(t)
	var ready atomic.Bool
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			http.Error(w, "no desired state is known", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer live.Close()
	address := strings.TrimPrefix(live.URL, "http://")
	const unreachable = "127.0.0.1:1"
	ctx := context.Background()

	store := &fakeStore{entries: []gateway.Entry{{Peers: address}}}
	s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{Seeds: []string{unreachable, address}})
	s.entries, s.lister = nil, store
	for range 3 {
		// An entry that has just started counts as reachable.
		c.Assert(s.refreshView(ctx), qt.ErrorIs, errNoEntry)
		s.mu.Lock()
		c.Assert(s.unreachableSince, qt.Equals, time.Duration(0))
		s.mu.Unlock()
	}
	ready.Store(true)
	c.Assert(s.refreshView(ctx), qt.IsNil)
	c.Assert(store.reads, qt.Equals, 0)

	s = newAgent(&fakeEntry{}, &fakeEngine{}, Config{Seeds: []string{unreachable}})
	s.entries, s.lister = nil, store
	c.Assert(s.refreshView(ctx), qt.ErrorIs, errNoEntry)
	c.Assert(store.reads, qt.Equals, 0, qt.Commentf("the seeds may still be starting"))
	s.unreachableSince -= storeFallbackDelay
	c.Assert(s.refreshView(ctx), qt.IsNil)
	c.Assert(store.reads, qt.Equals, 1)
	store.entries = nil
	s.entries = nil
	c.Assert(s.refreshView(ctx), qt.ErrorIs, errNoEntry)
	s.unreachableSince -= storeFallbackDelay
	c.Assert(s.refreshView(ctx), qt.ErrorIs, errNoEntry)
	c.Assert(store.reads, qt.Equals, 1, qt.Commentf("store read again before storeReadInterval"))
	s.storeReadAt -= storeReadInterval
	c.Assert(s.refreshView(ctx), qt.ErrorIs, errNoEntry)
	c.Assert(store.reads, qt.Equals, 2)
}

// A server that was added got no weights for seconds. Its agent's seeds had no power and
// did not respond, and the store was read only after their requests had timed out.
func TestSilentSeedsDoNotDelayStoreRead(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = silent.Close() }()
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer live.Close()
	store := &fakeStore{entries: []gateway.Entry{{Peers: strings.TrimPrefix(live.URL, "http://")}}}
	s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{Seeds: []string{silent.Addr().String(), silent.Addr().String()}})
	s.entries, s.lister = nil, store
	startedAt := time.Now()
	c.Assert(s.refreshView(context.Background()), qt.IsNil)
	// The agent waits no longer than hedgeDelay for each seed.
	c.Assert(time.Since(startedAt) < 5*hedgeDelay, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
	c.Assert(store.reads, qt.Equals, 1)
}

// After a power failure an agent's first request goes to a host that has not booted yet,
// and TCP retries it only after a second. Agents got their views and servers their weights
// 0.8 s late. The agent must retry the host sooner.
func TestStartingHostIsRetriedSoon(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer live.Close()
	s := newAgent(&fakeEntry{}, &fakeEngine{}, Config{Seeds: []string{strings.TrimPrefix(live.URL, "http://")}})
	s.entries = nil
	startedAt := time.Now()
	c.Assert(s.refreshView(context.Background()), qt.ErrorIs, errNoEntry)
	c.Assert(s.refreshView(context.Background()), qt.IsNil)
	c.Check(time.Since(startedAt) < viewTimeout/2, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
}
