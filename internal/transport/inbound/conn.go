package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// freeHeaderBytes is the part of a header that is covered by the cost of its connection. Each further
// byte costs headerFactor bytes: a request's header is kept as it was read and as it is forwarded.
const (
	freeHeaderBytes = 4 << 10
	headerFactor    = 2
	headerStep      = 4 << 10
)

// errGaveWay means that a request has given way to others, or that there was no memory for it.
var errGaveWay = errors.New("the memory for requests is used up")

// conn is a bounded connection. Its fields are used by the server's goroutine of the connection.
type conn struct {
	net.Conn
	limiter *Limiter
	entry   *intake.Connection
	// inHeader is true while a header is awaited or read. headerBytes is its size so far.
	inHeader    atomic.Bool
	headerBytes int64
	// request is the request whose header or body is held; nil if there is none.
	request *Request

	// holdsTurn is true while the connection's request has the turn, and turns counts the turns that it
	// has had. The server may begin to wait for the next request during a turn, in a goroutine of its own.
	turnMu    sync.Mutex
	holdsTurn bool
	turns     int
}

// Read reads from the connection. It does not keep the turn while it waits.
func (c *conn) Read(data []byte) (int, error) {
	turn, yielded := c.yieldTurn()
	n, err := c.Conn.Read(data)
	if yielded {
		c.resumeTurn(turn)
	}
	if n > 0 && c.inHeader.Load() {
		if headerErr := c.chargeHeader(int64(n)); headerErr != nil {
			return 0, headerErr
		}
	}
	return n, err
}

// chargeHeader accounts for bytes of a header.
func (c *conn) chargeHeader(n int64) error {
	before := max(c.headerBytes-freeHeaderBytes, 0)
	c.headerBytes += n
	after := max(c.headerBytes-freeHeaderBytes, 0)
	if after == 0 {
		return nil
	}
	if c.request == nil {
		c.request = c.limiter.begin(c, func() { c.closeRaw() })
	}
	c.request.arrived(n)
	steps := (after+headerStep-1)/headerStep - (before+headerStep-1)/headerStep
	if steps > 0 && !c.limiter.grow(c.request, steps*headerStep*headerFactor) {
		c.limiter.refused(boundBytes, "Header")
		return errGaveWay
	}
	return nil
}

// endRequest releases what the connection's request holds.
func (c *conn) endRequest() {
	if c.request != nil {
		c.request.End()
		c.request = nil
	}
}

func (c *conn) setPhase(phase intake.Phase) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.connections.SetPhase(c.entry, phase, c.limiter.now())
}

// remove takes the connection out of the bounds.
func (c *conn) remove() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.connections.Remove(c.entry)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.remove()
	return c.Conn.Close()
}

// closeRaw closes the connection, which the server then notices.
func (c *conn) closeRaw() { _ = c.Conn.Close() }

// takeTurn waits until the connection's request may process a part of its body, and returns how long it
// waited. A crowd of bodies in tiny chunks would otherwise leave other requests no processor time.
func (c *conn) takeTurn() time.Duration {
	startedAt := time.Now()
	c.limiter.turn.Lock()
	c.turnMu.Lock()
	defer c.turnMu.Unlock()
	c.holdsTurn = true
	return time.Since(startedAt)
}

// endTurn ends the turn.
func (c *conn) endTurn() {
	c.turnMu.Lock()
	defer c.turnMu.Unlock()
	c.turns++
	if c.holdsTurn {
		c.holdsTurn = false
		c.limiter.turn.Unlock()
	}
}

// yieldTurn gives the turn to another request while this one waits for data.
func (c *conn) yieldTurn() (turn int, yielded bool) {
	c.turnMu.Lock()
	defer c.turnMu.Unlock()
	if !c.holdsTurn {
		return c.turns, false
	}
	c.holdsTurn = false
	c.limiter.turn.Unlock()
	return c.turns, true
}

// resumeTurn takes the turn again unless it has been ended.
func (c *conn) resumeTurn(turn int) {
	c.limiter.turn.Lock()
	c.turnMu.Lock()
	defer c.turnMu.Unlock()
	if c.turns != turn {
		c.limiter.turn.Unlock()
		return
	}
	c.holdsTurn = true
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the ConnContext hook of the servers whose listeners the limiter bounds.
func (l *Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(c))
}
