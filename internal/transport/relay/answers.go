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

// answers is what the origin answered for one version.
type answers struct {
	// gone is true if its last answer was that it has it no more, at goneAt.
	gone   bool
	goneAt time.Duration
	// failedAt is when the first try failed since one succeeded, 0 if none did, and
	// passedAt when it answered for a newer version after that, 0 if it did not.
	failedAt, passedAt time.Duration
	// passed is true once tries failed for passedMost while it answered for a newer one.
	passed bool
}

const (
	// goneKept is for how long a version that is gone is not asked for again, however often agents
	// ask for it: each call is paid for.
	goneKept = time.Second
	// passedMost is how long tries may fail while the origin answers for a newer version
	// before that one goes first. An origin that comes back may answer for one some
	// hundred milliseconds before the other.
	passedMost = time.Second
	// askedKept is how long a version that was given up counts as wanted after it was asked
	// for again: an agent that fetches asks several times a second.
	askedKept = time.Second
)

// wanted reports whether a version is to be brought to servers: it was asked for, and if
// it was given up, once more since.
func (v *version) wanted(now time.Duration) bool {
	if v.givenUpAt != 0 && (v.askedAt <= v.givenUpAt || now-v.askedAt > askedKept) {
		return false
	}
	return v.asked
}

// last reports whether a version goes after all others: it is of no use, or the origin
// does not give it out.
//
// Guard: the origin failed for a version that agents asked for, or had dropped it. Each
// try kept its place for three seconds, whoever waited for that version next went before
// the newer one, which the origin gave out, and no server got that.
func (v *version) last(now time.Duration) bool {
	return v.skipped || v.origin.gone || v.origin.passed || v.uselessAt != 0 && now >= v.uselessAt
}

// goesLast reports whether one who waits for a place goes after all others.
func (r *Relay) goesLast(w relays.Waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known(catalog.NamedVersion{Model: w.Model, Version: w.Version})
	return v != nil && v.last(boottime.Now())
}

// goneSince reports whether the origin said that a version is gone, later than goneKept
// before a time.
//
// Guard: a fetch of such a version ends at its first piece, and agents begin it anew; the
// origin was asked a hundred times a second, and each call is paid for. Who began before
// it was said, or soon after, is told without a call.
func (r *Relay) goneSince(named catalog.NamedVersion, at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known(named)
	return v != nil && v.origin.gone && v.origin.goneAt > at-goneKept
}

// known returns the record of a version, nil if there is none; the caller holds the lock.
func (r *Relay) known(named catalog.NamedVersion) *version {
	i := slices.IndexFunc(r.versions, func(v *version) bool { return v.named == named })
	if i < 0 {
		return nil
	}
	return r.versions[i]
}

// noteOrigin notes what the origin answered for a version to a call for a piece begun
// then; one that does not match its digest is a failure.
func (r *Relay) noteOrigin(named catalog.NamedVersion, began time.Duration, err error) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.known(named)
	if v == nil {
		return
	}
	switch o := &v.origin; {
	case err == nil:
		*o = answers{}
		r.notePassed(named, now)
	case errors.Is(err, ErrGone):
		o.gone, o.goneAt = true, now
	case o.failedAt == 0:
		o.failedAt = began
	case o.passedAt != 0 && began-o.passedAt >= passedMost:
		o.passed = true
	}
}

// notePassed notes for older versions whose tries fail that the origin answered for one;
// the caller holds the lock.
func (r *Relay) notePassed(named catalog.NamedVersion, now time.Duration) {
	for _, v := range r.versions {
		if v.named.Model == named.Model && v.named.Version < named.Version && v.origin.failedAt != 0 && v.origin.passedAt == 0 {
			v.origin.passedAt = now
		}
	}
}

// noteManifest notes what the origin answered to a call for a version's manifest. One
// that it gives out does not tell that it gives out the pieces.
func (r *Relay) noteManifest(named catalog.NamedVersion, err error) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch v := r.known(named); {
	case v == nil:
	case err == nil:
		v.origin.gone = false
		r.notePassed(named, now)
	case errors.Is(err, ErrGone):
		v.origin.gone, v.origin.goneAt = true, now
	}
}

// originManifest draws a manifest from the origin.
func (r *Relay) originManifest(address string, named catalog.NamedVersion) (Manifest, error) {
	if r.goneSince(named, boottime.Now()) {
		return Manifest{}, fmt.Errorf("manifest of %s version %d: %w", named.Model, named.Version, ErrGone)
	}
	manifest, err := r.origin.Manifest(context.Background(), address, named)
	r.noteManifest(named, err)
	return manifest, err
}

// originPiece draws a piece from the origin, once it has a place.
func (r *Relay) originPiece(address string, named catalog.NamedVersion, piece int, place *drawPlace) ([]byte, error) {
	gone := fmt.Errorf("piece %d of %s version %d: %w", piece, named.Model, named.Version, ErrGone)
	if r.goneSince(named, place.began) {
		return nil, gone
	}
	place.take()
	if r.goneSince(named, place.began) {
		// It was said to another one meanwhile.
		return nil, gone
	}
	if r.isSkipped(named) {
		return nil, fmt.Errorf("piece %d of %s version %d: %w", piece, named.Model, named.Version, errSkipped)
	}
	place.triedAt = boottime.Now()
	return r.origin.Piece(context.Background(), address, named, piece)
}
