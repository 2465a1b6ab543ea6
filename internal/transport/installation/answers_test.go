package installation

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A handler that panics or returns without a response leaves its caller with a closed connection or
// an empty success.
func TestRequestWithoutResponseGetsStatus(t *testing.T) {
	for _, test := range []struct {
		name   string
		handle http.HandlerFunc
		status int
		body   string
		// cut is true if the response must end without looking complete.
		cut    bool
		panics int
	}{
		{"complete", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 200, "ok", false, 0},
		{"status only", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 204, "", false, 0},
		{"flushed head", func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }, 200, "", false, 0},
		{"nothing", func(http.ResponseWriter, *http.Request) {}, 502, "the request may have run, its answer is lost\n", false, 0},
		{"panic", func(http.ResponseWriter, *http.Request) { panic("fault") }, 502, "the request may have run, its answer is lost\n", false, 1},
		{"panic in the response", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			panic("fault")
		}, 200, "begun", true, 1},
		{"abort", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, "", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			core, logs := observer.New(zapcore.ErrorLevel)
			server := httptest.NewServer(newAnswerGuard(test.handle, zap.New(core)))
			defer server.Close()
			response, err := http.Post(server.URL, "text/plain", nil)
			if test.status == 0 {
				c.Assert(err, qt.IsNotNil)
				return
			}
			c.Assert(err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			c.Check(err != nil, qt.Equals, test.cut)
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(string(body), qt.Equals, test.body)
			c.Check(logs.FilterMessage("panic while serving a request").Len(), qt.Equals, test.panics)
		})
	}
}
