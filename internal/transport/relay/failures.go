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

// errBehind means that an entry could not have a piece from where it has it.
var errBehind = errors.New("its own source failed")

// errSlow means that a source did not answer in the time that it should take.
var errSlow = errors.New("no answer in time")

// errNoSource means that an entry does not know where to have a piece from.
var errNoSource = errors.New("no source is known")

// errSkipped means that a newer version is fetched instead.
var errSkipped = errors.New("a newer version is fetched instead")

// errNoPiece means that a version has no such piece.
var errNoPiece = errors.New("there is no such piece")

// failures counts what went wrong with each entry in one fetch.
//
// Guard: while the origin was away every entry that was asked failed, and the next
// one was asked in its place, until all drew from the origin at once when it came
// back, each piece several times over its thin link. One that answers, but could
// not have the piece itself, is asked again.
type failures map[filbertlever.HostID]int

func (f failures) note(source string, err error) {
	if errors.Is(err, errBehind) {
		f[filbertlever.HostID(source)]++
		return
	}
	f[filbertlever.HostID(source)] = behindMost
}

// again reports whether a fetch that began then is tried once more.
//
// Guard: if an entry that fetches from the origin gives up early in an outage, those who wait for it
// ask another one, which then fetches the same pieces as the origin comes back. It tries on while
// those who wait do.
func again(try int, failed failures, began time.Duration) bool {
	if failed[originName] > 0 {
		return boottime.Now()-began < originTried
	}
	return try < fetchTries
}

// originTried is how long an entry tries to fetch from the origin before it answers those who wait.
// They ask another one after three such answers.
const originTried = 3 * time.Second

var errDied = errors.New("the entry no longer lives")

// whileLiving returns a context that ends when an entry is no longer alive.
//
// Guard: a host that stands still keeps its connections open; without this, those
// who wait for a piece from it would wait as long as for one that is busy.
func (r *Relay) whileLiving(host filbertlever.HostID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	go r.runLiving(ctx, host, cancel)
	return ctx, func() { cancel(nil) }
}

func (r *Relay) runLiving(ctx context.Context, host filbertlever.HostID, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(livingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		entries, _ := r.view.Relays()
		if !slices.ContainsFunc(entries, func(e relays.Entry) bool { return e.Host == host }) {
			cancel(errDied)
			return
		}
	}
}
