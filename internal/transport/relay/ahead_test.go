package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

const setPieces = 6

// sets is an origin of whole sets, which notes the order of draws.
type sets struct {
	mu    sync.Mutex
	down  bool
	drawn []uint64
}

func (s *sets) piece(version uint64, piece int) []byte {
	return []byte(fmt.Sprintf("piece %d of version %d", piece, version))
}

func (s *sets) Manifest(_ context.Context, _ string, named catalog.NamedVersion) (Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Manifest{}, errDown
	}
	manifest := Manifest{Model: named.Model, Version: named.Version}
	for piece := range setPieces {
		sum := sha256.Sum256(s.piece(named.Version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (s *sets) Piece(_ context.Context, _ string, named catalog.NamedVersion, piece int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	s.drawn = append(s.drawn, named.Version)
	if len(s.drawn) == 2 && named.Version == 2 {
		// The origin goes away in the middle of the first set.
		s.down = true
	}
	return s.piece(named.Version, piece), nil
}

func (s *sets) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *sets) draws() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.drawn...)
}

// No server answers: a version was half drawn when the origin went away, and
// another was named meanwhile. Once it was back both shared its thin link, and the
// first, nearly whole, took as long as the second. It is finished first, without
// anyone asking again.
func TestTheOldestVersionIsFinishedFirst(t *testing.T) {
	c := qt.New(t)
	origin := &sets{}
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.Prefetch(catalog.NamedVersion{Model: "drafter", Version: 2})
	for len(origin.draws()) < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Prefetch(catalog.NamedVersion{Model: "drafter", Version: 3})
	time.Sleep(1200 * time.Millisecond)
	origin.setDown(false)
	for end := time.Now().Add(10 * time.Second); len(origin.draws()) < 2*setPieces && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	drawn := origin.draws()
	c.Assert(drawn, qt.HasLen, 2*setPieces)
	for n, version := range drawn {
		want := uint64(2)
		if n >= setPieces {
			want = 3
		}
		c.Check(version, qt.Equals, want, qt.Commentf("draw %d of %v", n, drawn))
	}
}
