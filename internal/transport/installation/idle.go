package installation

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Limits on callers' channels while no desired state sets them.
const (
	// defaultHeaderTimeout bounds the arrival of a request's head.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout is how long a caller's channel may be unused. Callers use one
	// again after up to four fifths of the operators' limit, usually 15 s.
	defaultIdleTimeout = 75 * time.Second
)

// Outer bounds that hold whatever operators set: those of the server itself, which
// cannot change while it runs.
const (
	maxHeaderTimeout = 30 * time.Second
	maxIdleTimeout   = 10 * time.Minute
)

// connLimits ends callers' channels that stay unused for longer than the desired
// state allows, or whose first head takes longer. A later head of a slow caller is
// bounded by both together.
type connLimits struct {
	// limits returns those in force; zeros mean that none are set.
	limits func() catalog.Limits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnLimits(limits func() catalog.Limits) *connLimits {
	return &connLimits{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// onStateChange is told of a channel's state by the server.
func (l *connLimits) onStateChange(c net.Conn, state http.ConnState) {
	limits := l.limits()
	head, idle := limits.HeaderTime, limits.IdleTime
	if head <= 0 {
		head = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer, ok := l.timers[c]; ok {
		timer.Stop()
		delete(l.timers, c)
	}
	switch state {
	case http.StateNew:
		l.timers[c] = time.AfterFunc(head, func() { l.closeConn(c) })
	case http.StateIdle:
		l.timers[c] = time.AfterFunc(idle+head, func() { l.closeConn(c) })
	}
}

func (l *connLimits) closeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.timers, c)
	l.mu.Unlock()
	_ = c.Close()
}
