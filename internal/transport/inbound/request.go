package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// Errors of reading a body.
var (
	// ErrTooLarge: the body is larger than its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrTooSlow: the body did not arrive in time, or its caller left.
	ErrTooSlow = errors.New("body did not arrive in time")
	// ErrNoMemory: the memory for bodies is used up.
	ErrNoMemory = errors.New("memory for bodies is used up")
)

const (
	// largestHeaderCost is what the header of one request holds at the most.
	largestHeaderCost = 128 << 10
	firstSegmentBytes = 1 << 10
	segmentBytes      = 16 << 10
	// lingerTimeout is how long a refused request may go on sending so that its caller reads the
	// refusal.
	lingerTimeout = 500 * time.Millisecond
)

// Deadlines that have passed, and that do not pass.
var (
	past      = time.Unix(1, 0)
	farFuture = time.Unix(1<<40, 0)
)

// Request is a request in progress. End must be called once it has ended.
type Request struct {
	limiter    *Limiter
	held       *intake.Request
	conn       *conn
	controller *http.ResponseController
	request    *http.Request
	// received is true once the request was received whole, and headerRefused if there was no memory for its
	// header. Only its handler uses them.
	received, headerRefused bool

	mu sync.Mutex
	// evicted is true once the request was evicted. wake ends what it is waiting for.
	evicted bool
	wake    func()
}

// begin adds a request to the budget.
func (l *Limiter) begin(c *conn, wake func()) *Request {
	r := &Request{limiter: l, conn: c, wake: wake}
	var entry *intake.Connection
	if c != nil {
		entry = c.entry
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.held = l.budget.Begin(entry, l.now(), func() { l.evicted = append(l.evicted, r) })
	return r
}

// Begin begins a request that a server passes to its handler.
func (l *Limiter) Begin(w http.ResponseWriter, request *http.Request) *Request {
	c, _ := request.Context().Value(connKey{}).(*conn)
	if request.ProtoMajor > 1 {
		// Requests share the connection.
		c = nil
	}
	controller := http.NewResponseController(w)
	wake := func() { _ = controller.SetReadDeadline(past) }
	var r *Request
	if c != nil && c.request != nil {
		r = c.request
		r.mu.Lock()
		r.wake = wake
		r.mu.Unlock()
	} else {
		r = l.begin(c, wake)
	}
	r.controller, r.request = controller, request
	if c != nil {
		c.request = r
		// A part of the header may have arrived with the request before.
		r.headerRefused = !c.charge(fieldBytes * max(fieldCount(request.Header)-freeFields, 0))
	}
	if request.Body == nil || request.ContentLength == 0 {
		r.whole()
	}
	return r
}

// fieldCount returns the number of lines of a header.
func fieldCount(header http.Header) int64 {
	n := 0
	for _, values := range header {
		n += len(values)
	}
	return int64(n)
}

// wakeEvicted ends what the request is waiting for, because it was evicted.
func (r *Request) wakeEvicted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evicted = true
	r.wake()
}

// setReadDeadline sets the deadline for reading, unless the request was evicted.
func (r *Request) setReadDeadline(deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.evicted {
		_ = r.controller.SetReadDeadline(deadline)
	}
}

// arrived records bytes that were received, and returns when the next ones are due.
func (r *Request) arrived(n int64) time.Time {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Arrived(r.held, n, l.now())
	return l.started.Add(l.budget.Deadline(r.held))
}

// Reserve reserves memory for what the request needs beside its body. It returns false if there is none.
func (r *Request) Reserve(n int64) bool { return r.limiter.grow(r, n) }

// Held returns the memory that the request holds, in bytes.
func (r *Request) Held() int64 {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	return r.held.Held()
}

// whole records that the request was received whole.
func (r *Request) whole() {
	r.received = true
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.budget.Whole(r.held)
}

// End releases what the request holds.
func (r *Request) End() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.budget.End(r.held)
}

// Refuse prepares a response to a request whose body was not read whole: what still arrives is thrown
// away for a short time only. If closes is true, the server closes the connection after the response.
func (r *Request) Refuse(closes bool) {
	if !r.received {
		_ = r.controller.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	if closes && r.conn != nil {
		r.conn.setPhase(intake.PhaseClosing)
	}
}

// sendStep is how much of a response is written before the caller must have read a part of it.
const sendStep = 64 << 10

// Write writes a part of a response's body. A caller that reads slower than the least rate is cut off, and
// deadline is when the response must be written in any case.
func (r *Request) Write(w io.Writer, data []byte, deadline time.Time) (int, error) {
	written := 0
	for len(data) > 0 {
		step := data[:min(len(data), sendStep)]
		if len(step) > freeHeaderBytes && r.conn != nil {
			due := time.Now().Add(r.limiter.limits.Grace)
			if deadline.Before(due) {
				due = deadline
			}
			_ = r.controller.SetWriteDeadline(due)
			r.conn.setPhase(intake.PhaseSending)
		}
		n, err := w.Write(step)
		written += n
		if r.conn != nil {
			r.conn.setPhase(intake.PhaseActive)
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				r.limiter.refused(boundRate, "Response")
			}
			return written, err
		}
		data = data[n:]
	}
	_ = r.controller.SetWriteDeadline(deadline)
	return written, nil
}

// LargestBody returns the largest body that a request can have on this host.
func (l *Limiter) LargestBody() int64 { return l.limits.LargestRequest() - largestHeaderCost }

// ReadBody reads the whole body of a request of a group, of at most limit bytes and until a deadline. Its
// error is one of this package's.
func (r *Request) ReadBody(group intake.Group, limit int64, deadline time.Time) (intake.Body, error) {
	if r.headerRefused {
		return nil, ErrNoMemory
	}
	if r.received {
		return nil, nil
	}
	r.expect(group)
	limit = min(limit, r.limiter.LargestBody())
	body, err := r.read(limit, deadline)
	switch {
	case err == nil:
		r.whole()
		r.setReadDeadline(time.Time{})
		return body, nil
	case errors.Is(err, ErrTooLarge):
		r.limiter.refused(boundSize, "Body")
	case r.wasEvicted(), errors.Is(err, ErrNoMemory):
		err = ErrNoMemory
		r.limiter.refused(boundBytes, "Body")
	default:
		err = ErrTooSlow
		r.limiter.refused(boundRate, "Body")
	}
	return nil, err
}

// expect records whom the request counts for and the size of its body.
func (r *Request) expect(group intake.Group) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.budget.Expect(r.held, group, r.request.ContentLength)
}

func (r *Request) wasEvicted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evicted
}

// read reads the body into segments.
func (r *Request) read(limit int64, deadline time.Time) (intake.Body, error) {
	if r.request.ContentLength > limit {
		return nil, ErrTooLarge
	}
	var body intake.Body
	due := r.arrived(0)
	for received := int64(0); ; {
		size := int64(segmentBytes)
		if len(body) == 0 {
			size = firstSegmentBytes
		}
		if announced := r.request.ContentLength; announced > 0 {
			size = min(segmentBytes, announced-received)
		}
		if !r.Reserve(size) {
			return nil, ErrNoMemory
		}
		// Only the end follows what was announced.
		segment := make([]byte, max(size, 1))
		n, err := r.fill(segment, len(body) > 0, deadline, &due)
		if n > 0 {
			body = append(body, segment[:n])
		}
		received += int64(n)
		switch {
		case received > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill fills a segment, in turns with other large bodies.
func (r *Request) fill(segment []byte, large bool, deadline time.Time, due *time.Time) (int, error) {
	filled := 0
	for filled < len(segment) {
		if deadline.Before(*due) {
			*due = deadline
		}
		r.setReadDeadline(*due)
		if large && r.conn != nil {
			r.excuse(r.conn.takeTurn())
		}
		n, err := r.request.Body.Read(segment[filled:])
		if large && r.conn != nil {
			r.conn.endTurn()
		}
		filled += n
		*due = r.arrived(int64(n))
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// excuse records how long the request waited for its turn.
func (r *Request) excuse(waited time.Duration) {
	const noticeable = time.Millisecond
	if waited < noticeable {
		return
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.budget.Excuse(r.held, waited)
}
