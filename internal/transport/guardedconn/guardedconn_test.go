package guardedconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// A load order was sent although the host had been suspended since the check that it relied on:
// opening the connection takes time, so the check's age is compared at the write.
func TestNothingIsWrittenAfterExpiry(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	for _, test := range []struct {
		dialTime time.Duration
		expired  bool
	}{{0, false}, {150 * time.Millisecond, true}} {
		received.Store(0)
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(test.dialTime)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		check := freshness.Check{BegunAt: boottime.Now(), MaxAge: 100 * time.Millisecond}
		client := &http.Client{Transport: &http.Transport{DialContext: Guard(dial, check), DisableKeepAlives: true}}
		response, err := client.Post(server.URL, "application/json", strings.NewReader("{}"))
		if err == nil {
			_ = response.Body.Close()
		}
		var expired *freshness.ExpiredError
		qt.Check(t, errors.As(err, &expired), qt.Equals, test.expired, qt.Commentf("%v", err))
		qt.Check(t, received.Load() == 0, qt.Equals, test.expired)
	}
}

// BenchmarkWrite measures the time from the comparison of a check's age to the end of the write,
// in which a suspension goes unnoticed until the response.
func BenchmarkWrite(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		for accepted, err := listener.Accept(); err == nil; accepted, err = listener.Accept() {
			_, _ = io.Copy(io.Discard, accepted)
		}
	}()
	check := freshness.Check{BegunAt: boottime.Now(), MaxAge: time.Hour}
	c, err := Guard((&net.Dialer{}).DialContext, check)(context.Background(), "tcp4", listener.Addr().String())
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	order := make([]byte, 250)
	for b.Loop() {
		_, err := c.Write(order)
		qt.Assert(b, err, qt.IsNil)
	}
}
