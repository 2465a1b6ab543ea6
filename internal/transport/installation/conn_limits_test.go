package installation

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// limitedServer is an HTTP server whose connection limits a test can change.
type limitedServer struct {
	address string
	limits  atomic.Pointer[catalog.Limits]
}

func newLimitedServer(t *testing.T, limits catalog.Limits) *limitedServer {
	l := &limitedServer{}
	l.limits.Store(&limits)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.address = listener.Addr().String()
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ConnState: newConnLimits(func() catalog.Limits { return *l.limits.Load() }).onStateChange,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

// sendRequest sends a request on a connection and reports whether it got a response.
func sendRequest(c net.Conn, reader *bufio.Reader) bool {
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.ReadAll(response.Body)
	return err == nil
}

// Operators change the idle timeout. A connection that is idle for four fifths of the new
// timeout must stay open, and one that is idle for longer must be closed.
func TestIdleConnectionsFollowDesiredState(t *testing.T) {
	c := qt.New(t)
	server := newLimitedServer(t, catalog.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 200 * time.Millisecond})
	for _, test := range []struct {
		idleTimeout, pause time.Duration
		open               bool
	}{
		{200 * time.Millisecond, 160 * time.Millisecond, true},
		{200 * time.Millisecond, 600 * time.Millisecond, false},
		{time.Second, 800 * time.Millisecond, true},
	} {
		server.limits.Store(&catalog.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: test.idleTimeout})
		conn, err := net.Dial("tcp4", server.address)
		c.Assert(err, qt.IsNil)
		reader := bufio.NewReader(conn)
		c.Assert(sendRequest(conn, reader), qt.IsTrue)
		time.Sleep(test.pause)
		c.Check(sendRequest(conn, reader), qt.Equals, test.open, qt.Commentf("%+v", test))
		_ = conn.Close()
	}
}

// A client that sends incomplete request headers must not keep connections open.
func TestSlowHeaderClosesConnection(t *testing.T) {
	c := qt.New(t)
	server := newLimitedServer(t, catalog.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute})
	conn, err := net.Dial("tcp4", server.address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost:")
	c.Assert(err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	startedAt := time.Now()
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(time.Since(startedAt) < time.Second, qt.IsTrue)
}

// Lowered limits must not close a connection whose request is being served.
func TestLoweredLimitsDoNotCutARequest(t *testing.T) {
	c := qt.New(t)
	var limits atomic.Pointer[catalog.Limits]
	limits.Store(&catalog.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	started, finish := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-finish
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: newConnLimits(func() catalog.Limits { return *limits.Load() }).onStateChange,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	time.AfterFunc(300*time.Millisecond, func() { close(finish) })
	go func() {
		<-started
		limits.Store(&catalog.Limits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
	}()
	c.Assert(sendRequest(conn, bufio.NewReader(conn)), qt.IsTrue)
}

// closeRecorder is a connection that records whether it was closed.
type closeRecorder struct {
	net.Conn
	closed atomic.Bool
}

func (c *closeRecorder) Close() error {
	c.closed.Store(true)
	return nil
}

// A timer that expires while a request arrives must not close the connection once the request is
// being served.
func TestConnectionWithRequestIsNotClosedByEarlierTimer(t *testing.T) {
	const idleTimeout, headerTimeout = 200 * time.Microsecond, 100 * time.Microsecond
	limits := newConnLimits(func() catalog.Limits {
		return catalog.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	})
	for range 100 {
		conn := &closeRecorder{}
		limits.onStateChange(conn, http.StateIdle)
		// The timer expires and waits for the lock, which the request gets first.
		limits.mu.Lock()
		time.Sleep(4 * (idleTimeout + headerTimeout))
		limits.mu.Unlock()
		limits.onStateChange(conn, http.StateActive)
		before := conn.closed.Load()
		time.Sleep(time.Millisecond)
		qt.Assert(t, conn.closed.Load(), qt.Equals, before, qt.Commentf("closed while its request is served"))
		limits.onStateChange(conn, http.StateClosed)
	}
}

// A request whose connection has been closed by a limit must not be passed on.
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	c := qt.New(t)
	limits := newConnLimits(func() catalog.Limits {
		return catalog.Limits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond}
	})
	served := 0
	handler := limits.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	serve := func(conn net.Conn) (err any) {
		defer func() { err = recover() }()
		ctx := limits.connContext(context.Background(), conn)
		handler.ServeHTTP(nil, (&http.Request{}).WithContext(ctx))
		return nil
	}
	conn := &closeRecorder{}
	limits.onStateChange(conn, http.StateActive)
	c.Assert(serve(conn), qt.IsNil)
	c.Assert(served, qt.Equals, 1)
	limits.onStateChange(conn, http.StateIdle)
	for !conn.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	limits.onStateChange(conn, http.StateActive)
	c.Assert(serve(conn), qt.Equals, http.ErrAbortHandler)
	c.Assert(served, qt.Equals, 1)
}

// Operators change the idle timeout while connections are idle. Callers reuse a connection for up to
// four fifths of the timeout that they know, which may be the one before or after the change.
func TestIdleConnectionsStayOpenForLongestKnownTimeout(t *testing.T) {
	const headerTimeout, short, long = 50 * time.Millisecond, 100 * time.Millisecond, time.Second
	for _, test := range []struct {
		name          string
		before, after time.Duration
		// reuses is how often the connection is reused after four fifths of the long timeout.
		reuses int
	}{
		{"shortened", long, short, 2},
		{"extended", short, long, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var idleTimeout atomic.Int64
				idleTimeout.Store(int64(test.before))
				limits := newConnLimits(func() catalog.Limits {
					return catalog.Limits{HeaderTimeout: headerTimeout, IdleTimeout: time.Duration(idleTimeout.Load())}
				})
				conn := &closeRecorder{}
				limits.onStateChange(conn, http.StateIdle)
				idleTimeout.Store(int64(test.after))
				for range test.reuses {
					time.Sleep(long * 4 / 5)
					synctest.Wait()
					c.Assert(conn.closed.Load(), qt.IsFalse)
					limits.onStateChange(conn, http.StateActive)
					limits.onStateChange(conn, http.StateIdle)
				}
				time.Sleep(long + headerTimeout)
				synctest.Wait()
				c.Assert(conn.closed.Load(), qt.IsTrue)
			})
		})
	}
}
