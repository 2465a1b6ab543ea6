package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// roomEvery is how often those who wait are offered places.
const roomEvery = 20 * time.Millisecond

// room lets requests wait at this entry; the gateway's lock guards it.
type room struct {
	*admission.Room
	// offers has where those who wait hear of their place; one that is closed without
	// any says that the time is over.
	offers map[uint64]*offer
	// running is true while places are offered.
	running bool
}

// offer is one request that waits.
type offer struct {
	attempts *attempts
	placed   chan fleet.Placement
}

func newRoom() *room { return &room{Room: admission.NewRoom(), offers: map[uint64]*offer{}} }

// late reports whether the request can no longer be answered within its goal, as when
// its caller has come back.
func (a *attempts) late() bool {
	goal := a.route.Goal
	return goal > 0 && a.call.Bounded && a.route.Timeout-a.remaining() > goal
}

// mayWait reports whether a request that found this placement waits for a better one;
// the caller holds the lock.
func (a *attempts) mayWait(placement fleet.Placement, now time.Duration) bool {
	switch {
	case a.gateway.plain(a.service):
		return false
	case a.stream != nil:
		// Guard: servers that change their weights at the same time leave none for
		// moments, and each answer under way would be broken off for good.
		return !placement.Found
	case placement.Found:
		// Guard: where more is asked than servers can do, a late request that waits takes a place
		// from one that would be in time.
		return a.late() && a.gateway.recovers(a.service, now)
	}
	return placement.ReadyIn > 0 && placement.ReadyIn < admission.RoomWait
}

// recovers reports whether an outage of a service, or of this process, has just ended;
// the caller holds the lock.
func (g *Gateway) recovers(service string, now time.Duration) bool {
	outage, ok := g.outages[service]
	return now-g.started < admission.Recovery || ok && outage.Ended(now) < admission.Recovery
}

// wait lets the request wait for a place. It returns false if it found none in time.
func (a *attempts) wait() (fleet.Placement, bool) {
	g := a.gateway
	began := boottime.Now()
	o := &offer{attempts: a, placed: make(chan fleet.Placement, 1)}
	g.mu.Lock()
	id, ok := g.room.Enter(a.service, began+min(admission.RoomWait, a.remaining()/2))
	if !ok {
		g.mu.Unlock()
		return fleet.Placement{}, false
	}
	g.room.offers[id] = o
	if !g.room.running {
		g.room.running = true
		go g.runRoom()
	}
	g.mu.Unlock()
	var placement fleet.Placement
	select {
	case placement, ok = <-o.placed:
	case <-a.ctx.Done():
		placement, ok = g.leaveRoom(id, o)
	}
	now := boottime.Now()
	fields := []zap.Field{zap.String("Request", a.call.ID), zap.Bool("Placed", ok),
		zap.Duration("Waited", now-began), zap.String("Backend", placement.Backend.ID)}
	if ok {
		fields = append(fields, a.bounds(placement, now)...)
	}
	g.log.Info("waited for a place", fields...)
	return placement, ok
}

// leaveRoom ends the wait of a request whose caller has left, or whose time is over.
func (g *Gateway) leaveRoom(id uint64, o *offer) (fleet.Placement, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.Leave(id)
	delete(g.room.offers, id)
	select {
	case placement, ok := <-o.placed:
		return placement, ok
	default:
		return fleet.Placement{}, false
	}
}

// runRoom offers places until nobody waits.
func (g *Gateway) runRoom() {
	ticker := time.NewTicker(roomEvery)
	defer ticker.Stop()
	for range ticker.C {
		if !g.offerPlaces(boottime.Now()) {
			return
		}
	}
}

// offerPlaces offers places to those who wait; false if nobody does any more.
func (g *Gateway) offerPlaces(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	over := g.room.Scan(now, func(id uint64) bool {
		o := g.room.offers[id]
		placement := o.attempts.choose(now)
		if !placement.Found {
			return false
		}
		if o.attempts.stream == nil && !g.gate.AdmitWaiting(forecast(placement), o.attempts.route.Goal) {
			g.fleet.Ended(placement.Backend.ID)
			return false
		}
		delete(g.room.offers, id)
		o.placed <- placement
		return true
	})
	for _, id := range over {
		close(g.room.offers[id].placed)
		delete(g.room.offers, id)
	}
	g.room.running = !g.room.Empty()
	return g.room.running
}

// placeLater waits for a place for a request that found none, where one is likely.
func (a *attempts) placeLater(found fleet.Placement, p *problem) (fleet.Placement, *problem) {
	g := a.gateway
	g.mu.Lock()
	may := a.mayWait(found, boottime.Now())
	g.mu.Unlock()
	if !may || a.ctx.Err() != nil && a.ctx.Err() != context.DeadlineExceeded {
		return found, p
	}
	if placement, ok := a.wait(); ok {
		return placement, nil
	}
	return found, p
}
