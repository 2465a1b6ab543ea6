package relay

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// drawPlace is one of the few places for draws from the origin, held by a piece between
// its tries. Nothing is held at first.
//
// Guard: when the origin comes back, pieces of a newer version must not go between two tries of the
// last pieces of an older one, which all servers wait for. A try that failed keeps its place, and
// gives it up only to one that goes before it.
type drawPlace struct {
	relay *Relay
	named catalog.NamedVersion
	// began is when the piece was first wanted.
	began time.Duration
	// triedAt is when the origin was last asked for it; 0 once the answer was noted.
	triedAt time.Duration
	// slots are those of which a place is held, in the order of taking.
	slots []*relays.Slots
}

// newerParallel is how many pieces of a version are drawn at once at one entry while an
// older one is not whole yet. Four entries draw, and four pieces keep the link full: more
// take it from those who still draw the older one.
const newerParallel = 1

// newerLook is how often one who waits behind an older version looks whether it still
// has to.
const newerLook = 200 * time.Millisecond

// take waits until the piece may be drawn.
func (p *drawPlace) take() {
	if len(p.slots) > 0 {
		return
	}
	if p.relay.behindOlder(p.named, boottime.Now()) {
		p.waitBehind()
	}
	waiter := p.ask(p.relay.draws)
	<-waiter.Granted
	p.slots = append(p.slots, p.relay.draws)
}

func (p *drawPlace) ask(slots *relays.Slots) relays.Waiter {
	p.relay.drawing.Lock()
	defer p.relay.drawing.Unlock()
	return slots.Take(p.named.Model, p.named.Version)
}

// waitBehind waits for the place of a newer version, for as long as an older one goes
// before it.
//
// Guard: all pieces of a version may have been asked for while an older one went before
// it; they were drawn one at a time to the last after that was whole, or of no use.
func (p *drawPlace) waitBehind() {
	waiter := p.ask(p.relay.newer)
	ticker := time.NewTicker(newerLook)
	defer ticker.Stop()
	for {
		select {
		case <-waiter.Granted:
			p.slots = append(p.slots, p.relay.newer)
			return
		case <-ticker.C:
		}
		if !p.relay.behindOlder(p.named, boottime.Now()) && p.unask(waiter) {
			return
		}
	}
}

// unask ends the wait for the place of a newer version; false if it was granted.
func (p *drawPlace) unask(waiter relays.Waiter) bool {
	p.relay.drawing.Lock()
	defer p.relay.drawing.Unlock()
	return p.relay.newer.Leave(waiter)
}

// tried notes how a try at the origin ended, if there was one; after a failure the place
// is given up if one who goes before waits for one.
func (p *drawPlace) tried(err error) {
	if p.triedAt == 0 {
		return
	}
	p.relay.noteOrigin(p.named, p.triedAt, err)
	p.triedAt = 0
	if err == nil {
		return
	}
	p.relay.drawing.Lock()
	other := p.relay.draws.OtherFirst(p.named.Model, p.named.Version)
	p.relay.drawing.Unlock()
	if other {
		p.leave()
	}
}

// leave gives the place up.
func (p *drawPlace) leave() {
	p.relay.drawing.Lock()
	defer p.relay.drawing.Unlock()
	for _, slots := range p.slots {
		slots.Give()
	}
	p.slots = nil
}

// behindOlder reports whether an older version of the same model is still to be brought
// to servers and can be had, and none holds it or a newer one.
//
// Guard: servers had left a version, or judged it not worth fetching, and none would ever
// hold it; newer ones were drawn one piece at a time behind it, at half the rate of the
// origin's link. Only one that somebody still draws, for servers that lack it, goes before.
func (r *Relay) behindOlder(named catalog.NamedVersion, now time.Duration) bool {
	r.mu.Lock()
	newest := uint64(0)
	var known []catalog.NamedVersion
	for _, v := range r.versions {
		if v.named.Model != named.Model {
			continue
		}
		known = append(known, v.named)
		if v.named.Version < named.Version && v.wanted(now) && !v.last(now) {
			newest = max(newest, v.named.Version)
		}
	}
	r.mu.Unlock()
	if newest == 0 {
		return false
	}
	for _, v := range known {
		if v.Version >= newest && len(r.view.Holders(v)) > 0 {
			return false
		}
	}
	return true
}
