package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Bounds of callers' requests.
const (
	// defaultTime is a request's time if neither caller nor route bounds it.
	defaultTime = time.Minute
	// bodyTime bounds the reading of a body.
	bodyTime = 5 * time.Second
	// comeBack is when a caller should return that was refused for a reason of
	// this process and not of load: another entry can serve it at once.
	comeBack = 100 * time.Millisecond
	// comeBackState is the same while no desired state is known.
	comeBackState = 300 * time.Millisecond
	// writeSlack is left to a caller to take the end of its answer.
	writeSlack = time.Second
)

// problem is a final answer of the entry's own.
type problem struct {
	status int
	reason string
	// retry is when to come back; only for requests that did not run.
	retry time.Duration
	// closes ends the caller's channel, whose rest cannot be trusted.
	closes bool
}

// Reasons of the entry's own answers.
const (
	reasonNoState   = "no desired state is known yet"
	reasonStale     = "the view of the keys is too old"
	reasonLeaving   = "this entry is leaving"
	reasonBad       = "malformed request"
	reasonHeader    = "headers are too large"
	reasonBody      = "body is too large"
	reasonSlowBody  = "body did not arrive in time"
	reasonNoRoute   = "no such route"
	reasonNoKey     = "unknown key"
	reasonNoServer  = "no server can take the request"
	reasonBusy      = "all servers are busy"
	reasonRefused   = "servers refused the request"
	reasonUnknown   = "the request may have run, its answer is lost"
	reasonTime      = "time ran out"
	reasonCallerEnd = "the caller left"
	reasonBroken    = "the answer broke off"
	// A request under which servers have ended is not run; nor is one of which the same is
	// being tried, as the next end decides.
	reasonQuarantined = "servers end under this request"
	reasonAlone       = "this request is being tried at one server"
)

// ServeHTTP takes one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	x := &exchange{gateway: g, writer: w, request: r, arrived: time.Now()}
	if p := x.prepare(); p != nil {
		x.refuse(p)
		return
	}
	defer x.cancel()
	x.run()
}

// exchange is one request of a caller and its answer.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	call         *Call
	state        *catalog.State
	route        *catalog.Route
	service      string
	organisation catalog.Organisation
	urgency      int
	deadline     time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	// fingerprinted is the request's fingerprint, once it was asked for.
	fingerprinted atomic.Pointer[quarantine.Fingerprint]
	// begun is when the first byte of an answer was sent on.
	begun time.Time
}

// prepare checks everything that can be known before the request is placed.
func (x *exchange) prepare() *problem {
	g := x.gateway
	if !x.accepted() {
		return &problem{status: http.StatusServiceUnavailable, reason: reasonLeaving, retry: comeBack, closes: true}
	}
	call, err := g.codec.Parse(x.request)
	if err != nil {
		return &problem{status: http.StatusBadRequest, reason: err.Error(), closes: true}
	}
	x.call = call
	x.state = g.awaitState(x.request.Context())
	if x.state == nil {
		return &problem{status: http.StatusServiceUnavailable, reason: reasonNoState, retry: comeBackState}
	}
	if p := x.checkSize(); p != nil {
		return p
	}
	route, ok := x.state.Route(call.Host, call.Path)
	if !ok {
		return &problem{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	x.route = route
	x.service = route.Service(call.ID)
	if p := x.checkKey(); p != nil {
		return p
	}
	x.setDeadline()
	return x.readBody()
}

// Times of an entry that has just started.
const (
	// stateWait is how long a request waits for the desired state, which is known soon after the
	// start. A caller that is told to come back has lost a try.
	stateWait = 400 * time.Millisecond
	// stateExpected is the time since the start in which it is expected to be known
	// soon; after that the store is away, and nothing tells for how long.
	stateExpected = 1500 * time.Millisecond
)

// awaitState returns the desired state, for which requests wait a moment while this
// process has just started; nil if none is known.
func (g *Gateway) awaitState(ctx context.Context) *catalog.State {
	if state := g.state.Load(); state != nil || boottime.Now()-g.started > stateExpected {
		return state
	}
	timer := time.NewTimer(stateWait)
	defer timer.Stop()
	select {
	case <-g.stated:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.state.Load()
}

// accepted reports whether new requests are taken, and asks callers of a
// leaving entry to end their channel.
func (x *exchange) accepted() bool {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stop.Leaving() {
		x.writer.Header().Set("Connection", "close")
	}
	return g.stop.Accepts()
}

func (x *exchange) checkSize() *problem {
	limits := x.state.Limits
	if limits.Header > 0 {
		size := 0
		for name, values := range x.request.Header {
			for _, value := range values {
				size += len(name) + len(value) + len(": \r\n")
			}
		}
		if size > limits.Header {
			return &problem{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeader, closes: true}
		}
	}
	if limits.Body > 0 && x.request.ContentLength > limits.Body {
		return &problem{status: http.StatusRequestEntityTooLarge, reason: reasonBody, closes: true}
	}
	return nil
}

// checkKey finds the organisation that holds the request's key.
func (x *exchange) checkKey() *problem {
	x.urgency = x.route.Priority
	if !x.state.Keyed || x.route.Anonymous {
		return nil
	}
	if !x.gateway.fresh(boottime.Now()) {
		return &problem{status: http.StatusServiceUnavailable, reason: reasonStale, retry: comeBack, closes: true}
	}
	organisation, ok := x.state.Organisation(x.call.Key)
	if !ok {
		return &problem{status: http.StatusUnauthorized, reason: reasonNoKey}
	}
	x.organisation = organisation
	if organisation.Priority >= 0 {
		x.urgency = organisation.Priority
	}
	return nil
}

// setDeadline bounds the request by what the caller waits and the route allows.
func (x *exchange) setDeadline() {
	left := defaultTime
	if x.call.Bounded {
		left = x.call.Left
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(left)
	x.ctx, x.cancel = context.WithDeadline(x.request.Context(), x.deadline)
}

// readBody reads the whole body, so that the request can be sent again and the
// caller's leaving is noticed from then on.
func (x *exchange) readBody() *problem {
	if x.request.Body == nil || x.request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
	limit := x.state.Limits.Body
	if limit <= 0 {
		limit = 1 << 30
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, limit+1))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		x.cancel()
		return &problem{status: http.StatusRequestTimeout, reason: reasonSlowBody, closes: true}
	}
	if int64(len(body)) > limit {
		x.cancel()
		return &problem{status: http.StatusRequestEntityTooLarge, reason: reasonBody, closes: true}
	}
	x.call.Body = body
	return nil
}

// refuse gives the caller a final answer of the entry's own.
func (x *exchange) refuse(p *problem) {
	header := x.writer.Header()
	if p.retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(p.retry.Seconds(), 'f', 3, 64))
	}
	if p.closes {
		header.Set("Connection", "close")
	}
	http.Error(x.writer, p.reason, p.status)
	fields := []zap.Field{zap.Duration("RetryAfter", p.retry)}
	if p.status == http.StatusServiceUnavailable && x.call != nil && len(x.call.Body) <= trustBody {
		// The caller comes back under another ID; this is what stays the same.
		fields = append(fields, zap.Stringer("Fingerprint", x.fingerprint()))
	}
	x.ended(p.status, p.reason, fields...)
}

// ended writes the line and the figures of a request's final answer.
func (x *exchange) ended(status int, reason string, more ...zap.Field) {
	g := x.gateway
	g.metrics.outcomes.WithLabelValues(x.service, outcomeName(status, reason)).Inc()
	now := time.Now()
	fields := []zap.Field{
		zap.Int("Status", status), zap.Duration("Took", now.Sub(x.arrived)),
	}
	if x.call != nil {
		fields = append(fields, zap.String("Request", x.call.ID), zap.String("Model", x.call.Model))
	}
	if x.state != nil {
		age, _ := g.age(boottime.Now())
		fields = append(fields, zap.Uint64("StateVersion", x.state.Version), zap.Duration("StateAge", age))
	}
	if x.route != nil {
		fields = append(fields, zap.String("Route", x.route.Name), zap.String("Service", x.service),
			zap.String("Organisation", string(x.organisation.ID)))
	}
	if !x.begun.IsZero() {
		g.metrics.first.WithLabelValues(x.service).Observe(x.begun.Sub(x.arrived).Seconds())
		fields = append(fields, zap.Duration("First", x.begun.Sub(x.arrived)))
	}
	if reason != "" {
		fields = append(fields, zap.String("Reason", reason))
	}
	g.log.Info("request ended", append(fields, more...)...)
}

// outcomeName groups final answers for counting.
func outcomeName(status int, reason string) string {
	switch {
	case reason == reasonCallerEnd:
		return "CallerLeft"
	case reason == reasonBroken:
		return "BrokenOff"
	case reason == reasonQuarantined, reason == reasonAlone:
		return "Quarantined"
	case status < http.StatusBadRequest:
		return "Answered"
	case status == http.StatusServiceUnavailable:
		return "NotRun"
	case status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
		return "Unknown"
	case status < http.StatusInternalServerError:
		return "Refused"
	}
	return "ServerFailed"
}

// callerLeft reports whether the caller itself has ended the request.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}

// remaining is the time left of the request.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// busy is the refusal of a request that no server can take in time.
func busy(reason string, retry time.Duration) *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: reason, retry: retry}
}

// returnTime is when to come back when no queue tells.
func (g *Gateway) returnTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return admission.ReturnTime(0, g.rng)
}

// returnWhenReady is when to come back to a service whose servers hold nothing, one
// of which will be ready then; the caller holds the lock.
func (g *Gateway) returnWhenReady(service string, ready, left, now time.Duration) time.Duration {
	outage, ok := g.outages[service]
	if !ok {
		outage = &admission.Outage{}
		g.outages[service] = outage
	}
	return admission.ReturnWhenReady(ready, left, outage.Refused(now), g.rng)
}

func (a *attempts) returnWhenReady() time.Duration {
	g, now := a.gateway, boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.returnWhenReady(a.service, g.fleet.ReadyIn(a.service, now), a.remaining(), now)
}
