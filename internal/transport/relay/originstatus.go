package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// originStatus summarises the origin's responses for one version.
type originStatus struct {
	// removed is true if the origin last responded that it no longer has the version.
	// removedAt is the time of that response.
	removed   bool
	removedAt time.Duration
	// failingSince is when the first failed attempt since the last success began, or 0
	// if none failed. newerServedAt is when the origin first served a newer version after
	// that, or 0 if it did not.
	failingSince, newerServedAt time.Duration
	// deferred is true once attempts failed for deferAfter while the origin served a
	// newer version.
	deferred bool
}

const (
	// removedTTL is how long a version that the origin no longer has is not requested from
	// it again, however often agents request it. Each request to the origin costs money.
	removedTTL = time.Second
	// deferAfter is how long attempts may fail while the origin serves a newer version,
	// before the newer one takes precedence. A recovering origin may serve one version
	// some hundred milliseconds before the other.
	deferAfter = time.Second
	// requestTTL is how long an abandoned version counts as wanted after it was requested
	// again. An agent that fetches a version sends several requests per second.
	requestTTL = time.Second
)

// isWanted reports whether servers need a version. That is so if its prefetch was
// requested and not abandoned, or if it was requested again since.
func (v *versionState) isWanted(now time.Duration) bool {
	if v.abandonedAt != 0 && (v.lastRequestedAt <= v.abandonedAt || now-v.lastRequestedAt > requestTTL) {
		return false
	}
	return v.requested
}

// hasLowestPriority reports whether a version yields to all others, because it is
// obsolete or the origin does not serve it.
//
// When the origin failed for a version that agents requested, or no longer had it, each
// fetch kept its origin slot for three seconds. The next fetch of that version then got the
// slot before those of a newer version that the origin did serve, and no server got the
// newer one.
func (v *versionState) hasLowestPriority(now time.Duration) bool {
	return v.skipped || v.origin.removed || v.origin.deferred || v.obsoleteAt != 0 && now >= v.obsoleteAt
}

// hasLowestPriority reports whether a waiter for an origin slot yields to all others.
func (r *Relay) hasLowestPriority(w relays.Waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.lookupState(catalog.ModelVersion{Model: w.Model, Version: w.Version})
	return v != nil && v.hasLowestPriority(boottime.Now())
}

// recentlyRemoved reports whether the origin responded that it no longer has a version, later
// than removedTTL before a time.
//
// Fetches that began before that response or soon after it end without a request to the
// origin. The fetch of a removed version fails at its first piece, and agents then restart
// it. The origin got a hundred such requests per second, and each one costs money.
func (r *Relay) recentlyRemoved(id catalog.ModelVersion, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.lookupState(id)
	return v != nil && v.origin.removed && v.origin.removedAt > at-removedTTL
}

// lookupState returns the state of a version, or nil if there is none. The caller must
// hold r.mu.
func (r *Relay) lookupState(id catalog.ModelVersion) *versionState {
	i := slices.IndexFunc(r.versions, func(v *versionState) bool { return v.id == id })
	if i < 0 {
		return nil
	}
	return r.versions[i]
}

// recordOriginResult records the result of a piece request to the origin. A piece that
// does not match its digest counts as a failure.
func (r *Relay) recordOriginResult(id catalog.ModelVersion, startedAt time.Duration, err error) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.lookupState(id)
	if v == nil {
		return
	}
	switch o := &v.origin; {
	case err == nil:
		*o = originStatus{}
		r.recordNewerServed(id, now)
	case errors.Is(err, ErrRemoved):
		o.removed, o.removedAt = true, now
	case o.failingSince == 0:
		o.failingSince = startedAt
	case o.newerServedAt != 0 && startedAt-o.newerServedAt >= deferAfter:
		o.deferred = true
	}
}

// recordNewerServed records for the older versions whose attempts fail that the origin
// served this one. The caller must hold r.mu.
func (r *Relay) recordNewerServed(id catalog.ModelVersion, now time.Duration) {
	for _, v := range r.versions {
		if v.id.Model == id.Model && v.id.Version < id.Version && v.origin.failingSince != 0 && v.origin.newerServedAt == 0 {
			v.origin.newerServedAt = now
		}
	}
}

// recordManifestResult records the result of a manifest request to the origin. A success
// does not clear the failures of piece requests, as the origin may still not serve the
// pieces.
func (r *Relay) recordManifestResult(id catalog.ModelVersion, err error) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch v := r.lookupState(id); {
	case v == nil:
	case err == nil:
		v.origin.removed = false
		r.recordNewerServed(id, now)
	case errors.Is(err, ErrRemoved):
		v.origin.removed, v.origin.removedAt = true, now
	}
}

func (r *Relay) fetchOriginManifest(address string, id catalog.ModelVersion) (Manifest, error) {
	if r.recentlyRemoved(id, boottime.Now()) {
		return Manifest{}, fmt.Errorf("manifest of %s version %d: %w", id.Model, id.Version, ErrRemoved)
	}
	manifest, err := r.origin.Manifest(context.Background(), address, id)
	r.recordManifestResult(id, err)
	return manifest, err
}

// fetchOriginPiece fetches a piece from the origin once it has acquired a slot.
func (r *Relay) fetchOriginPiece(address string, id catalog.ModelVersion, piece int, slot *originSlot) ([]byte, error) {
	err := fmt.Errorf("piece %d of %s version %d: %w", piece, id.Model, id.Version, ErrRemoved)
	if r.recentlyRemoved(id, slot.startedAt) {
		return nil, err
	}
	slot.acquire()
	if r.recentlyRemoved(id, slot.startedAt) {
		// Another fetch got this response while this one waited.
		return nil, err
	}
	if r.isSkipped(id) {
		return nil, fmt.Errorf("piece %d of %s version %d: %w", piece, id.Model, id.Version, errSkipped)
	}
	slot.attemptedAt = boottime.Now()
	return r.origin.Piece(context.Background(), address, id, piece)
}
