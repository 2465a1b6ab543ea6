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
)

// script is a server that plays one step for each request on a connection.
type script struct {
	listener net.Listener
	step     func(n int, request *http.Request, conn net.Conn)

	mu       sync.Mutex
	requests int
	conns    int
}

func newScript(t *testing.T, step func(n int, request *http.Request, conn net.Conn)) *script {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &script{listener: listener, step: step}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *script) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.runConn(conn)
	}
}

func (s *script) runConn(conn net.Conn) {
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

func (s *script) address() string { return s.listener.Addr().String() }

func (s *script) counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.conns
}

func respond(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(pool *Pool, s *script, id string) (string, error) {
	request := &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}}
	return do(pool, s, id, request)
}

func do(pool *Pool, s *script, id string, request *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, Server{ID: "server", Boot: 1, Address: s.address()}, request, func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	answer.Finish(err == nil)
	return string(body), err
}

// A caller gets the answer to another's request. The server sent a second answer
// late, where the next one is expected.
func TestALateSecondAnswerIsNotTakenForTheNext(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, func(n int, r *http.Request, conn net.Conn) {
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
	c.Assert(conns, qt.Equals, 2, qt.Commentf("the connection with the stray answer was used again"))
}

// The same, with the second answer already there when the connection is idle.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, func(n int, r *http.Request, conn net.Conn) {
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

// A lookup runs twice although nobody asked for that: the usual client repeats
// a GET whose kept connection broke. Here it is sent once, and said to be sent.
func TestARequestIsNeverRepeated(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, func(n int, r *http.Request, conn net.Conn) {
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

// The server closed the kept connection long ago. Nothing was sent on it: a new
// one is opened and the request is answered.
func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, func(n int, r *http.Request, conn net.Conn) {
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

// Nobody listens: the request cannot have run, and the error says so.
func TestAnUnsentRequestIsSaidToBeUnsent(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, nil)
	_ = s.listener.Close()
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	var failed *SendError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Assert(failed.Sent, qt.IsFalse)
}

// A server answers before it has read a long body and reads on later. The next
// request on that connection would be taken for the rest of the body.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, func(n int, r *http.Request, conn net.Conn) {
		respond(conn, r.Header.Get("Id"), "fine")
		if n == 1 {
			time.Sleep(200 * time.Millisecond)
		}
	})
	pool, closePool := New()
	defer closePool()
	long := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(strings.Repeat("x", 16<<20))}
	body, err := do(pool, s, "1", long)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "fine")
	body, err = get(pool, s, "2")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "fine")
	_, conns := s.counts()
	c.Assert(conns, qt.Equals, 2)
}

// An answer without a length that is reset on its way must not look whole.
func TestAResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	c := qt.New(t)
	s := newScript(t, func(_ int, r *http.Request, conn net.Conn) {
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

// A server that stood still begins requests whose callers have long left: they
// lay unread at its host. A caller's leaving resets the connection at once, which
// takes back what is unread; an orderly end would not.
func TestCancellingResetsTheConnection(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	s := newScript(t, func(_ int, _ *http.Request, conn net.Conn) {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	pool, closePool := New()
	defer closePool()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := pool.Do(ctx, Server{ID: "server", Boot: 1, Address: s.address()}, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}, nil)
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	c.Assert(errors.Is(<-ended, syscall.ECONNRESET), qt.IsTrue)
}

// How long a connection is kept, by what its server says.
func TestIdleTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                  idleDefault,
		"timeout=5":         5*time.Second - idleMargin,
		"max=9, timeout=10": 10*time.Second - idleMargin,
		"timeout=0":         0,
		"timeout=soon":      idleDefault,
	} {
		qt.Check(t, idleTime(http.Header{"Keep-Alive": {text}}), qt.Equals, want, qt.Commentf(text))
	}
}
