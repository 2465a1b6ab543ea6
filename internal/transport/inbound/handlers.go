package inbound

import (
	"io"
	"net/http"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

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

// messageFactor is how many times its size a message costs beside the body that it is decoded from: the
// decoder's buffer, the message, and the message that is sent on.
const messageFactor = 3

// streamBytes is what a request costs that shares its connection with others.
const streamBytes = 16 << 10

// smallMessage is the largest message that needs no memory beside its body's.
const smallMessage = 64 << 10

// Allowance is what a request may carry.
type Allowance struct {
	// Group is whom the request counts for.
	Group intake.Group
	// Bytes is the size of the largest message, once decompressed.
	Bytes int64
}

// Messages wraps the handler of messages, which are decoded whole. The body of a message is read before
// its handler is called. An error of allow refuses the request before its body is read. refuse responds to
// a refused request.
func (l *Limiter) Messages(next http.Handler, allow func(*http.Request) (Allowance, error), refuse func(http.ResponseWriter, *http.Request, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r := l.Begin(w, request)
		defer r.End()
		body, err := r.readMessage(allow)
		if err != nil {
			if request.ProtoMajor == 1 {
				w.Header().Set("Connection", "close")
			}
			r.Refuse(true)
			refuse(w, request, err)
			return
		}
		request.Body = &messageReader{rest: body}
		next.ServeHTTP(w, request)
	})
}

// readMessage reads the body of a message and reserves the memory to decode it.
func (r *Request) readMessage(allow func(*http.Request) (Allowance, error)) (intake.Body, error) {
	allowance, err := allow(r.request)
	if err != nil {
		return nil, err
	}
	if r.request.ProtoMajor > 1 && !r.Reserve(streamBytes+headerCost(r.request.Header)) {
		r.limiter.refused(boundBytes, "Stream")
		return nil, ErrNoMemory
	}
	body, err := r.ReadBody(allowance.Group, allowance.Bytes, farFuture)
	if err != nil {
		return nil, err
	}
	size := int64(body.Len())
	if isCompressed(r.request.Header) {
		size = allowance.Bytes
	}
	// The largest message fits if it is alone.
	cost := min(size*messageFactor, r.limiter.limits.LargestRequest()-r.Held())
	if size > smallMessage && !r.Reserve(cost) {
		r.limiter.refused(boundBytes, "Message")
		return nil, ErrNoMemory
	}
	return body, nil
}

// headerCost returns what a header costs that was received on a connection of several requests.
func headerCost(header http.Header) int64 {
	cost := 0
	for name, values := range header {
		for _, value := range values {
			cost += fieldBytes + headerFactor*(len(name)+len(value))
		}
	}
	return int64(cost)
}

// isCompressed reports whether a message is larger once it is decoded.
func isCompressed(header http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// messageReader reads a body that was received whole. What has been read is released.
type messageReader struct {
	rest intake.Body
}

func (m *messageReader) Read(data []byte) (int, error) {
	if len(m.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(data, m.rest[0])
	if m.rest[0] = m.rest[0][n:]; len(m.rest[0]) == 0 {
		m.rest[0] = nil
		m.rest = m.rest[1:]
	}
	return n, nil
}

// Close has no effect.
func (m *messageReader) Close() error { return nil }
