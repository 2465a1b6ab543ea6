package installation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// limitedServer is a server whose limits a test can change.
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

// sendRequest sends a request on a channel and reports whether it was answered.
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

// Operators change how long channels may be unused. A caller that keeps to four
// fifths of the new limit must find its channel open, and one that does not, closed.
func TestIdleConnectionsFollowDesiredState(t *testing.T) {
	c := qt.New(t)
	server := newLimitedServer(t, catalog.Limits{HeaderTime: 100 * time.Millisecond, IdleTime: 200 * time.Millisecond})
	for _, test := range []struct {
		idle, pause time.Duration
		open        bool
	}{
		{200 * time.Millisecond, 160 * time.Millisecond, true},
		{200 * time.Millisecond, 600 * time.Millisecond, false},
		{time.Second, 800 * time.Millisecond, true},
	} {
		server.limits.Store(&catalog.Limits{HeaderTime: 100 * time.Millisecond, IdleTime: test.idle})
		channel, err := net.Dial("tcp4", server.address)
		c.Assert(err, qt.IsNil)
		reader := bufio.NewReader(channel)
		c.Assert(sendRequest(channel, reader), qt.IsTrue)
		time.Sleep(test.pause)
		c.Check(sendRequest(channel, reader), qt.Equals, test.open, qt.Commentf("%+v", test))
		_ = channel.Close()
	}
}

// Someone opens channels and sends half a head on each; they must not be kept.
func TestSlowHeaderClosesConnection(t *testing.T) {
	c := qt.New(t)
	server := newLimitedServer(t, catalog.Limits{HeaderTime: 100 * time.Millisecond, IdleTime: time.Minute})
	channel, err := net.Dial("tcp4", server.address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = channel.Close() }()
	_, err = io.WriteString(channel, "GET / HTTP/1.1\r\nHost:")
	c.Assert(err, qt.IsNil)
	_ = channel.SetReadDeadline(time.Now().Add(2 * time.Second))
	began := time.Now()
	_, err = channel.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
}
