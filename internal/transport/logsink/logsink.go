// Package logsink writes log lines without ever making their author wait: lines
// go through a bounded queue, and what does not fit is counted and dropped.
package logsink

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait; at about 300 bytes a line it is 1.2 MB.
const maxQueuedLines = 4096

// writeBatchBytes is how much is gathered for one write, so that a busy process
// makes few system calls for its log.
const writeBatchBytes = 16 << 10

// Sink is an io.Writer whose Write never blocks.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
}

// New starts a sink that writes to out. The returned function flushes what
// waits and stops it.
func New(out io.Writer) (*Sink, func()) {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go s.run()
	return s, func() { close(s.stop); <-s.stopped }
}

// Write queues a copy of line; it is dropped and counted if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is part of zapcore.WriteSyncer; the sink flushes when it is stopped.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.stopped)
	batch := make([]byte, 0, writeBatchBytes)
	for {
		select {
		case line := <-s.lines:
			batch = s.appendQueued(append(batch[:0], line...))
			// A log that cannot be written has nowhere to say so.
			_, _ = s.out.Write(batch)
		case <-s.stop:
			for batch = s.appendQueued(batch[:0]); len(batch) > 0; batch = s.appendQueued(batch[:0]) {
				_, _ = s.out.Write(batch)
			}
			return
		}
	}
}

// appendQueued appends the lines that wait, up to about batchBytes.
func (s *Sink) appendQueued(batch []byte) []byte {
	for len(batch) < writeBatchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
