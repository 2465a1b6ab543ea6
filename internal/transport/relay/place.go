package relay

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// drawPlace is one of the few places for draws from the origin, held by a piece between
// its tries. Nothing is held at first.
//
// Guard: when the origin came back, pieces of a newer version were drawn between two
// tries of the last pieces of an older one, and no server answered meanwhile: eight
// pieces took 1.3 s, 0.35 s of the origin's link. A try that failed keeps its place, and
// gives it up only to an older version.
type drawPlace struct {
	relay *Relay
	named catalog.NamedVersion
	// slots are those of which a place is held, in the order of taking.
	slots []*relays.Slots
}

// newerParallel is how many pieces of a version are drawn at once at one entry while an
// older one is not whole yet. Four entries draw, and four pieces keep the link full: more
// take it from those who still draw the older one.
const newerParallel = 1

// take waits until the piece may be drawn.
func (p *drawPlace) take(now time.Duration) {
	if len(p.slots) > 0 {
		return
	}
	if p.relay.behindOlder(p.named, now) {
		p.wait(p.relay.newer)
	}
	p.wait(p.relay.draws)
}

func (p *drawPlace) wait(slots *relays.Slots) {
	p.relay.drawing.Lock()
	waiter := slots.Take(p.named.Version)
	p.relay.drawing.Unlock()
	<-waiter.Granted
	p.slots = append(p.slots, slots)
}

// yield gives the place up if an older version waits for one.
func (p *drawPlace) yield() {
	p.relay.drawing.Lock()
	older := p.relay.draws.OlderWaits(p.named.Version)
	p.relay.drawing.Unlock()
	if older {
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
// to servers, none of which holds it, and is of use.
func (r *Relay) behindOlder(named catalog.NamedVersion, now time.Duration) bool {
	r.mu.Lock()
	var older []catalog.NamedVersion
	for _, v := range r.versions {
		if v.named.Model == named.Model && v.named.Version < named.Version && v.asked && (v.uselessAt == 0 || now < v.uselessAt) {
			older = append(older, v.named)
		}
	}
	r.mu.Unlock()
	for _, v := range older {
		if len(r.view.Holders(v)) == 0 {
			return true
		}
	}
	return false
}
