package intake

import (
	"container/list"
	"time"
)

// Phase is what a connection is used for.
type Phase int

// The phases, in the order in which connections are replaced by new ones.
const (
	// PhaseClosing: the last response has been sent. What still arrives is thrown away.
	PhaseClosing Phase = iota
	// PhaseWaiting: nothing, or a part of a header, has arrived on a new connection.
	PhaseWaiting
	// PhaseIdle: the connection is kept open after a response.
	PhaseIdle
	// PhaseSending: a large part of a response is written. The connection is replaced only if the caller
	// does not read for longer than the patience.
	PhaseSending
	// PhaseActive: a request is received or served. The connection is replaced only if its request is
	// stalled.
	PhaseActive
	phaseCount
)

// Connection is an open connection in Connections.
type Connection struct {
	listener Listener
	phase    Phase
	// since is when the phase began.
	since   time.Duration
	element *list.Element
	close   func()
}

// Connections bounds the open connections of each listener. At the bound, a new connection replaces one
// that does not carry a request, otherwise one whose caller neither sends nor reads.
type Connections struct {
	limits Limits
	// byPhase holds the connections of each listener and phase, the longest in it first.
	byPhase [listenerCount][phaseCount]*list.List
}

// NewConnections returns a table without connections.
func NewConnections(limits Limits) *Connections {
	c := &Connections{limits: limits}
	for listener := range c.byPhase {
		for phase := range c.byPhase[listener] {
			c.byPhase[listener][phase] = list.New()
		}
	}
	return c
}

// Open adds a connection. If the bound is reached, it returns the connection that must be closed, or
// false if all connections are in use. stalled is one whose request is stalled; nil if there is none.
func (c *Connections) Open(listener Listener, stalled *Connection, now time.Duration, closeConn func()) (opened, replaced *Connection, ok bool) {
	if c.Full(listener) {
		if replaced = c.replaceable(listener, now); replaced == nil {
			replaced = stalled
		}
		if replaced == nil || !c.Remove(replaced) {
			return nil, nil, false
		}
	}
	opened = &Connection{listener: listener, phase: PhaseWaiting, since: now, close: closeConn}
	opened.element = c.byPhase[listener][PhaseWaiting].PushBack(opened)
	return opened, replaced, true
}

// replaceable returns the connection that a new one replaces; nil if there is none.
func (c *Connections) replaceable(listener Listener, now time.Duration) *Connection {
	for phase := PhaseClosing; phase <= PhaseSending; phase++ {
		first := c.byPhase[listener][phase].Front()
		if first == nil {
			continue
		}
		conn := first.Value.(*Connection)
		if phase < PhaseSending || now-conn.since > c.limits.Patience {
			return conn
		}
	}
	return nil
}

// Full reports whether a listener has as many connections as its bound allows.
func (c *Connections) Full(listener Listener) bool { return c.Count(listener) >= c.Limit(listener) }

// Count returns the number of open connections of a listener.
func (c *Connections) Count(listener Listener) int {
	n := 0
	for _, l := range c.byPhase[listener] {
		n += l.Len()
	}
	return n
}

// Limit returns the bound of a listener.
func (c *Connections) Limit(listener Listener) int { return c.limits.Connections[listener] }

// SetPhase changes what a connection is used for. A connection that was removed stays removed.
func (c *Connections) SetPhase(conn *Connection, phase Phase, now time.Duration) {
	if conn.element == nil || conn.phase == phase {
		return
	}
	c.byPhase[conn.listener][conn.phase].Remove(conn.element)
	conn.phase, conn.since = phase, now
	conn.element = c.byPhase[conn.listener][phase].PushBack(conn)
}

// Remove removes a connection. It reports whether the connection was open.
func (c *Connections) Remove(conn *Connection) bool {
	if conn.element == nil {
		return false
	}
	c.byPhase[conn.listener][conn.phase].Remove(conn.element)
	conn.element = nil
	return true
}

// Close closes the connection itself.
func (conn *Connection) Close() { conn.close() }
