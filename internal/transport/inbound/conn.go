package inbound

import (
	"bytes"
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
	// fieldBytes is what each line of a header costs besides, beyond the first freeFields. A header with
	// more than maxFields lines is not read on.
	fieldBytes = 512
	freeFields = 32
	maxFields  = 1 << 10
)

// Errors of reading a header.
var (
	// errNoHeaderMemory means that the request was evicted, or that there was no memory for it.
	errNoHeaderMemory = errors.New("the memory for requests is used up")
	errTooManyFields  = errors.New("the header has too many fields")
)

// headerSize is the size of a header so far.
type headerSize struct {
	bytes, lines int64
	// charged is what it has been charged.
	charged int64
	// ended is true once the empty line has been read. What follows belongs to the body. atLineStart is true
	// if the last byte that counts ended a line.
	ended, atLineStart bool
}

// add adds a part of a header, or of a header and what follows it.
func (h *headerSize) add(part []byte) {
	for !h.ended && len(part) > 0 {
		line, rest, found := bytes.Cut(part, []byte{'\n'})
		h.bytes += int64(len(part) - len(rest))
		if found {
			h.lines++
			h.ended = h.atLineStart && len(bytes.TrimSuffix(line, []byte{'\r'})) == 0
		}
		// A line that is cut after its carriage return is still empty.
		h.atLineStart = found || h.atLineStart && string(line) == "\r"
		part = rest
	}
}

// cost returns what the header costs beyond its connection.
func (h *headerSize) cost() int64 {
	return headerFactor*max(h.bytes-freeHeaderBytes, 0) + fieldBytes*max(h.lines-freeFields, 0)
}

// conn is a bounded connection. Its fields are used by the server's goroutine of the connection.
type conn struct {
	net.Conn
	limiter *Limiter
	entry   *intake.Connection
	// inHeader is true while a header is awaited or read.
	inHeader atomic.Bool
	header   headerSize
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
		if headerErr := c.chargeHeader(data[:n]); headerErr != nil {
			return 0, headerErr
		}
	}
	return n, err
}

// chargeHeader accounts for a part of a header.
func (c *conn) chargeHeader(part []byte) error {
	c.header.add(part)
	if c.header.lines > maxFields {
		c.limiter.refused(boundFields, "Header")
		return errTooManyFields
	}
	cost := c.header.cost()
	if cost == 0 {
		return nil
	}
	if c.request == nil {
		c.request = c.limiter.begin(c, func() { c.closeRaw() })
	}
	c.request.arrived(int64(len(part)))
	if !c.charge(cost) {
		// The server closes the connection after an error of the network, without a status, so that the
		// caller may come back.
		return &net.OpError{Op: "read", Net: "tcp", Err: errNoHeaderMemory}
	}
	return nil
}

// charge charges the request for its header, unless that has been done. It returns false if there is no
// memory.
func (c *conn) charge(cost int64) bool {
	if cost <= c.header.charged {
		return true
	}
	charge := (cost - c.header.charged + headerStep - 1) / headerStep * headerStep
	if !c.limiter.grow(c.request, charge) {
		c.limiter.refused(boundBytes, "Header")
		return false
	}
	c.header.charged += charge
	return true
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
