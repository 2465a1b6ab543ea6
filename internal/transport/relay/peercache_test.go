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

// countingOrigin is an origin of many pieces, slow as a thin link is.
type countingOrigin struct {
	mu      sync.Mutex
	fetches map[int]int
}

const handoverPieces = 16

func (*countingOrigin) Manifest(_ context.Context, _ string, v catalog.NamedVersion) (Manifest, error) {
	manifest := Manifest{Model: v.Model, Version: v.Version}
	for piece := range handoverPieces {
		manifest.Digests = append(manifest.Digests, digestOf(pieceData(piece)))
	}
	return manifest, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func pieceData(piece int) []byte { return fmt.Appendf(nil, "piece %d", piece) }

func (m *countingOrigin) Piece(_ context.Context, _ string, _ catalog.NamedVersion, piece int) ([]byte, error) {
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

// changingView is an installation whose living entries change.
type changingView struct {
	mu        sync.Mutex
	entries   []relays.Entry
	addresses map[filbertlever.HostID]string
}

func (*changingView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (*changingView) Holders(catalog.NamedVersion) []relays.Holder { return nil }

func (v *changingView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]relays.Entry(nil), v.entries...), v.addresses
}

func (v *changingView) remove(host filbertlever.HostID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var left []relays.Entry
	for _, entry := range v.entries {
		if entry.Host != host {
			left = append(left, entry)
		}
	}
	v.entries = left
}

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

// Callers wait for weights that the origin sends once more: the entry that had drawn them
// stopped, and the one that follows it draws all of them, though entries of other sites
// had them from the one before.
func TestPiecesOfStoppedEntryAreNotFetchedAgain(t *testing.T) {
	c := qt.New(t)
	origin := &countingOrigin{fetches: map[int]int{}}
	v := &changingView{addresses: map[filbertlever.HostID]string{}, entries: []relays.Entry{{Host: "a1", Site: "a"}, {Host: "a2", Site: "a"}, {Host: "b1", Site: "b"}}}
	running := map[filbertlever.HostID]*Relay{}
	for _, entry := range v.entries {
		running[entry.Host] = v.start(t, entry, origin)
	}
	for _, r := range running {
		r.Announce(drafter)
	}
	all := func(r *Relay) {
		for piece := range handoverPieces {
			data, err := r.Piece(context.Background(), drafter, piece, relays.RoleAny)
			c.Assert(err, qt.IsNil)
			c.Assert(string(data), qt.Equals, string(pieceData(piece)))
		}
	}
	all(running["b1"])
	c.Assert(origin.total(), qt.Equals, handoverPieces)
	v.remove("a1")
	all(running["a2"])
	c.Check(origin.total(), qt.Equals, handoverPieces)
	// One that starts anew has nothing, and heard of the version from the store.
	v.remove("a2")
	v.mu.Lock()
	v.entries = append(v.entries, relays.Entry{Host: "a3", Site: "a"})
	v.mu.Unlock()
	all(v.start(t, relays.Entry{Host: "a3", Site: "a"}, origin))
	c.Check(origin.total(), qt.Equals, handoverPieces)
}

// Servers wait for weights though the origin has them: half of all entries lost power and
// are still believed alive, and each was asked for each piece until its time was over.
func TestUnresponsivePeersDoNotDelayOriginFetch(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = silent.Close() }()
	v := &changingView{addresses: map[filbertlever.HostID]string{}, entries: []relays.Entry{{Host: "a1", Site: "a"}}}
	for _, site := range []string{"b", "c", "d", "e"} {
		host := filbertlever.HostID(site + "1")
		v.entries = append(v.entries, relays.Entry{Host: host, Site: site})
		v.addresses[host] = silent.Addr().String()
	}
	origin := &countingOrigin{fetches: map[int]int{}}
	r := v.start(t, relays.Entry{Host: "a1", Site: "a"}, origin)
	began := time.Now()
	for piece := range handoverPieces {
		_, err := r.Piece(context.Background(), drafter, piece, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	c.Check(origin.total(), qt.Equals, handoverPieces)
	// One of them is waited for, once.
	c.Check(time.Since(began) < 3*peerCacheTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
