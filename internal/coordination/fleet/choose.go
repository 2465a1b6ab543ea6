package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
)

// Request describes a request to place.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Version is the only acceptable version; 0 means any.
	Version uint64
	// MinVersion is the oldest acceptable version, one of those set by SetNamedVersions; 0 means
	// any.
	Least        uint64
	PromptTokens int
	// AnswerTokens is the expected length of the answer; 0 if unknown.
	AnswerTokens int
	// LastAttempt is true if an interrupted answer cannot be resumed at another server.
	Final bool
	// Avoid are the servers that must not be picked, such as those that the request was already
	// sent to.
	Avoid []filbertlever.HostID
}

// Placement is the server picked for a request and what is known of it.
type Placement struct {
	Backend catalog.Backend
	// Found is false if no server can take the request.
	Found bool
	// Version is the version that must answer, if Request.Version or Request.MinVersion was set.
	Version uint64
	// Slowdown is the factor by which the server is slower than expected; 0 if unknown.
	Pace float64
	// HeldVersion is the version of the model that the server holds, as far as known; 0 if none.
	Holds uint64
	// PredictedLatency is the predicted time to the first event of the answer.
	Predicted time.Duration
	// QueuePosition is the number of requests at the server, including this one, beyond what it
	// runs concurrently; 0 or less if the request need not queue.
	Ahead  int
	Reason routing.Reason
	// Candidates is the number of servers that were compared.
	Weighed int
	// PrefillWait is the predicted time until the server has prefilled the prompts that it received
	// before.
	Reading time.Duration
	// WillInterrupt is true if the server is predicted to interrupt the answer to switch weights.
	Cut bool
	// ReportAge is the age of the last report of the server; negative if there is none.
	ReportAge time.Duration
	// MissingFor is how long the server has been missing from the list; 0 if it is listed.
	Missing time.Duration
	// ReadyIn is the predicted time until a server can take the request, if none can now; 0 if
	// unknown.
	ReadyIn time.Duration
}

// Choose picks a server and counts the request as in flight there. Release reverts the count.
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
		target = minVersionTarget(request.Model, request.Least)
	default:
		target = modelTarget(request.Model)
	}
	routed := &routing.Request{Target: target, PromptTokens: request.PromptTokens, Avoid: request.Avoid, Now: now,
		Lasts: f.answerDuration(request), Final: request.Final}
	choice := router.Choose(routed)
	if choice.Host == "" {
		choice = f.chooseSuspected(router, request.Service, routed, now)
	}
	s, ok := f.servers[string(choice.Host)]
	if !ok {
		return Placement{Reason: choice.Reason, Weighed: choice.Weighed, ReadyIn: f.readyIn(request, now)}
	}
	f.recordSent(s, now)
	age := time.Duration(-1)
	if s.hasReport {
		age = now - s.reportedAt
	}
	placement := Placement{Backend: s.backend, Found: true, Predicted: choice.Predicted, Ahead: choice.Ahead, Reason: choice.Reason, Weighed: choice.Weighed, ReportAge: age, Cut: choice.Cut, Reading: choice.Reading}
	if f.config.Regions[s.backend.Site] != f.config.Region {
		placement.Ahead += f.config.OtherRegionMargin
	}
	if s.hasReport {
		placement.Pace = s.report.Pace
	}
	if s.missingSince != 0 {
		placement.Missing = now - s.missingSince
	}
	placement.Holds = f.heldVersion(s, request.Model, now)
	if request.Version != 0 || request.Least != 0 {
		placement.Version = placement.Holds
	}
	return placement
}

// answerDuration predicts the time from the first event to the end of an answer at a full engine.
func (f *Fleet) answerDuration(request Request) time.Duration {
	e := f.state.Services[request.Service].Engine
	if e == nil || e.UsualAnswer == 0 || request.AnswerTokens == 0 {
		return 0
	}
	return serviceTime(e) * time.Duration(request.AnswerTokens) / time.Duration(e.UsualAnswer)
}

// chooseSuspected picks among suspected servers.
//
// If all servers of a service fail some of their requests, all of them are suspected most of the
// time, although they would still answer most requests.
func (f *Fleet) chooseSuspected(router *routing.Router, service string, request *routing.Request, now time.Duration) routing.Choice {
	var suspected []string
	for id := range f.recheck {
		s, ok := f.servers[id]
		eligible := ok && s.backend.Service == service && s.missingSince == 0 && now >= s.switchingUntil && now >= f.retryAt(s) && !f.recentlyUnreachable(s, now)
		if eligible && f.members.Fit(filbertlever.HostID(id), f.membershipTime(now)) {
			suspected = append(suspected, id)
			router.SetHost(f.host(s.backend), true)
		}
	}
	choice := routing.Choice{Reason: routing.ReasonNone}
	if len(suspected) > 0 {
		choice = router.Choose(request)
	}
	for _, id := range suspected {
		f.syncRouter(id, now)
	}
	return choice
}

// HasAlternative reports whether a server that the request does not avoid could take it now with a
// queue position of at most maxQueue. The check leaves the counts unchanged.
func (f *Fleet) Elsewhere(request Request, maxQueue int, now time.Duration) bool {
	placement := f.Choose(request, now)
	if !placement.Found {
		return false
	}
	f.Ended(placement.Backend.ID)
	return placement.Ahead <= maxQueue
}

// ReadyIn returns the time until the first server of a service holds the model that it loads or
// accepts requests again; 0 if unknown.
func (f *Fleet) ReadyIn(service string, now time.Duration) time.Duration {
	return f.readyIn(Request{Service: service}, now)
}

// readyIn returns the time until the first server of the request's service holds the model that it
// loads or accepts requests again; 0 if unknown.
func (f *Fleet) readyIn(request Request, now time.Duration) time.Duration {
	earliest := time.Duration(0)
	for _, s := range f.servers {
		at := max(s.loadedAt, f.retryAt(s))
		if s.backend.Service != request.Service || at <= now || f.announcedDraining(s.backend) {
			continue
		}
		if in := at - now; earliest == 0 || in < earliest {
			earliest = in
		}
	}
	return earliest
}
