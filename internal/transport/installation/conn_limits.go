package installation

import (
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

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnLimits(limits func() catalog.Limits) *connLimits {
	return &connLimits{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// onStateChange is the server's ConnState hook. It starts the timer for a connection's new
// state.
func (l *connLimits) onStateChange(c net.Conn, state http.ConnState) {
	limits := l.limits()
	headerTimeout, idleTimeout := limits.HeaderTimeout, limits.IdleTimeout
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer, ok := l.timers[c]; ok {
		timer.Stop()
		delete(l.timers, c)
	}
	switch state {
	case http.StateNew:
		l.timers[c] = time.AfterFunc(headerTimeout, func() { l.closeConn(c) })
	case http.StateIdle:
		l.timers[c] = time.AfterFunc(idleTimeout+headerTimeout, func() { l.closeConn(c) })
	}
}

func (l *connLimits) closeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.timers, c)
	l.mu.Unlock()
	_ = c.Close()
}
