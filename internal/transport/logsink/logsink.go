// Package logsink writes log lines without ever making their author wait: lines
// go through a bounded queue, and what does not fit is counted and dropped.
package logsink

import (
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait; at about 300 bytes a line it is 1.2 MB.
const queueLines = 4096

// batchBytes is how much is gathered for one write, so that a busy process
// makes few system calls for its log.
const batchBytes = 16 << 10

// Sink is an io.Writer whose Write never blocks.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	ended   chan struct{}
	dropped atomic.Int64
}

// New starts a sink that writes to out. The returned function flushes what
// waits and stops it.
func New(out io.Writer) (*Sink, func()) {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s, func() { close(s.done); <-s.ended }
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
	defer close(s.ended)
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-s.lines:
			batch = s.gather(append(batch[:0], line...))
			// A log that cannot be written has nowhere to say so.
			_, _ = s.out.Write(batch)
		case <-s.done:
			for batch = s.gather(batch[:0]); len(batch) > 0; batch = s.gather(batch[:0]) {
				_, _ = s.out.Write(batch)
			}
			return
		}
	}
}

// gather appends the lines that wait, up to about batchBytes.
func (s *Sink) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
