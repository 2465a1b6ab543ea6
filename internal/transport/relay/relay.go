// Package relay fetches pieces of model weights for an entry, caches them, and
// serves them to the agents of its site and to other entries. A piece is verified
// before it is cached or served.
//
// One entry at the origin's site fetches a given piece from the origin: its origin
// fetcher. One entry of every site is the home of the piece and gets it from the
// origin fetcher. All other entries get it from the home in their own site.
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

// Origin fetches manifests and pieces from the origin of model weights.
type Origin interface {
	Manifest(ctx context.Context, address string, version catalog.ModelVersion) (Manifest, error)
	Piece(ctx context.Context, address string, version catalog.ModelVersion, piece int) ([]byte, error)
}

// View gives a relay the current state of the installation.
type View interface {
	// Origin returns the address and site of the origin, if known.
	Origin() (address, site string, ok bool)
	// Entries returns the entries that are alive, with the peer address of each.
	Entries() ([]relays.Entry, map[filbertlever.HostID]string)
	// Holders returns the hosts of this site whose backend servers hold a version.
	Holders(id catalog.ModelVersion) []relays.Holder
	// Pieces returns the number of pieces of each version of a model and their size in bytes, as
	// the desired state has them; 0 if unknown.
	Pieces(model string) (count, size int)
}

// Limits, timeouts and retry settings of a relay.
const (
	// maxVersions limits the number of versions in memory.
	maxVersions = 3
	// originConcurrency is how many pieces one entry fetches from the origin at
	// once. Two fill the origin's slow link even if only one entry still fetches.
	// Each additional one delays the first pieces, which all agents wait for, by the
	// transfer time of one piece (26 to 44 ms). The total stays far below the 48
	// connections that the origin accepts, because it still counts the connections
	// of entries that lost power for a while.
	originConcurrency = 2
	// maxFetchAttempts is the number of attempts before a fetch returns an error.
	// Each attempt excludes the entries that count as failed.
	maxFetchAttempts = 6
	retryBackoff     = 50 * time.Millisecond
	// maxRetryBackoff limits the backoff between attempts, so that the recovery of
	// the origin is noticed quickly. All servers may be waiting for it.
	maxRetryBackoff = 100 * time.Millisecond
	// peerTimeout limits a fetch from another entry that is alive. A piece may be
	// queued there behind all pieces of two versions. After a timeout another entry
	// is asked, and the origin sends an additional copy.
	peerTimeout = 12 * time.Second
	// livenessInterval is the interval between checks that the entry is still alive
	// during such a fetch.
	livenessInterval = 200 * time.Millisecond
	// agentTimeout limits a fetch by an agent. The agent then asks another entry,
	// which gets the piece from the same origin fetcher.
	agentTimeout = 3 * time.Second
	// maxUpstreamFailures is how often an entry may report that its own source
	// failed before another entry is asked. After that, the fault is more likely in
	// the entry itself.
	maxUpstreamFailures = 3
	// maxPieceBytes limits a piece whose size the manifest doesn't say, maxManifestBytes a
	// manifest and maxErrorBytes the text of an error.
	maxPieceBytes    = 16 << 20
	maxManifestBytes = 4 << 20
	maxErrorBytes    = 1 << 10
)

// Relay fetches, caches and serves pieces of weights for one entry.
type Relay struct {
	self    relays.Entry
	view    View
	origin  Origin
	client  *http.Client
	log     *zap.Logger
	metrics *metrics

	// originSlots limits the concurrent fetches from the origin. newerSlots limits
	// those of a version while an older version takes precedence. slotsMu guards both.
	slotsMu                 sync.Mutex
	originSlots, newerSlots *relays.PrioritySemaphore

	// holderLimit is a semaphore for concurrent piece fetches from holders.
	holderLimit chan struct{}

	mu       sync.Mutex
	versions []*versionState
	// prefetchRunning is true while runPrefetch runs.
	prefetchRunning bool
	// departures records when entries that may have fetched pieces from the origin
	// last disappeared.
	departures relays.DepartureTracker
	// peerCacheRetryAt is when the caches of other entries may be queried again.
	peerCacheRetryAt time.Duration
	// pieceTimes estimates the time per piece from the pieces that this entry received.
	pieceTimes switchover.PieceTimeEstimator
	// plans holds the versions that operators request, by model. revision counts the
	// changes to it.
	plans    map[string]Plan
	revision int
	// piecesByDigest holds the cached pieces. Versions share pieces with the same
	// digest.
	piecesByDigest map[string][]byte
}

// versionState is the state of one version of a model's weights.
type versionState struct {
	id catalog.ModelVersion
	// manifest is the copy of the manifest that is in use; nil if there is none. doubts are what
	// speaks against it, and recheck is the last fetch of another copy.
	manifest *Manifest
	doubts   relays.Doubts
	recheck  *sharedFetch[Manifest]
	// manifestFetches and pieces are the fetches that were started, by the role in which this
	// entry was asked.
	manifestFetches map[relays.Role]*sharedFetch[Manifest]
	pieces          map[pieceRequest]*sharedFetch[[]byte]
	// prefetching is true while this entry's own pieces are to be prefetched, until
	// prefetchDeadline. requested is true once a prefetch was requested.
	prefetching      bool
	requested        bool
	prefetchDeadline time.Duration
	// desiredAt is when this process was notified that operators request the version,
	// or 0 if it was not.
	desiredAt time.Duration
	// manifestRequested is true once a prefetch of the manifest was requested.
	manifestRequested bool
	// lastRequestedAt is when the version was last requested. abandonedAt is when its
	// prefetch was last abandoned as not worthwhile. Both are 0 if that never happened.
	lastRequestedAt, abandonedAt time.Duration
	// skipped is true while only a newer version is fetched because that one
	// suffices. The decision was made at skipDecidedAt.
	skipped       bool
	skipDecidedAt time.Duration
	// origin summarises the origin's responses for the version.
	origin originStatus
	// obsoleteAt is when only a newer version may answer requests, or 0 if unknown.
	obsoleteAt time.Duration
}

// pieceRequest is a piece and the role in which this entry was asked for it.
type pieceRequest struct {
	piece int
	role  relays.Role
}

// sharedFetch is a fetch whose result is shared by all callers that wait for it.
type sharedFetch[T any] struct {
	done  chan struct{}
	value T
	err   error
}

type metrics struct {
	bytes             *prometheus.CounterVec
	corrupt           prometheus.Counter
	replacedManifests prometheus.Counter
}

// New returns the Relay of the entry self.
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
		replacedManifests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "filbertlever_relay_replaced_manifests_total",
			Help: "Manifests that were replaced by another copy because pieces did not match them.",
		}),
	}
	registry.MustRegister(m.bytes, m.corrupt, m.replacedManifests)
	r := &Relay{self: self, view: view, origin: origin, client: client, log: log, metrics: m,
		originSlots: relays.NewPrioritySemaphore(originConcurrency), newerSlots: relays.NewPrioritySemaphore(newerConcurrency), holderLimit: make(chan struct{}, holderConcurrency), piecesByDigest: map[string][]byte{}, plans: map[string]Plan{}}
	r.originSlots.Deferred, r.newerSlots.Deferred = r.hasLowestPriority, r.hasLowestPriority
	return r
}

// Paths of the requests between entries and agents.
const (
	pathManifest = "/weights/manifest"
	// PathPiece is the path that serves a piece, at an entry and at an agent.
	PathPiece = "/weights/piece"
)

// Piece returns a verified piece of a version. The parameter assumed is the same as
// for Manifest.
func (r *Relay) Piece(ctx context.Context, id catalog.ModelVersion, piece int, assumed relays.Role) ([]byte, error) {
	manifest, err := r.Manifest(ctx, id, assumed)
	if err != nil {
		return nil, err
	}
	role := max(assumed, r.roleOf(id, piece))
	if piece < 0 || piece >= len(manifest.Digests) {
		return nil, fmt.Errorf("piece %d of %s, which has %d: %w", piece, id.Model, len(manifest.Digests), errNoPiece)
	}
	r.mu.Lock()
	if data, ok := r.piecesByDigest[manifest.Digests[piece]]; ok {
		r.mu.Unlock()
		return data, nil
	}
	v := r.ensureState(id)
	request := pieceRequest{piece: piece, role: role}
	f := v.pieces[request]
	if f == nil || f.failed() {
		f = &sharedFetch[[]byte]{done: make(chan struct{})}
		v.pieces[request] = f
		go r.runPieceFetch(id, &manifest, request, f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

// runPieceFetch fetches one piece, with retries.
//
// The origin or another entry may send a corrupt piece. Each piece is checked against
// the manifest before it is cached, and fetched again if its digest differs.
func (r *Relay) runPieceFetch(id catalog.ModelVersion, manifest *Manifest, request pieceRequest, f *sharedFetch[[]byte]) {
	defer close(f.done)
	piece := request.piece
	failed := failures{}
	startedAt := boottime.Now()
	slot := &originSlot{relay: r, id: id, startedAt: startedAt}
	defer slot.release()
	for attempt := 0; shouldRetry(attempt, failed, startedAt); attempt++ {
		var delay time.Duration
		manifest, delay = r.currentManifest(id, piece, manifest)
		if piece >= len(manifest.Digests) {
			f.err = fmt.Errorf("piece %d of %s version %d: %w", piece, id.Model, id.Version, errNoPiece)
			return
		}
		if data, ok := r.cachedPiece(manifest.Digests[piece]); ok {
			f.value, f.err = data, nil
			return
		}
		if request.role >= relays.RoleHome && attempt%holderRetryAttempts == 0 {
			if data, ok := r.fetchFromHolders(id, piece, manifest, slot); ok {
				r.storePiece(manifest.Digests[piece], data)
				f.value, f.err = data, nil
				return
			}
		}
		source, address, sourceRole := r.pickSource(id, piece, request.role, failed)
		if source == originName && attempt%holderRetryAttempts == 0 {
			if data, ok := r.fetchFromPeerCaches(id, piece, manifest, slot); ok {
				r.storePiece(manifest.Digests[piece], data)
				f.value, f.err = data, nil
				return
			}
		}
		if delay > 0 {
			slot.release()
			time.Sleep(delay)
		}
		data, err := r.fetchPieceFrom(id, manifest, piece, source, address, sourceRole, slot)
		if err == nil && !manifest.Verify(piece, data) {
			r.metrics.corrupt.Inc()
			slot.release()
			r.doubtManifest(id, manifest, piece, data, request.role)
			err = fmt.Errorf("piece %d of %s version %d from %s: digest differs", piece, id.Model, id.Version, source)
		}
		slot.attemptDone(err)
		if err == nil {
			r.metrics.bytes.WithLabelValues(sourceLabel(source)).Add(float64(len(data)))
			r.storePiece(manifest.Digests[piece], data)
			r.recordMatch(id, piece)
			f.value, f.err = data, nil
			return
		}
		f.err = err
		r.log.Warn("piece fetch failed", zap.String("Model", id.Model), zap.Uint64("Version", id.Version),
			zap.Int("Piece", piece), zap.String("Source", source), zap.Error(err))
		if errors.Is(err, ErrRemoved) || errors.Is(err, errSkipped) {
			return
		}
		failed.record(source, err)
		time.Sleep(min(retryBackoff<<attempt, maxRetryBackoff))
	}
}

// currentManifest returns the manifest in use, which may have replaced the one that a fetch used
// before, and how long to wait before the piece is fetched, because it did not match its digest the
// last time.
func (r *Relay) currentManifest(id catalog.ModelVersion, piece int, before *Manifest) (*Manifest, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.lookupState(id)
	if v == nil || v.manifest == nil {
		// The version was evicted meanwhile.
		return before, 0
	}
	return v.manifest, v.doubts.PieceDelay(piece, boottime.Now())
}

// recordMatch records that a piece matched its digest.
func (r *Relay) recordMatch(id catalog.ModelVersion, piece int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.lookupState(id); v != nil {
		v.doubts.RecordMatch(piece)
	}
}

// sourceLabel returns the metric label for the source of a piece.
// sourceLabel returns the metric label for the source of a piece.
func sourceLabel(source string) string {
	if source == originName {
		return originName
	}
	return "Entry"
}

// fetchPieceFrom fetches a piece from one source without verifying it.
func (r *Relay) fetchPieceFrom(id catalog.ModelVersion, manifest *Manifest, piece int, source, address string, sourceRole relays.Role, slot *originSlot) ([]byte, error) {
	if address == "" {
		return nil, fmt.Errorf("piece %d of %s: %w", piece, id.Model, errNoSource)
	}
	if source != originName {
		slot.release()
		ctx, cancel := r.contextWhileAlive(filbertlever.HostID(source))
		defer cancel()
		return fetchPiece(ctx, r.client, address, id, piece, sourceRole, manifest.PieceLimit())
	}
	return r.fetchOriginPiece(address, id, piece, slot)
}

// originName identifies the origin in logs and metrics.
const originName = "Origin"

// pickSource returns the source from which to fetch a piece, and the role in which to
// ask it. It excludes entries that failed.
//
// Only the origin fetcher of a piece connects to the origin. If every entry that fails
// to get a piece from another entry did so, all of them would connect to the origin
// after an outage, exceed its connection limit, and none would get a piece.
func (r *Relay) pickSource(id catalog.ModelVersion, piece int, role relays.Role, failed failures) (name, address string, sourceRole relays.Role) {
	originAddress, originSite, ok := r.view.Origin()
	entries, addresses := r.view.Entries()
	entries = slices.DeleteFunc(entries, func(e relays.Entry) bool { return e.Host != r.self.Host && failed[e.Host] >= maxUpstreamFailures })
	if host, sourceRole := relays.Source(r.self, entries, originSite, pieceKey(id, piece), role); host != "" {
		return string(host), addresses[host], sourceRole
	}
	if !ok {
		return originName, "", relays.RoleOriginFetcher
	}
	return originName, originAddress, relays.RoleOriginFetcher
}

// pieceKey returns the key that assigns a piece to entries by rendezvous hashing.
// pieceKey returns the key that assigns a piece to entries by rendezvous hashing.
func pieceKey(id catalog.ModelVersion, piece int) string {
	return fmt.Sprintf("%s/%d/%d", id.Model, id.Version, piece)
}

// roleOf returns the role that this entry has for a piece in its own view, so that
// it does not depend on the requester.
func (r *Relay) roleOf(id catalog.ModelVersion, piece int) relays.Role {
	_, originSite, _ := r.view.Origin()
	entries, _ := r.view.Entries()
	return relays.RoleOf(r.self, entries, originSite, pieceKey(id, piece))
}

// cachedPiece returns the cached piece with a digest.
// cachedPiece returns the cached piece with a digest.
func (r *Relay) cachedPiece(digest string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, ok := r.piecesByDigest[digest]
	return data, ok
}

// storePiece caches a verified piece.
// storePiece caches a verified piece.
func (r *Relay) storePiece(digest string, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.piecesByDigest[digest] = data
	r.pieceTimes.ObservePiece(boottime.Now())
}

// ensureState returns the state of a version and creates it if necessary. Beyond
// maxVersions it evicts the version that was added first. The caller must hold r.mu.
func (r *Relay) ensureState(id catalog.ModelVersion) *versionState {
	for _, v := range r.versions {
		if v.id == id {
			return v
		}
	}
	v := &versionState{id: id, manifestFetches: map[relays.Role]*sharedFetch[Manifest]{}, pieces: map[pieceRequest]*sharedFetch[[]byte]{}}
	r.versions = append(r.versions, v)
	if len(r.versions) > maxVersions {
		r.versions = r.versions[1:]
		r.evictPieces()
	}
	return v
}

// evictPieces removes the cached pieces that no remaining version lists. The caller
// must hold r.mu.
func (r *Relay) evictPieces() {
	listed := map[string]bool{}
	for _, v := range r.versions {
		if v.manifest == nil {
			continue
		}
		for _, digest := range v.manifest.Digests {
			listed[digest] = true
		}
	}
	for digest := range r.piecesByDigest {
		if !listed[digest] {
			delete(r.piecesByDigest, digest)
		}
	}
}

// completed reports whether the fetch has ended, with or without an error.
// completed reports whether the fetch has ended, with or without an error.
func (f *sharedFetch[T]) completed() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// failed reports whether the fetch has ended with an error.
// failed reports whether the fetch has ended with an error.
func (f *sharedFetch[T]) failed() bool { return f.completed() && f.err != nil }

// wait returns the result of the fetch, or the error of ctx if that ends first.
// wait returns the result of the fetch, or the error of ctx if that ends first.
func (f *sharedFetch[T]) wait(ctx context.Context) (T, error) {
	select {
	case <-f.done:
		return f.value, f.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
