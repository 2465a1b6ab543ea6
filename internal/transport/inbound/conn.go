package inbound

import (
	"context"
	"net"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// conn is a bounded connection. Its fields are used by the server's goroutine of the connection.
type conn struct {
	net.Conn
	limiter *Limiter
	entry   *intake.Connection
	// request is the request whose body is held; nil if there is none.
	request *Request
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
