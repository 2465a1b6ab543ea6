// Package channel sends HTTP requests to backend servers over pooled connections.
// Unlike http.Transport it never retries a request, and its errors report whether
// a failed request may have reached the server.
package channel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Connection timeouts and limits.
const (
	// dialTimeout bounds the setup of a connection. Links have a latency of a few
	// milliseconds, and a host without power does not answer at all.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server does
	// not send a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's Keep-Alive timeout, so that a request
	// is not sent while the server closes the connection.
	idleMargin = 500 * time.Millisecond
	// expiryInterval is the interval between searches for expired idle connections.
	expiryInterval = time.Second
	// TCP keep-alive probes detect an unresponsive peer after about 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxInlineBody is the largest body that is written together with the head. It fits
	// the socket's buffer, so that the write cannot block on a server that responds
	// before it reads.
	maxInlineBody = 8 << 10
	// maxUnmatchedResponses is how many responses to earlier requests are skipped before
	// the connection is closed.
	maxUnmatchedResponses = 2
	// maxUnmatchedBytes bounds the body of a skipped response.
	maxUnmatchedBytes = 64 << 10
	readBufferSize    = 4 << 10
)

// Request is an HTTP request as it is sent to the server.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   intake.Body
	// BeforeSend is called when a connection is available, before anything is written. If it
	// returns an error, the request is not sent. It may be nil.
	BeforeSend func() error
}

// SendError is the error of a request that got no response.
type SendError struct {
	Address string
	// Sent is false only if no byte of the request was written, so that the server
	// cannot have run it.
	Sent bool
	Err  error
}

// Error returns the address, whether the request was sent, and the cause.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// errUnmatched is returned if a connection delivers only responses to other requests.
var errUnmatched = errors.New("answer to another request")

// Server identifies one process of a backend server.
type Server struct {
	// ID identifies the server and stays the same when the server restarts. Boot
	// identifies the process.
	ID      string
	Boot    int64
	Address string
}

// Pool holds idle connections by server ID. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	// expiry closes expired connections; nil while none is idle.
	expiry *time.Timer
	// largeHeads is the number of bytes of heads being read beyond readBufferSize of each.
	largeHeads atomic.Int64
}

// New returns an empty pool and a function that closes its connections.
func New() (*Pool, func()) {
	p := &Pool{
		idle: map[string][]*conn{},
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}},
	}
	return p, p.close
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headReader
	server Server
	// expiresAt is when the idle connection must not be used any more.
	expiresAt time.Time
	// openedAt is when the connection was open, on the clock of package boottime.
	openedAt time.Duration
	// used is true once a response was read completely on the connection.
	used bool
	// upload is the body that is written while the response is read. It is nil if the body was
	// written together with the head.
	upload *upload
}

// Response is a server's response. Finish must be called once.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	// unmatched is true if the connection delivered responses to other requests.
	unmatched bool
	// OpenedAt is when the connection was open, on the clock of package boottime.
	OpenedAt time.Duration
}

// MatchFunc reports whether a response belongs to a request. The argument first is true if
// no other request was sent on the connection before, so that the response cannot belong to
// another request.
type MatchFunc func(response *http.Response, first bool) bool

// Do sends a request to a server and reads the head of its response.
//
// A server may send a late second response to an earlier request, which would be
// taken for the response to this one. Responses for which matches returns false are
// skipped, and the connection is not reused afterwards.
func (p *Pool) Do(ctx context.Context, server Server, request *Request, matches MatchFunc) (*Response, error) {
	c, err := p.get(ctx, server)
	if err != nil {
		return nil, &SendError{Address: server.Address, Err: err}
	}
	if err := ctx.Err(); err != nil {
		// Without this check a request that was cancelled before anything was written
		// is sent on an idle connection, and its caller gets an error which says that
		// the request may have run.
		p.put(c)
		return nil, &SendError{Address: server.Address, Err: err}
	}
	if request.BeforeSend != nil {
		if err := request.BeforeSend(); err != nil {
			p.put(c)
			return nil, &SendError{Address: server.Address, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	fail := func(err error) (*Response, error) {
		stop()
		c.abort()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &SendError{Address: server.Address, Sent: true, Err: err}
	}
	if err := c.write(request); err != nil {
		return fail(fmt.Errorf("write: %w", err))
	}
	result := &Response{pool: p, conn: c, stop: stop, OpenedAt: c.openedAt}
	for range maxUnmatchedResponses + 1 {
		response, err := c.read(request)
		if err != nil {
			return fail(fmt.Errorf("read head: %w", err))
		}
		if matches(response, !c.used) {
			result.Response = response
			return result, nil
		}
		result.unmatched = true
		if !c.used || response.ContentLength < 0 || response.ContentLength > maxUnmatchedBytes {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return fail(fmt.Errorf("skip response to another request: %w", err))
		}
	}
	return fail(errUnmatched)
}

// Finish releases the connection of a response. The connection is reused only if the
// response was read completely and no other data has arrived on it.
func (r *Response) Finish(complete bool) {
	notCancelled := r.stop()
	c := r.conn
	if !complete {
		c.abort()
		return
	}
	if !notCancelled || r.unmatched || r.Response.Close || c.unreadBytes() > 0 || !c.written() {
		_ = c.Close()
		return
	}
	c.used = true
	c.expiresAt = time.Now().Add(idleTimeout(r.Response.Header))
	r.pool.put(c)
}

// abort closes a connection with a TCP reset.
//
// The request may still be in transit to a host that is paused or partitioned. After an
// orderly close the server would read and start it long after its caller has disconnected.
// A reset drops the data that has not arrived. Data that is already in the server's socket
// buffer may still be read.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed and needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// written reports whether the whole request has been written.
//
// A server may respond before it has read a long body, and read the rest later. It
// would then take the next request on the connection for the rest of that body.
func (c *conn) written() bool {
	if c.upload == nil {
		return true
	}
	written, err := c.upload.result()
	if !written || err != nil {
		return false
	}
	c.upload = nil
	return true
}

func (c *conn) write(request *Request) error {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&head); err != nil {
		return err
	}
	size := request.Body.Len()
	if size > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	head.WriteString("\r\n")
	if size <= maxInlineBody {
		for _, segment := range request.Body {
			head.Write(segment)
		}
		_, err := c.Write(head.Bytes())
		return err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	c.upload = &upload{done: make(chan struct{})}
	go c.upload.run(c.Conn, request.Body)
	return nil
}

// get returns a healthy idle connection to the same process, or a new connection.
//
// A server may restart under the same ID, and a network partition may hide that its
// connections were closed. An order written to such a connection gets no response. Since
// it may have run, it is not sent again.
func (p *Pool) get(ctx context.Context, server Server) (*conn, error) {
	now := time.Now()
	for {
		c := p.take(server.ID)
		if c == nil {
			break
		}
		if c.server == server && now.Before(c.expiresAt) && c.healthy() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: server, openedAt: boottime.Now()}
	c.head = &headReader{reader: c, total: &p.largeHeads}
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	return c, nil
}

// healthy reports whether an idle connection is open and has no unread data.
//
// Bytes that arrived after the last response belong to no request, and an EOF or a
// reset means that the server has closed the connection. In both cases the next request
// on the connection would fail.
func (c *conn) healthy() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// take removes and returns the most recently used idle connection to a server, or nil.
func (p *Pool) take(serverID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[serverID]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[serverID] = conns[:len(conns)-1]
	return c
}

// put adds an idle connection to the pool.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.server.ID] = append(p.idle[c.server.ID], c)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(expiryInterval, p.closeExpired)
	}
}

// Connect connects to an address and closes the connection. The error is ECONNREFUSED if no
// process listens there. A timeout is not a refusal: the host may be unreachable.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}

// closeExpired closes the connections whose idle timeout has passed. Servers that are not
// used any more, or are gone, would otherwise keep descriptors of this process.
func (p *Pool) closeExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for serverID, conns := range p.idle {
		p.idle[serverID] = slices.DeleteFunc(conns, func(c *conn) bool {
			expired := !now.Before(c.expiresAt)
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if len(p.idle[serverID]) == 0 {
			delete(p.idle, serverID)
		}
	}
	p.expiry = nil
	if len(p.idle) > 0 {
		p.expiry = time.AfterFunc(expiryInterval, p.closeExpired)
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
	if p.expiry != nil {
		p.expiry.Stop()
	}
}

// idleTimeout returns how long an idle connection may be kept, from the server's
// Keep-Alive header or the default.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
