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

// manifestWait is how long a manifest is waited for at another entry.
const manifestWait = 150 * time.Millisecond

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

// Manifest returns the manifest of a version. Asked is what the one who asks
// takes this entry for.
func (r *Relay) Manifest(ctx context.Context, named catalog.NamedVersion, asked relays.Role) (Manifest, error) {
	role := max(asked, r.roleOf(named, -1))
	r.mu.Lock()
	v := r.version(named)
	for _, known := range v.manifests {
		if known.ended() && known.err == nil {
			r.mu.Unlock()
			return known.value, nil
		}
	}
	f := v.manifests[role]
	if f == nil || f.failed() {
		f = &flight[Manifest]{done: make(chan struct{})}
		v.manifests[role] = f
		go r.runManifest(named, role, f)
	}
	r.mu.Unlock()
	return f.wait(ctx)
}

func (r *Relay) runManifest(named catalog.NamedVersion, role relays.Role, f *flight[Manifest]) {
	defer close(f.done)
	failed := failures{}
	began := boottime.Now()
	for try := 0; again(try, failed, began); try++ {
		source, address, ask := r.source(named, -1, role, failed)
		draw := &manifestDraw{relay: r, named: named, source: source, address: address, ask: ask, drawn: make(chan manifestDrawn, 1)}
		go draw.run()
		f.value, f.err = draw.wait()
		if f.err == nil {
			return
		}
		r.log.Warn("manifest not drawn", zap.String("Model", named.Model), zap.Uint64("Version", named.Version),
			zap.String("Source", source), zap.Error(f.err))
		if errors.Is(f.err, ErrGone) {
			return
		}
		failed.note(source, f.err)
		if errors.Is(f.err, errSlow) {
			continue
		}
		time.Sleep(min(fetchPause<<try, fetchPauseMost))
	}
}

// manifestDraw draws a manifest from one source.
type manifestDraw struct {
	relay   *Relay
	named   catalog.NamedVersion
	source  string
	address string
	ask     relays.Role
	drawn   chan manifestDrawn
}

type manifestDrawn struct {
	manifest Manifest
	err      error
}

func (d *manifestDraw) run() {
	manifest, err := d.draw()
	d.drawn <- manifestDrawn{manifest: manifest, err: err}
}

func (d *manifestDraw) draw() (Manifest, error) {
	switch {
	case d.address == "":
		return Manifest{}, fmt.Errorf("manifest of %s version %d: %w", d.named.Model, d.named.Version, errNoSource)
	case d.source == originName:
		return d.relay.originManifest(d.address, d.named)
	}
	ctx, cancel := d.relay.whileLiving(filbertlever.HostID(d.source))
	defer cancel()
	return fetchManifest(ctx, d.relay.client, d.address, d.named, d.ask)
}

// wait waits for the manifest, from another entry only for a moment.
//
// Guard: after a loss of power the entry that should have it may not have started again, and does not
// even refuse a connection. The next source is asked.
func (d *manifestDraw) wait() (Manifest, error) {
	patience := manifestWait
	if d.source == originName {
		patience = peerTimeout
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case drawn := <-d.drawn:
		return drawn.manifest, drawn.err
	case <-timer.C:
		return Manifest{}, fmt.Errorf("manifest of %s version %d from %s: %w", d.named.Model, d.named.Version, d.source, errSlow)
	}
}
