package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// newPieceEntry returns an entry that answers every request with the same piece.
func newPieceEntry(t *testing.T, name, data string) gateway.Entry {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(data)) }))
	t.Cleanup(server.Close)
	return gateway.Entry{Host: "entry", Site: "a", Peers: strings.TrimPrefix(server.URL, "http://"), Datagrams: name}
}

// A server would answer with corrupt weights if a piece that was corrupted at an entry or
// in transit were kept. It is fetched again from another entry.
func TestCorruptPieceIsNotKept(t *testing.T) {
	c := qt.New(t)
	sum := sha256.Sum256([]byte("weights"))
	digest := hex.EncodeToString(sum[:])
	manifest := &relay.Manifest{Model: "drafter", Version: 1, Digests: []string{digest}}
	corrupt, intact := newPieceEntry(t, "1", "spoilt!"), newPieceEntry(t, "2", "weights")
	tests := []struct {
		entries []gateway.Entry
		want    bool
	}{
		{[]gateway.Entry{corrupt}, false},
		{[]gateway.Entry{corrupt, intact}, true},
	}
	for _, test := range tests {
		registry := prometheus.NewRegistry()
		s := &Sidecar{config: Config{Site: "a"}, client: &http.Client{}, log: zap.NewNop(), metrics: newMetrics(registry),
			entries: test.entries, pieces: map[string][]byte{}, models: map[string]*modelState{}}
		f := &fetchTask{sidecar: s, state: &modelState{}, target: catalog.ModelVersion{Model: "drafter", Version: 1}}
		err := f.fetchPieces(context.Background(), manifest)
		c.Assert(err == nil, qt.Equals, test.want, qt.Commentf("%v", err))
		data, ok := s.cachedPiece(digest)
		c.Assert(ok, qt.Equals, test.want)
		if ok {
			c.Assert(string(data), qt.Equals, "weights")
		}
	}
}

// fakeEngine is a model server with its staging area.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int][]byte
	// beforeLoad runs before a load copies the staged pieces to loaded.
	beforeLoad func()
	loaded     map[int][]byte
	// report is the report that the server returns.
	report Report
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

func (e *fakeEngine) Load(_ context.Context, _ string, _ uint64, check freshness.Check) error {
	if err := check.Confirm(boottime.Now()); err != nil {
		return err
	}
	if e.beforeLoad != nil {
		e.beforeLoad()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = maps.Clone(e.staged)
	return nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, piece int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = data
	return nil
}

func (e *fakeEngine) ReadStaged(_ context.Context, _ string, piece int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staged[piece], nil
}

func (e *fakeEngine) stagedCount() int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int32(len(e.staged))
}

func (e *fakeEngine) ListStaged(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.staged)), nil
}

// fakeEntry is an entry that serves one version and counts the pieces that it sends.
type fakeEntry struct {
	gateway.Entry
	manifest relay.Manifest
	pieces   [][]byte
	sent     atomic.Int32
	// beforeSend runs before each piece is sent.
	beforeSend func()
	// stale is a manifest that is sent unless the requester doubts it; nil if there is none.
	stale *relay.Manifest
}

func newFakeEntry(t *testing.T, version uint64, count int) *fakeEntry {
	e := &fakeEntry{manifest: relay.Manifest{Model: "drafter", Version: version}}
	for piece := range count {
		data := []byte(fmt.Sprintf("piece %d of version %d", piece, version))
		sum := sha256.Sum256(data)
		e.pieces = append(e.pieces, data)
		e.manifest.Digests = append(e.manifest.Digests, hex.EncodeToString(sum[:]))
	}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.Entry = gateway.Entry{Host: "entry", Site: "a", Peers: strings.TrimPrefix(server.URL, "http://"), Datagrams: "1"}
	return e
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("Piece")
	if text == "" {
		manifest := &e.manifest
		if e.stale != nil && r.URL.Query().Get("Doubted") != e.stale.ID() {
			manifest = e.stale
		}
		_ = json.NewEncoder(w).Encode(manifest)
		return
	}
	if r.URL.Query().Has("Await") {
		return
	}
	piece, _ := strconv.Atoi(text)
	e.sent.Add(1)
	if e.beforeSend != nil {
		e.beforeSend()
	}
	_, _ = w.Write(e.pieces[piece])
}

func newAgent(e *fakeEntry, server *fakeEngine, config Config) *Sidecar {
	config.Site = "a"
	socket, err := datagrams.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return &Sidecar{config: config, engine: server, client: &http.Client{}, socket: socket, log: zap.NewNop(), metrics: newMetrics(prometheus.NewRegistry()),
		entries: []gateway.Entry{e.Entry}, pieces: map[string][]byte{}, models: map[string]*modelState{}}
}

// After a power failure servers restarted without weights, and callers were refused for
// 2.7 s while all pieces were fetched again over slow links although most were still
// staged. Only pieces that are missing or corrupt are fetched.
func TestStagedPiecesAreNotFetchedAgain(t *testing.T) {
	c := qt.New(t)
	entry := newFakeEntry(t, 1, 4)
	server := &fakeEngine{staged: map[int][]byte{0: entry.pieces[0], 1: []byte("spoilt"), 2: entry.pieces[2]}}
	s := newAgent(entry, server, Config{})
	s.hasReport, s.everReported = true, true
	f := &fetchTask{sidecar: s, state: newModelState(), target: catalog.ModelVersion{Model: "drafter", Version: 1}}
	s.models["drafter"] = f.state
	f.run(context.Background())
	c.Assert(f.state.complete[1], qt.IsNotNil)
	c.Assert(entry.sent.Load(), qt.Equals, int32(2))
	for piece, digest := range entry.manifest.Digests {
		data, ok := s.cachedPiece(digest)
		c.Assert(ok, qt.IsTrue)
		c.Assert(string(data), qt.Equals, string(entry.pieces[piece]))
	}
}

// Pieces are staged at an idle server during the fetch, so that callers wait less after the
// last one. At a serving server a partial version would replace what it reloads after a
// crash. A complete version is staged at once, in case all processes are killed.
func TestOnlyIdleServerIsStagedEarly(t *testing.T) {
	c := qt.New(t)
	const pieces = 3
	for _, idle := range []bool{true, false} {
		entry := newFakeEntry(t, 2, pieces)
		server := &fakeEngine{staged: map[int][]byte{}}
		var early atomic.Int32
		var sending sync.Mutex
		sent := int32(0)
		entry.beforeSend = func() {
			// Each piece is sent once the previous one is staged at an idle server.
			sending.Lock()
			defer sending.Unlock()
			for end := time.Now().Add(5 * time.Second); idle && server.stagedCount() < sent && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			sent++
			early.Store(max(early.Load(), server.stagedCount()))
		}
		s := newAgent(entry, server, Config{})
		s.hasReport, s.everReported = true, true
		f := &fetchTask{sidecar: s, state: newModelState(), target: catalog.ModelVersion{Model: "drafter", Version: 2}}
		f.state.idle = idle
		f.run(context.Background())
		c.Assert(early.Load() > 0, qt.Equals, idle)
		c.Assert(server.stagedCount(), qt.Equals, int32(pieces))
	}
}

// An agent got the same wrong manifest from its entry again and again: the entry had not needed the
// piece with the wrong digest, and nothing told it.
func TestAgentDoubtsManifestThatPiecesDoNotMatch(t *testing.T) {
	c := qt.New(t)
	entry := newFakeEntry(t, 2, 4)
	stale := entry.manifest
	stale.Digests = slices.Clone(stale.Digests)
	stale.Digests[1] = stale.Digests[2]
	entry.stale = &stale
	s := newAgent(entry, &fakeEngine{staged: map[int][]byte{}}, Config{})
	m := newModelState()
	s.models["drafter"] = m
	for range 2 {
		f := &fetchTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 2}}
		f.run(context.Background())
	}
	c.Assert(m.complete[2], qt.IsNotNil)
	c.Assert(m.complete[2].Digests, qt.DeepEquals, entry.manifest.Digests)
}

// When servers are added during a burst, an agent starts a second before its server
// responds. Callers waited longer because the agent did not fetch until then.
func TestWeightsAreFetchedBeforeServerAnswers(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		firstStart, everReported, want bool
	}{
		{firstStart: false, everReported: false, want: true},
		// Weights that were delivered with the installation need no fetch.
		{firstStart: true, everReported: false, want: false},
		// A server that has sent a report holds weights, or will report that it has none.
		{firstStart: false, everReported: true, want: false},
	}
	for _, test := range tests {
		entry := newFakeEntry(t, 1, 2)
		s := newAgent(entry, &fakeEngine{staged: map[int][]byte{}}, Config{FirstStart: test.firstStart})
		s.everReported = test.everReported
		s.hasView, s.view = true, gateway.View{Named: []gateway.NamedAge{{Model: "drafter", Version: 1}}}
		ctx, cancel := context.WithCancel(context.Background())
		s.step(ctx, time.Second)
		s.mu.Lock()
		c.Check(s.models["drafter"] != nil && s.models["drafter"].fetching, qt.Equals, test.want)
		s.mu.Unlock()
		cancel()
	}
}

// A server answered with weights of two versions, because pieces of the next version
// arrived and were staged between the verification and the load of the previous one.
func TestNothingIsStagedDuringLoad(t *testing.T) {
	c := qt.New(t)
	older, newer := newFakeEntry(t, 2, 3), newFakeEntry(t, 3, 3)
	server := &fakeEngine{staged: map[int][]byte{}}
	s := newAgent(newer, server, Config{})
	s.hasReport, s.everReported = true, true
	for piece, digest := range older.manifest.Digests {
		s.cachePiece(digest, older.pieces[piece])
	}
	m := newModelState()
	m.manifests[2], m.complete[2] = &older.manifest, &older.manifest
	s.models["drafter"] = m
	server.beforeLoad = func() {
		f := &fetchTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 3}}
		m.idle = true
		f.run(context.Background())
	}
	l := &loadTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 2}, manifest: &older.manifest, idle: true}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The server never reports the load; the test only checks what it loaded.
	_ = l.execute(ctx)
	c.Assert(server.loaded, qt.HasLen, 3)
	for piece, data := range server.loaded {
		c.Check(string(data), qt.Equals, string(older.pieces[piece]))
	}
	c.Assert(newer.sent.Load(), qt.Equals, int32(3))
}

// A fetch took twice as long as the origin's link allows, because the agent waited for one
// piece that an entry had not fetched yet while later ones were ready. Several are awaited
// at once, but still only one is transferred at a time beside a serving server.
func TestLatePieceDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	entry := newFakeEntry(t, 1, 6)
	late := make(chan struct{})
	var inFlight, maxInFlight atomic.Int32
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("Piece") == "1" {
			<-late
		}
		if !r.URL.Query().Has("Await") && r.URL.Query().Has("Piece") {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			time.Sleep(5 * time.Millisecond)
			defer inFlight.Add(-1)
		}
		entry.ServeHTTP(w, r)
	}))
	defer slow.Close()
	entry.Peers = strings.TrimPrefix(slow.URL, "http://")
	s := newAgent(entry, &fakeEngine{staged: map[int][]byte{}}, Config{})
	f := &fetchTask{sidecar: s, state: newModelState(), target: catalog.ModelVersion{Model: "drafter", Version: 1}}
	s.models["drafter"] = f.state
	done := make(chan error)
	go func() { done <- f.fetchPieces(context.Background(), &entry.manifest) }()
	for end := time.Now().Add(5 * time.Second); entry.sent.Load() < 5 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(entry.sent.Load(), qt.Equals, int32(5))
	close(late)
	c.Assert(<-done, qt.IsNil)
	c.Assert(maxInFlight.Load(), qt.Equals, int32(1))
}

// Requests to servers that had just loaded a version took half a second, because a fetch
// that started while they were idle kept using the full link. Once the server answers,
// one piece is transferred at a time and none is staged early.
func TestFetchIsThrottledOnceServerAnswers(t *testing.T) {
	c := qt.New(t)
	entry := newFakeEntry(t, 3, 40)
	server := &fakeEngine{staged: map[int][]byte{}}
	var started, throttled, inFlight, maxInFlight atomic.Int32
	var s *Sidecar
	m := newModelState()
	m.idle = true
	var awaited sync.Map
	answers := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		piece := r.URL.Query().Get("Piece")
		if r.URL.Query().Has("Await") {
			awaited.Store(piece, true)
			return
		}
		if started.Add(1) == 2 {
			s.mu.Lock()
			m.idle = false
			s.mu.Unlock()
			close(answers)
		}
		// No transfer ends before the server answers.
		<-answers
		if _, ok := awaited.Load(piece); ok {
			throttled.Add(1)
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
		}
		time.Sleep(2 * time.Millisecond)
		entry.ServeHTTP(w, r)
	}))
	defer slow.Close()
	entry.Peers = strings.TrimPrefix(slow.URL, "http://")
	s = newAgent(entry, server, Config{})
	s.hasReport, s.everReported = true, true
	s.models["drafter"] = m
	f := &fetchTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 3}}
	c.Assert(f.fetchPieces(context.Background(), &entry.manifest), qt.IsNil)
	c.Assert(entry.sent.Load(), qt.Equals, int32(40))
	// Transfers that started before the server answered ran concurrently.
	c.Check(throttled.Load() >= 40-maxTransfersIdle, qt.IsTrue, qt.Commentf("%d transferred one at a time", throttled.Load()))
	c.Check(maxInFlight.Load(), qt.Equals, int32(1))
	c.Check(server.stagedCount() <= maxTransfersIdle, qt.IsTrue, qt.Commentf("%d pieces staged at a server that answers", server.stagedCount()))
}

// A server loaded a corrupt piece, because the pieces were read back before the quiet
// period and the order followed 1.1 s later.
func TestPiecesAreVerifiedRightBeforeOrder(t *testing.T) {
	c := qt.New(t)
	entry := newFakeEntry(t, 2, 3)
	server := &fakeEngine{staged: map[int][]byte{}}
	s := newAgent(entry, server, Config{})
	s.hasReport, s.everReported = true, true
	for piece, digest := range entry.manifest.Digests {
		s.cachePiece(digest, entry.pieces[piece])
	}
	m := newModelState()
	m.manifests[2], m.complete[2] = &entry.manifest, &entry.manifest
	s.models["drafter"] = m
	const quietPeriod = 400 * time.Millisecond
	time.AfterFunc(quietPeriod/2, func() { _ = server.Stage(context.Background(), "drafter", 1, []byte("bad")) })
	l := &loadTask{sidecar: s, state: m, target: catalog.ModelVersion{Model: "drafter", Version: 2}, manifest: &entry.manifest,
		orderAt: boottime.Now() + quietPeriod, quietPeriod: quietPeriod}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The server never reports the load; the test only checks what it loaded.
	_ = l.execute(ctx)
	c.Assert(server.loaded, qt.HasLen, 3)
	for piece, data := range server.loaded {
		c.Check(string(data), qt.Equals, string(entry.pieces[piece]))
	}
}

// An entry fetches pieces of the version that the server holds. The agent serves them from
// its cache, or from the staging area if they are not cached.
func TestAgentServesPieces(t *testing.T) {
	c := qt.New(t)
	sum := sha256.Sum256([]byte("in memory"))
	digest := hex.EncodeToString(sum[:])
	s := &Sidecar{engine: &fakeEngine{staged: map[int][]byte{0: []byte("staged"), 1: []byte("staged too")}}, log: zap.NewNop(),
		pieces: map[string][]byte{digest: []byte("in memory")}, serveSlots: make(chan struct{}, maxConcurrentServes),
		models: map[string]*modelState{"drafter": {manifests: map[uint64]*relay.Manifest{1: {Digests: []string{digest, "other"}}}}}}
	mux := http.NewServeMux()
	s.Routes(mux)
	for query, want := range map[string]string{
		"?Model=drafter&Version=1&Piece=0": "in memory",
		"?Model=drafter&Version=1&Piece=1": "staged too",
		"?Model=drafter&Version=2&Piece=0": "staged",
		"?Model=drafter&Version=1&Piece=7": "404 page not found\n",
		"?Model=drafter&Version=x&Piece=0": "version \"x\": expected a number\n",
	} {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, relay.PathPiece+query, nil))
		c.Check(w.Body.String(), qt.Equals, want, qt.Commentf(query))
	}
}
