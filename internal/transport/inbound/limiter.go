// Package inbound bounds what a process holds of what clients send, by the decisions of package intake. It
// owns the connections that clients open and the memory of their requests' headers and bodies.
package inbound

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// Limiter applies the limits of one process. It is safe for concurrent use.
type Limiter struct {
	limits  intake.Limits
	started time.Time
	metrics *metrics
	notices *notices
	// turn is held by the one request with a large body whose bytes are being processed.
	turn sync.Mutex

	mu          sync.Mutex
	budget      *intake.Budget
	connections *intake.Connections
	// evicted are the requests that must be woken because they were evicted.
	evicted []*Request
}

// New returns a limiter.
func New(limits intake.Limits, log *zap.Logger, registry prometheus.Registerer) *Limiter {
	l := &Limiter{
		limits: limits, started: time.Now(), notices: newNotices(log),
		budget: intake.NewBudget(limits), connections: intake.NewConnections(limits),
	}
	l.metrics = newMetrics(registry, l)
	log.Info("limits of clients", zap.Int64("Bytes", limits.Bytes), zap.Int64("LargestRequest", limits.LargestRequest()),
		zap.Ints("Connections", limits.Connections[:]))
	return l
}

// Unregistered returns the number of other entries that may be known by their messages only.
func (l *Limiter) Unregistered() int { return l.limits.Unregistered }

// now returns the time on a clock that stands still while the host is suspended, as what clients send does.
func (l *Limiter) now() time.Duration { return time.Since(l.started) }

// Bounds that a request or a connection may meet, in metrics and logs.
const (
	boundBytes       = "Bytes"
	boundRate        = "LeastRate"
	boundSize        = "MaxBodyBytes"
	boundFields      = "HeaderFields"
	boundConnections = "Connections"
)

// refused counts and logs that a bound was met.
func (l *Limiter) refused(bound, reason string, fields ...zap.Field) {
	l.metrics.refused.WithLabelValues(bound, reason).Inc()
	l.notices.add(bound, reason, fields)
}

// grow gives a request more memory, or returns false.
func (l *Limiter) grow(r *Request, n int64) bool {
	l.mu.Lock()
	ok := l.budget.Grow(r.held, n, l.now())
	evicted := l.evicted
	l.evicted = nil
	l.mu.Unlock()
	for _, other := range evicted {
		l.refused(boundBytes, "Evicted")
		other.wakeEvicted()
	}
	return ok
}

// receiveBuffer is the size of the receive buffer of a client's connection, and peerReceiveBuffer that of
// another process's. Bytes that were received and not read count as memory of the process, also before a
// connection is accepted.
const (
	receiveBuffer     = 16 << 10
	peerReceiveBuffer = 64 << 10
)

// Listen returns a listener whose connections are bounded. The server must report their states to
// OnStateChange.
func (l *Limiter) Listen(inner net.Listener, kind intake.Listener) net.Listener {
	size := receiveBuffer
	if kind == intake.ListenerPeers {
		size = peerReceiveBuffer
	}
	if socket, ok := inner.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			// Connections inherit the size. Without the option, the system bounds the buffer.
			_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
		}
	}
	return &listener{Listener: inner, limiter: l, kind: kind}
}

type listener struct {
	net.Listener
	limiter *Limiter
	kind    intake.Listener
}

// Accept returns the next connection that the bounds allow.
func (s *listener) Accept() (net.Conn, error) {
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := s.limiter.open(raw, s.kind); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// open adds a connection; nil if it must be closed.
func (l *Limiter) open(raw net.Conn, kind intake.Listener) *conn {
	c := &conn{Conn: raw, limiter: l}
	c.inHeader.Store(true)
	l.mu.Lock()
	var stalled *intake.Connection
	if l.connections.Full(kind) {
		stalled = l.budget.Stalled(kind, l.now())
	}
	opened, replaced, ok := l.connections.Open(kind, stalled, l.now(), c.closeRaw)
	c.entry = opened
	l.mu.Unlock()
	if !ok {
		l.refused(boundConnections, "Refused", zap.Stringer("Listener", kind), zap.Stringer("Caller", raw.RemoteAddr()))
		return nil
	}
	if replaced != nil {
		l.refused(boundConnections, "Replaced", zap.Stringer("Listener", kind))
		replaced.Close()
	}
	return c
}

// CallerGroup returns the group of a caller that is known by its address only.
func CallerGroup(request *http.Request) intake.Group {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		host = request.RemoteAddr
	}
	return intake.Group("address " + host)
}

// OnStateChange is the ConnState hook of the servers whose listeners the limiter bounds.
func (l *Limiter) OnStateChange(c net.Conn, state http.ConnState) {
	conn := connOf(c)
	if conn == nil {
		return
	}
	switch state {
	case http.StateActive:
		conn.inHeader.Store(false)
		conn.setPhase(intake.PhaseActive)
	case http.StateIdle:
		conn.endRequest()
		if !multiplexed(c) {
			conn.header = headerSize{}
			conn.inHeader.Store(true)
		}
		conn.setPhase(intake.PhaseIdle)
	case http.StateClosed, http.StateHijacked:
		conn.endRequest()
		conn.remove()
	}
}

// connOf returns the connection beneath a server's connection; nil if it is not bounded.
func connOf(c net.Conn) *conn {
	for {
		switch inner := c.(type) {
		case *conn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}

// multiplexed reports whether requests share a connection, whose headers the server bounds itself.
func multiplexed(c net.Conn) bool {
	secured, ok := c.(*tls.Conn)
	return ok && secured.ConnectionState().NegotiatedProtocol == "h2"
}
