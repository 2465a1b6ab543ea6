package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/inbound"
)

// Timeouts and retry delays of callers' requests.
const (
	// defaultTimeout is used as the caller's timeout if the caller sends none.
	defaultTimeout = time.Minute
	// maxRequestDuration is how long requests that were read under an earlier desired state may run.
	maxRequestDuration = defaultTimeout
	// retryAfterLocal is sent with refusals that are due to this process and not to load: another
	// entry can serve the request immediately.
	retryAfterLocal = 100 * time.Millisecond
	// retryAfterNoState is sent while no desired state is known.
	retryAfterNoState = 300 * time.Millisecond
	// writeGracePeriod is the extra time after the deadline for writing the response to the caller.
	writeGracePeriod = time.Second
)

// errorResponse is a final response that the entry produces itself.
type errorResponse struct {
	status int
	reason string
	// retryAfter is when the caller should retry; only set for requests that did not run.
	retryAfter time.Duration
	// fields are added to the log of the request's outcome.
	fields []zap.Field
	// closeConnection is set if the rest of the caller's connection cannot be parsed reliably.
	closeConnection bool
}

// Reasons in responses that the entry produces itself.
const (
	reasonNoState            = "no desired state is known yet"
	reasonStale              = "the view of the keys is too old"
	reasonStaleState         = "the view of the desired state is too old"
	reasonDraining           = "this entry is leaving"
	reasonMalformed          = "malformed request"
	reasonHeaderTooLarge     = "headers are too large"
	reasonBodyTooLarge       = "body is too large"
	reasonBodyTimeout        = "body did not arrive in time"
	reasonNoMemory           = "the memory for requests is used up"
	reasonNoRoute            = "no such route"
	reasonNoKey              = "unknown key"
	reasonNoServer           = "no server can take the request"
	reasonBusy               = "all servers are busy"
	reasonRefused            = "servers refused the request"
	reasonMayHaveRun         = "the request may have run, its answer is lost"
	reasonTimeout            = "time ran out"
	reasonCallerDisconnected = "the caller left"
	reasonTruncated          = "the answer broke off"
	// reasonQuarantined refuses a request that servers crashed under, and reasonPartQuarantined one
	// with a part in its prompt that servers crashed under. reasonAlreadyInFlight refuses
	// a suspected request while the same request is running at a server, because the next crash
	// decides whether it is quarantined.
	reasonQuarantined     = "servers end under this request"
	reasonPartQuarantined = "servers end under requests with a part of this prompt"
	reasonAlreadyInFlight = "this request is being tried at one server"
)

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{gateway: g, writer: w, request: r, held: g.inbound.Begin(w, r), arrived: time.Now(), arrivedAt: boottime.Now()}
	defer x.held.End()
	if response := x.prepare(); response != nil {
		x.refuse(response)
		return
	}
	defer x.cancel()
	x.run()
}

// exchange is one request of a caller and its response.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	// held is what the request holds of this host's memory.
	held    *inbound.Request
	arrived time.Time
	// arrivedAt is when the request arrived, on the clock of deadlineAt.
	arrivedAt time.Duration

	call  *Call
	state *catalog.State
	// stateFields are the log fields of the state when the request was judged by it.
	stateFields  []zap.Field
	route        *catalog.Route
	service      string
	organisation catalog.Organisation
	// regions are those that both the route and the organisation allow.
	regions filbertlever.Regions
	// priority is the urgency level of the request if levels, the number of urgency levels of the
	// service, is not 0.
	priority int
	levels   int
	// deadline is when the request times out. deadlineAt is the same on a clock that advances
	// while the host is suspended, as the callers' clocks do.
	deadline   time.Time
	deadlineAt time.Duration
	ctx        context.Context
	cancel     context.CancelFunc
	// cachedFingerprint is set once the request's fingerprint has been computed.
	cachedFingerprint atomic.Pointer[quarantine.Feature]
	// cachedParts is set once the IDs of the parts of the prompt have been computed.
	cachedParts atomic.Pointer[[]quarantine.PartID]
	// firstByteAt is when the first byte of the response was forwarded.
	firstByteAt time.Time
}

// prepare checks everything that can be checked before a server is chosen.
func (x *exchange) prepare() *errorResponse {
	g := x.gateway
	if !x.accepting() {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: reasonDraining, retryAfter: retryAfterLocal, closeConnection: true}
	}
	call, err := g.codec.Parse(x.request)
	if err != nil {
		return &errorResponse{status: http.StatusBadRequest, reason: err.Error(), closeConnection: true}
	}
	x.call = call
	if g.awaitState(x.request.Context()) == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: reasonNoState, retryAfter: retryAfterNoState}
	}
	current := false
	x.state, current = g.awaitCurrentState(x.request.Context(), x.arrivedAt)
	x.stateFields = g.stateFields(cmp.Or(x.state, g.state.Load()), boottime.Now())
	if !current {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: reasonStaleState, retryAfter: retryAfterLocal, closeConnection: true}
	}
	if response := x.checkSize(); response != nil {
		return response
	}
	route, ok := x.state.Route(call.Host, call.Path)
	if !ok {
		return x.refuseUnknown(http.StatusNotFound, reasonNoRoute)
	}
	x.route = route
	x.service = route.PickService(call.ID)
	if response := x.checkKey(); response != nil {
		return response
	}
	if x.levels = x.state.Levels(x.service); x.levels > 0 {
		x.priority = x.state.Level(x.service, x.route, &x.organisation)
	}
	x.setDeadline()
	return x.readBody()
}

// Timeouts of an entry that has just started.
const (
	// stateWaitTimeout is how long a request waits for the desired state, which normally arrives
	// soon after the start. Refusing the request would cost the caller one of its attempts.
	stateWaitTimeout = 400 * time.Millisecond
	// startupWindow is the time after the start in which the desired state is expected to arrive
	// soon. After that, the store is unavailable for an unknown time and requests do not wait.
	startupWindow = 1500 * time.Millisecond
)

// awaitState returns the desired state, for which requests wait briefly while this process has just
// started; nil if none is known.
func (g *Gateway) awaitState(ctx context.Context) *catalog.State {
	if state := g.state.Load(); state != nil || boottime.Now()-g.started > startupWindow {
		return state
	}
	timer := time.NewTimer(stateWaitTimeout)
	defer timer.Stop()
	select {
	case <-g.stateKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.state.Load()
}

// accepting reports whether new requests are accepted. It asks callers of a draining entry to close
// their connections.
func (x *exchange) accepting() bool {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stop.Announced() {
		x.writer.Header().Set("Connection", "close")
	}
	return g.stop.Accepts()
}

// checkSize enforces the limits on the size of headers and body.
func (x *exchange) checkSize() *errorResponse {
	limits := x.state.Limits
	if limits.MaxHeaderBytes > 0 {
		size := 0
		for name, values := range x.request.Header {
			for _, value := range values {
				size += len(name) + len(value) + len(": \r\n")
			}
		}
		if size > limits.MaxHeaderBytes {
			return &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge, closeConnection: true}
		}
	}
	if x.request.ContentLength > x.maxBodyBytes() {
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, closeConnection: true}
	}
	return nil
}

// checkKey finds the organisation that the request's key belongs to.
func (x *exchange) checkKey() *errorResponse {
	x.priority, x.regions = x.route.Priority, x.route.Regions
	if !x.state.ChecksKey(x.route, x.call.Key) {
		return nil
	}
	if !x.gateway.keysFresh(boottime.Now()) {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: reasonStale, retryAfter: retryAfterLocal, closeConnection: true}
	}
	organisation, ok := x.state.Organisation(x.call.Key)
	if !ok {
		return x.refuseUnknown(http.StatusUnauthorized, reasonNoKey)
	}
	x.organisation = organisation
	x.regions = x.route.Regions.Intersect(organisation.Regions)
	if organisation.Priority >= 0 {
		x.priority = organisation.Priority
	}
	return nil
}

// refuseUnknown refuses a request whose route or key is not in the desired state. If that is too old to
// tell whether it has been added, another entry can.
func (x *exchange) refuseUnknown(status int, reason string) *errorResponse {
	if !x.gateway.awaitConfirmedChanges(x.request.Context()) {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: reasonStaleState, retryAfter: retryAfterLocal, closeConnection: true}
	}
	return &errorResponse{status: status, reason: reason}
}

// setDeadline sets the request's deadline to the smaller of the caller's timeout and the route's
// timeout.
func (x *exchange) setDeadline() {
	timeout := defaultTimeout
	if x.call.HasTimeout {
		timeout = x.call.Timeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline, x.deadlineAt = x.arrived.Add(timeout), x.arrivedAt+timeout
	x.ctx, x.cancel = context.WithDeadline(x.request.Context(), x.deadline)
}

// maxBodyBytes returns the largest body that a request may have: as the desired state says, but no more
// than this host's memory allows.
func (x *exchange) maxBodyBytes() int64 {
	largest := x.gateway.inbound.LargestBody()
	if limit := x.state.Limits.MaxBodyBytes; limit > 0 {
		return min(limit, largest)
	}
	return largest
}

// readBody reads the whole body, so that the request can be retried and a disconnect of the caller
// is detected from then on.
func (x *exchange) readBody() *errorResponse {
	group := intake.Group(x.organisation.ID)
	if group == "" {
		group = inbound.CallerGroup(x.request)
	}
	body, err := x.held.ReadBody(group, x.maxBodyBytes(), x.deadline)
	if err == nil {
		x.call.Body = body
		return nil
	}
	x.cancel()
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, closeConnection: true}
	case errors.Is(err, inbound.ErrNoMemory):
		response := unavailable(reasonNoMemory, x.gateway.retryDelay())
		response.closeConnection = true
		return response
	}
	return &errorResponse{status: http.StatusRequestTimeout, reason: reasonBodyTimeout, closeConnection: true}
}

// callerDisconnected reports whether the caller itself has cancelled the request.
func (x *exchange) callerDisconnected() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}

// remaining returns the time until the request's deadline.
func (x *exchange) remaining() time.Duration { return x.deadlineAt - boottime.Now() }

// unavailable returns a 503 response with a retry delay.
func unavailable(reason string, retryAfter time.Duration) *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// retryDelay returns when a caller should retry if no server's queue gives an estimate.
func (g *Gateway) retryDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return admission.RetryAfter(0, g.rng)
}

// retryDelayUntilReady returns when a caller should retry a service that no server can serve now.
// Ready is when one is expected to be able to. The caller holds g.mu.
func (g *Gateway) retryDelayUntilReady(service string, ready, left, now time.Duration) time.Duration {
	outage, ok := g.outages[service]
	if !ok {
		outage = &admission.Outage{}
		g.outages[service] = outage
	}
	return admission.RetryAfterOutage(ready, left, outage.RecordRefusal(now), g.rng)
}

// retryDelayUntilReady is the same for a request whose last attempt found a different server.
func (a *attempts) retryDelayUntilReady() time.Duration {
	g, now := a.gateway, boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryDelayUntilReady(a.service, g.fleet.ReadyIn(a.placementRequest(now), now), a.remaining(), now)
}
