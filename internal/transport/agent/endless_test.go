package agent

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	enginev1 "github.com/filbertlever/filbertlever/internal/protocol/engine/v1"
	servicev1 "github.com/filbertlever/filbertlever/internal/protocol/service/v1"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
)

// An engine, a service or the platform sends a message without end, and the process that called it kept it all.
func TestMessagesWithoutEndAreGivenUp(t *testing.T) {
	part := make([]byte, 1<<20)
	var parts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		if r.Header.Get("Content-Type") == "application/connect+proto" {
			_, _ = w.Write([]byte{0, 0xff, 0xff, 0xff, 0xff})
		}
		for range parts.Load() {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	links := network.TCP{DialTimeout: time.Second}
	engine, service := newServerClients(network.NewClient(&http.Transport{DialContext: links.DialContext}), server.URL, server.URL)
	table := platform.New(server.URL, 10*time.Second, links)
	defer table.Close()
	for name, call := range map[string]func() error{
		"Generate": func() error {
			stream, err := engine.Generate(t.Context(), connect.NewRequest(&enginev1.GenerateRequest{}))
			if err != nil {
				return err
			}
			defer func() { _ = stream.Close() }()
			for stream.Receive() {
			}
			return stream.Err()
		},
		"Status": func() error {
			_, err := engine.Status(t.Context(), connect.NewRequest(&enginev1.StatusRequest{}))
			return err
		},
		"Call": func() error {
			_, err := service.Call(t.Context(), connect.NewRequest(&servicev1.CallRequest{}))
			return err
		},
		"Hosts": func() error {
			_, _, err := table.ListHosts(t.Context(), 0)
			return err
		},
	} {
		allocated := func(count int64) int64 {
			parts.Store(count)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := call()
			runtime.ReadMemStats(&after)
			qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted, qt.Commentf("%s: %v", name, err))
			return int64(after.TotalAlloc - before.TotalAlloc)
		}
		first := allocated(2 * network.MaxMessage >> 20)
		grown := allocated(8*network.MaxMessage>>20) - first
		qt.Check(t, grown <= network.MaxMessage, qt.IsTrue, qt.Commentf("%s: %d bytes more for a message that is longer", name, grown))
	}
}
