package inbound

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

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
}

// Read reads from the connection.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
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

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the ConnContext hook of the servers whose listeners the limiter bounds.
func (l *Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(c))
}
