package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/liveness"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Timeouts of the checks of servers' processes.
const (
	// firstProbeDelay is the delay before a process is checked after a response ended, and
	// secondProbeDelay the delay before it is checked again if nothing is known then. A process that
	// ends may close its connections one after the other.
	firstProbeDelay  = 30 * time.Millisecond
	secondProbeDelay = 300 * time.Millisecond
	// probeTimeout bounds one check. A server may answer only once a slot is free.
	probeTimeout = 400 * time.Millisecond
	// maxConfirmTime is how long the end of a response is checked that no other server can continue. A
	// server that is silent for a while answers then. Callers leave a stream that pauses for longer.
	maxConfirmTime = 2 * time.Second
	// probeInterval is the minimum time between two checks of the same process after truncated responses.
	probeInterval = firstProbeDelay + secondProbeDelay
	// maxProbedProcesses limits the processes whose last check is remembered.
	maxProbedProcesses = 4096
)

// processCheck is a check of a server's process. All responses of the process that ended before it is
// sent share it.
type processCheck struct {
	gateway *Gateway
	backend catalog.Backend
	path    string
	// sendAt is when the check is sent.
	sendAt time.Duration
	// probes is true if a crash is recorded should the process have ended. It is guarded by the gateway's mu.
	probes bool
	// done is closed when found and err are set.
	done  chan struct{}
	found liveness.Check
	err   error
}

// checkProcess returns a check of a process that is sent within delay, or by the time at which the
// process may be checked again if that is later and rateLimited is true. The caller holds g.mu.
func (g *Gateway) checkProcess(backend catalog.Backend, delay time.Duration, rateLimited bool) *processCheck {
	now, process := boottime.Now(), processOf(backend)
	sendAt := now + delay
	if last, ok := g.crashes.checks[process]; ok {
		if rateLimited {
			sendAt = max(sendAt, last.sendAt+probeInterval)
		}
		if now < last.sendAt && last.sendAt <= sendAt {
			return last
		}
	}
	c := &processCheck{gateway: g, backend: backend, sendAt: sendAt, done: make(chan struct{})}
	if state := g.state.Load(); state != nil {
		c.path = state.Services[backend.Service].HealthPath
	}
	if len(g.crashes.checks) >= maxProbedProcesses {
		clear(g.crashes.checks)
	}
	g.crashes.checks[process] = c
	go c.run()
	return c
}

// run performs the check.
func (c *processCheck) run() {
	defer close(c.done)
	time.Sleep(c.sendAt - boottime.Now())
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c.found, c.err = c.gateway.sender.Probe(ctx, c.backend, c.path)
	g := c.gateway
	g.metrics.processChecks.WithLabelValues(c.backend.Service, c.outcome().String()).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.RecordCheck(processOf(c.backend), c.found)
	if c.found.Server != "" && c.found.Server != c.backend.ID && !g.fleet.Superseded(c.backend) {
		g.fleet.RecordReplaced(c.backend.ID, c.found.Server, boottime.Now())
	}
}

// outcome returns what the check shows whatever response it is for.
func (c *processCheck) outcome() liveness.Outcome { return c.judge(0, c.sendAt) }

// judge returns what the check shows after a response to a request that was sent at a time.
func (c *processCheck) judge(sentAt, endedAt time.Duration) liveness.Outcome {
	return liveness.Exchange{Process: liveness.Process(processOf(c.backend)), SentAt: sentAt, EndedAt: endedAt}.Judge(c.found)
}

// endError means that a response ended with its connection, and that its server's process is not known
// to have run after that. The response is not complete.
type endError struct {
	outcome  liveness.Outcome
	evidence string
	endedAt  time.Duration
}

func (e *endError) Error() string {
	return fmt.Sprintf("the response ended with its connection, process of its server: %s", e.outcome)
}

func (e *endError) Unwrap() error { return io.ErrUnexpectedEOF }

// errAtDeadline means that a response ended at the deadline that its server was given, where servers stop
// work. It is not complete.
var errAtDeadline = fmt.Errorf("the response ended at its deadline: %w", context.DeadlineExceeded)

// deadlineTolerance is how long before its deadline the end of a response counts as at the deadline. Servers
// get it in whole milliseconds, and their clocks run at slightly different rates.
const deadlineTolerance = 2 * time.Millisecond

// confirmEnd checks that a response whose end was read is complete.
//
// A response with neither a length nor chunks ends with its connection, also if its server crashes. Only a
// process that still runs has ended it on purpose.
func (t *attempt) confirmEnd(reply *Reply) error {
	switch {
	case reply.Length >= 0:
		return nil
	case t.remaining() < deadlineTolerance:
		return errAtDeadline
	case reply.UntilClose:
		err := t.confirmEndAt(t.ctx, boottime.Now())
		if reply.Failure == nil {
			return err
		}
		// A server that closes before it has read the request resets the connection when the rest arrives.
		return cmp.Or(reply.Failure(), err)
	}
	return nil
}

// confirmEndAt checks that a response that ended with its connection at a time is complete.
func (t *attempt) confirmEndAt(ctx context.Context, endedAt time.Duration) error {
	for delay := firstProbeDelay; ; delay = secondProbeDelay {
		t.gateway.mu.Lock()
		c := t.gateway.checkProcess(t.Backend, delay, false)
		t.gateway.mu.Unlock()
		select {
		case <-c.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		outcome := c.judge(t.sentAt, endedAt)
		t.logEndCheck(c, outcome, endedAt)
		switch {
		case outcome == liveness.Alive:
			return ctx.Err()
		case outcome == liveness.Ended, t.canContinue(), boottime.Now()-endedAt > maxConfirmTime:
			return &endError{outcome, c.found.Evidence(), endedAt}
		}
	}
}

// unconfirmedEnd is the end of a stream whose server's process was not known to run.
type unconfirmedEnd struct {
	*attempt
	status  int
	endedAt time.Duration
	// after is what had been delivered.
	after deliveredPart
}

// noteUnconfirmed keeps the end of a stream that may turn out to be complete.
func (t *attempt) noteUnconfirmed(reply *Reply, err error) {
	var end *endError
	if errors.As(err, &end) && end.outcome == liveness.Unknown {
		t.unconfirmed = &unconfirmedEnd{t, reply.Status, end.endedAt, t.delivered.snapshot()}
	}
}

// completeLate reports whether a stream that no server can continue is complete after all: the
// process of the server that ended it runs, and nothing was delivered since.
func (a *attempts) completeLate() bool {
	u := a.unconfirmed
	if u == nil || u.after != a.delivered.snapshot() || u.confirmEndAt(a.ctx, u.endedAt) != nil {
		return false
	}
	a.noteAnswered()
	a.recordOutcome(u.status, "", zap.String("Backend", u.Backend.ID), zap.String("LastEvent", u.after.lastEvent))
	return true
}

// canContinue reports whether another server can continue or repeat the answer.
func (t *attempt) canContinue() bool {
	if t.begun() && !t.resumable() {
		return false
	}
	t.gateway.mu.Lock()
	defer t.gateway.mu.Unlock()
	return t.Class.Repeatable && t.serversLeft() > 0
}

// logEndCheck logs a check whose outcome decides whether a response is complete.
func (t *attempt) logEndCheck(c *processCheck, outcome liveness.Outcome, endedAt time.Duration) {
	t.gateway.metrics.endChecks.WithLabelValues(t.service, outcome.String()).Inc()
	t.gateway.log.Info("end of a response without a length checked", zap.String("Request", t.call.logID()), zap.String("Backend", t.Backend.ID),
		zap.Int64("Boot", int64(t.Backend.Boot)), zap.Stringer("Outcome", outcome), zap.String("Evidence", c.found.Evidence()),
		zap.String("Found", c.found.Server), zap.Int64("FoundBoot", int64(c.found.Boot)), zap.Duration("Took", boottime.Now()-endedAt),
		zap.Duration("Left", t.remaining()), zap.String("LastEvent", t.delivered.snapshot().lastEvent), zap.Error(c.err))
}

// probeServer checks whether the process of a server that truncated a response has ended.
//
// Responses are lost and connections are reset while servers keep running. If that counted as a
// crash, three such events in a row would quarantine a harmless request. The caller holds g.mu.
func (g *Gateway) probeServer(backend catalog.Backend) {
	c := g.checkProcess(backend, firstProbeDelay, true)
	if !c.probes {
		c.probes = true
		go c.runProbe()
	}
}

// runProbe records a crash if the check shows that the process has ended. If nothing is known, it checks once
// more.
func (c *processCheck) runProbe() {
	g := c.gateway
	<-c.done
	if c.outcome() == liveness.Unknown {
		g.mu.Lock()
		second := g.checkProcess(c.backend, secondProbeDelay, false)
		g.mu.Unlock()
		<-second.done
		c = second
	}
	if c.outcome() == liveness.Ended {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.noteServerCrash(c.backend, c.found.Evidence())
	}
}
