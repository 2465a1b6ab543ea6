// Package logsink writes log lines without blocking the caller. Lines go through a bounded
// queue, and lines that do not fit are counted and dropped.
package logsink

import (
	"io"
	"sync/atomic"
)

// Bounds of the queue. A line has about 300 bytes, but what callers send may be part of it.
const (
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
)

// writeBatchBytes is the approximate size of one write, so that a busy process makes few
// system calls for its log.
const writeBatchBytes = 16 << 10

// Sink is an io.Writer whose Write never blocks.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	// queued is the number of bytes in lines.
	queued  atomic.Int64
	dropped atomic.Int64
}

// New starts a sink that writes to out. The returned function flushes the queued lines and
// stops the sink.
func New(out io.Writer) (*Sink, func()) {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go s.run()
	return s, func() { close(s.stop); <-s.stopped }
}

// Write queues a copy of line; it is dropped and counted if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	if s.queued.Add(int64(len(line))) <= maxQueuedBytes {
		select {
		case s.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	s.queued.Add(-int64(len(line)))
	s.dropped.Add(1)
	return len(line), nil
}

// Sync is part of zapcore.WriteSyncer; the sink flushes when it is stopped.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.stopped)
	batch := make([]byte, 0, writeBatchBytes)
	for {
		select {
		case line := <-s.lines:
			s.queued.Add(-int64(len(line)))
			batch = s.appendQueued(append(batch[:0], line...))
			// An error cannot be logged, because this is the log.
			_, _ = s.out.Write(batch)
		case <-s.stop:
			for batch = s.appendQueued(batch[:0]); len(batch) > 0; batch = s.appendQueued(batch[:0]) {
				_, _ = s.out.Write(batch)
			}
			return
		}
	}
}

// appendQueued appends the queued lines to batch, up to about writeBatchBytes.
func (s *Sink) appendQueued(batch []byte) []byte {
	for len(batch) < writeBatchBytes {
		select {
		case line := <-s.lines:
			s.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
