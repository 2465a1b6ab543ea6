package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
)

// Request is what is placed.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Version is the only version wanted; 0 means any.
	Version uint64
	// Least is the oldest version wanted, one that SetNamed was given; 0 means any.
	Least        uint64
	PromptTokens int
	// AnswerTokens is how long the answer is expected to be; 0 if not known.
	AnswerTokens int
	// Final is true if the answer cannot go on at another server once more.
	Final bool
	// Avoid are servers that the request has been to.
	Avoid []filbertlever.HostID
}

// Placement is the server picked for a request.
type Placement struct {
	Backend catalog.Backend
	// Found is false if no server can take the request.
	Found bool
	// Version is the version that must answer, if Version or Least was wanted.
	Version uint64
	// Pace is how many times longer than it should the server takes; 0 if not known.
	Pace float64
	// Holds is the version that the server is taken to hold; 0 if none.
	Holds     uint64
	Predicted time.Duration
	// Ahead is how many requests the server has beyond what it runs at once,
	// this one included; 0 or less if it need not wait.
	Ahead   int
	Reason  routing.Reason
	Weighed int
	// Reading is how long the server still reads prompts that came before.
	Reading time.Duration
	// Cut is true if the server is predicted to break the answer off for a change
	// of its weights.
	Cut bool
	// ReportAge is the age of the load report that decided; negative if none.
	ReportAge time.Duration
	// Missing is how long the list has lacked the server; 0 if it is listed.
	Missing time.Duration
	// ReadyIn is when a server is predicted to be able to take the request, if
	// none can now; 0 if that is not known.
	ReadyIn time.Duration
}

// Choose picks a server and counts the request as sent there; Ended takes that
// back.
func (f *Fleet) Choose(request Request, now time.Duration) Placement {
	f.refresh(now)
	router := f.router(request.Service)
	if router == nil {
		return Placement{Reason: routing.ReasonNone}
	}
	target := plainTarget
	switch {
	case f.state.Services[request.Service].Engine == nil:
	case request.Version != 0:
		target = versionTarget(request.Model, request.Version)
	case request.Least != 0:
		target = leastTarget(request.Model, request.Least)
	default:
		target = modelTarget(request.Model)
	}
	wanted := &routing.Request{Target: target, PromptTokens: request.PromptTokens, Avoid: request.Avoid, Now: now,
		Lasts: f.lasts(request), Final: request.Final}
	choice := router.Choose(wanted)
	if choice.Host == "" {
		choice = f.chooseSuspected(router, request.Service, wanted, now)
	}
	s, ok := f.servers[string(choice.Host)]
	if !ok {
		return Placement{Reason: choice.Reason, Weighed: choice.Weighed, ReadyIn: f.readyIn(request, now)}
	}
	f.sent(s, now)
	age := time.Duration(-1)
	if s.hasReport {
		age = now - s.reportedAt
	}
	placement := Placement{Backend: s.backend, Found: true, Predicted: choice.Predicted, Ahead: choice.Ahead, Reason: choice.Reason, Weighed: choice.Weighed, ReportAge: age, Cut: choice.Cut, Reading: choice.Reading}
	if f.config.Regions[s.backend.Site] != f.config.Region {
		placement.Ahead += f.config.FarMargin
	}
	if s.hasReport {
		placement.Pace = s.load.Pace
	}
	if s.missingSince != 0 {
		placement.Missing = now - s.missingSince
	}
	placement.Holds = f.version(s, request.Model, now)
	if request.Version != 0 || request.Least != 0 {
		placement.Version = placement.Holds
	}
	return placement
}

// lasts predicts how long an answer takes after its first event, at a full engine.
func (f *Fleet) lasts(request Request) time.Duration {
	e := f.state.Services[request.Service].Engine
	if e == nil || e.UsualAnswer == 0 || request.AnswerTokens == 0 {
		return 0
	}
	return serviceTime(e) * time.Duration(request.AnswerTokens) / time.Duration(e.UsualAnswer)
}

// chooseSuspected picks among servers that failed lately.
//
// Guard: if all servers of a service fail some requests, all are suspected most of the time; most
// requests would still be answered.
func (f *Fleet) chooseSuspected(router *routing.Router, service string, wanted *routing.Request, now time.Duration) routing.Choice {
	var suspected []string
	for id := range f.transient {
		s, ok := f.servers[id]
		fit := ok && s.backend.Service == service && s.missingSince == 0 && now >= s.switchingUntil && now >= f.retryAt(s) && !f.unreachable(s, now)
		if fit && f.table.Fit(filbertlever.HostID(id), f.at(now)) {
			suspected = append(suspected, id)
			router.SetHost(f.host(s.backend), true)
		}
	}
	choice := routing.Choice{Reason: routing.ReasonNone}
	if len(suspected) > 0 {
		choice = router.Choose(wanted)
	}
	for _, id := range suspected {
		f.place(id, now)
	}
	return choice
}

// Elsewhere reports whether a server other than those that a request has been to
// could take it now, with at most so many waiting there.
func (f *Fleet) Elsewhere(request Request, waiting int, now time.Duration) bool {
	placement := f.Choose(request, now)
	if !placement.Found {
		return false
	}
	f.Ended(placement.Backend.ID)
	return placement.Ahead <= waiting
}

// ReadyIn is when the first server of a service will hold what it is being
// brought; 0 if nothing is known to be.
func (f *Fleet) ReadyIn(service string, now time.Duration) time.Duration {
	return f.readyIn(Request{Service: service}, now)
}

// readyIn is when the first server will hold what a request needs, or accept requests again.
func (f *Fleet) readyIn(request Request, now time.Duration) time.Duration {
	first := time.Duration(0)
	for _, s := range f.servers {
		at := max(s.loadedAt, f.retryAt(s))
		if s.backend.Service != request.Service || at <= now || f.announcedDraining(s.backend) {
			continue
		}
		if in := at - now; first == 0 || in < first {
			first = in
		}
	}
	return first
}
