// Package relay passes pieces of weights from the origin on to the agents of
// its site. A piece is verified before it is kept or passed on.
package relay

import (
	"context"
	"errors"
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
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

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
	// Holders returns the hosts of this site whose servers hold a version.
	Holders(named catalog.NamedVersion) []relays.Holder
}

// Bounds of a relay.
const (
	// versionsKept bounds the versions in memory.
	versionsKept = 3
	// originParallel is how many pieces one of the few drawers draws at once: two
	// keep the origin's thin link full also if only one is left. Each more puts off
	// the first pieces, which all agents wait for, by the time of a piece, 26 to 44
	// ms. All stay far below the 48 connections that the origin takes: those of
	// entries that lost power count on for a while.
	originParallel = 2
	// fetchTries is how often a piece is tried before the caller is told, each
	// time without the entries that failed before.
	fetchTries = 6
	fetchPause = 50 * time.Millisecond
	// fetchPauseMost bounds the pauses between tries, so that an origin that is
	// back is soon seen to be: all servers may wait for it.
	fetchPauseMost = 100 * time.Millisecond
	// peerTimeout bounds a fetch from another entry that lives, where a piece may wait
	// for its turn behind two sets: who gives up asks another one, and the origin sends
	// one more copy.
	peerTimeout = 12 * time.Second
	// livingEvery is how often it is looked whether that entry still lives.
	livingEvery = 200 * time.Millisecond
	// agentTimeout bounds a fetch by an agent, which then asks another entry, whose
	// way leads to the same one.
	agentTimeout = 3 * time.Second
	// behindMost is how often an entry may say that it could not have a piece before
	// another one is asked: the fault is then more likely its own.
	behindMost = 3
	pieceMost  = 64 << 20
)

// Relay is the relay of one entry.
type Relay struct {
	self    relays.Entry
	view    View
	origin  Origin
	client  *http.Client
	log     *zap.Logger
	metrics *metrics

	// draws has places for the draws from the origin that may be under way, and newer for
	// those of a version that come after an older one; drawing guards both.
	drawing      sync.Mutex
	draws, newer *relays.Slots

	// holding has room for the pieces that holders may be asked for at once.
	holding chan struct{}

	mu       sync.Mutex
	versions []*version
	// drawingAhead is true while pieces are drawn ahead.
	drawingAhead bool
	// turnover notes when entries that may have drawn pieces were lost.
	turnover relays.Turnover
	// keepersRestUntil is until when no entry is asked for what it may have.
	keepersRestUntil time.Duration
	// pace is what this entry's own pieces have taken.
	pace switchover.Pace
	// plans are what operators want of each model; revision counts their changes.
	plans    map[string]Plan
	revision int
	// byDigest finds pieces that versions share.
	byDigest map[string][]byte
}

// version is one version of a model's weights.
type version struct {
	named catalog.NamedVersion
	// manifests and pieces are by what this entry was asked as.
	manifests map[relays.Role]*flight[Manifest]
	pieces    map[wanted]*flight[[]byte]
	// ahead is true while this entry's own pieces are to be drawn ahead, which is
	// given up at aheadUntil; asked is true once that was wanted.
	ahead      bool
	asked      bool
	aheadUntil time.Duration
	// namedAt is when it was named, if this process heard of that; else 0.
	namedAt time.Duration
	// learnt is true once the manifest was wanted ahead.
	learnt bool
	// askedAt is when it was last asked for, and givenUpAt when it was last judged not
	// worth drawing, 0 if never.
	askedAt, givenUpAt time.Duration
	// skipped is true while a newer version that suffices is fetched instead, as decided at
	// decidedAt.
	skipped   bool
	decidedAt time.Duration
	// origin is what the origin answered for it.
	origin answers
	// uselessAt is when another version will be the only one to answer; 0 if none.
	uselessAt time.Duration
}

// wanted is a piece, and what this entry was asked for it as.
type wanted struct {
	piece int
	role  relays.Role
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
	r := &Relay{self: self, view: view, origin: origin, client: client, log: log, metrics: m,
		draws: relays.NewSlots(originParallel), newer: relays.NewSlots(newerParallel), holding: make(chan struct{}, holderLanes), byDigest: map[string][]byte{}, plans: map[string]Plan{}}
	r.draws.Last, r.newer.Last = r.goesLast, r.goesLast
	return r
}

// Paths of the calls between entries and agents.
const (
	pathManifest = "/weights/manifest"
	// PathPiece is where a piece is asked for, at an entry or at an agent.
	PathPiece = "/weights/piece"
)

// Piece returns a piece of a version, verified. Asked is as in Manifest.
func (r *Relay) Piece(ctx context.Context, named catalog.NamedVersion, piece int, asked relays.Role) ([]byte, error) {
	manifest, err := r.Manifest(ctx, named, asked)
	if err != nil {
		return nil, err
	}
	role := max(asked, r.roleOf(named, piece))
	if piece < 0 || piece >= len(manifest.Digests) {
		return nil, fmt.Errorf("piece %d of %s, which has %d: %w", piece, named.Model, len(manifest.Digests), errNoPiece)
	}
	r.mu.Lock()
	if data, ok := r.byDigest[manifest.Digests[piece]]; ok {
		r.mu.Unlock()
		return data, nil
	}
	v := r.version(named)
	w := wanted{piece: piece, role: role}
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
	failed := failures{}
	began := boottime.Now()
	place := &drawPlace{relay: r, named: named, began: began}
	defer place.leave()
	for try := 0; again(try, failed, began); try++ {
		if data, ok := r.held(manifest.Digests[piece]); ok {
			f.value, f.err = data, nil
			return
		}
		if w.role >= relays.RoleHome && try%holderTurn == 0 {
			if data, ok := r.fromHolders(named, piece, manifest, place); ok {
				r.keep(manifest.Digests[piece], data)
				f.value, f.err = data, nil
				return
			}
		}
		source, address, ask := r.source(named, piece, w.role, failed)
		if source == originName && try%holderTurn == 0 {
			if data, ok := r.fromKeepers(named, piece, manifest, place); ok {
				r.keep(manifest.Digests[piece], data)
				f.value, f.err = data, nil
				return
			}
		}
		data, err := r.draw(named, piece, source, address, ask, place)
		if err == nil && !manifest.Verify(piece, data) {
			r.metrics.corrupt.Inc()
			err = fmt.Errorf("piece %d of %s version %d from %s: digest differs", piece, named.Model, named.Version, source)
		}
		place.tried(err)
		if err == nil {
			r.metrics.bytes.WithLabelValues(kindOf(source)).Add(float64(len(data)))
			r.keep(manifest.Digests[piece], data)
			f.value, f.err = data, nil
			return
		}
		f.err = err
		r.log.Warn("piece not drawn", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
			zap.Int("Piece", piece), zap.String("Source", source), zap.Error(err))
		if errors.Is(err, ErrGone) || errors.Is(err, errSkipped) {
			return
		}
		failed.note(source, err)
		time.Sleep(min(fetchPause<<try, fetchPauseMost))
	}
}

func kindOf(source string) string {
	if source == originName {
		return originName
	}
	return "Entry"
}

func (r *Relay) draw(named catalog.NamedVersion, piece int, source, address string, ask relays.Role, place *drawPlace) ([]byte, error) {
	if address == "" {
		return nil, fmt.Errorf("piece %d of %s: %w", piece, named.Model, errNoSource)
	}
	if source != originName {
		place.leave()
		ctx, cancel := r.whileLiving(filbertlever.HostID(source))
		defer cancel()
		return fetchPiece(ctx, r.client, address, named, piece, ask)
	}
	return r.originPiece(address, named, piece, place)
}

// originName is how the origin is called in logs.
const originName = "Origin"

// source returns from where a piece is drawn, without the entries that failed,
// and what that one is asked as.
//
// Guard: if every entry that fails to get a piece from another went to the
// origin, an outage would end with all of them there, over its bound of
// connections, and none would get a piece; only a piece's drawer goes there.
func (r *Relay) source(named catalog.NamedVersion, piece int, role relays.Role, failed failures) (name, address string, ask relays.Role) {
	originAddress, originSite, ok := r.view.Origin()
	entries, addresses := r.view.Relays()
	entries = slices.DeleteFunc(entries, func(e relays.Entry) bool { return e.Host != r.self.Host && failed[e.Host] >= behindMost })
	if host, ask := relays.Source(r.self, entries, originSite, pieceKey(named, piece), role); host != "" {
		return string(host), addresses[host], ask
	}
	if !ok {
		return originName, "", relays.RoleDrawer
	}
	return originName, originAddress, relays.RoleDrawer
}

func pieceKey(named catalog.NamedVersion, piece int) string {
	return fmt.Sprintf("%s/%d/%d", named.Model, named.Version, piece)
}

// roleOf returns the role that this entry has for a piece whoever asks, so that
// it makes no difference who does.
func (r *Relay) roleOf(named catalog.NamedVersion, piece int) relays.Role {
	_, originSite, _ := r.view.Origin()
	entries, _ := r.view.Relays()
	return relays.RoleOf(r.self, entries, originSite, pieceKey(named, piece))
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
	r.pace.Came(boottime.Now())
}

// version returns the record of a version; the caller holds the lock.
func (r *Relay) version(named catalog.NamedVersion) *version {
	for _, v := range r.versions {
		if v.named == named {
			return v
		}
	}
	v := &version{named: named, manifests: map[relays.Role]*flight[Manifest]{}, pieces: map[wanted]*flight[[]byte]{}}
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
