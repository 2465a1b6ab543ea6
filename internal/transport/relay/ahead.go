package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of drawing ahead.
const (
	// aheadPause is the pause after a round in which the origin failed.
	aheadPause = 100 * time.Millisecond
	// aheadMost is how long drawing ahead goes on: longer than outages of the
	// origin that were met, 6 s, by ten times.
	aheadMost = time.Minute
)

// Prefetch draws the pieces whose home is this entry, so that they are there
// when agents ask; a second call does nothing. It returns at once.
//
// It is called for a version when it is named and when the first of its pieces is
// asked for, not for its manifest: after a loss of power most servers still have
// their pieces staged, and no piece has to move.
//
// Drawing only what is asked for leaves the origin's link half idle: 41 added
// servers had their weights after 5.2 s, where the link allows 2.8 s.
func (r *Relay) Prefetch(named catalog.NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.version(named)
	if v.asked {
		return
	}
	v.asked, v.ahead, v.aheadUntil = true, true, boottime.Now()+aheadMost
	if !r.drawingAhead {
		r.drawingAhead = true
		go r.runAhead()
	}
}

// runAhead draws ahead until nothing is left to draw.
//
// Guard: while the origin was away a second version was named. When it came back
// both shared its thin link, and the older one, of which an eighth was missing,
// took 4.4 s more, in which no server could answer; the oldest is finished first.
// Nor is it given up while the origin is away: what only agents ask for comes one
// piece at a time.
func (r *Relay) runAhead() {
	for {
		versions := r.wantedAhead()
		if len(versions) == 0 {
			return
		}
		failed := false
		for _, named := range versions {
			if r.drawAhead(named) {
				r.endAhead(named)
				r.log.Info("weights prefetched", zap.String("Model", named.Model), zap.Uint64("Version", named.Version))
			} else {
				failed = true
			}
		}
		if failed {
			time.Sleep(aheadPause)
		}
	}
}

// wantedAhead returns the versions to draw ahead, the oldest first. If there are
// none, drawing ahead ends.
func (r *Relay) wantedAhead() []catalog.NamedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wanted []catalog.NamedVersion
	now := boottime.Now()
	for _, v := range r.versions {
		if v.ahead && now >= v.aheadUntil {
			v.ahead, v.asked = false, false
			r.log.Warn("weights not prefetched in time", zap.String("Model", v.named.Model), zap.Uint64("Version", v.named.Version))
		}
		if v.ahead {
			wanted = append(wanted, v.named)
		}
	}
	r.drawingAhead = len(wanted) > 0
	return wanted
}

func (r *Relay) endAhead(named catalog.NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version(named).ahead = false
}

// drawAhead draws the pieces whose home is this entry, and reports whether all
// are here. It ends at the first that cannot be had.
func (r *Relay) drawAhead(named catalog.NamedVersion) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*peerTimeout)
	defer cancel()
	// A failure was logged where it arose.
	manifest, err := r.Manifest(ctx, named, false)
	if err != nil {
		return false
	}
	entries, _ := r.view.Relays()
	var group sync.WaitGroup
	lanes := make(chan struct{}, originParallel)
	for piece := range manifest.Digests {
		if relays.Home(entries, r.self.Site, pieceKey(named, piece)) != r.self.Host {
			continue
		}
		lanes <- struct{}{}
		if ctx.Err() != nil {
			<-lanes
			break
		}
		group.Go(func() {
			defer func() { <-lanes }()
			if _, err := r.Piece(ctx, named, piece, false); err != nil {
				cancel()
			}
		})
	}
	group.Wait()
	return ctx.Err() == nil
}
