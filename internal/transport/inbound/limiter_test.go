package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

const (
	testBodyLimit = 128 << 10
	testGrace     = 400 * time.Millisecond
	// testTimeout is how long a test waits for what must happen.
	testTimeout = 10 * time.Second
)

// testServer is a server with small limits. It answers with the length of the body, or with a status for
// each error.
type testServer struct {
	*qt.C
	*Limiter
	address string
}

func newTestServer(t *testing.T) *testServer {
	return newTestServerOf(t, intake.Limits{Bytes: 320 << 10, Reserve: 32 << 10, SmallBytes: 16 << 10, LeastRate: 64 << 10, Grace: testGrace,
		Patience: 50 * time.Millisecond, Connections: [3]int{6, 2, 2}})
}

func newTestServerOf(t *testing.T, limits intake.Limits) *testServer {
	s := &testServer{C: qt.New(t), Limiter: New(limits, zap.NewNop(), prometheus.NewRegistry())}
	s.address = s.serve(intake.ListenerCallers, http.HandlerFunc(s.handle))
	return s
}

func (s *testServer) serve(kind intake.Listener, handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler, ConnState: s.OnStateChange, ConnContext: s.ConnContext}
	go func() { _ = server.Serve(s.Listen(listener, kind)) }()
	s.TB.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (s *testServer) handle(w http.ResponseWriter, request *http.Request) {
	r := s.Begin(w, request)
	defer r.End()
	body, err := r.ReadBody("hauler-1", testBodyLimit, time.Now().Add(testTimeout))
	status := map[error]int{ErrTooLarge: 413, ErrTooSlow: 408, ErrNoMemory: 503}[err]
	if err != nil {
		w.Header().Set("Connection", "close")
		r.Refuse(true)
		http.Error(w, err.Error(), status)
		return
	}
	if request.URL.Path == "/hold" {
		<-request.Context().Done()
	}
	if request.URL.Path == "/large" {
		_, _ = r.Write(w, make([]byte, 64<<20), time.Now().Add(testTimeout))
		return
	}
	_, _ = fmt.Fprint(w, body.Len())
}

// testConn is a connection of a caller.
type testConn struct {
	net.Conn
	reader *bufio.Reader
	c      *qt.C
}

func (s *testServer) dial(address string) *testConn {
	conn, err := net.Dial("tcp4", address)
	s.Assert(err, qt.IsNil)
	s.TB.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{Conn: conn, reader: bufio.NewReader(conn), c: s.C}
}

func (t *testConn) send(text string) {
	// The server may have closed the connection.
	_, _ = io.WriteString(t.Conn, text)
}

// status reads a response and returns its status and body; 0 if the connection was closed.
func (t *testConn) status() (int, string) {
	response, err := http.ReadResponse(t.reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(body))
}

// isClosed waits until the server closes the connection.
func (t *testConn) isClosed() bool {
	_, err := io.Copy(io.Discard, t.reader)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

func post(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n"
}

func text(n int) string { return strings.Repeat("x", n) }

// A caller that sends a body that is refused must read the refusal, and must not keep its connection.
func TestRefusalReachesCallerThatSends(t *testing.T) {
	for _, test := range []struct {
		name, head, body string
		status           int
	}{
		{"announced too large", post("/", "Content-Length: 100000000"), text(200 << 10), 413},
		{"announced too large, waits to continue", post("/", "Content-Length: 100000000\r\nExpect: 100-continue"), "", 413},
		{"too large in chunks", post("/", "Transfer-Encoding: chunked"), strings.Repeat("4000\r\n"+text(0x4000)+"\r\n", 10), 413},
		{"one byte missing", post("/", "Content-Length: 5000"), text(4999), 408},
		{"last chunk missing", post("/", "Transfer-Encoding: chunked"), "4000\r\n" + text(0x4000) + "\r\n", 408},
		{"nothing sent", post("/", "Content-Length: 10"), "", 408},
		{"nothing sent, waits to continue", post("/", "Content-Length: 10\r\nExpect: 100-continue"), "", 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t)
			conn := s.dial(s.address)
			conn.send(test.head + test.body)
			status, text := conn.status()
			s.Check(status, qt.Equals, test.status, qt.Commentf("%s", text))
			s.Check(conn.isClosed(), qt.IsTrue)
			s.eventuallyHolds(0)
		})
	}
}

// eventuallyHolds waits until the requests hold an amount of memory.
func (s *testServer) eventuallyHolds(want int64) {
	held := func() int64 {
		s.Limiter.mu.Lock()
		defer s.Limiter.mu.Unlock()
		return s.budget.Held()
	}
	for deadline := time.Now().Add(testTimeout); held() != want && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	s.Check(held(), qt.Equals, want)
}

// A body that comes at the least rate takes longer than the grace period, and must arrive.
func TestSlowBodyArrives(t *testing.T) {
	s := newTestServer(t)
	conn := s.dial(s.address)
	conn.send(post("/", "Content-Length: 81920"))
	for range 80 {
		conn.send(text(1 << 10))
		time.Sleep(10 * time.Millisecond)
	}
	status, body := conn.status()
	s.Check(status, qt.Equals, 200)
	s.Check(body, qt.Equals, "81920")
}

// A body that stalled must give its memory to one that arrives, and get a status that says that it did not run.
func TestStalledBodyIsRefusedForOneThatArrives(t *testing.T) {
	s := newTestServer(t)
	whole := s.dial(s.address)
	whole.send(post("/hold", "Content-Length: 100000") + text(100000))
	s.eventuallyHolds(100000)
	stalled, arriving := s.dial(s.address), s.dial(s.address)
	stalled.send(post("/", "Content-Length: 131072") + text(130000))
	s.eventuallyHolds(100000 + 131072)
	time.Sleep(2 * s.limits.Patience)
	arriving.send(post("/", "Content-Length: 131072") + text(131072))
	status, body := arriving.status()
	s.Check(status, qt.Equals, 200)
	s.Check(body, qt.Equals, "131072")
	status, _ = stalled.status()
	s.Check(status, qt.Equals, 503)
	s.Check(stalled.isClosed(), qt.IsTrue)
	_ = whole.Close()
	s.eventuallyHolds(0)
}

// awaitNoConnections waits until callers have no connections.
func (s *testServer) awaitNoConnections() {
	open := func() int {
		s.Limiter.mu.Lock()
		defer s.Limiter.mu.Unlock()
		return s.connections.Count(intake.ListenerCallers)
	}
	for deadline := time.Now().Add(testTimeout); open() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	s.Check(open(), qt.Equals, 0)
}

// A caller that does not read its response must not keep its connection and memory.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	s := newTestServer(t)
	conn := s.dial(s.address)
	conn.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(testGrace)
	s.awaitNoConnections()
	status, _ := s.dial(s.address).request("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	s.Check(status, qt.Equals, 200)
}

func (t *testConn) request(text string) (int, string) {
	t.send(text)
	return t.status()
}

// Requests that need no body kept their connections until a body that was announced had arrived.
func TestUnusedBodies(t *testing.T) {
	s := newTestServer(t)
	address := s.serve(intake.ListenerPublic, s.WithoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})))
	for _, test := range []struct {
		name, text string
		kept       bool
	}{
		{"none", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"small", post("/", "Content-Length: 10") + text(10), true},
		{"cut short", post("/", "Content-Length: 10") + text(9), false},
		{"large", post("/", "Content-Length: 100000000") + text(9), false},
		{"in chunks", post("/", "Transfer-Encoding: chunked") + "1\r\nx\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn := s.dial(address)
			if status, body := conn.request(test.text); test.kept {
				c.Check(status, qt.Equals, 200, qt.Commentf("%s", body))
				status, _ = conn.request("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				c.Check(status, qt.Equals, 200)
				return
			}
			c.Check(conn.isClosed(), qt.IsTrue)
		})
	}
}

// The server begins to wait for the next request before the turn ends. The turn must not be taken again when
// that wait is over.
func TestTurnIsNotResumedAfterItsEnd(t *testing.T) {
	s := newTestServer(t)
	c := &conn{limiter: s.Limiter}
	c.takeTurn()
	turn, yielded := c.yieldTurn()
	s.Assert(yielded, qt.IsTrue)
	c.endTurn()
	c.resumeTurn(turn)
	s.Assert(s.turn.TryLock(), qt.IsTrue)
}

// The turn must return when the server begins to wait for the next request during it, and the memory when
// requests end, however many share a connection.
func TestLargeBodiesTakeTurns(t *testing.T) {
	s := newTestServer(t)
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() {
			conn := s.dial(s.address)
			defer func() { _ = conn.Close() }()
			framing, body, want := "Content-Length: 40000", text(40000), "40000"
			if n%2 == 0 {
				framing, body, want = "Transfer-Encoding: chunked", strings.Repeat("1\r\nx\r\n", 40000)+"0\r\n\r\n", "40000"
			}
			for range 10 {
				status, got := conn.request(post("/", framing) + body)
				s.Check(status, qt.Equals, 200)
				s.Check(got, qt.Equals, want)
			}
		})
	}
	group.Wait()
	s.awaitNoConnections()
	s.eventuallyHolds(0)
	s.Check(s.turn.TryLock(), qt.IsTrue)
}

// Only the header counts as such, however its bytes and those of the body arrive.
func TestHeaderSize(t *testing.T) {
	for _, test := range []struct {
		text  string
		bytes int64
		lines int64
		ended bool
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n", 25, 2, false},
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27, 3, true},
		{"GET / HTTP/1.1\nHost: h\n\nbody\n\n", 24, 3, true},
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n1\r\nx\r\n", 27, 3, true},
		{"a\r\r\n\r\n\n", 6, 2, true},
	} {
		c := qt.New(t)
		for size := range len(test.text) {
			var h headerSize
			for rest := test.text; len(rest) > 0; {
				n := min(size+1, len(rest))
				h.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			c.Check([]int64{h.bytes, h.lines}, qt.DeepEquals, []int64{test.bytes, test.lines}, qt.Commentf("%q in pieces of %d", test.text, size+1))
			c.Check(h.ended, qt.Equals, test.ended)
		}
	}
}

// A header that arrives with the request before must be charged too.
func TestPipelinedHeaderIsCharged(t *testing.T) {
	s := newTestServer(t)
	conn := s.dial(s.address)
	conn.send(post("/", "Content-Length: 0") + "GET /hold HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n")
	status, _ := conn.status()
	s.Check(status, qt.Equals, 200)
	s.eventuallyHolds((500 + 1 - freeFields + 7) / 8 * 8 * fieldBytes)
	_ = conn.Close()
	s.eventuallyHolds(0)
}

// Thousands of short fields cost many times their bytes, and must not be read.
func TestHeaderWithThousandsOfFieldsIsNotRead(t *testing.T) {
	for _, test := range []struct {
		fields, status int
	}{{100, 200}, {1000, 200}, {5000, 400}} {
		s := newTestServerOf(t, intake.LimitsOf(intake.Host{Memory: 128 << 20, Descriptors: 100}))
		status, _ := s.dial(s.address).request("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", test.fields) + "\r\n")
		s.Check(status, qt.Equals, test.status)
		s.eventuallyHolds(0)
	}
}

// Connections beyond the bound must replace those that send nothing, and must not be accepted without end.
func TestConnectionsAreBounded(t *testing.T) {
	s := newTestServer(t)
	var silent []*testConn
	for range 3 * s.limits.Connections[intake.ListenerCallers] {
		silent = append(silent, s.dial(s.address))
	}
	status, _ := s.dial(s.address).request("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	s.Check(status, qt.Equals, 200)
	s.Check(silent[0].isClosed(), qt.IsTrue)
	s.Limiter.mu.Lock()
	defer s.Limiter.mu.Unlock()
	s.Check(s.connections.Count(intake.ListenerCallers) <= s.limits.Connections[intake.ListenerCallers], qt.IsTrue)
}
