package relay

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of drawing ahead.
const (
	// aheadPause is the pause after a round in which the origin failed.
	aheadPause = 100 * time.Millisecond
	// aheadMost is how long fetching ahead goes on: much longer than outages of the
	// origin last.
	aheadMost = time.Minute
	// aheadBeside is how many pieces of a newer version are drawn while one of the
	// oldest cannot be had, before that is tried again.
	aheadBeside = originParallel
)

// ErrGone means that the origin no longer has a version.
var ErrGone = errors.New("the version is gone")

// Announce takes a version that was just named, and draws its pieces ahead.
// It returns at once and asks the view for nothing.
func (r *Relay) Announce(named catalog.NamedVersion) {
	r.mu.Lock()
	if v := r.version(named); v.namedAt == 0 {
		v.namedAt = boottime.Now()
	}
	r.mu.Unlock()
	r.Prefetch(named)
}

// Prefetch draws the pieces whose drawer, or home at another site, is this entry,
// so that they are there when agents ask; a second call does nothing. It returns at once.
//
// It is called for a version when it is named and when the first of its pieces is
// asked for, not for its manifest: after a loss of power most servers still have
// their pieces staged, and no piece has to move.
//
// Fetching only what is asked for leaves the origin's link half idle.
func (r *Relay) Prefetch(named catalog.NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.version(named)
	v.askedAt = boottime.Now()
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
// Guard: two versions that share the origin's thin link are both late; the oldest is finished first.
// Nor is it given up while the origin is away: what only agents ask for comes one piece at a time.
func (r *Relay) runAhead() {
	for {
		r.see()
		versions := r.wantedAhead()
		if len(versions) == 0 {
			return
		}
		for n, named := range versions {
			most := aheadBeside
			if n == 0 {
				most = math.MaxInt
			}
			err := r.drawAhead(named, most)
			if err == nil {
				// The oldest that is left comes first again.
				break
			}
			if errors.Is(err, ErrGone) {
				r.endAhead(named)
			}
			time.Sleep(aheadPause)
		}
	}
}

// wantedAhead returns the versions to draw ahead, the oldest first. If there are
// none, drawing ahead ends.
func (r *Relay) wantedAhead() []catalog.NamedVersion {
	now := boottime.Now()
	var wanted []catalog.NamedVersion
	for _, v := range r.versionsAhead(now) {
		if r.worth(&v, now) {
			wanted = append(wanted, v.named)
		} else {
			r.giveUpAhead(v.named, now)
			r.log.Info("weights not worth drawing", zap.String("Model", v.named.Model), zap.Uint64("Version", v.named.Version))
		}
	}
	if len(wanted) == 0 && r.restAhead() {
		return r.wantedAhead()
	}
	return wanted
}

// restAhead ends drawing ahead unless a version was named meanwhile; it reports
// whether one was.
func (r *Relay) restAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drawingAhead = slices.ContainsFunc(r.versions, func(v *version) bool { return v.ahead })
	return r.drawingAhead
}

// versionsAhead returns copies of the versions that are drawn ahead.
func (r *Relay) versionsAhead(now time.Duration) []version {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ahead []version
	for _, v := range r.versions {
		if v.ahead && now >= v.aheadUntil {
			v.ahead, v.asked = false, false
			r.log.Warn("weights not prefetched in time", zap.String("Model", v.named.Model), zap.Uint64("Version", v.named.Version))
		}
		if v.ahead {
			ahead = append(ahead, version{named: v.named, uselessAt: v.uselessAt})
		}
	}
	return ahead
}

// Supersede says when a version, and each before it, will no longer answer, since
// another one will be the only one to.
func (r *Relay) Supersede(named catalog.NamedVersion, uselessAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version(named).uselessAt = uselessAt
	for _, v := range r.versions {
		if v.named.Model == named.Model && v.named.Version < named.Version && (v.uselessAt == 0 || v.uselessAt > uselessAt) {
			v.uselessAt = uselessAt
		}
	}
}

// worth reports whether a version is wanted beside newer ones, and can still serve for longer than
// fetching what is missing takes.
func (r *Relay) worth(v *version, now time.Duration) bool {
	if v.uselessAt == 0 {
		return true
	}
	if r.decideSkip(v.named, now) {
		return false
	}
	left, each := 0, time.Duration(0)
	if manifest, ok := r.knownManifest(v.named); ok {
		left, each, _ = r.progress(v.named, &manifest)
	}
	return switchover.Worth(left, each, now, v.uselessAt)
}

func (r *Relay) giveUpAhead(named catalog.NamedVersion, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.version(named)
	v.ahead, v.givenUpAt = false, now
}

func (r *Relay) endAhead(named catalog.NamedVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version(named).ahead = false
}

// drawAhead draws up to most of this entry's pieces that are not here, and ends
// drawing ahead once all are. It ends at the first that cannot be had, and when the plan changes.
func (r *Relay) drawAhead(named catalog.NamedVersion, most int) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	// A failure was logged where it arose.
	manifest, err := r.Manifest(ctx, named, relays.RoleAny)
	if err != nil {
		return err
	}
	revision := r.planRevision()
	pieces := r.piecesAhead(named, &manifest)
	var group sync.WaitGroup
	lanes := make(chan struct{}, originParallel)
	for _, piece := range pieces[:min(most, len(pieces))] {
		lanes <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		if r.planRevision() != revision {
			<-lanes
			break
		}
		group.Go(func() {
			defer func() { <-lanes }()
			if _, err := r.Piece(ctx, named, piece, relays.RoleAny); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if len(pieces) <= most && r.planRevision() == revision {
		r.endAhead(named)
		r.log.Info("weights prefetched", zap.String("Model", named.Model), zap.Uint64("Version", named.Version))
	}
	return nil
}

// piecesAhead returns the pieces of this entry that are not here.
func (r *Relay) piecesAhead(named catalog.NamedVersion, manifest *Manifest) []int {
	var missing []int
	for _, piece := range r.ownPieces(named, manifest) {
		if _, ok := r.held(manifest.Digests[piece]); !ok {
			missing = append(missing, piece)
		}
	}
	return missing
}

// ownPieces returns the pieces that this entry draws ahead.
func (r *Relay) ownPieces(named catalog.NamedVersion, manifest *Manifest) []int {
	_, originSite, _ := r.view.Origin()
	least := relays.RoleHome
	if r.self.Site == originSite {
		// Homes here have the pieces from the drawers as fast as they are asked for.
		least = relays.RoleDrawer
	}
	var pieces []int
	for piece := range manifest.Digests {
		if r.roleOf(named, piece) >= least {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}
