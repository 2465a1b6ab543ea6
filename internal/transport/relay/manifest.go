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

// Manifest returns the manifest of a version. The parameter assumed is the role that
// the requester assumes this entry has.
func (r *Relay) Manifest(ctx context.Context, id catalog.ModelVersion, assumed relays.Role) (Manifest, error) {
	role := max(assumed, r.roleOf(id, -1))
	r.mu.Lock()
	v := r.ensureState(id)
	for _, cached := range v.manifests {
		if cached.completed() && cached.err == nil {
			r.mu.Unlock()
			return cached.value, nil
		}
	}
	f := v.manifests[role]
	if f == nil || f.failed() {
		f = &sharedFetch[Manifest]{done: make(chan struct{})}
		v.manifests[role] = f
		go r.runManifestFetch(id, role, f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

// runManifestFetch fetches a manifest, with retries.
func (r *Relay) runManifestFetch(id catalog.ModelVersion, role relays.Role, f *sharedFetch[Manifest]) {
	defer close(f.done)
	failed := failures{}
	startedAt := boottime.Now()
	for attempt := 0; shouldRetry(attempt, failed, startedAt); attempt++ {
		source, address, sourceRole := r.pickSource(id, -1, role, failed)
		fetch := &manifestFetch{relay: r, id: id, source: source, address: address, sourceRole: sourceRole, result: make(chan manifestResult, 1)}
		go fetch.run()
		f.value, f.err = fetch.wait()
		if f.err == nil {
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

// manifestFetch is one attempt to fetch a manifest from one source.
type manifestFetch struct {
	relay      *Relay
	id         catalog.ModelVersion
	source     string
	address    string
	sourceRole relays.Role
	result     chan manifestResult
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
	return fetchManifest(ctx, f.relay.client, f.address, f.id, f.sourceRole)
}

// wait returns the result of the fetch, or errTimeout. The timeout for another entry is
// short.
//
// After a power failure the entry that should have the manifest may not have restarted,
// and then its host does not even refuse a connection. The next source is asked.
func (f *manifestFetch) wait() (Manifest, error) {
	timeout := manifestTimeout
	if f.source == originName {
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
