package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// errUpstream means that an entry failed to get a piece from its own source.
var errUpstream = errors.New("its own source failed")

// errTimeout means that a source did not respond within its timeout.
var errTimeout = errors.New("no answer in time")

// errTooLarge means that a response exceeds its limit.
var errTooLarge = errors.New("the response exceeds its limit")

// errNoSource means that an entry knows no source for a piece.
var errNoSource = errors.New("no source is known")

// errSkipped means that a version is skipped and a newer one is fetched instead.
var errSkipped = errors.New("a newer version is fetched instead")

// errNoPiece means that the manifest of a version has no piece with this number.
var errNoPiece = errors.New("there is no such piece")

// failures counts the failed attempts per entry during one fetch.
//
// An entry that responds but failed to get the piece from its own source is asked again.
// During an origin outage every entry that was asked failed, and the next one was asked
// in its place. When the origin recovered, all entries fetched from it at once, and each
// piece crossed its slow link several times.
type failures map[filbertlever.HostID]int

// record counts a failed attempt. Any error but errUpstream excludes the entry at once.
func (f failures) record(source string, err error) {
	if errors.Is(err, errUpstream) {
		f[filbertlever.HostID(source)]++
		return
	}
	f[filbertlever.HostID(source)] = maxUpstreamFailures
}

// shouldRetry reports whether a fetch makes another attempt.
//
// An entry that fetches from the origin retries for originRetryWindow, while others wait
// for it. If it returned an error early in an outage, they would ask another entry, which
// would then fetch the same pieces when the origin recovers.
func shouldRetry(attempt int, failed failures, startedAt time.Duration) bool {
	if failed[originName] > 0 {
		return boottime.Now()-startedAt < originRetryWindow
	}
	return attempt < maxFetchAttempts
}

// originRetryWindow is how long an entry retries a fetch from the origin before it
// reports the failure to those who wait. They ask another entry after three such
// failures (maxUpstreamFailures).
const originRetryWindow = 3 * time.Second

// errEntryDied means that the entry asked for a piece died during the fetch.
var errEntryDied = errors.New("the entry no longer lives")

// contextWhileAlive returns a context that is cancelled when an entry is no longer
// alive.
//
// The connections of a host that hangs stay open. Without the cancellation, a fetch from
// it would wait for the same timeout as a fetch from a busy entry.
func (r *Relay) contextWhileAlive(host filbertlever.HostID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	go r.watchLiveness(ctx, host, cancel)
	return ctx, func() { cancel(nil) }
}

// watchLiveness cancels ctx when the entry is no longer alive. It returns when ctx ends.
func (r *Relay) watchLiveness(ctx context.Context, host filbertlever.HostID, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		entries, _ := r.view.Entries()
		if !slices.ContainsFunc(entries, func(e relays.Entry) bool { return e.Host == host }) {
			cancel(errEntryDied)
			return
		}
	}
}
