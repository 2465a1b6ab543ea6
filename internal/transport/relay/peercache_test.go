package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// countingOrigin is a slow origin that counts the fetches of each piece.
type countingOrigin struct {
	mu      sync.Mutex
	fetches map[int]int
}

const countingOriginPieces = 16

func (*countingOrigin) Manifest(_ context.Context, _ string, v catalog.ModelVersion) (Manifest, error) {
	manifest := Manifest{Model: v.Model, Version: v.Version}
	for piece := range countingOriginPieces {
		manifest.Digests = append(manifest.Digests, digestOf(pieceData(piece)))
	}
	return manifest, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func pieceData(piece int) []byte { return fmt.Appendf(nil, "piece %d", piece) }

func (m *countingOrigin) Piece(_ context.Context, _ string, _ catalog.ModelVersion, piece int) ([]byte, error) {
	m.mu.Lock()
	m.fetches[piece]++
	m.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	return pieceData(piece), nil
}

func (m *countingOrigin) total() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, n := range m.fetches {
		total += n
	}
	return total
}

// changingView is a view of an installation whose entries change.
type changingView struct {
	mu        sync.Mutex
	entries   []relays.Entry
	addresses map[filbertlever.HostID]string
}

func (*changingView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (*changingView) Pieces(string) (count, size int) { return 0, 0 }

func (*changingView) Holders(catalog.ModelVersion) []relays.Holder { return nil }

func (v *changingView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]relays.Entry(nil), v.entries...), v.addresses
}

func (v *changingView) remove(host filbertlever.HostID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var remaining []relays.Entry
	for _, entry := range v.entries {
		if entry.Host != host {
			remaining = append(remaining, entry)
		}
	}
	v.entries = remaining
}

// start starts the relay of an entry and a server for it.
func (v *changingView) start(t *testing.T, entry relays.Entry, origin Origin) *Relay {
	r := New(entry, v, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	mux := http.NewServeMux()
	r.Routes(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addresses[entry.Host] = server.Listener.Addr().String()
	return r
}

// When an origin fetcher stopped, its successor fetched all pieces from the origin again
// although entries of other sites had them cached, and callers waited for that.
func TestPiecesOfStoppedEntryAreNotFetchedAgain(t *testing.T) {
	c := qt.New(t)
	origin := &countingOrigin{fetches: map[int]int{}}
	v := &changingView{addresses: map[filbertlever.HostID]string{}, entries: []relays.Entry{{Host: "a1", Site: "a"}, {Host: "a2", Site: "a"}, {Host: "b1", Site: "b"}}}
	running := map[filbertlever.HostID]*Relay{}
	for _, entry := range v.entries {
		running[entry.Host] = v.start(t, entry, origin)
	}
	for _, r := range running {
		r.AddVersion(drafter)
	}
	fetchAll := func(r *Relay) {
		for piece := range countingOriginPieces {
			data, err := r.Piece(context.Background(), drafter, piece, relays.RoleAny)
			c.Assert(err, qt.IsNil)
			c.Assert(string(data), qt.Equals, string(pieceData(piece)))
		}
	}
	fetchAll(running["b1"])
	c.Assert(origin.total(), qt.Equals, countingOriginPieces)
	v.remove("a1")
	fetchAll(running["a2"])
	c.Check(origin.total(), qt.Equals, countingOriginPieces)
	// A newly started entry has no pieces, and learned of the version from the store.
	v.remove("a2")
	v.mu.Lock()
	v.entries = append(v.entries, relays.Entry{Host: "a3", Site: "a"})
	v.mu.Unlock()
	fetchAll(v.start(t, relays.Entry{Host: "a3", Site: "a"}, origin))
	c.Check(origin.total(), qt.Equals, countingOriginPieces)
}

// Half of all entries lost power but still counted as alive. Each was asked for each piece
// until the timeout, and servers waited for weights although the origin had them.
func TestUnresponsivePeersDoNotDelayOriginFetch(t *testing.T) {
	c := qt.New(t)
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = unresponsive.Close() }()
	v := &changingView{addresses: map[filbertlever.HostID]string{}, entries: []relays.Entry{{Host: "a1", Site: "a"}}}
	for _, site := range []string{"b", "c", "d", "e"} {
		host := filbertlever.HostID(site + "1")
		v.entries = append(v.entries, relays.Entry{Host: host, Site: site})
		v.addresses[host] = unresponsive.Addr().String()
	}
	origin := &countingOrigin{fetches: map[int]int{}}
	r := v.start(t, relays.Entry{Host: "a1", Site: "a"}, origin)
	start := time.Now()
	for piece := range countingOriginPieces {
		_, err := r.Piece(context.Background(), drafter, piece, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	c.Check(origin.total(), qt.Equals, countingOriginPieces)
	// Only one of them is waited for, and only once.
	c.Check(time.Since(start) < 3*peerCacheTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}
