package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// manifestTimeout limits a manifest fetch from another entry.
const manifestTimeout = 150 * time.Millisecond

// recheckTimeout limits a fetch of another copy of a manifest, for which an entry may ask the origin.
const recheckTimeout = 2 * time.Second

// Manifest lists the pieces of one version of a model's weights.
type Manifest struct {
	Model      string
	Version    uint64
	PieceBytes int
	// Digests holds the hex-encoded SHA-256 digest of each piece, in order.
	Digests []string
}

// Verify reports whether the digest of data matches the one listed for the piece.
func (m *Manifest) Verify(piece int, data []byte) bool {
	sum := sha256.Sum256(data)
	return piece >= 0 && piece < len(m.Digests) && hex.EncodeToString(sum[:]) == m.Digests[piece]
}

// PieceLimit returns the highest number of bytes of a piece.
func (m *Manifest) PieceLimit() int64 {
	if m.PieceBytes <= 0 || m.PieceBytes > maxPieceBytes {
		return maxPieceBytes
	}
	return int64(m.PieceBytes)
}

// ID returns a digest of the manifest, by which copies are compared.
func (m *Manifest) ID() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%q %d %d %q", m.Model, m.Version, m.PieceBytes, m.Digests)
	return hex.EncodeToString(h.Sum(nil))
}

// Manifest returns the manifest of a version. The parameter assumed is the role that
// the requester assumes this entry has.
func (r *Relay) Manifest(ctx context.Context, id catalog.ModelVersion, assumed relays.Role) (Manifest, error) {
	role := max(assumed, r.roleOf(id, -1))
	r.mu.Lock()
	v := r.ensureState(id)
	if v.manifest != nil {
		defer r.mu.Unlock()
		return *v.manifest, nil
	}
	f := v.manifestFetches[role]
	if f == nil || f.completed() {
		f = &sharedFetch[Manifest]{done: make(chan struct{})}
		v.manifestFetches[role] = f
		go r.runManifestFetch(id, role, f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

// otherManifest returns the manifest of a version for a requester that doubts a copy of it. If this
// entry has the same copy, it fetches the manifest again. The result may still be the same copy.
func (r *Relay) otherManifest(ctx context.Context, id catalog.ModelVersion, assumed relays.Role, doubted string) (Manifest, error) {
	manifest, err := r.Manifest(ctx, id, assumed)
	if err != nil || manifest.ID() != doubted {
		return manifest, err
	}
	return r.recheckManifest(ctx, id, max(assumed, r.roleOf(id, -1)), doubted)
}

// recheckManifest fetches a manifest again, unless it was fetched again recently or the copy in use
// is not the doubted one any more, and returns the copy in use afterwards.
func (r *Relay) recheckManifest(ctx context.Context, id catalog.ModelVersion, role relays.Role, doubted string) (Manifest, error) {
	now := boottime.Now()
	r.mu.Lock()
	v := r.ensureState(id)
	f := v.recheck
	switch {
	case v.manifest == nil:
		r.mu.Unlock()
		return r.Manifest(ctx, id, role)
	case f != nil && !f.completed():
	case v.manifest.ID() != doubted || !v.doubts.MayRecheck(now):
		defer r.mu.Unlock()
		return *v.manifest, nil
	default:
		v.doubts.BeginRecheck(now)
		f = &sharedFetch[Manifest]{done: make(chan struct{})}
		v.recheck = f
		go r.runRecheck(id, role, doubted, v.doubts.ShouldAskOrigin(), f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

// runRecheck fetches a manifest again and uses the new copy if it differs from the doubted one.
//
// An origin sent a manifest with one wrong digit. It was kept for good, so that each right piece
// counted as corrupt and no server loaded the version.
func (r *Relay) runRecheck(id catalog.ModelVersion, role relays.Role, doubted string, askOrigin bool, f *sharedFetch[Manifest]) {
	defer close(f.done)
	source, address, sourceRole := r.pickSource(id, -1, role, failures{})
	if origin, _, ok := r.view.Origin(); ok && askOrigin {
		source, address, sourceRole = originName, origin, relays.RoleOriginFetcher
	}
	fetch := &manifestFetch{relay: r, id: id, source: source, address: address, sourceRole: sourceRole, doubted: doubted, result: make(chan manifestResult, 1)}
	go fetch.run()
	manifest, err := fetch.wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.ensureState(id)
	fields := []zap.Field{zap.String("Model", id.Model), zap.Uint64("Version", id.Version), zap.String("Source", source)}
	switch {
	case err != nil:
		r.log.Warn("manifest could not be fetched again", append(fields, zap.Error(err))...)
	case manifest.ID() == doubted:
		r.log.Info("manifest is the same again", fields...)
	case v.manifest == nil || v.manifest.ID() == doubted:
		r.metrics.replacedManifests.Inc()
		r.log.Warn("manifest replaced", append(fields, zap.Ints("Pieces", differingPieces(v.manifest, &manifest)))...)
		v.manifest = &manifest
		v.doubts.ReplaceManifest()
		r.evictPieces()
	}
	if v.manifest != nil {
		f.value = *v.manifest
	} else {
		f.err = err
	}
}

// maxLoggedPieces limits the numbers of pieces in one line of the log.
const maxLoggedPieces = 8

// differingPieces returns the first pieces whose digests differ between two copies of a manifest.
func differingPieces(a, b *Manifest) []int {
	var pieces []int
	for i := range b.Digests {
		if len(pieces) < maxLoggedPieces && (a == nil || i >= len(a.Digests) || a.Digests[i] != b.Digests[i]) {
			pieces = append(pieces, i)
		}
	}
	return pieces
}

// doubtManifest records that the bytes of a piece do not match the manifest. It fetches the
// manifest again if that is more likely to be wrong than the piece.
func (r *Relay) doubtManifest(id catalog.ModelVersion, manifest *Manifest, piece int, data []byte, role relays.Role) {
	sum := sha256.Sum256(data)
	r.mu.Lock()
	v := r.ensureState(id)
	// A fetch may still use a copy that has been replaced.
	current := v.manifest != nil && v.manifest.ID() == manifest.ID()
	recheck := current && v.doubts.RecordMismatch(piece, hex.EncodeToString(sum[:]), boottime.Now())
	r.mu.Unlock()
	if recheck {
		// runRecheck logs a failure.
		_, _ = r.recheckManifest(context.Background(), id, max(role, r.roleOf(id, -1)), manifest.ID())
	}
}

// runManifestFetch fetches a manifest, with retries.
func (r *Relay) runManifestFetch(id catalog.ModelVersion, role relays.Role, f *sharedFetch[Manifest]) {
	defer close(f.done)
	failed := failures{}
	startedAt := boottime.Now()
	contradicting := ""
	for attempt := 0; shouldRetry(attempt, failed, startedAt); attempt++ {
		source, address, sourceRole := r.pickSource(id, -1, role, failed)
		fetch := &manifestFetch{relay: r, id: id, source: source, address: address, sourceRole: sourceRole, result: make(chan manifestResult, 1)}
		go fetch.run()
		f.value, f.err = fetch.wait()
		if f.err == nil {
			contradicting, f.err = r.checkPieces(&f.value, contradicting)
		}
		if f.err == nil {
			f.value = r.useManifest(id, f.value)
			return
		}
		r.log.Warn("manifest fetch failed", zap.String("Model", id.Model), zap.Uint64("Version", id.Version),
			zap.String("Source", source), zap.Error(f.err))
		if errors.Is(f.err, ErrRemoved) {
			return
		}
		failed.record(source, f.err)
		if errors.Is(f.err, errTimeout) {
			continue
		}
		time.Sleep(min(retryBackoff<<attempt, maxRetryBackoff))
	}
}

// useManifest makes a manifest the one in use, unless there is one already, and returns the one in
// use.
func (r *Relay) useManifest(id catalog.ModelVersion, manifest Manifest) Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.ensureState(id)
	if v.manifest == nil {
		v.manifest = &manifest
	}
	return *v.manifest
}

// errPieces means that a manifest lists other pieces than the desired state.
var errPieces = errors.New("the number or size of the pieces differs from the desired state")

// checkPieces returns errPieces and the manifest's ID if the manifest contradicts the desired state.
// It is accepted if the copy before was the same: the desired state may be the one that is wrong or
// outdated. Without the last pieces a server would load those of another version.
func (r *Relay) checkPieces(manifest *Manifest, contradicting string) (string, error) {
	count, size := r.view.Pieces(manifest.Model)
	matches := (count == 0 || len(manifest.Digests) == count) && (size == 0 || manifest.PieceBytes == size)
	if copyID := manifest.ID(); !matches && copyID != contradicting {
		return copyID, fmt.Errorf("%d pieces of %d bytes, expected %d of %d: %w", len(manifest.Digests), manifest.PieceBytes, count, size, errPieces)
	}
	return "", nil
}

// manifestFetch is one attempt to fetch a manifest from one source.
type manifestFetch struct {
	relay      *Relay
	id         catalog.ModelVersion
	source     string
	address    string
	sourceRole relays.Role
	// doubted is the ID of a copy that the source should not return without fetching it again; empty
	// if there is none.
	doubted string
	result  chan manifestResult
}

type manifestResult struct {
	manifest Manifest
	err      error
}

// run fetches the manifest and sends the result to wait.
func (f *manifestFetch) run() {
	manifest, err := f.fetch()
	f.result <- manifestResult{manifest: manifest, err: err}
}

// fetch fetches the manifest from the source.
func (f *manifestFetch) fetch() (Manifest, error) {
	switch {
	case f.address == "":
		return Manifest{}, fmt.Errorf("manifest of %s version %d: %w", f.id.Model, f.id.Version, errNoSource)
	case f.source == originName:
		return f.relay.fetchOriginManifest(f.address, f.id)
	}
	ctx, cancel := f.relay.contextWhileAlive(filbertlever.HostID(f.source))
	defer cancel()
	return fetchManifest(ctx, f.relay.client, f.address, f.id, f.sourceRole, f.doubted)
}

// wait returns the result of the fetch, or errTimeout. The timeout for another entry is
// short.
//
// After a power failure the entry that should have the manifest may not have restarted,
// and then its host does not even refuse a connection. The next source is asked.
func (f *manifestFetch) wait() (Manifest, error) {
	timeout := manifestTimeout
	switch {
	case f.doubted != "":
		timeout = recheckTimeout
	case f.source == originName:
		timeout = peerTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-f.result:
		return result.manifest, result.err
	case <-timer.C:
		return Manifest{}, fmt.Errorf("manifest of %s version %d from %s: %w", f.id.Model, f.id.Version, f.source, errTimeout)
	}
}
