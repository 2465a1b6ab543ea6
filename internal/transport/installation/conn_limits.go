package installation

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Limits of callers' connections that apply while the desired state sets none.
const (
	// defaultHeaderTimeout limits the time to receive a request's header.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout limits how long a caller's connection may be idle. Callers reuse a
	// connection for up to four fifths of the operators' limit, which is usually 15 s.
	defaultIdleTimeout = 75 * time.Second
)

// Upper limits that apply regardless of the operators' limits. They are set on the HTTP
// server, where they cannot change while it runs.
const (
	maxHeaderTimeout = 30 * time.Second
	maxIdleTimeout   = 10 * time.Minute
)

// connLimits closes callers' connections that are idle for longer than the desired state
// allows, or whose first request header takes longer. A later header on a connection is
// limited by the sum of the idle and header timeouts.
type connLimits struct {
	// limits returns the active limits; zero values mean that none are set.
	limits func() catalog.Limits

	mu    sync.Mutex
	conns map[net.Conn]*limitedConn
}

// limitedConn is the state of one connection.
type limitedConn struct {
	// timer runs while the connection waits for a request's header; nil otherwise.
	timer *time.Timer
	// waits counts the timers that were started.
	waits uint64
	// idleTimeout was in force when the connection last became idle, at idleSince; 0 if it was
	// never idle.
	idleTimeout time.Duration
	idleSince   time.Time
	// expired is set once the connection has been closed by a limit.
	expired bool
}

func newConnLimits(limits func() catalog.Limits) *connLimits {
	return &connLimits{limits: limits, conns: map[net.Conn]*limitedConn{}}
}

// active returns the active timeouts.
func (l *connLimits) active() (headerTimeout, idleTimeout time.Duration) {
	limits := l.limits()
	headerTimeout, idleTimeout = limits.HeaderTimeout, limits.IdleTimeout
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	return headerTimeout, idleTimeout
}

// onStateChange is the server's ConnState hook. It starts the timer for a connection's new
// state.
func (l *connLimits) onStateChange(c net.Conn, state http.ConnState) {
	headerTimeout, idleTimeout := l.active()
	l.mu.Lock()
	defer l.mu.Unlock()
	conn, ok := l.conns[c]
	if !ok {
		conn = &limitedConn{}
		l.conns[c] = conn
	}
	if conn.timer != nil {
		conn.timer.Stop()
		conn.timer = nil
	}
	switch state {
	case http.StateNew:
		l.startTimer(c, conn, headerTimeout)
	case http.StateIdle:
		longest := max(conn.idleTimeout, idleTimeout)
		conn.idleTimeout, conn.idleSince = idleTimeout, time.Now()
		l.startTimer(c, conn, longest+headerTimeout)
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// startTimer starts the timer of a wait. The caller holds mu.
func (l *connLimits) startTimer(c net.Conn, conn *limitedConn, timeout time.Duration) {
	conn.waits++
	wait := conn.waits
	conn.timer = time.AfterFunc(timeout, func() { l.expire(c, wait) })
}

// expire closes a connection unless the wait has ended since its timer fired. An idle connection
// stays open if the idle timeout has been extended meanwhile.
func (l *connLimits) expire(c net.Conn, wait uint64) {
	headerTimeout, idleTimeout := l.active()
	l.mu.Lock()
	defer l.mu.Unlock()
	conn, ok := l.conns[c]
	if !ok || conn.timer == nil || conn.waits != wait {
		return
	}
	if left := idleTimeout + headerTimeout - time.Since(conn.idleSince); conn.idleTimeout > 0 && left > 0 {
		l.startTimer(c, conn, left)
		return
	}
	conn.timer, conn.expired = nil, true
	_ = c.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connContext is the server's ConnContext hook.
func (l *connLimits) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// guard drops requests whose connection was closed by a limit after their header had been read. They
// must not be passed on, because their callers cannot be answered.
func (l *connLimits) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && l.isExpired(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// isExpired reports whether a connection was closed by a limit.
func (l *connLimits) isExpired(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn, ok := l.conns[c]
	return ok && conn.expired
}
