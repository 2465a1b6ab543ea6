package order_test

import (
	"errors"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/order"
)

var (
	errPlatform = errors.New("platform: connection lost")
	errAgent    = errors.New("agent: connection lost")
	epoch       = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	key         = order.Key{Organisation: "hauler-1", Key: "pickup-7"}
	body        = order.BodyDigest("billing", "OrderPickup", []byte("skip 7"))
)

// table is the platform's row of one order.
type table struct {
	row      order.Row
	revision uint64
	down     bool
	// loseAcks is the number of next writes whose acknowledgement is lost.
	loseAcks int
}

func (t *table) commit(row order.Row, expected uint64) (applied bool, err error) {
	if t.down {
		return false, errPlatform
	}
	if t.revision == expected {
		t.row, t.revision = row, t.revision+1
		applied = true
	}
	if t.loseAcks > 0 {
		t.loseAcks--
		return false, errPlatform
	}
	return applied, nil
}

// agent is an agent with a gate and a service that counts its runs.
type agent struct {
	id          filbertlever.HostID
	incarnation filbertlever.Incarnation
	gate        *order.Gate
	down        bool
	// loseReplies is the number of next dispatches whose reply is lost.
	loseReplies int
	runs        int
}

func newAgent(id filbertlever.HostID) *agent {
	a := &agent{id: id}
	a.restart("1")
	return a
}

// restart starts a new incarnation with an empty gate.
func (a *agent) restart(suffix string) {
	a.incarnation = filbertlever.Incarnation(string(a.id) + "-" + suffix)
	a.gate = order.NewGate(a.incarnation, time.Minute)
	a.down = false
}

func (a *agent) target() order.Target {
	return order.Target{Agent: a.id, Incarnation: a.incarnation}
}

func (a *agent) dispatch(row order.Row) (order.GateReply, error) {
	if a.down {
		return order.GateReply{}, errAgent
	}
	reply := a.gate.Begin(key, row.Incarnation, row.Fence)
	if reply.Gate == order.GateStart {
		a.runs++
		a.gate.Finish(key, []byte("confirmed"))
		reply = a.gate.Resolve(key, row.Incarnation, row.Fence)
	}
	if a.loseReplies > 0 {
		a.loseReplies--
		return order.GateReply{}, errAgent
	}
	return reply, nil
}

func (a *agent) settle(row order.Row) (order.GateReply, error) {
	if a.down {
		return order.GateReply{}, errAgent
	}
	return a.gate.Resolve(key, row.Incarnation, row.Fence), nil
}

// simulation holds the row of one order, the agents at which it may run and the clock.
type simulation struct {
	table  table
	agents map[filbertlever.HostID]*agent
	now    time.Time
}

func newSimulation(agents ...*agent) *simulation {
	s := &simulation{agents: map[filbertlever.HostID]*agent{}, now: epoch}
	for _, a := range agents {
		s.agents[a.id] = a
	}
	return s
}

func (s *simulation) runs() int {
	runs := 0
	for _, a := range s.agents {
		runs += a.runs
	}
	return runs
}

// request is a run of the order at one entry, with its next action.
type request struct {
	run    *order.Run
	next   order.Action
	result *order.Result
}

func (s *simulation) start(claim string, a *agent, repeated bool) *request {
	return s.startWith(order.Request{ClaimID: claim, Body: body, Target: a.target(), Deadline: s.now.Add(10 * time.Second), Repeated: repeated})
}

func (s *simulation) startWith(r order.Request) *request {
	run := order.NewRun(r)
	return &request{run: run, next: run.Start(s.now)}
}

// step carries out the request's next action.
func (s *simulation) step(a *request) {
	s.now = s.now.Add(a.next.Wait + time.Millisecond)
	action := a.next
	switch action.Kind {
	case order.ActionRead:
		if s.table.down {
			a.next = a.run.Read(order.Row{}, 0, errPlatform, s.now)
			return
		}
		a.next = a.run.Read(s.table.row, s.table.revision, nil, s.now)
	case order.ActionWrite:
		applied, err := s.table.commit(action.Row, action.Revision)
		a.next = a.run.Wrote(applied, s.table.row, s.table.revision, err, s.now)
	case order.ActionDispatch:
		reply, err := s.agents[action.Row.Agent].dispatch(action.Row)
		a.next = a.run.Dispatched(reply, err, s.now)
	case order.ActionResolve:
		reply, err := s.agents[action.Row.Agent].settle(action.Row)
		a.next = a.run.Resolved(reply, err, s.now)
	case order.ActionFinish:
		a.result = &action.Result
	}
}

// finish carries out actions until the request has its result.
func (s *simulation) finish(a *request) order.Result {
	for a.result == nil {
		s.step(a)
	}
	return *a.result
}

// runUntil carries out actions until the next one is of the given kind.
func (s *simulation) runUntil(a *request, kind order.ActionKind) {
	for a.result == nil && a.next.Kind != kind {
		s.step(a)
	}
}
