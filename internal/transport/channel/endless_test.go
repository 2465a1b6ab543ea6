package channel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// A head, or informational responses, without end filled the memory of the host or kept the
// connection until the request's deadline.
func TestHeadWithoutEndIsAnError(t *testing.T) {
	for name, test := range map[string]struct{ start, repeated string }{
		"StatusLine":    {"HTTP/1.1 200 ", "x"},
		"Value":         {"HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		"Header":        {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
		"Informational": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			server := newScriptedServer(t, func(_ int, _ *http.Request, conn net.Conn) {
				_, err := io.WriteString(conn, test.start)
				for filler := []byte(strings.Repeat(test.repeated, 1000)); err == nil; {
					var n int
					n, err = conn.Write(filler)
					sent.Add(int64(n))
				}
			})
			pool, closePool := New()
			defer closePool()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			startedAt := time.Now()
			_, err := pool.Do(ctx, Server{ID: "i-1", Address: server.listener.Addr().String()}, &Request{Method: http.MethodGet, Target: "/"}, func(*http.Response, bool) bool { return true })
			qt.Check(t, errors.Is(err, ErrHeadTooLarge), qt.IsTrue, qt.Commentf("%v", err))
			var failed *SendError
			qt.Check(t, errors.As(err, &failed) && failed.Sent, qt.IsTrue)
			qt.Check(t, time.Since(startedAt) < time.Second, qt.IsTrue)
			qt.Check(t, pool.largeHeads.Load(), qt.Equals, int64(0))
		})
	}
}

// The heads of many connections together must not fill the memory either.
func TestHeadsTogetherAreLimited(t *testing.T) {
	var total atomic.Int64
	total.Store(maxLargeHeads - 1)
	r := &headReader{reader: strings.NewReader(strings.Repeat("x", network.MaxResponseHead/2)), total: &total}
	r.begin()
	_, err := io.Copy(io.Discard, struct{ io.Reader }{r})
	qt.Check(t, errors.Is(err, ErrHeadTooLarge), qt.IsTrue, qt.Commentf("%v", err))
	r.end()
	qt.Check(t, total.Load(), qt.Equals, int64(maxLargeHeads-1))
	r.begin()
	qt.Check(t, r.left, qt.Equals, network.MaxResponseHead)
}

// A long head within the limit, after informational responses, is an answer as before.
func TestLongHeadIsRead(t *testing.T) {
	value := strings.Repeat("x", network.MaxResponseHead/2)
	server := newScriptedServer(t, func(_ int, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInformational)+
			"HTTP/1.1 200 OK\r\nX-Long: "+value+"\r\nContent-Length: 5\r\n\r\nhello")
	})
	pool, closePool := New()
	defer closePool()
	response, err := pool.Do(context.Background(), Server{ID: "i-1", Address: server.listener.Addr().String()}, &Request{Method: http.MethodGet, Target: "/"}, func(*http.Response, bool) bool { return true })
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	response.Finish(true)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Equals, "hello")
	qt.Check(t, response.Header.Get("X-Long"), qt.Equals, value)
}
