package fleet

import (
	"maps"
	"slices"
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
	MinVersion   uint64
	PromptTokens int
	// AnswerTokens is the expected length of the answer; 0 if unknown.
	AnswerTokens int
	// Remaining is the time until the request's deadline; 0 or less if unknown.
	Remaining time.Duration
	// MaxEventGap is the longest gap between events that the caller accepts; 0 if unknown.
	MaxEventGap time.Duration
	// LastAttempt is true if an interrupted answer cannot be resumed at another server.
	LastAttempt bool
	// Avoid are the servers that must not be picked, such as those that the request was already
	// sent to.
	Avoid []filbertlever.HostID
	// Only are the servers that may be picked; empty for all.
	Only []filbertlever.HostID
	// Responsive is true if no server may be picked that has sent nothing since a request was given up
	// there.
	Responsive bool
	// Regions are the regions whose servers may be picked.
	Regions filbertlever.Regions
}

// Placement is the server picked for a request and what is known of it.
type Placement struct {
	Backend catalog.Backend
	// Found is false if no server can take the request.
	Found bool
	// RateCounted is true if the request counts against this entry's share of a rate limit.
	RateCounted bool
	// Version is the version that must answer, if Request.Version or Request.MinVersion was set.
	Version uint64
	// Slowdown is the factor by which the server is slower than expected, as it reports; 0 if unknown.
	Slowdown float64
	// EstimatedSlowdown is the factor by which the server was considered slower than expected for the
	// placement; 1 if it was not.
	EstimatedSlowdown float64
	// HeldVersion is the version of the model that the server holds, as far as known; 0 if none.
	HeldVersion uint64
	// PredictedLatency is the predicted time to the first event of the answer.
	PredictedLatency time.Duration
	// QueuePosition is the number of requests at the server, including this one, beyond what it
	// runs concurrently; 0 or less if the request need not queue.
	QueuePosition int
	Reason        routing.Reason
	// Candidates is the number of servers that were compared.
	Candidates int
	// PrefillWait is the predicted time until the server has prefilled the prompts that it received
	// before.
	PrefillWait time.Duration
	// WillInterrupt is true if the server is predicted to interrupt the answer to switch weights.
	WillInterrupt bool
	// ReportAge is the age of the last report of the server; negative if there is none.
	ReportAge time.Duration
	// MissingFor is how long the server has been missing from the list; 0 if it is listed.
	MissingFor time.Duration
	// ReadyIn is the predicted time until a server can take the request, if none can now; 0 if
	// unknown.
	ReadyIn time.Duration
	// SilentFor is how long the server that last sent something has been silent, if no server can take
	// the request because those that could are silent; 0 if there are none.
	SilentFor time.Duration
}

// Choose picks a server and counts the request as in flight there. Release reverts the count.
func (f *Fleet) Choose(request Request, now time.Duration) Placement {
	f.refresh(now)
	router := f.router(request.Service)
	if router == nil {
		return Placement{Reason: routing.ReasonNoHost}
	}
	target := plainTarget
	switch {
	case f.state.Services[request.Service].Engine == nil:
	case request.Version != 0:
		target = versionTarget(request.Model, request.Version)
	case request.MinVersion != 0:
		target = minVersionTarget(request.Model, request.MinVersion)
	default:
		target = modelTarget(request.Model)
	}
	if request.Responsive {
		request.Avoid = slices.Clone(request.Avoid)
		for id := range f.unresponsive {
			request.Avoid = append(request.Avoid, filbertlever.HostID(id))
		}
	}
	routed := &routing.Request{Target: target, PromptTokens: request.PromptTokens, Avoid: request.Avoid, Only: request.Only, Regions: request.Regions, Now: now,
		AnswerDuration: f.answerDuration(request), AnswerTokens: request.AnswerTokens, LastAttempt: request.LastAttempt,
		Remaining: request.Remaining, MaxEventGap: request.MaxEventGap}
	choice := router.Choose(routed)
	if choice.Host == "" {
		choice = f.chooseSuspected(router, request.Service, routed, now)
	}
	s, ok := f.servers[string(choice.Host)]
	if !ok {
		return Placement{Reason: choice.Reason, Candidates: choice.CandidateCount, ReadyIn: f.ReadyIn(request, now), SilentFor: f.silentFor(request, target, now)}
	}
	counted := f.recordSent(s, now)
	age := time.Duration(-1)
	if s.hasReport {
		age = now - s.reportedAt
	}
	placement := Placement{Backend: s.backend, Found: true, RateCounted: counted, PredictedLatency: choice.Predicted, QueuePosition: choice.QueuePosition, Reason: choice.Reason, Candidates: choice.CandidateCount, ReportAge: age, WillInterrupt: choice.WillInterrupt, PrefillWait: choice.PrefillWait}
	if f.config.Regions[s.backend.Site] != f.config.Region && !f.unservedRegions[request.Service][f.config.Region] {
		placement.QueuePosition += f.config.OtherRegionMargin
	}
	if s.hasReport {
		placement.Slowdown = s.report.Pace
	}
	if s.missingSince != 0 {
		placement.MissingFor = now - s.missingSince
	}
	placement.EstimatedSlowdown = s.routedSlowdown()
	placement.HeldVersion = f.heldVersion(s, request.Model, now)
	if request.Version != 0 || request.MinVersion != 0 {
		placement.Version = placement.HeldVersion
	}
	return placement
}

// answerDuration predicts the time from the first event to the end of an answer at a full engine.
func (f *Fleet) answerDuration(request Request) time.Duration {
	e := f.state.Services[request.Service].Engine
	if e == nil || e.MeanAnswerTokens == 0 || request.AnswerTokens == 0 {
		return 0
	}
	return serviceTime(e) * time.Duration(request.AnswerTokens) / time.Duration(e.MeanAnswerTokens)
}

// chooseSuspected picks among suspected servers.
//
// If all servers of a service fail some of their requests, all of them are suspected most of the
// time, although they would still answer most requests. If all are silent, each gets one request, which
// shows at once that it continues.
func (f *Fleet) chooseSuspected(router *routing.Router, service string, request *routing.Request, now time.Duration) routing.Choice {
	var suspected []string
	candidates := maps.Clone(f.recheck)
	for id := range f.unresponsive {
		candidates[id] = true
	}
	for id := range candidates {
		s, ok := f.servers[id]
		eligible := ok && s.backend.Service == service && !f.evacuated[s.backend.Site] && !f.coldLimited(s, now) && !f.rateLimited(s, now) && s.missingSince == 0 && now >= s.switchingUntil && now >= f.retryAt(s) && !f.recentlyUnreachable(s, now) && !f.stalled(s, now) && (s.silentSince == 0 || s.ownRequests == 0)
		if eligible && f.members.Eligible(filbertlever.HostID(id), f.membershipTime(now)) {
			suspected = append(suspected, id)
			router.SetHost(f.host(s.backend), true)
		}
	}
	choice := routing.Choice{Reason: routing.ReasonNoHost}
	if len(suspected) > 0 {
		choice = router.Choose(request)
	}
	for _, id := range suspected {
		f.syncRouter(id, now)
	}
	return choice
}

// HasAlternative reports whether a server that the request does not avoid and that is not silent could
// take it now with a queue position of at most maxQueue. The check leaves the counts unchanged.
func (f *Fleet) HasAlternative(request Request, maxQueue int, now time.Duration) bool {
	request.Responsive = true
	placement := f.Choose(request, now)
	if !placement.Found {
		return false
	}
	f.Release(placement.Backend.ID)
	return placement.QueuePosition <= maxQueue
}

// ReadyIn returns the time until the first server of the request's service holds the model that it
// loads or accepts requests again; 0 if unknown.
func (f *Fleet) ReadyIn(request Request, now time.Duration) time.Duration {
	earliest := time.Duration(0)
	for _, s := range f.servers {
		at := max(s.loadedAt, f.retryAt(s), f.coldReadyAt(s, now), f.rateReadyAt(s))
		if s.backend.Service != request.Service || at <= now || f.evacuated[s.backend.Site] || f.announcedDraining(s.backend) || !request.Regions.Allows(f.config.Regions[s.backend.Site]) {
			continue
		}
		if in := at - now; earliest == 0 || in < earliest {
			earliest = in
		}
	}
	return earliest
}

// silentFor returns the shortest silence of the silent servers of this region that could take a request;
// 0 if there are none.
func (f *Fleet) silentFor(request Request, target routing.Target, now time.Duration) time.Duration {
	shortest := time.Duration(0)
	for _, s := range f.unusable {
		id := filbertlever.HostID(s.backend.ID)
		if s.backend.Service != request.Service || f.config.Regions[s.backend.Site] != f.config.Region || slices.Contains(request.Avoid, id) {
			continue
		}
		silence, ok := f.silence(s, now)
		if !ok || !request.Regions.Allows(f.config.Region) || f.evacuated[s.backend.Site] || !f.members.Usable(id, f.membershipTime(now)) || !slices.Contains(f.targets(s, now), target) {
			continue
		}
		if shortest == 0 || silence < shortest {
			shortest = silence
		}
	}
	return shortest
}
