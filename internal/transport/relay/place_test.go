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

// thinOrigin is an origin whose link all draws share, and which may be away.
type thinOrigin struct {
	// link is held for a part of a piece at a time.
	link sync.Mutex

	mu   sync.Mutex
	away bool
	// begun are the versions of the pieces in the order in which their draws began.
	begun []uint64
}

const (
	linkPart  = 4 * time.Millisecond
	linkParts = 5
)

func (o *thinOrigin) piece(version uint64, piece int) []byte {
	return []byte(fmt.Sprintf("piece %d of version %d", piece, version))
}

func (o *thinOrigin) Manifest(_ context.Context, _ string, named catalog.NamedVersion) (Manifest, error) {
	manifest := Manifest{Model: named.Model, Version: named.Version}
	for piece := range thinPieces {
		sum := sha256.Sum256(o.piece(named.Version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (o *thinOrigin) Piece(_ context.Context, _ string, named catalog.NamedVersion, piece int) ([]byte, error) {
	o.mu.Lock()
	if o.away {
		o.mu.Unlock()
		return nil, errDown
	}
	o.begun = append(o.begun, named.Version)
	o.mu.Unlock()
	for range linkParts {
		o.link.Lock()
		time.Sleep(linkPart)
		o.link.Unlock()
	}
	return o.piece(named.Version, piece), nil
}

func (o *thinOrigin) set(away bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.away = away
}

// drawers are the entries that draw from the origin; no server holds the versions.
type drawers struct{ entries []relays.Entry }

func (drawers) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (drawers) Holders(catalog.NamedVersion) []relays.Holder { return nil }

func (d drawers) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	return d.entries, map[filbertlever.HostID]string{}
}

const (
	thinPieces = 120
	// thinMissing is how many pieces of the older version are missing, all of one drawer.
	thinMissing = 12
)

// No server answered for 0.9 s more than the origin's link bound them: when it came back,
// some pieces of a version were missing, 0.35 s of the link, and all of the next one. Its four
// drawers drew pieces of the newer one between two tries of the older one's, and those that
// had no more of the older one took most of the link; the eight took 1.3 s.
func TestTheOlderVersionGoesBeforeTheNewerAtAllDrawers(t *testing.T) {
	c := qt.New(t)
	origin := &thinOrigin{away: true}
	view := drawers{}
	for n := range 4 {
		view.entries = append(view.entries, relays.Entry{Host: filbertlever.HostID("e" + strconv.Itoa(n)), Site: "a"})
	}
	older, newer := catalog.NamedVersion{Model: "drafter", Version: 2}, catalog.NamedVersion{Model: "drafter", Version: 3}
	byHost := map[filbertlever.HostID]*Relay{}
	for _, entry := range view.entries {
		r := New(entry, view, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		byHost[entry.Host] = r
		for _, named := range []catalog.NamedVersion{older, newer} {
			_, err := r.Manifest(context.Background(), named, relays.RoleDrawer)
			c.Assert(err, qt.IsNil)
		}
		r.mu.Lock()
		r.version(older).asked, r.version(newer).asked = true, true
		r.mu.Unlock()
	}
	var group, olderDone sync.WaitGroup
	ask := func(named catalog.NamedVersion, piece int) {
		r := byHost[relays.Drawer(view.entries, "a", pieceKey(named, piece))]
		_, err := r.Piece(context.Background(), named, piece, relays.RoleDrawer)
		c.Check(err, qt.IsNil)
	}
	for piece := range thinPieces {
		group.Go(func() { ask(newer, piece) })
	}
	for piece, missing := 0, 0; missing < thinMissing; piece++ {
		if relays.Drawer(view.entries, "a", pieceKey(older, piece)) == "e0" {
			missing++
			olderDone.Go(func() { ask(older, piece) })
		}
	}
	time.Sleep(400 * time.Millisecond)
	origin.set(false)
	olderDone.Wait()
	origin.mu.Lock()
	before := len(origin.begun) - thinMissing
	origin.mu.Unlock()
	group.Wait()
	// Three others draw one at a time beside the two of the older one, 18 in all and those
	// under way; two at a time each would be 36.
	c.Check(before <= 27, qt.IsTrue, qt.Commentf("%d pieces of the newer version were begun before the older one was whole", before))
}

// The same at one drawer: whoever failed to draw a piece of the older version draws it as
// soon as the origin is back, however many wait for the newer one.
func TestATryOfTheOlderVersionKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	for round := range 3 {
		origin := &thinOrigin{away: true}
		r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		older, newer := catalog.NamedVersion{Model: "drafter", Version: 2}, catalog.NamedVersion{Model: "drafter", Version: 3}
		var group sync.WaitGroup
		for piece := range 8 {
			for _, named := range []catalog.NamedVersion{newer, older} {
				if named == older && piece >= originParallel+1 {
					continue
				}
				group.Go(func() {
					_, err := r.Piece(context.Background(), named, piece, relays.RoleDrawer)
					c.Check(err, qt.IsNil)
				})
			}
		}
		time.Sleep(time.Duration(350+30*round) * time.Millisecond)
		origin.set(false)
		group.Wait()
		c.Check(origin.begun[:originParallel], qt.DeepEquals, []uint64{2, 2}, qt.Commentf("%v", origin.begun))
	}
}
