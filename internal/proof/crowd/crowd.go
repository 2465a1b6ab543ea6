// Package crowd runs clients that misbehave against a process, and observes what that process holds.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Behaviour is what each client of a crowd does on a connection.
type Behaviour struct {
	// Sent is what a client sends: all at once, or in pieces of Piece bytes that are Gap apart.
	Sent  []byte
	Piece int
	Gap   time.Duration
	// Reads is true if the client reads what the process answers.
	Reads bool
}

// Chunked returns a body of size bytes in chunks of a size. The last chunk, which ends the body, is
// missing.
func Chunked(size, chunk int) []byte {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte{'x'}, chunk))
	return bytes.Repeat(one, size/chunk)
}

// Crowd is a number of clients that each keep one connection open. A client whose connection is closed
// opens another one.
type Crowd struct {
	Behaviour
	Clients int
	// Tries is the number of connections that a client opens one after the other.
	Tries int
	// Dial opens a connection to the process.
	Dial func() (net.Conn, error)

	mu       sync.Mutex
	conns    map[net.Conn]bool
	left     bool
	clients  sync.WaitGroup
	settling sync.WaitGroup
}

// retryDelay is the pause before a client opens another connection.
const retryDelay = 50 * time.Millisecond

// Start starts all clients. The function that it returns makes them leave.
func (c *Crowd) Start() func() {
	c.conns = map[net.Conn]bool{}
	c.settling.Add(c.Clients)
	for range c.Clients {
		c.clients.Go(c.runClient)
	}
	return c.leave
}

// AwaitSettled waits until each client has sent all that it sends, or has used up its tries.
func (c *Crowd) AwaitSettled(timeout time.Duration) bool {
	settled := make(chan struct{})
	go func() {
		c.settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (c *Crowd) leave() {
	c.mu.Lock()
	c.left = true
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

func (c *Crowd) runClient() {
	settled := sync.OnceFunc(c.settling.Done)
	defer settled()
	for range c.Tries {
		if conn, err := c.open(); err == nil {
			c.send(conn, settled)
			c.close(conn)
		}
		if c.hasLeft() {
			return
		}
		time.Sleep(retryDelay)
	}
}

func (c *Crowd) hasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

func (c *Crowd) open() (net.Conn, error) {
	conn, err := c.Dial()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c.conns[conn] = true
	return conn, nil
}

func (c *Crowd) close(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// send sends on a connection and stays until it is closed.
func (c *Crowd) send(conn net.Conn, settled func()) {
	closed := make(chan struct{})
	if c.Reads {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	for rest := c.Sent; len(rest) > 0; {
		n := len(rest)
		if c.Piece > 0 {
			n = min(n, c.Piece)
		}
		if _, err := conn.Write(rest[:n]); err != nil {
			return
		}
		if rest = rest[n:]; len(rest) > 0 {
			time.Sleep(c.Gap)
		}
	}
	settled()
	if c.Reads {
		<-closed
		return
	}
	for !c.hasLeft() {
		// Answers stay unread.
		time.Sleep(retryDelay)
	}
}
