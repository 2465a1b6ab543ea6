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
	serviceName = "models"
	modelName   = "model"
)

// Periods as entries and agents keep them.
const (
	minGossipInterval = 25 * time.Millisecond
	// gossipIntervalPerLocalEntry and countsFarEach are what other entries add to the period.
	gossipIntervalPerLocalEntry  = 25 * time.Millisecond / 8
	gossipIntervalPerRemoteEntry = 24 * time.Millisecond
	reportInterval               = 200 * time.Millisecond
	reportDelay                  = 40 * time.Millisecond
	waitingRoomInterval          = 20 * time.Millisecond
)

// entry decides as an entry does: where requests go, which are refused and when callers return.
type entry struct {
	simulation    *simulation
	host          filbertlever.HostID
	region        string
	fleet         *fleet.Fleet
	admissionGate admission.EntryGate
	waitingRoom   *admission.Room
	waiting       map[uint64]*request
	outage        admission.Outage
	rng           *rand.Rand
}

func newEntry(w *simulation, host filbertlever.HostID, region string, regions map[string]string, rng *rand.Rand) *entry {
	config := fleet.DefaultConfig()
	config.Site, config.Region, config.Regions = region, region, regions
	e := &entry{simulation: w, host: host, region: region, fleet: fleet.New(config, rng), admissionGate: w.policy.admissionGate(),
		waitingRoom: admission.NewRoom(), waiting: map[uint64]*request{}, rng: rng}
	usual, answer := w.meanSizes()
	engine := &catalog.Engine{Slots: w.Engine.Slots, Step: w.Engine.Step, Stride: w.Engine.Stride,
		PromptToken: time.Second / time.Duration(w.Engine.PromptsPerSecond), UsualPrompt: usual, UsualAnswer: answer,
		ReportLag: reportDelay, Models: []string{modelName}}
	e.fleet.SetState(catalog.New(1, nil, []catalog.Service{{Name: serviceName, Engine: engine}}, nil, catalog.Limits{}), w.now)
	var listed []catalog.Backend
	for _, s := range w.engines {
		listed = append(listed, catalog.Backend{ID: s.id, Service: serviceName, Address: s.address, Site: s.region, Slots: w.Engine.Slots})
	}
	e.fleet.Apply(listed, nil, true, w.now)
	return e
}

// handle decides on a request that has just come.
func (e *entry) handle(r *request) {
	now := e.simulation.now
	left := r.arrivedAt + r.spec.Limit - now
	placement := e.chooseBackend(r)
	if !placement.Found {
		away := e.outage.Refused(now)
		if placement.ReadyIn > 0 && placement.ReadyIn < admission.RoomWait && e.enterWaitingRoom(r, left) {
			return
		}
		e.simulation.refuseAttempt(r, admission.ReturnWhenReady(placement.ReadyIn, left, away, e.rng))
		return
	}
	forecast := admission.Forecast{Ahead: placement.Ahead, Reading: placement.Reading, Predicted: placement.Predicted}
	ok, retry := e.admissionGate.Admit(forecast, admission.Caller{Left: left, Goal: r.spec.Goal}, e.rng)
	if ok {
		e.place(r, &placement)
		return
	}
	e.fleet.Ended(placement.Backend.ID)
	if now-r.arrivedAt > r.spec.Goal && e.outage.Ended(now) < admission.Recovery && e.enterWaitingRoom(r, left) {
		return
	}
	if p := e.simulation.policy; p.ReturnLeast > 0 || p.ReturnSpread > 0 {
		retry = max(retry, p.ReturnLeast) + time.Duration(e.rng.Float64()*float64(p.ReturnSpread))
	}
	e.simulation.refuseAttempt(r, retry)
}

func (e *entry) chooseBackend(r *request) fleet.Placement {
	return e.fleet.Choose(fleet.Request{Service: serviceName, Model: modelName, PromptTokens: r.promptTokens, AnswerTokens: r.answerTokens}, e.simulation.now)
}

func (e *entry) place(r *request, p *fleet.Placement) {
	s := e.simulation.byID[p.Backend.ID]
	r.current = &attempt{entry: e, request: r, server: s, placedAt: e.simulation.now, predictedDelay: p.Predicted, remainingTokens: r.answerTokens}
	if s.loadedVersion == 0 {
		e.fleet.NoteModelMissing(s.id, e.simulation.now)
		e.fleet.Ended(s.id)
		e.simulation.refuseAttempt(r, admission.ReturnTime(0, e.rng))
		return
	}
	s.enqueue(r.current)
}

// enterWaitingRoom lets a request wait for a place.
func (e *entry) enterWaitingRoom(r *request, left time.Duration) bool {
	id, ok := e.waitingRoom.Enter(serviceName, e.simulation.now+min(admission.RoomWait, left/2))
	if !ok {
		return false
	}
	if len(e.waiting) == 0 {
		e.simulation.after(waitingRoomInterval, e.placeWaiting)
	}
	e.waiting[id] = r
	return true
}

// placeWaiting offers places to those who wait, until nobody does.
func (e *entry) placeWaiting() {
	over := e.waitingRoom.Scan(e.simulation.now, func(id uint64) bool {
		r := e.waiting[id]
		p := e.chooseBackend(r)
		if !p.Found {
			return false
		}
		forecast := admission.Forecast{Ahead: p.Ahead, Reading: p.Reading, Predicted: p.Predicted}
		if !e.admissionGate.AdmitWaiting(forecast, r.spec.Goal) {
			e.fleet.Ended(p.Backend.ID)
			return false
		}
		delete(e.waiting, id)
		e.place(r, &p)
		return true
	})
	for _, id := range over {
		r := e.waiting[id]
		delete(e.waiting, id)
		e.simulation.refuseAttempt(r, admission.ReturnTime(0, e.rng))
	}
	if len(e.waiting) > 0 {
		e.simulation.after(waitingRoomInterval, e.placeWaiting)
	}
}

// gossip sends this entry's counts to some of the others, and again after a period.
func (e *entry) gossip(near bool, period time.Duration) {
	counts := e.fleet.Counts()
	for _, other := range e.simulation.entries {
		if other != e && (other.region == e.region) == near {
			other.fleet.SetCounts(e.host, counts, e.simulation.now)
		}
	}
	e.simulation.after(period, func() { e.gossip(near, period) })
}
