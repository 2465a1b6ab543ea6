package channel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// scriptedServer is a server that calls step for each request, with its number from 1.
type scriptedServer struct {
	listener net.Listener
	step     func(n int, request *http.Request, conn net.Conn)

	mu       sync.Mutex
	requests int
	conns    int
}

func newScriptedServer(t *testing.T, step func(n int, request *http.Request, conn net.Conn)) *scriptedServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &scriptedServer{listener: listener, step: step}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	return s
}

func (s *scriptedServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

func (s *scriptedServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		s.step(n, request, conn)
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func (s *scriptedServer) counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.conns
}

func respond(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(pool *Pool, s *scriptedServer, id string) (string, error) {
	request := &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}}
	return do(pool, s, id, request)
}

func do(pool *Pool, s *scriptedServer, id string, request *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, Server{ID: "server", Boot: 1, Address: s.address()}, request, func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	response.Finish(err == nil)
	return string(body), err
}

// A caller got the response to another request: the server sent a second response to an
// earlier request, and it was read as the response to the next one.
func TestLateSecondResponseIsNotMatchedToNextRequest(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(n int, r *http.Request, conn net.Conn) {
		if n == 2 {
			respond(conn, "1", "answer to 1 again")
		}
		respond(conn, r.Header.Get("Id"), "answer to "+r.Header.Get("Id"))
	})
	pool, closePool := New()
	defer closePool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := get(pool, s, id)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "answer to "+id)
	}
	_, conns := s.counts()
	c.Assert(conns, qt.Equals, 2, qt.Commentf("the connection with the unmatched response was reused"))
}

// A second response to an earlier request arrives while the connection is idle. The next
// request must not get it.
func TestUnreadBytesCloseIdleConnection(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(n int, r *http.Request, conn net.Conn) {
		respond(conn, r.Header.Get("Id"), "fine")
		if n == 1 {
			time.AfterFunc(20*time.Millisecond, func() { respond(conn, "1", "again") })
		}
	})
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	c.Assert(err, qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	body, err := get(pool, s, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "fine")
}

// http.Transport retries a GET whose reused connection broke, so that a lookup runs twice.
// Pool sends it once and reports that it was sent.
func TestRequestIsNotRetriedOnBrokenConnection(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(n int, r *http.Request, conn net.Conn) {
		if n == 2 {
			_ = conn.Close()
			return
		}
		respond(conn, r.Header.Get("Id"), "fine")
	})
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	c.Assert(err, qt.IsNil)
	_, err = get(pool, s, "2")
	var failed *SendError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Sent, qt.IsTrue)
	requests, _ := s.counts()
	c.Assert(requests, qt.Equals, 2)
}

// A request fails if it is sent on an idle connection that the server has closed. A new
// connection must be opened instead.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(n int, r *http.Request, conn net.Conn) {
		respond(conn, r.Header.Get("Id"), "fine")
		if n == 1 {
			time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
		}
	})
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	c.Assert(err, qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	_, err = get(pool, s, "2")
	c.Assert(err, qt.IsNil)
}

// A process runs out of descriptors, as connections to servers that it does not use any more stay open.
func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	s := newScriptedServer(t, func(n int, r *http.Request, conn net.Conn) {
		respond(conn, r.Header.Get("Id"), "fine")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	c.Assert(err, qt.IsNil)
	select {
	case <-closed:
	case <-time.After(defaultIdleTimeout + 2*expiryInterval):
		t.Fatal("the idle connection is still open")
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	c.Assert(pool.idle, qt.HasLen, 0)
}

// If no process listens at the address, the request cannot have run, and the error must
// report that it was not sent.
func TestRefusedConnectionIsReportedAsUnsent(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, nil)
	_ = s.listener.Close()
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	var failed *SendError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Sent, qt.IsFalse)
}

// A server responds before it has read a long body and reads the rest later. It would take
// the next request on that connection for the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(n int, r *http.Request, conn net.Conn) {
		respond(conn, r.Header.Get("Id"), "fine")
		if n == 1 {
			time.Sleep(200 * time.Millisecond)
		}
	})
	pool, closePool := New()
	defer closePool()
	long := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: intake.Body{[]byte(strings.Repeat("x", 16<<20))}}
	body, err := do(pool, s, "1", long)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "fine")
	body, err = get(pool, s, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "fine")
	_, conns := s.counts()
	c.Assert(conns, qt.Equals, 2)
}

// A response without a length whose connection is reset must not be taken for a complete one.
func TestResetResponseWithoutLengthIsAnError(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(_ int, r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nhalf", r.Header.Get("Id"))
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	c.Assert(err, qt.IsNotNil)
}

// The connection is reset while a long body is written: the write gets the error and the read the end, so that
// a part passed as the whole response.
func TestResetDuringAnUploadIsAnError(t *testing.T) {
	s := newScriptedServer(t, func(_ int, r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhalf", r.Header.Get("Id"))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	pool, closePool := New()
	defer closePool()
	for range 50 {
		request := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: intake.Body{[]byte(strings.Repeat("x", 3<<20))}}
		_, err := do(pool, s, "1", request)
		qt.Check(t, err, qt.IsNotNil)
	}
}

// A paused server resumes and starts requests whose callers disconnected long ago, because
// they were unread in its host's buffers. Cancelling must reset the connection at once, which
// discards unread data. An orderly close would not.
func TestCancelResetsConnection(t *testing.T) {
	c := qt.New(t)
	readErr := make(chan error, 1)
	s := newScriptedServer(t, func(_ int, _ *http.Request, conn net.Conn) {
		_, err := conn.Read(make([]byte, 1))
		readErr <- err
	})
	pool, closePool := New()
	defer closePool()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := pool.Do(ctx, Server{ID: "server", Boot: 1, Address: s.address()}, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}, nil)
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	c.Assert(errors.Is(<-readErr, syscall.ECONNRESET), qt.IsTrue)
}

// The idle timeout must follow the server's Keep-Alive header.
func TestIdleTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                  defaultIdleTimeout,
		"timeout=5":         5*time.Second - idleMargin,
		"max=9, timeout=10": 10*time.Second - idleMargin,
		"timeout=0":         0,
		"timeout=soon":      defaultIdleTimeout,
	} {
		qt.Check(t, idleTimeout(http.Header{"Keep-Alive": {header}}), qt.Equals, want, qt.Commentf(header))
	}
}
