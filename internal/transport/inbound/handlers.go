package inbound

import "net/http"

// maxUnusedBody is the largest body that is read of a request whose handler uses none, so that its
// connection can be kept.
const maxUnusedBody = 4 << 10

// WithoutBodies wraps the handler of requests that need no body. A body is thrown away for a short time
// only; after a large one the connection is closed.
func (l *Limiter) WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Body != nil && request.ContentLength != 0 {
			r := l.Begin(w, request)
			defer r.End()
			closes := request.ContentLength < 0 || request.ContentLength > maxUnusedBody
			if closes {
				w.Header().Set("Connection", "close")
			}
			r.Refuse(closes)
		}
		next.ServeHTTP(w, request)
	})
}
