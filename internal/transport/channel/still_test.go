package channel_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/transport/channel"
)

// A request waits for a connection, and meanwhile its server says that it takes no more. It
// went out all the same, and was lost with the server. Nothing of it is sent now, and the
// error says so, on a new connection as on a kept one.
func TestARequestThatMayNoLongerGoIsNotSent(t *testing.T) {
	c := qt.New(t)
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	pool, clean := channel.New()
	defer clean()
	to := channel.Server{ID: "i-1", Address: server.Listener.Addr().String()}
	errNoMore := errors.New("takes no more")
	for range 2 {
		request := &channel.Request{Method: http.MethodGet, Target: "/", Host: "portal.example", Header: http.Header{}, Still: func() error { return errNoMore }}
		_, err := pool.Do(context.Background(), to, request, nil)
		var failed *channel.SendError
		c.Assert(errors.As(err, &failed), qt.IsTrue)
		c.Assert(failed.Sent, qt.IsFalse)
		c.Assert(errors.Is(err, errNoMore), qt.IsTrue)
	}
	c.Assert(arrived.Load(), qt.Equals, int32(0))
}

// A host that is cut off is taken for one whose process is gone, and requests that were under
// way there are blamed for it. Only an address that refuses says so.
func TestOnlyARefusedConnectionSaysThatNothingListens(t *testing.T) {
	c := qt.New(t)
	pool, clean := channel.New()
	defer clean()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(pool.Refused(listener.Addr().String()), qt.IsFalse)
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(pool.Refused(listener.Addr().String()), qt.IsTrue)
	c.Assert(pool.Refused("no address"), qt.IsFalse)
}
