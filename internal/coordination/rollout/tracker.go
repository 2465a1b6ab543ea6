package rollout

import (
	"errors"
	"fmt"

	"github.com/filbertlever/filbertlever/internal/state"
)

// ErrFork means that two different heads have the same version. The platform's
// compare-and-swap rules this out, so the row was written by hand.
var ErrFork = errors.New("two heads with one version")

// Tracker keeps the latest accepted head that this process observed and the
// head whose bundle is active in this process. The version of neither ever
// decreases.
type Tracker struct {
	latest state.Head
	active state.Head
}

// Latest returns the latest accepted head that was observed.
func (t *Tracker) Latest() state.Head { return t.latest }

// Active returns the head whose bundle is active in this process.
func (t *Tracker) Active() state.Head { return t.active }

// Observe takes an accepted head from the platform or a peer and reports
// whether it is newer than the latest one.
//
// An older head may arrive late, from a stale peer or a slow read, and would
// make an earlier bundle active again. Versions only increase, so older heads
// are ignored.
func (t *Tracker) Observe(head state.Head) (newer bool, err error) {
	if head.Version < t.latest.Version || head.Version == 0 {
		return false, nil
	}
	if head.Version == t.latest.Version {
		if head.Digest != t.latest.Digest {
			return false, fmt.Errorf("version %d: digests %s and %s: %w", head.Version, t.latest.Digest, head.Digest, ErrFork)
		}
		return false, nil
	}
	t.latest = head
	return true, nil
}

// Activate makes head the active one once its bundle is fetched and verified. It
// reports whether the active head changed.
//
// Fetching a bundle takes time, and the fetch of an older head may end after that
// of a newer one. Therefore Activate accepts only a head that is newer than the
// active one, and no head that has not been observed as accepted.
func (t *Tracker) Activate(head state.Head) bool {
	if head.Version <= t.active.Version || head.Version > t.latest.Version {
		return false
	}
	if head.Version == t.latest.Version && head.Digest != t.latest.Digest {
		return false
	}
	t.active = head
	return true
}

// Pending returns the latest head and reports whether its bundle is not active yet.
func (t *Tracker) Pending() (state.Head, bool) {
	return t.latest, t.latest.Version > t.active.Version
}

// Ready reports whether the bundle of the latest head is active.
func (t *Tracker) Ready() bool {
	return t.active.Version > 0 && t.active.Version == t.latest.Version
}
