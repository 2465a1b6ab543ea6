package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// checkQuarantine returns the error response for a quarantined request; nil if the request may be
// sent.
//
// The same request returns under another ID, or others with the same part in their prompts, and
// crash their servers together with everything that these run. Once that is known, neither a
// caller's retry nor this entry's next attempt is sent.
func (a *attempts) checkQuarantine() *errorResponse {
	if !a.maybeSuspected() {
		return nil
	}
	g, r := a.gateway, a.features()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if verdict, held := g.crashes.Held(r, now); held {
		response := unavailable(reasonOf(verdict.Kind), verdict.Left)
		response.fields = []zap.Field{zap.Stringer("Kind", verdict.Kind), zap.String("Part", a.heldPart(verdict)), zap.Int("Ends", verdict.Crashes)}
		return response
	}
	if wait := a.trialWait(r, now); wait > 0 {
		return unavailable(reasonAlreadyInFlight, wait)
	}
	if g.crashes.OneCrashFromHold(r.Fingerprint, now) && a.duplicateInFlight(r.Fingerprint, quarantine.KindRequest) {
		return unavailable(reasonAlreadyInFlight, retryAfterSuspected)
	}
	return nil
}

// trialWait returns how long the request must wait because the hold of something that it has has
// just ended, and another entry or another request tries first. The caller holds g.mu.
func (a *attempts) trialWait(r *quarantine.Request, now time.Duration) time.Duration {
	g := a.gateway
	trials := g.crashes.Trials(r, now)
	if len(trials) == 0 {
		return 0
	}
	var hosts []string
	for _, entry := range g.peers.alive(now) {
		hosts = append(hosts, string(entry.Host))
	}
	wait := time.Duration(0)
	for _, trial := range trials {
		wait = max(wait, g.crashes.TrialWait(trial, string(g.config.Self.Host), hosts))
		if a.duplicateInFlight(trial.Feature, trial.Kind) {
			wait = max(wait, retryAfterSuspected)
		}
	}
	return wait
}

// reasonOf returns the reason for refusing what is quarantined.
func reasonOf(kind quarantine.Kind) string {
	if kind == quarantine.KindRequest {
		return reasonQuarantined
	}
	return reasonPartQuarantined
}

// duplicateInFlight reports whether a request with the same feature is running at a server for
// another caller attempt. The caller holds g.mu.
func (a *attempts) duplicateInFlight(f quarantine.Feature, kind quarantine.Kind) bool {
	for other := range a.gateway.crashes.inFlight {
		if other != a && len(other.running) > 0 && other.matches(f, kind) {
			return true
		}
	}
	return false
}

// matches reports whether the request has a feature. The body is hashed only if everything else is
// the same.
func (a *attempts) matches(f quarantine.Feature, kind quarantine.Kind) bool {
	if kind == quarantine.KindRequest {
		return a.identity().MetadataHash() == f.MetadataHash() && a.fingerprint() == f
	}
	return (&quarantine.Request{Organisation: quarantine.OrganisationTag(string(a.organisation.ID)), Parts: a.parts()}).Has(f, kind)
}

// awaitDecision delays the retry of a request that one more crash would quarantine, until it is
// known whether the last server crashed.
//
// Without the delay, the entry would retry a truncated request at another server within a
// millisecond, before a crash of the first server can be detected.
func (a *attempts) awaitDecision() {
	if !a.oneCrashFromHold() {
		return
	}
	timer := time.NewTimer(decisionTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
}

// oneCrashFromHold reports whether one more crash would quarantine the request.
func (a *attempts) oneCrashFromHold() bool {
	if !a.maybeSuspected() {
		return false
	}
	g, r := a.gateway, a.features()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.AnyOneCrashFromHold(r, boottime.Now())
}

var errQuarantined = errors.New("the request has been quarantined")

// partName returns the name of a quarantined part if a request in flight here has it. The caller
// holds g.mu.
func (g *Gateway) partName(v quarantine.Verdict) string {
	for a := range g.crashes.inFlight {
		if name := a.heldPart(v); name != "" {
			return name
		}
	}
	return ""
}

// heldPart returns the name of the part by which the request is quarantined; empty if it is not
// quarantined by a part.
func (a *attempts) heldPart(v quarantine.Verdict) string {
	for i, id := range a.parts() {
		r := quarantine.Request{Organisation: quarantine.OrganisationTag(string(a.organisation.ID)), Parts: []quarantine.PartID{id}}
		if v.Kind != quarantine.KindRequest && r.Has(v.Feature, v.Kind) {
			return loggedParts(a.call.PromptParts[i : i+1])[0]
		}
	}
	return ""
}

// cancelAttempts cancels the attempts at requests with a feature whose responses have not started,
// and returns their number. The caller holds g.mu.
func (g *Gateway) cancelAttempts(f quarantine.Feature, kind quarantine.Kind) int {
	n := 0
	for a := range g.crashes.inFlight {
		if len(a.running) == 0 || !a.matches(f, kind) {
			continue
		}
		for _, t := range a.running {
			if t.cancelIf(forward.Running{Quarantined: true}) {
				n++
			}
		}
	}
	return n
}
