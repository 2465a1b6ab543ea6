package installation

import (
	"errors"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"
)

// answerGuard ensures that each request gets a response from its handler. If the handler panics or
// returns without a response, the HTTP server would close the connection or send an empty 200. The
// guard sends a 502, which leaves open whether the request has run.
type answerGuard struct {
	next http.Handler
	log  *zap.Logger
}

func newAnswerGuard(next http.Handler, log *zap.Logger) *answerGuard {
	return &answerGuard{next: next, log: log}
}

// ServeHTTP serves one request.
func (g *answerGuard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tracked := &trackedWriter{ResponseWriter: w}
	defer g.finish(tracked, r)
	g.next.ServeHTTP(tracked, r)
}

// finish ends a request whose handler has returned or panicked. http.ErrAbortHandler closes the
// connection on purpose.
func (g *answerGuard) finish(w *trackedWriter, r *http.Request) {
	v := recover()
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	if v != nil {
		g.log.Error("panic while serving a request", zap.Any("Panic", v), zap.String("Path", r.URL.Path), zap.Bool("Begun", w.begun),
			zap.ByteString("Stack", debug.Stack()))
		if w.begun {
			panic(http.ErrAbortHandler)
		}
	}
	if !w.begun {
		w.Header().Set("Connection", "close")
		http.Error(w, "the request may have run, its answer is lost", http.StatusBadGateway)
	}
}

// trackedWriter records whether a response has begun.
type trackedWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader sends the head of the response.
func (w *trackedWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *trackedWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// FlushError sends what has been written, which includes the head.
func (w *trackedWriter) FlushError() error {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the original writer for http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
