// Package stream assembles one complete answer from the frames of one or more
// attempts.
package stream

import (
	"slices"

	"github.com/filbertlever/filbertlever"
)

// Frame is a part of an answer, received from an attempt.
type Frame struct {
	Attempt uint32
	// Offset is the position of Pieces[0] in the answer.
	Offset uint32
	Pieces []string
	// Version is the digest of the weights that the engine attested for these pieces.
	Version filbertlever.Digest
	// Done is true in the last frame of the answer.
	Done bool
}

// Verdict is what to do with a frame or an event.
type Verdict int

// The verdicts.
const (
	// VerdictDeliver means that the returned pieces are delivered to the caller. There
	// may be none.
	VerdictDeliver Verdict = iota + 1
	// VerdictDone means that the returned pieces are delivered and complete the answer.
	VerdictDone
	// VerdictDrop means that the frame or event is ignored because it belongs to an
	// earlier attempt or was delivered before.
	VerdictDrop
	// VerdictBroken means that the attempt ends because the frame or event leaves a gap
	// or comes from other weights. Nothing of it is delivered.
	VerdictBroken
)

// Assembler assembles the answer to one request and keeps the pieces delivered to
// its caller.
type Assembler struct {
	// begun is the number of the last attempt.
	begun uint32
	// running are the attempts whose frames count. Each of them continues delivered, as the first one to
	// add a piece becomes the only one.
	running   []uint32
	version   filbertlever.Digest
	delivered []string
	done      bool
}

// New returns an assembler for an answer that continues after the pieces in
// delivered. All of the answer comes from the weights with the digest version.
func New(version filbertlever.Digest, delivered []string) *Assembler {
	return &Assembler{version: version, delivered: append([]string(nil), delivered...)}
}

// BeginAttempt starts the next attempt and returns its number. From then on,
// frames of earlier attempts are dropped.
func (a *Assembler) BeginAttempt() uint32 {
	a.running = nil
	return a.BeginBeside()
}

// BeginBeside starts an attempt beside the running ones and returns its number. The
// first of them to add a piece or to complete the answer continues it. From then on,
// frames of the others are dropped.
func (a *Assembler) BeginBeside() uint32 {
	a.begun++
	a.running = append(a.running, a.begun)
	return a.begun
}

// Delivered returns the pieces delivered so far. The slice must not be changed.
func (a *Assembler) Delivered() []string { return a.delivered }

// Version returns the digest of the weights that the answer comes from.
func (a *Assembler) Version() filbertlever.Digest { return a.version }

// Done reports whether the answer is complete.
func (a *Assembler) Done() bool { return a.done }

// Accept checks a frame and returns the pieces to deliver:
//   - A frame of an earlier attempt may still arrive and would duplicate tokens, so
//     the attempt must be running.
//   - Two attempts may continue an answer in different ways, so only one of them
//     adds to it.
//   - A frame may repeat delivered tokens, so those before the next offset are
//     removed.
//   - A lost frame would leave a gap, so an offset beyond the next one ends the
//     attempt.
//   - An engine that switched versions would mix two answers, so the attested
//     digest must be the one that the answer began with.
func (a *Assembler) Accept(frame Frame) ([]string, Verdict) {
	if !slices.Contains(a.running, frame.Attempt) || a.done {
		return nil, VerdictDrop
	}
	if frame.Version != a.version {
		return nil, VerdictBroken
	}
	next := uint32(len(a.delivered))
	if frame.Offset > next {
		return nil, VerdictBroken
	}
	pieces := frame.Pieces
	pieces = pieces[min(next-frame.Offset, uint32(len(pieces))):]
	if len(pieces) > 0 || frame.Done {
		a.running = []uint32{frame.Attempt}
	}
	a.delivered = append(a.delivered, pieces...)
	if frame.Done {
		a.done = true
		return pieces, VerdictDone
	}
	return pieces, VerdictDeliver
}
