package channel_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/transport/channel"
)

// While a request waits for a connection, its server announces that it accepts no more
// requests. The request was still sent, and it failed when the server stopped. It must not be
// sent on a new or on an idle connection, and the error must report that.
func TestRequestRejectedBeforeSendIsNotSent(t *testing.T) {
	c := qt.New(t)
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	pool, closePool := channel.New()
	defer closePool()
	target := channel.Server{ID: "i-1", Address: server.Listener.Addr().String()}
	errNotAccepted := errors.New("not accepted")
	for range 2 {
		request := &channel.Request{Method: http.MethodGet, Target: "/", Host: "portal.example", Header: http.Header{}, BeforeSend: func() error { return errNotAccepted }}
		_, err := pool.Do(context.Background(), target, request, nil)
		var failed *channel.SendError
		c.Assert(errors.As(err, &failed), qt.IsTrue)
		c.Assert(failed.Sent, qt.IsFalse)
		c.Assert(errors.Is(err, errNotAccepted), qt.IsTrue)
	}
	c.Assert(arrived.Load(), qt.Equals, int32(0))
}

// An unreachable host was taken for one whose process had ended, and the requests in flight
// there were blamed for a crash. Only a refused connection shows that no process listens.
func TestConnectIsRefusedOnlyIfConnectionIsRefused(t *testing.T) {
	c := qt.New(t)
	pool, closePool := channel.New()
	defer closePool()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(pool.Connect(t.Context(), listener.Addr().String()), qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(errors.Is(pool.Connect(t.Context(), listener.Addr().String()), syscall.ECONNREFUSED), qt.IsTrue)
	err = pool.Connect(t.Context(), "no address")
	c.Assert(err != nil && !errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
}
