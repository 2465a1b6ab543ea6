package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/stream"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Timeouts and limits of streams.
const (
	// maxSilentPauses is how many times the longest pause that callers accept a server may be
	// silent before its stream is resumed on another server. Callers themselves disconnect after
	// eight. minSilenceTimeout is the lower limit of that timeout.
	maxSilentPauses   = 4
	minSilenceTimeout = 800 * time.Millisecond
	maxEventBytes     = 1 << 20
)

// eventStream is what the caller has received of a streamed response.
type eventStream struct {
	stream.Events
	// lastEvent is the ID of the last event that was forwarded.
	lastEvent string
	// version is the version of the weights that started the response.
	version uint64
	flusher *http.ResponseController
}

// relayStream forwards the events of a response as they arrive, complete events only.
func (a *attempts) relayStream(id string, reply *Reply, cancel func(by forward.EndedBy)) forward.End {
	if a.stream == nil {
		a.beginStream(reply)
	}
	silence := a.watchSilence(cancel)
	a.gaps = gapCollector{}
	defer a.recordLastGaps()
	reader := bufio.NewReaderSize(reply.Body, 4<<10)
	for first := true; ; first = false {
		event, err := readEvent(reader)
		if err == nil {
			a.markStarted()
			a.lastProgressAt = boottime.Now()
			a.recordProgress(id, first)
			if first {
				a.noteBegun()
			}
		}
		if silence != nil {
			silence.Reset(a.silenceTimeout())
		}
		if err == io.EOF && reply.UntilClose && a.serverCrashed() {
			err = errCrashed
		}
		if err == io.EOF {
			return a.endStream(id, reply, !first)
		}
		if err == nil {
			err = a.forwardTimed(event)
		}
		if err != nil {
			reply.Finish(false)
			a.handleFailedAttempt(id, forward.EndLost, err)
			return forward.EndLost
		}
	}
}

// recordProgress reports to the fleet that an event arrived and, for the first event, how long it
// took.
func (a *attempts) recordProgress(id string, first bool) {
	g := a.gateway
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.RecordAlive(processOf(a.placement.Backend), now)
	if g.fleet.Superseded(a.placement.Backend) {
		return
	}
	g.fleet.RecordProgress(id, now)
	a.recordGap(now)
	if first {
		late := now - a.placedAt - a.placement.PredictedLatency
		g.metrics.startPredictionError.WithLabelValues(a.service).Observe(late.Seconds())
		g.fleet.RecordLatency(id, a.placement.PredictedLatency, now-a.placedAt, now)
	}
}

// beginStream sends the head of the first server's response, which is kept when another server
// resumes the stream.
func (a *attempts) beginStream(reply *Reply) {
	a.stream = &eventStream{version: reply.Version, lastEvent: a.call.LastEvent, flusher: http.NewResponseController(a.writer)}
	a.stream.ResumeAfter(eventNumber(a.call.LastEvent))
	copyHeader(a.writer.Header(), reply.Header)
	a.writer.WriteHeader(reply.Status)
	_ = a.stream.flusher.SetWriteDeadline(a.deadline.Add(writeGracePeriod))
}

// endStream ends a stream that was forwarded completely. The parameter begun is true if it had events.
func (a *attempts) endStream(id string, reply *Reply, begun bool) forward.End {
	reply.Finish(true)
	if begun || !reply.UntilClose {
		a.noteAnswered()
	}
	_ = a.stream.flusher.SetWriteDeadline(time.Time{})
	a.recordOutcome(reply.Status, "", zap.String("Backend", id), zap.String("LastEvent", a.stream.lastEvent), zap.Int("Servers", a.Sent()+1))
	return 0
}

// forwardEvent forwards one event unless the caller already has it.
func (a *attempts) forwardEvent(event event) error {
	if event.id != "" {
		switch a.stream.Check(eventNumber(event.id)) {
		case stream.VerdictDrop:
			return nil
		case stream.VerdictBroken:
			return fmt.Errorf("event %s is out of order after event %s", event.id, a.stream.lastEvent)
		}
	}
	if a.firstByteAt.IsZero() {
		a.firstByteAt = time.Now()
	}
	if _, err := a.writer.Write(event.raw); err != nil {
		return fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	if err := a.stream.flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	if event.id != "" {
		a.stream.lastEvent = event.id
	}
	return nil
}

// watchSilence cancels an attempt whose server stops sending, if another server may resume the
// stream.
func (a *attempts) watchSilence(cancel func(by forward.EndedBy)) *time.Timer {
	if !a.Class.Repeatable || a.Sent()+1 >= a.Class.MaxServers || a.route.MaxEventGap <= 0 {
		return nil
	}
	return time.AfterFunc(a.silenceTimeout(), func() { cancel(forward.EndedBySilence) })
}

// silenceTimeout is how long a server may send nothing before its stream is resumed on another
// server.
func (a *attempts) silenceTimeout() time.Duration {
	return max(maxSilentPauses*a.route.MaxEventGap, minSilenceTimeout)
}

// event is one event of a stream as it was received.
type event struct {
	id  string
	raw []byte
}

// errWriteToCaller means that a response could not be forwarded.
var errWriteToCaller = errors.New("write to the caller")

// errIncompleteEvent means that a stream ended in the middle of an event.
var errIncompleteEvent = errors.New("stream ended in the middle of an event")

// readEvent reads up to the blank line that ends an event. It returns io.EOF only if the stream
// ended between two events.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
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
	}
}

// eventNumber returns the number in an event ID, or -1 if the ID is not a number.
func eventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
