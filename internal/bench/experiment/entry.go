package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

// Names in the modelled installation.
const (
	service = "models"
	model   = "model"
)

// Periods as entries and agents keep them.
const (
	countsNear = 25 * time.Millisecond
	// countsNearEach and countsFarEach are what other entries add to the period.
	countsNearEach = 25 * time.Millisecond / 8
	countsFarEach  = 24 * time.Millisecond
	reportEvery    = 200 * time.Millisecond
	reportLag      = 40 * time.Millisecond
	roomEvery      = 20 * time.Millisecond
)

// entry decides as an entry does: where requests go, which are refused and when callers return.
type entry struct {
	world  *world
	host   filbertlever.HostID
	region string
	fleet  *fleet.Fleet
	gate   admission.EntryGate
	room   *admission.Room
	waits  map[uint64]*request
	outage admission.Outage
	rng    *rand.Rand
}

func newEntry(w *world, host filbertlever.HostID, region string, regions map[string]string, rng *rand.Rand) *entry {
	config := fleet.DefaultConfig()
	config.Site, config.Region, config.Regions = region, region, regions
	e := &entry{world: w, host: host, region: region, fleet: fleet.New(config, rng), gate: w.policy.gate(),
		room: admission.NewRoom(), waits: map[uint64]*request{}, rng: rng}
	usual, answer := w.usual()
	engine := &catalog.Engine{Slots: w.Engine.Slots, Step: w.Engine.Step, Stride: w.Engine.Stride,
		PromptToken: time.Second / time.Duration(w.Engine.PromptsPerSecond), UsualPrompt: usual, UsualAnswer: answer,
		ReportLag: reportLag, Models: []string{model}}
	e.fleet.SetState(catalog.New(1, nil, []catalog.Service{{Name: service, Engine: engine}}, nil, catalog.Limits{}), w.now)
	var listed []catalog.Backend
	for _, s := range w.engines {
		listed = append(listed, catalog.Backend{ID: s.id, Service: service, Address: s.address, Site: s.region, Slots: w.Engine.Slots})
	}
	e.fleet.Apply(listed, nil, true, w.now)
	return e
}

// arrive decides on a request that has just come.
func (e *entry) arrive(r *request) {
	now := e.world.now
	left := r.asked + r.kind.Limit - now
	placement := e.choose(r)
	if !placement.Found {
		away := e.outage.Refused(now)
		if placement.ReadyIn > 0 && placement.ReadyIn < admission.RoomWait && e.wait(r, left) {
			return
		}
		e.world.refused(r, admission.ReturnWhenReady(placement.ReadyIn, left, away, e.rng))
		return
	}
	forecast := admission.Forecast{Ahead: placement.Ahead, Reading: placement.Reading, Predicted: placement.Predicted}
	ok, retry := e.gate.Admit(forecast, admission.Caller{Left: left, Goal: r.kind.Goal}, e.rng)
	if ok {
		e.send(r, &placement)
		return
	}
	e.fleet.Ended(placement.Backend.ID)
	if now-r.asked > r.kind.Goal && e.outage.Ended(now) < admission.Recovery && e.wait(r, left) {
		return
	}
	if p := e.world.policy; p.ReturnLeast > 0 || p.ReturnSpread > 0 {
		retry = max(retry, p.ReturnLeast) + time.Duration(e.rng.Float64()*float64(p.ReturnSpread))
	}
	e.world.refused(r, retry)
}

func (e *entry) choose(r *request) fleet.Placement {
	return e.fleet.Choose(fleet.Request{Service: service, Model: model, PromptTokens: r.prompt, AnswerTokens: r.answer}, e.world.now)
}

func (e *entry) send(r *request, p *fleet.Placement) {
	s := e.world.byID[p.Backend.ID]
	r.job = &job{entry: e, asked: r, server: s, placed: e.world.now, predicted: p.Predicted, left: r.answer}
	if s.holds == 0 {
		e.fleet.NoteModelMissing(s.id, e.world.now)
		e.fleet.Ended(s.id)
		e.world.refused(r, admission.ReturnTime(0, e.rng))
		return
	}
	s.take(r.job)
}

// wait lets a request wait for a place.
func (e *entry) wait(r *request, left time.Duration) bool {
	id, ok := e.room.Enter(service, e.world.now+min(admission.RoomWait, left/2))
	if !ok {
		return false
	}
	if len(e.waits) == 0 {
		e.world.after(roomEvery, e.offer)
	}
	e.waits[id] = r
	return true
}

// offer offers places to those who wait, until nobody does.
func (e *entry) offer() {
	over := e.room.Scan(e.world.now, func(id uint64) bool {
		r := e.waits[id]
		p := e.choose(r)
		if !p.Found {
			return false
		}
		forecast := admission.Forecast{Ahead: p.Ahead, Reading: p.Reading, Predicted: p.Predicted}
		if !e.gate.AdmitWaiting(forecast, r.kind.Goal) {
			e.fleet.Ended(p.Backend.ID)
			return false
		}
		delete(e.waits, id)
		e.send(r, &p)
		return true
	})
	for _, id := range over {
		r := e.waits[id]
		delete(e.waits, id)
		e.world.refused(r, admission.ReturnTime(0, e.rng))
	}
	if len(e.waits) > 0 {
		e.world.after(roomEvery, e.offer)
	}
}

// gossip sends this entry's counts to some of the others, and again after a period.
func (e *entry) gossip(near bool, period time.Duration) {
	counts := e.fleet.Counts()
	for _, other := range e.world.entries {
		if other != e && (other.region == e.region) == near {
			other.fleet.SetCounts(e.host, counts, e.world.now)
		}
	}
	e.world.after(period, func() { e.gossip(near, period) })
}
