package gateway

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/stream"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// maxFillerBytes limits what a server may send between two events, such as comments and blank lines.
const maxFillerBytes = 64 << 10

// receiveStream waits for the first event of a stream.
func (t *attempt) receiveStream(reply *Reply) (beginning, forward.End) {
	received := beginning{reply: reply, reader: bufio.NewReaderSize(reply.Body, 4<<10)}
	first, err := t.nextEvent(received, true)
	if err == io.EOF {
		received.empty = true
		return received, 0
	}
	if err != nil {
		reply.Finish(false)
		return beginning{}, t.handleFailure(forward.EndLost, err)
	}
	received.event = first
	return received, 0
}

// nextEvent reads the next event of a stream. It returns io.EOF only if the stream ended completely.
//
// What precedes the first event with an ID or data is returned with that event. Until then the
// request can still be sent to another server.
func (t *attempt) nextEvent(received beginning, first bool) (event, error) {
	e, err := t.readEvent(received.reader)
	for first && err == nil && e.filler {
		var next event
		next, err = t.readEvent(received.reader)
		next.raw = append(e.raw, next.raw...)
		e = next
	}
	if err == nil {
		t.markStarted()
		t.progressAt.Store(int64(boottime.Now()))
		t.recordProgress(first)
		if first {
			t.noteBegun()
		}
	}
	if err == io.EOF {
		err = cmp.Or(t.confirmEnd(received.reply), err)
	}
	return e, err
}

// readEvent reads an event and limits what is sent between two events.
func (t *attempt) readEvent(reader *bufio.Reader) (event, error) {
	e, err := readEvent(reader)
	if t.fillerBytes += len(e.raw); !e.filler {
		t.fillerBytes = 0
	}
	if err == nil && t.fillerBytes > maxFillerBytes {
		err = errNoEvents
	}
	return e, err
}

// relayStream forwards the events of a response as they arrive, complete events only.
func (t *attempt) relayStream(received beginning) forward.End {
	reply := received.reply
	defer t.recordLastGaps()
	t.events.BeginAttempt()
	e, err := received.event, error(nil)
	if received.empty {
		err = io.EOF
	}
	for ; err == nil; e, err = t.nextEvent(received, false) {
		if !t.goesOn(false) {
			reply.Finish(false)
			return forward.EndLost
		}
		if err = t.forwardTimed(reply, e); err != nil {
			break
		}
	}
	if err == io.EOF && !t.events.Completes() {
		err = errOtherRun
	}
	switch {
	case err == io.EOF && t.goesOn(true):
		return t.endStream(reply, !received.empty)
	case errors.Is(err, errWriteToCaller):
		reply.Finish(false)
		t.endUnread(err)
		return 0
	}
	reply.Finish(false)
	t.noteUnconfirmed(reply, err)
	return t.handleFailure(forward.EndLost, err)
}

// endUnread ends a stream that could not be written to the caller.
func (t *attempt) endUnread(err error) {
	if t.callerDisconnected() {
		t.disconnect(zap.String("Backend", t.Backend.ID))
		return
	}
	t.abort(http.StatusOK, forward.EndedByCallerWrite, zap.String("LastEvent", t.delivered.snapshot().lastEvent), zap.Error(err))
}

// recordProgress reports to the fleet that an event arrived and, for the first event, how long it
// took.
func (t *attempt) recordProgress(first bool) {
	g, id := t.gateway, t.Backend.ID
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.RecordAlive(processOf(t.Backend), now)
	if g.fleet.Superseded(t.Backend) {
		return
	}
	g.fleet.RecordProgress(id, now)
	t.recordGap(now)
	if first {
		late := now - t.placedAt - t.PredictedLatency
		g.metrics.startPredictionError.WithLabelValues(t.service).Observe(late.Seconds())
		g.fleet.RecordLatency(id, t.PredictedLatency, now-t.placedAt, now)
	}
}

// beginStream sends the head of the first server's response, which is kept when another server
// resumes the stream. It is sent with the first event, as a request that fails before can still get a
// status.
func (t *attempt) beginStream(reply *Reply) {
	t.answering.Store(true)
	copyHeader(t.writer.Header(), reply.Header)
	t.writer.WriteHeader(reply.Status)
}

// endStream ends a stream that was forwarded completely. The parameter begun is true if it had events.
func (t *attempt) endStream(reply *Reply, begun bool) forward.End {
	if !t.begun() {
		t.beginStream(reply)
	}
	reply.Finish(true)
	if begun || !reply.UntilClose {
		t.noteAnswered()
	}
	t.gateway.mu.Lock()
	servers := t.Sent() + 1
	t.gateway.mu.Unlock()
	t.recordOutcome(reply.Status, "", zap.String("Backend", t.Backend.ID), zap.String("LastEvent", t.delivered.snapshot().lastEvent), zap.Int("Servers", servers), zap.String("Framing", reply.framing()))
	return 0
}

// forwardEvent forwards one event unless the caller already has it.
func (t *attempt) forwardEvent(reply *Reply, event event) error {
	part := t.delivered.snapshot()
	if !event.filler {
		switch t.events.Check(event.id) {
		case stream.VerdictDrop:
			return nil
		case stream.VerdictBroken:
			return fmt.Errorf("event %.40q does not follow event %.40q", event.id, part.lastEvent)
		}
	}
	if !part.begun {
		t.beginStream(reply)
		t.firstByteAt = time.Now()
		part.begun, part.version = true, reply.Version
	}
	// A caller that reads slowly is no silence of the server.
	t.writing.Store(true)
	defer func() {
		t.progressAt.Store(int64(boottime.Now()))
		t.writing.Store(false)
	}()
	if _, err := t.writer.Write(event.raw); err != nil {
		return fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	if err := http.NewResponseController(t.writer).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	if event.id != "" {
		part.lastEvent = event.id
	}
	part.unnumbered = !t.events.Resumable()
	t.delivered.set(part)
	return nil
}

// event is one event of a stream as it was received.
type event struct {
	id  string
	raw []byte
	// filler is true if the event has neither an ID nor data.
	filler bool
}

// errWriteToCaller means that a response could not be forwarded.
var errWriteToCaller = errors.New("write to the caller")

// errOtherRun means that a stream that was resumed ended before the last event that the caller has.
var errOtherRun = errors.New("the resumed stream ended before the last event that the caller has")

// errNoEvents means that a server sent comments or blank lines without end.
var errNoEvents = fmt.Errorf("no event within %d bytes", maxFillerBytes)

// errIncompleteEvent means that a stream ended in the middle of an event.
var errIncompleteEvent = errors.New("stream ended in the middle of an event")

// readEvent reads up to the blank line that ends an event. It returns io.EOF only if the stream
// ended between two events.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{filler: true}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes {
			continue
		}
		if err == io.EOF && len(e.raw) > 0 {
			return e, errIncompleteEvent
		}
		if err != nil {
			return e, err
		}
		if len(e.raw) > maxEventBytes {
			return e, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		e.filler = e.filler && !bytes.HasPrefix(line, []byte("id")) && !bytes.HasPrefix(line, []byte("data"))
	}
}
