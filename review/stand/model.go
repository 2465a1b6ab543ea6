package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelName is the only model, held by the servers of service serviceModels.
const (
	modelName     = "m0"
	serviceModels = "models"
	serviceOrders = "orders"
	slots         = 16
	loadTime      = 300 * time.Millisecond
	firstToken    = 20 * time.Millisecond
	eventGap      = 40 * time.Millisecond
	eventCount    = 6
)

// staged is one staged piece, which turned bad at badSince if that is set.
type staged struct {
	data     []byte
	badSince time.Time
}

// tokenFault is a token that was made with a piece that was not whole when it was loaded.
type tokenFault struct {
	Request string
	At      time.Time
	Pieces  []string
}

// modelServer is a model server as PROTOCOL.md describes it: reports, load orders, staging and streams.
// A plain server is one without a model.
type modelServer struct {
	record  *record
	origin  *origin
	address string
	service string
	zone    string

	mu       sync.Mutex
	id       string
	running  int
	orders   uint64
	loading  bool
	version  uint64
	bad      []string
	pieces   map[int]staged
	pausedTo time.Time
	faults   []tokenFault
	// cleanPass counts the pieces that were read back in order and were right, and passes the complete
	// passes. onPass is called after each of them, when its last response has been written.
	cleanPass int
	passFor   uint64
	passes    int
	onPass    func(version uint64, passes int)
	onOrder   func(version uint64, at time.Time)

	server *http.Server
	stop   context.CancelFunc
}

// start starts a new boot of the server. A server that lost power holds nothing.
func (m *modelServer) start(id string, store *operator, version uint64) error {
	listener, err := net.Listen("tcp4", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.id, m.running, m.orders, m.loading, m.version, m.bad = id, 0, 0, false, version, nil
	m.pieces = map[int]staged{}
	if version > 0 {
		for piece := range pieceCount {
			m.pieces[piece] = staged{data: m.origin.piece(version, piece)}
		}
	}
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m.server, m.stop = &http.Server{Handler: m}, cancel
	go func() { _ = m.server.Serve(listener) }()
	go m.heartbeat(ctx, store, id)
	return nil
}

// powerOff ends the boot. Its row expires after three heartbeats of silence.
func (m *modelServer) powerOff() {
	m.stop()
	_ = m.server.Close()
}

const heartbeat = 1200 * time.Millisecond

// heartbeat writes the server's row until the boot ends. A server that stands still writes nothing.
func (m *modelServer) heartbeat(ctx context.Context, store *operator, id string) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		paused := m.pausedTo.After(time.Now())
		row := map[string]any{"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": slots,
			"state": "ready", "coldLeftMs": 0, "seqNo": m.orders, "stage": "colocated", "models": m.heldLocked()}
		m.mu.Unlock()
		if !paused {
			store.beat(id, row)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *modelServer) heldLocked() []map[string]any {
	if m.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "version": m.version, "adapters": []string{}}}
}

// pause makes the server stand still until a time.
func (m *modelServer) pause(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pausedTo = until
}

// spoil changes one byte of some staged pieces.
func (m *modelServer) spoil(pieces ...int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, piece := range pieces {
		data := slices.Clone(m.pieces[piece].data)
		if len(data) == 0 {
			continue
		}
		data[0] ^= 0xff
		m.pieces[piece] = staged{data: data, badSince: time.Now()}
	}
}

func (m *modelServer) awaitPause() {
	for {
		m.mu.Lock()
		wait := time.Until(m.pausedTo)
		m.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.awaitPause()
	switch path := r.URL.Path; {
	case path == "/api/report":
		m.serveReport(w)
	case path == "/api/order":
		m.serveOrder(w, r)
	case strings.HasPrefix(path, "/api/stage-put/"):
		m.serveStagePut(w, r)
	case strings.HasPrefix(path, "/api/stage-get/"):
		m.serveStageGet(w, r)
	case path == "/health":
		m.mu.Lock()
		w.Header().Set("X-Instance-Id", m.id)
		m.mu.Unlock()
	default:
		m.serveRequest(w, r)
	}
}

func (m *modelServer) serveReport(w http.ResponseWriter) {
	m.mu.Lock()
	report := map[string]any{"stage": "colocated", "models": m.heldLocked(), "busy": m.loading, "seqNo": m.orders, "queued": 0,
		"running": m.running, "kvUsed": 1000 * m.running, "kvTotal": 1640000, "handles": 0, "pace": 1}
	m.mu.Unlock()
	writeJSON(w, report)
}

func (m *modelServer) serveStagePut(w http.ResponseWriter, r *http.Request) {
	piece, err := strconv.Atoi(r.URL.Query().Get("quantity"))
	data, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pieces[piece] = staged{data: data}
	m.cleanPass = 0
}

func (m *modelServer) serveStageGet(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	if !r.URL.Query().Has("quantity") {
		held := slices.Sorted(maps.Keys(m.pieces))
		m.mu.Unlock()
		writeJSON(w, map[string]any{"held": held})
		return
	}
	piece, _ := strconv.Atoi(r.URL.Query().Get("quantity"))
	p, ok := m.pieces[piece]
	notify := func() {}
	if version := m.notePassLocked(piece, p); version > 0 {
		passes, onPass := m.passes, m.onPass
		notify = func() {
			if onPass != nil {
				onPass(version, passes)
			}
		}
	}
	m.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(p.data)))
	_, _ = w.Write(p.data)
	_ = http.NewResponseController(w).Flush()
	notify()
}

// notePassLocked notes a read of a staged piece. It returns the version whose pieces have all been read back
// in order and right, if this was the last of them; otherwise 0.
func (m *modelServer) notePassLocked(piece int, p staged) uint64 {
	newest := m.origin.newest()
	if newest != m.passFor {
		m.passFor, m.passes, m.cleanPass = newest, 0, 0
	}
	if piece != m.cleanPass || m.origin.digest(newest, piece) != digestOf(p.data) {
		m.cleanPass = 0
		return 0
	}
	m.cleanPass++
	if m.cleanPass < pieceCount {
		return 0
	}
	m.cleanPass = 0
	m.passes++
	return newest
}

func (m *modelServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Version   uint64  `json:"version"`
		Expected  *uint64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Operation != "start" || order.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if order.Expected != nil && *order.Expected != m.orders || m.loading {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if m.version == order.Version {
		w.WriteHeader(http.StatusOK)
		return
	}
	now := time.Now()
	if m.onOrder != nil {
		m.onOrder(order.Version, now)
	}
	bad := m.unwholeLocked(order.Version, now)
	m.record.note("server %s accepts order: start version %d, pieces that are not whole: %v", m.id, order.Version, bad)
	m.loading, m.orders = true, m.orders+1
	id := m.id
	time.AfterFunc(loadTime, func() { m.finishLoad(id, order.Version, bad) })
	w.WriteHeader(http.StatusAccepted)
}

// wholeGrace is the time before a load in which a piece may turn bad without breaking the rule WHOLE.
const wholeGrace = 3 * time.Second

// unwholeLocked returns the staged pieces that are missing, spoilt or of another version.
func (m *modelServer) unwholeLocked(version uint64, now time.Time) []string {
	var bad []string
	for piece := range pieceCount {
		p, ok := m.pieces[piece]
		switch {
		case !ok:
			bad = append(bad, fmt.Sprintf("%d missing", piece))
		case m.origin.digest(version, piece) == digestOf(p.data):
		case p.badSince.IsZero():
			bad = append(bad, fmt.Sprintf("%d of another version", piece))
		case now.Sub(p.badSince) > wholeGrace:
			bad = append(bad, fmt.Sprintf("%d spoilt for %.1f s", piece, now.Sub(p.badSince).Seconds()))
		}
	}
	return bad
}

func (m *modelServer) finishLoad(id string, version uint64, bad []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.id == id {
		m.loading, m.version, m.bad = false, version, bad
	}
}

// refuse answers that the request has not run.
func (m *modelServer) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Instance-Id", m.id)
	w.WriteHeader(status)
}

// begin admits a request. It returns false if it was refused.
func (m *modelServer) begin(w http.ResponseWriter, r *http.Request) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	expected, version := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	isModel := m.service == serviceModels
	switch {
	case expected != "" && expected != m.id, isModel && m.version == 0 && !m.loading, version != "" && version != strconv.FormatUint(m.version, 10):
		m.refuse(w, http.StatusMisdirectedRequest)
		return false
	case m.running >= slots, m.loading:
		m.refuse(w, http.StatusServiceUnavailable)
		return false
	}
	m.running++
	return true
}

func (m *modelServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", id)
	if !m.begin(w, r) {
		return
	}
	defer func() {
		m.mu.Lock()
		m.running--
		m.mu.Unlock()
	}()
	m.mu.Lock()
	server := m.id
	m.mu.Unlock()
	m.record.run(id, server)
	w.Header().Set("X-Server-Stamp", "stamp."+server+"."+id)
	if m.service != serviceModels {
		time.Sleep(firstToken)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(m.noteToken(id), 10))
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	pause := firstToken
	for event := first; event <= eventCount; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		m.awaitPause()
		pause = eventGap
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", event, event, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// noteToken notes that a token is made with what the server holds, and returns its version.
func (m *modelServer) noteToken(id string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.bad) > 0 {
		m.faults = append(m.faults, tokenFault{Request: id, At: time.Now(), Pieces: m.bad})
		if len(m.faults) == 1 {
			m.record.note("server %s makes a token of request %s with pieces that were not whole: %v", m.id, id, m.bad)
		}
	}
	return m.version
}

func (m *modelServer) tokenFaults() []tokenFault {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.faults)
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
