package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
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

// sharedLinkOrigin is an origin whose link all fetches share, and which may be down.
type sharedLinkOrigin struct {
	// link is locked for a slice of a piece at a time.
	link sync.Mutex

	mu   sync.Mutex
	down bool
	// started lists the versions of the pieces in the order in which their fetches began.
	started []uint64
}

const (
	linkSlice      = 4 * time.Millisecond
	slicesPerPiece = 5
)

func (o *sharedLinkOrigin) piece(version uint64, piece int) []byte {
	return []byte(fmt.Sprintf("piece %d of version %d", piece, version))
}

func (o *sharedLinkOrigin) Manifest(_ context.Context, _ string, id catalog.ModelVersion) (Manifest, error) {
	manifest := Manifest{Model: id.Model, Version: id.Version}
	for piece := range sharedLinkPieces {
		sum := sha256.Sum256(o.piece(id.Version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (o *sharedLinkOrigin) Piece(_ context.Context, _ string, id catalog.ModelVersion, piece int) ([]byte, error) {
	o.mu.Lock()
	if o.down {
		o.mu.Unlock()
		return nil, errDown
	}
	o.started = append(o.started, id.Version)
	o.mu.Unlock()
	for range slicesPerPiece {
		o.link.Lock()
		time.Sleep(linkSlice)
		o.link.Unlock()
	}
	return o.piece(id.Version, piece), nil
}

func (o *sharedLinkOrigin) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// entriesView is a view of the entries that fetch from the origin. No server holds the
// versions.
type entriesView struct{ entries []relays.Entry }

func (entriesView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (entriesView) Pieces(string) (count, size int) { return 0, 0 }

func (entriesView) Holders(catalog.ModelVersion) []relays.Holder { return nil }

func (v entriesView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	return v.entries, map[filbertlever.HostID]string{}
}

const (
	sharedLinkPieces = 120
	// olderMissing is how many pieces of the older version are missing. One entry is the
	// origin fetcher of all of them.
	olderMissing = 12
)

// After an outage, servers waited 0.9 s longer than the origin's link required. Missing pieces
// of the older version (0.35 s of the link) took 1.3 s, as four entries fetched newer pieces
// between attempts, and entries without missing older pieces took most of the link.
func TestOlderVersionTakesPrecedenceAcrossEntries(t *testing.T) {
	c := qt.New(t)
	origin := &sharedLinkOrigin{down: true}
	view := entriesView{}
	for n := range 4 {
		view.entries = append(view.entries, relays.Entry{Host: filbertlever.HostID("e" + strconv.Itoa(n)), Site: "a"})
	}
	older, newer := catalog.ModelVersion{Model: "drafter", Version: 2}, catalog.ModelVersion{Model: "drafter", Version: 3}
	byHost := map[filbertlever.HostID]*Relay{}
	for _, entry := range view.entries {
		r := New(entry, view, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		byHost[entry.Host] = r
		for _, id := range []catalog.ModelVersion{older, newer} {
			_, err := r.Manifest(context.Background(), id, relays.RoleOriginFetcher)
			c.Assert(err, qt.IsNil)
		}
		r.mu.Lock()
		r.ensureState(older).requested, r.ensureState(newer).requested = true, true
		r.mu.Unlock()
	}
	var group, olderDone sync.WaitGroup
	request := func(id catalog.ModelVersion, piece int) {
		r := byHost[relays.OriginFetcher(view.entries, "a", pieceKey(id, piece))]
		_, err := r.Piece(context.Background(), id, piece, relays.RoleOriginFetcher)
		c.Check(err, qt.IsNil)
	}
	for piece := range sharedLinkPieces {
		group.Go(func() { request(newer, piece) })
	}
	for piece, missing := 0, 0; missing < olderMissing; piece++ {
		if relays.OriginFetcher(view.entries, "a", pieceKey(older, piece)) == "e0" {
			missing++
			olderDone.Go(func() { request(older, piece) })
		}
	}
	time.Sleep(400 * time.Millisecond)
	origin.setDown(false)
	olderDone.Wait()
	origin.mu.Lock()
	before := len(origin.started) - olderMissing
	origin.mu.Unlock()
	group.Wait()
	// The three other entries fetch one piece each at a time, alongside two of the older
	// version: 18 in total, plus those in flight. With two each there would be 36.
	c.Check(before <= 27, qt.IsTrue, qt.Commentf("%d pieces of the newer version were started before the older one was complete", before))
}

// At a single entry, a fetch of the older version that failed must be the first one when
// the origin recovers, however many fetches of the newer version wait.
func TestFailedAttemptOfOlderVersionKeepsItsSlot(t *testing.T) {
	c := qt.New(t)
	for round := range 3 {
		origin := &sharedLinkOrigin{down: true}
		r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		older, newer := catalog.ModelVersion{Model: "drafter", Version: 2}, catalog.ModelVersion{Model: "drafter", Version: 3}
		var group sync.WaitGroup
		for piece := range 8 {
			for _, id := range []catalog.ModelVersion{newer, older} {
				if id == older && piece >= originConcurrency+1 {
					continue
				}
				group.Go(func() {
					_, err := r.Piece(context.Background(), id, piece, relays.RoleOriginFetcher)
					c.Check(err, qt.IsNil)
				})
			}
		}
		time.Sleep(time.Duration(350+30*round) * time.Millisecond)
		origin.setDown(false)
		group.Wait()
		c.Check(origin.started[:originConcurrency], qt.DeepEquals, []uint64{2, 2}, qt.Commentf("%v", origin.started))
	}
}
