package channel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request that was cancelled, or whose caller had disconnected, before anything was written
// was still sent on an idle connection, and the error reported that it may have run.
func TestCancelledRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	s := newScriptedServer(t, func(_ int, r *http.Request, conn net.Conn) { respond(conn, r.Header.Get("Id"), "fine") })
	pool, closePool := New()
	defer closePool()
	_, err := get(pool, s, "1")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.Do(ctx, Server{ID: "server", Boot: 1, Address: s.address()}, &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {"2"}}},
		func(*http.Response, bool) bool { return true })
	var failed *SendError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Sent, qt.IsFalse)
	time.Sleep(100 * time.Millisecond)
	requests, _ := s.counts()
	c.Check(requests, qt.Equals, 1)
}
