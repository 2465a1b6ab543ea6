package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

// Requests would hang if the reader of the log stopped reading. Lines beyond the queue's
// capacity must be dropped and counted, and a write must never block.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	c := qt.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	sink, stop := New(out)
	const lines = 2 * maxQueuedLines
	for n := range lines {
		written, err := fmt.Fprintf(sink, "line %d\n", n)
		c.Assert(err, qt.IsNil)
		c.Assert(written > 0, qt.IsTrue)
	}
	close(out.release)
	stop()
	kept := strings.Count(out.written.String(), "\n")
	c.Assert(int64(kept)+sink.Dropped(), qt.Equals, int64(lines))
	c.Assert(sink.Dropped() > 0, qt.IsTrue)
}

// Callers choose parts of log lines, such as the IDs of requests. Long lines must not fill the memory while
// the output blocks.
func TestLongLinesAreBounded(t *testing.T) {
	c := qt.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	sink, stop := New(out)
	line := bytes.Repeat([]byte("x"), 60<<10)
	for range maxQueuedLines {
		_, _ = sink.Write(line)
	}
	close(out.release)
	stop()
	c.Assert(out.written.Len() <= maxQueuedBytes+writeBatchBytes+2*len(line), qt.IsTrue, qt.Commentf("%d bytes", out.written.Len()))
	c.Assert(sink.Dropped() > 0, qt.IsTrue)
	c.Assert(sink.queued.Load(), qt.Equals, int64(0))
}

// A process that stops must still write its last lines.
func TestStopFlushesQueue(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	sink, stop := New(&out)
	_, _ = sink.Write([]byte("last\n"))
	stop()
	c.Assert(out.String(), qt.Equals, "last\n")
}
