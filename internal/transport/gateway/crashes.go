package gateway

import (
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/liveness"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Timeouts and limits of the handling of requests that may crash servers.
const (
	// decisionTimeout is how long a suspected request waits after a truncated response, until the
	// crash of its server is confirmed and all entries have reported it.
	decisionTimeout = 350 * time.Millisecond
	// retryAfterSuspected is sent to a caller whose suspected request is already running at a
	// server.
	retryAfterSuspected = time.Second
	// maxHoldRepliesPerSecond limits the replies to entries that hold different requests.
	maxHoldRepliesPerSecond = 8
)

// crashes tracks requests that crash servers. It is guarded by the gateway's mu.
type crashes struct {
	*quarantine.Table
	// inFlight are the requests being served.
	inFlight map[*attempts]bool
	// checks are the last checks of processes.
	checks map[quarantine.Process]*processCheck
	// repliesSince is the start of the period in which replies counts the replies with holds, for
	// maxHoldRepliesPerSecond.
	repliesSince time.Duration
	replies      int
}

func newCrashes() *crashes {
	return &crashes{Table: quarantine.New(quarantine.DefaultConfig()), inFlight: map[*attempts]bool{}, checks: map[quarantine.Process]*processCheck{}}
}

// identity returns what stays the same when the caller retries the request.
func (x *exchange) identity() *quarantine.Identity {
	return &quarantine.Identity{Organisation: string(x.organisation.ID), Method: x.call.Method, Host: x.call.Host,
		Target: x.call.Target, Body: x.call.Body}
}

// fingerprint identifies the request across all its attempts.
func (x *exchange) fingerprint() quarantine.Feature {
	if cached := x.cachedFingerprint.Load(); cached != nil {
		return *cached
	}
	f := x.identity().Fingerprint()
	x.cachedFingerprint.Store(&f)
	return f
}

// parts identifies the parts of the request's prompt.
func (x *exchange) parts() []quarantine.PartID {
	if cached := x.cachedParts.Load(); cached != nil {
		return *cached
	}
	parts := make([]quarantine.PartID, 0, len(x.call.PromptParts))
	for _, name := range x.call.PromptParts[:min(len(x.call.PromptParts), quarantine.MaxParts)] {
		parts = append(parts, quarantine.NewPartID(x.call.Model, name))
	}
	x.cachedParts.Store(&parts)
	return parts
}

// features returns what the request has in common with others.
func (x *exchange) features() *quarantine.Request {
	return &quarantine.Request{Fingerprint: x.fingerprint(), Organisation: quarantine.OrganisationTag(string(x.organisation.ID)), Parts: x.parts()}
}

// maybeSuspected reports whether the request may be suspected. It is decided without hashing the
// body.
func (a *attempts) maybeSuspected() bool {
	g := a.gateway
	g.mu.Lock()
	noSuspects := g.crashes.NoSuspects()
	g.mu.Unlock()
	if noSuspects {
		return false
	}
	head, parts := a.identity().MetadataHash(), a.parts()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.MaySuspect(head) || slices.ContainsFunc(parts, g.crashes.SuspectsPart)
}

// processOf identifies the process that a request was sent to.
func processOf(b catalog.Backend) quarantine.Process {
	return quarantine.Process{Server: b.ID, Boot: b.Boot}
}

// noteIncomplete records an attempt without a complete response, and checks whether its server has
// crashed.
func (t *attempt) noteIncomplete(err error) {
	g, r, backend := t.gateway, t.features(), t.Backend
	process, now := processOf(backend), boottime.Now()
	byPeer := t.endedBy == forward.EndedByServer && closedByPeer(err) && !errors.Is(err, errWriteToCaller)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.RecordFailure(quarantine.Attempt{Request: r, Process: process, Sent: t.sentAt, Begun: t.phase.hasStarted(), ClosedByServer: byPeer}, now)
	var ended *endError
	switch {
	case errors.As(err, &ended) && ended.outcome == liveness.Ended:
		g.noteServerCrash(backend, ended.evidence)
	case byPeer:
		g.probeServer(backend)
	}
}

// maxHashedBody is the longest body for which it is recorded that the request was answered, because
// that requires hashing the body.
const maxHashedBody = 64 << 10

// noteAnswered records that the server kept running after it ran the request.
func (a *attempts) noteAnswered() {
	if a.call.Body.Len() > maxHashedBody && !a.maybeSuspected() {
		return
	}
	g, f := a.gateway, a.fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.RecordAnswer(f, boottime.Now())
}

// noteBegun records that a server began to answer the request.
func (a *attempts) noteBegun() {
	r := &quarantine.Request{Parts: a.parts()}
	if a.call.Body.Len() <= maxHashedBody || a.maybeSuspected() {
		r.Fingerprint = a.fingerprint()
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.RecordBegun(r, boottime.Now())
}

// track adds a request to those in flight, and untrack removes it.
func (g *Gateway) track(a *attempts) {
	a.limitWrites()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.inFlight[a] = true
}

func (g *Gateway) untrack(a *attempts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.crashes.inFlight, a)
}

// Limits of the prompt parts in a line of the log.
const (
	maxLoggedParts   = 8
	maxLoggedPartLen = 32
)

// loggedParts shortens the parts of a prompt for the log.
func loggedParts(parts []string) []string {
	logged := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, id := range parts[:min(len(parts), maxLoggedParts)] {
		logged = append(logged, id[:min(len(id), maxLoggedPartLen)])
	}
	return logged
}

// closedByPeer reports whether the server closed the connection.
func closedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errIncompleteEvent} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// noteServerCrash records that a server's process has ended. The caller holds g.mu.
func (g *Gateway) noteServerCrash(backend catalog.Backend, evidence string) {
	now := boottime.Now()
	attempts := g.crashes.RecordCrash(processOf(backend), now)
	if len(attempts) == 0 {
		return
	}
	names := make([]string, 0, len(attempts))
	var pending []string
	for _, a := range attempts {
		names = append(names, a.Request.Fingerprint.String())
		if !a.Begun {
			pending = append(pending, a.Request.Fingerprint.String())
		}
	}
	g.metrics.serverCrashes.WithLabelValues(backend.Service).Inc()
	g.log.Warn("backend server process ended with requests in flight", zap.String("Backend", backend.ID), zap.Int64("Boot", int64(backend.Boot)),
		zap.String("Seen", evidence), zap.Strings("Fingerprints", names), zap.Strings("Pending", pending))
}

// advanceQuarantine decides which features of requests are quarantined, cancels the attempts at
// requests that have them, and returns the reports for the other entries. The caller holds g.mu.
func (g *Gateway) advanceQuarantine(now time.Duration) []quarantine.CrashReport {
	g.crashes.SetPeersKnown(g.entriesListed.Load() || g.peers.discoveryElapsed(now), now)
	for _, replaced := range g.fleet.TakeReplaced() {
		g.noteServerCrash(replaced, "Replaced")
	}
	for _, v := range g.crashes.Advance(now) {
		g.log.Warn("request quarantined", zap.Stringer("Kind", v.Kind), zap.Stringer("Fingerprint", v.Feature), zap.Int("Ends", v.Crashes),
			zap.Duration("For", v.Left), zap.String("Part", g.partName(v)), zap.Int("Withdrawn", g.cancelAttempts(v.Feature, v.Kind)))
	}
	return g.crashes.NewReports(now)
}

// applyCrashReports applies another entry's reports of crashes and holds. The caller holds g.mu.
func (g *Gateway) applyCrashReports(reports *quarantine.CrashReport, from net.Addr, now time.Duration) {
	for _, reply := range g.crashes.Merge(reports, now) {
		g.reply(Datagram{Crashes: &reply}, from)
	}
	for _, hold := range reports.Holds {
		if g.crashes.IsHeld(hold.Feature, now) {
			g.cancelAttempts(hold.Feature, hold.Kind)
		}
	}
}

// holdsForPeer returns the quarantined requests if another entry has different ones. The caller
// holds g.mu.
//
// An entry that has just started, or was cut off, does not have these holds and would send requests
// that all other entries refuse.
func (g *Gateway) holdsForPeer(digest uint64, now time.Duration) []quarantine.CrashReport {
	c := g.crashes
	if c.NoSuspects() || digest == c.Digest(now) {
		return nil
	}
	if now-c.repliesSince >= time.Second {
		c.repliesSince, c.replies = now, 0
	}
	if c.replies >= maxHoldRepliesPerSecond {
		return nil
	}
	c.replies++
	return c.HoldReports(now)
}
