// Package relay passes pieces of weights from the origin on to the agents of
// its site. A piece is verified before it is kept or passed on.
package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// Manifest lists the pieces of one version of a model's weights.
type Manifest struct {
	Model      string
	Version    uint64
	PieceBytes int
	// Digests are the SHA-256 of the pieces in order, in hex.
	Digests []string
}

// Verify reports whether data is the piece that the manifest lists.
func (m *Manifest) Verify(piece int, data []byte) bool {
	sum := sha256.Sum256(data)
	return piece >= 0 && piece < len(m.Digests) && hex.EncodeToString(sum[:]) == m.Digests[piece]
}

// Origin draws from the origin of weights.
type Origin interface {
	Manifest(ctx context.Context, address string, version catalog.NamedVersion) (Manifest, error)
	Piece(ctx context.Context, address string, version catalog.NamedVersion, piece int) ([]byte, error)
}

// View tells a relay what it needs to know of the installation.
type View interface {
	// Origin returns the address and site of the origin, if known.
	Origin() (address, site string, ok bool)
	// Relays returns the entries that are alive, with the peer address of each.
	Relays() ([]relays.Entry, map[filbertlever.HostID]string)
}

// Bounds of a relay.
const (
	// versionsKept bounds the versions in memory, 2 MB each on the users' sites.
	versionsKept = 3
	// originParallel is how many pieces one entry draws at once, and
	// originTogether how many all entries should: two keep the origin's thin link
	// full. Each more puts off the first pieces, which all agents wait for, by the
	// time of a piece, 26 to 44 ms.
	originParallel = 2
	originTogether = 6
	// fetchTries is how often a piece is tried before the caller is told, each
	// time without the entries that failed before.
	fetchTries = 4
	fetchPause = 50 * time.Millisecond
	// peerTimeout bounds a fetch from another entry, which may itself wait for
	// the origin.
	peerTimeout = 3 * time.Second
	pieceMost   = 64 << 20
)

// Relay is the relay of one entry.
type Relay struct {
	self    relays.Entry
	view    View
	origin  Origin
	client  *http.Client
	log     *zap.Logger
	metrics *metrics

	// draws are the slots of draws from the origin; drawing is held while some are
	// taken, so that two draws do not wait for each other's.
	draws   chan struct{}
	drawing sync.Mutex

	mu       sync.Mutex
	versions []*version
	// drawingAhead is true while pieces are drawn ahead.
	drawingAhead bool
	// byDigest finds pieces that versions share.
	byDigest map[string][]byte
}

// version is one version of a model's weights.
type version struct {
	named catalog.NamedVersion
	// manifests and pieces are by whether this entry was asked as their home.
	manifests map[bool]*flight[Manifest]
	pieces    map[wanted]*flight[[]byte]
	// ahead is true while this entry's own pieces are to be drawn ahead, which is
	// given up at aheadUntil; asked is true once that was wanted.
	ahead      bool
	asked      bool
	aheadUntil time.Duration
}

// wanted is a piece, and whether this entry was asked for it as its home.
type wanted struct {
	piece int
	home  bool
}

// flight is a value being fetched once for all who want it.
type flight[T any] struct {
	done  chan struct{}
	value T
	err   error
}

type metrics struct {
	bytes   *prometheus.CounterVec
	corrupt prometheus.Counter
}

// New returns the relay of an entry.
func New(self relays.Entry, view View, origin Origin, client *http.Client, log *zap.Logger, registry prometheus.Registerer) *Relay {
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "filbertlever_relay_bytes_total",
			Help: "Bytes of weights drawn by an entry, by source.",
		}, []string{"Source"}),
		corrupt: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_relay_corrupt_total",
			Help: "Pieces that did not match their digest.",
		}),
	}
	registry.MustRegister(m.bytes, m.corrupt)
	return &Relay{self: self, view: view, origin: origin, client: client, log: log, metrics: m,
		draws: make(chan struct{}, originParallel), byDigest: map[string][]byte{}}
}

// Paths of the calls between entries and agents.
const (
	pathManifest = "/weights/manifest"
	pathPiece    = "/weights/piece"
)

// Manifest returns the manifest of a version. Home says that another entry asks,
// which takes this one for its home.
//
// Guard: two entries whose views of the living ones differ may each take the
// other for a piece's home, and wait for each other; one that is asked as the
// home acts as the home.
func (r *Relay) Manifest(ctx context.Context, named catalog.NamedVersion, home bool) (Manifest, error) {
	home = home && !r.isHome(named, -1)
	r.mu.Lock()
	v := r.version(named)
	if known := v.manifests[!home]; known != nil && known.ended() && known.err == nil {
		r.mu.Unlock()
		return known.value, nil
	}
	f := v.manifests[home]
	if f == nil || f.failed() {
		f = &flight[Manifest]{done: make(chan struct{})}
		v.manifests[home] = f
		go r.runManifest(named, home, f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

func (r *Relay) runManifest(named catalog.NamedVersion, home bool, f *flight[Manifest]) {
	defer close(f.done)
	failed := map[filbertlever.HostID]bool{}
	for try := range fetchTries {
		source, address, origin := r.source(named, -1, home, failed)
		if address == "" {
			f.err = fmt.Errorf("manifest of %s version %d: no source is known", named.Model, named.Version)
		} else if origin {
			f.value, f.err = r.origin.Manifest(context.Background(), address, named)
		} else {
			f.value, f.err = fetchManifest(context.Background(), r.client, address, named, true)
		}
		if f.err == nil {
			return
		}
		r.log.Warn("manifest not drawn", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
			zap.String("Source", source), zap.Error(f.err))
		failed[filbertlever.HostID(source)] = true
		time.Sleep(fetchPause << try)
	}
}

// Piece returns a piece of a version, verified. Home is as in Manifest.
func (r *Relay) Piece(ctx context.Context, named catalog.NamedVersion, piece int, home bool) ([]byte, error) {
	manifest, err := r.Manifest(ctx, named, home)
	if err != nil {
		return nil, err
	}
	home = home && !r.isHome(named, piece)
	if piece < 0 || piece >= len(manifest.Digests) {
		return nil, fmt.Errorf("piece %d of %s: expected 0 to %d", piece, named.Model, len(manifest.Digests)-1)
	}
	r.mu.Lock()
	if data, ok := r.byDigest[manifest.Digests[piece]]; ok {
		r.mu.Unlock()
		return data, nil
	}
	v := r.version(named)
	w := wanted{piece: piece, home: home}
	f := v.pieces[w]
	if f == nil || f.failed() {
		f = &flight[[]byte]{done: make(chan struct{})}
		v.pieces[w] = f
		go r.runPiece(named, &manifest, w, f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

// runPiece draws one piece.
//
// Guard: a piece may come corrupted from the origin or another entry; it is
// checked against the manifest before it is kept, and drawn again if it fails.
func (r *Relay) runPiece(named catalog.NamedVersion, manifest *Manifest, w wanted, f *flight[[]byte]) {
	defer close(f.done)
	piece := w.piece
	failed := map[filbertlever.HostID]bool{}
	for try := range fetchTries {
		if data, ok := r.held(manifest.Digests[piece]); ok {
			f.value, f.err = data, nil
			return
		}
		source, address, origin := r.source(named, piece, w.home, failed)
		data, err := r.draw(named, piece, address, origin)
		if err == nil && !manifest.Verify(piece, data) {
			r.metrics.corrupt.Inc()
			err = fmt.Errorf("piece %d of %s version %d from %s: digest differs", piece, named.Model, named.Version, source)
		}
		if err == nil {
			r.metrics.bytes.WithLabelValues(kindOf(origin)).Add(float64(len(data)))
			r.keep(manifest.Digests[piece], data)
			f.value, f.err = data, nil
			return
		}
		f.err = err
		r.log.Warn("piece not drawn", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
			zap.Int("Piece", piece), zap.String("Source", source), zap.Error(err))
		failed[filbertlever.HostID(source)] = true
		time.Sleep(fetchPause << try)
	}
}

func kindOf(origin bool) string {
	if origin {
		return "Origin"
	}
	return "Entry"
}

func (r *Relay) draw(named catalog.NamedVersion, piece int, address string, origin bool) ([]byte, error) {
	if address == "" {
		return nil, fmt.Errorf("piece %d of %s: no source is known", piece, named.Model)
	}
	if !origin {
		return fetchPiece(context.Background(), r.client, address, named, piece, true)
	}
	defer r.takeDraws()()
	return r.origin.Piece(context.Background(), address, named, piece)
}

// takeDraws waits until this entry may draw one more piece from the origin, and
// returns what ends that.
func (r *Relay) takeDraws() func() {
	entries, _ := r.view.Relays()
	homes := 0
	for _, entry := range entries {
		if entry.Site == r.self.Site {
			homes++
		}
	}
	// One draw takes a share of the slots, all of them where only one is allowed.
	allowed := min(max(originTogether/max(homes, 1), 1), originParallel)
	slots := originParallel / allowed
	r.drawing.Lock()
	for range slots {
		r.draws <- struct{}{}
	}
	r.drawing.Unlock()
	return func() {
		for range slots {
			<-r.draws
		}
	}
}

// originName is how the origin is called in logs.
const originName = "Origin"

// source returns from where a piece is drawn, without the entries that failed.
//
// Guard: if every entry that fails to get a piece from another went to the
// origin, an outage would end with all of them there, over its bound of
// connections, and none would get a piece; only a piece's home goes there.
func (r *Relay) source(named catalog.NamedVersion, piece int, home bool, failed map[filbertlever.HostID]bool) (name, address string, origin bool) {
	originAddress, originSite, ok := r.view.Origin()
	entries, addresses := r.view.Relays()
	entries = slices.DeleteFunc(entries, func(e relays.Entry) bool {
		return e.Host != r.self.Host && (failed[e.Host] || home && e.Site == r.self.Site)
	})
	key := pieceKey(named, piece)
	if host := relays.Source(r.self, entries, originSite, key); host != "" {
		return string(host), addresses[host], false
	}
	if !ok {
		return originName, "", true
	}
	return originName, originAddress, true
}

func pieceKey(named catalog.NamedVersion, piece int) string {
	return fmt.Sprintf("%s/%d/%d", named.Model, named.Version, piece)
}

// isHome reports whether this entry takes itself for a piece's home, so that it
// makes no difference who asks.
func (r *Relay) isHome(named catalog.NamedVersion, piece int) bool {
	entries, _ := r.view.Relays()
	return relays.Home(entries, r.self.Site, pieceKey(named, piece)) == r.self.Host
}

func (r *Relay) held(digest string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, ok := r.byDigest[digest]
	return data, ok
}

func (r *Relay) keep(digest string, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byDigest[digest] = data
}

// version returns the record of a version; the caller holds the lock.
func (r *Relay) version(named catalog.NamedVersion) *version {
	for _, v := range r.versions {
		if v.named == named {
			return v
		}
	}
	v := &version{named: named, manifests: map[bool]*flight[Manifest]{}, pieces: map[wanted]*flight[[]byte]{}}
	r.versions = append(r.versions, v)
	if len(r.versions) > versionsKept {
		r.versions = r.versions[1:]
		r.forget()
	}
	return v
}

// forget drops the pieces that no kept version lists; the caller holds the lock.
func (r *Relay) forget() {
	listed := map[string]bool{}
	for _, v := range r.versions {
		for _, manifest := range v.manifests {
			if !manifest.ended() {
				continue
			}
			for _, digest := range manifest.value.Digests {
				listed[digest] = true
			}
		}
	}
	for digest := range r.byDigest {
		if !listed[digest] {
			delete(r.byDigest, digest)
		}
	}
}

func (f *flight[T]) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

func (f *flight[T]) failed() bool { return f.ended() && f.err != nil }

func (f *flight[T]) wait(ctx context.Context) (T, error) {
	select {
	case <-f.done:
		return f.value, f.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
