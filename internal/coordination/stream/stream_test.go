package stream_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/stream"
)

const version = filbertlever.Digest("sha256:drafter")

func answer(n int) []string {
	pieces := make([]string, n)
	for i := range pieces {
		pieces[i] = fmt.Sprint("token-", i)
	}
	return pieces
}

// The caller gets tokens twice, because a frame of an earlier attempt arrives after the next attempt
// began.
func TestFrameOfEarlierAttemptIsDropped(t *testing.T) {
	c := qt.New(t)
	a := stream.New(version, nil)
	first := a.BeginAttempt()
	a.Accept(stream.Frame{Attempt: first, Pieces: []string{"a"}, Version: version})
	second := a.BeginAttempt()
	pieces, verdict := a.Accept(stream.Frame{Attempt: first, Offset: 1, Pieces: []string{"b"}, Version: version})
	c.Assert(verdict, qt.Equals, stream.VerdictDrop)
	c.Assert(pieces, qt.HasLen, 0)
	pieces, verdict = a.Accept(stream.Frame{Attempt: second, Offset: 0, Pieces: []string{"a", "b"}, Version: version, Done: true})
	c.Assert(verdict, qt.Equals, stream.VerdictDone)
	c.Assert(pieces, qt.DeepEquals, []string{"b"})
}

// The caller gets parts of two different continuations, because two attempts beside each other both add to
// the answer.
func TestOneAttemptContinuesTheAnswer(t *testing.T) {
	for _, winner := range []int{0, 1} {
		c := qt.New(t)
		a := stream.New(version, []string{"a"})
		attempts := []uint32{a.BeginAttempt(), a.BeginBeside()}
		_, verdict := a.Accept(stream.Frame{Attempt: attempts[1-winner], Offset: 1, Version: version})
		c.Assert(verdict, qt.Equals, stream.VerdictDeliver)
		pieces, _ := a.Accept(stream.Frame{Attempt: attempts[winner], Offset: 1, Pieces: []string{"b"}, Version: version})
		c.Assert(pieces, qt.DeepEquals, []string{"b"})
		_, verdict = a.Accept(stream.Frame{Attempt: attempts[1-winner], Offset: 1, Pieces: []string{"x", "y"}, Version: version})
		c.Assert(verdict, qt.Equals, stream.VerdictDrop)
		pieces, _ = a.Accept(stream.Frame{Attempt: attempts[winner], Offset: 2, Pieces: []string{"c"}, Version: version, Done: true})
		c.Assert(pieces, qt.DeepEquals, []string{"c"})
		c.Assert(a.Delivered(), qt.DeepEquals, []string{"a", "b", "c"})
	}
}

// The caller gets an answer with a gap, because a frame was lost.
func TestGapEndsTheAttempt(t *testing.T) {
	c := qt.New(t)
	a := stream.New(version, nil)
	attempt := a.BeginAttempt()
	_, verdict := a.Accept(stream.Frame{Attempt: attempt, Offset: 1, Pieces: []string{"b"}, Version: version})
	c.Assert(verdict, qt.Equals, stream.VerdictBroken)
	c.Assert(a.Delivered(), qt.HasLen, 0)
}

// The caller gets parts of the answers of two model versions, because the request was resumed on a
// host that had switched versions.
func TestOtherWeightsEndTheAttempt(t *testing.T) {
	c := qt.New(t)
	a := stream.New(version, []string{"a"})
	attempt := a.BeginAttempt()
	_, verdict := a.Accept(stream.Frame{Attempt: attempt, Offset: 1, Pieces: []string{"b"}, Version: "sha256:other"})
	c.Assert(verdict, qt.Equals, stream.VerdictBroken)
	c.Assert(a.Delivered(), qt.DeepEquals, []string{"a"})
}

// Frames that are duplicated, late, out of order or from any attempt corrupt the answer. The caller
// must always have a prefix of the correct answer, and all of it once it is done.
func TestFramesInAnyOrderGiveOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := answer(12)
		a := stream.New(version, nil)
		var delivered []string
		var sent []stream.Frame
		attempt := a.BeginAttempt()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
				attempt = a.BeginAttempt()
			}
			from := rapid.IntRange(0, len(complete)).Draw(t, "from")
			to := rapid.IntRange(from, min(from+3, len(complete))).Draw(t, "to")
			frame := stream.Frame{Attempt: attempt, Offset: uint32(from), Pieces: complete[from:to], Version: version, Done: to == len(complete)}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				frame.Version = "sha256:other"
				frame.Pieces = []string{"from other weights"}
			}
			sent = append(sent, frame)
			frame = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "frame")]
			pieces, _ := a.Accept(frame)
			delivered = append(delivered, pieces...)
			if !slices.Equal(delivered, complete[:len(delivered)]) {
				t.Fatalf("caller received %v", delivered)
			}
			if a.Done() && len(delivered) != len(complete) {
				t.Fatalf("answer ended after %d of %d tokens", len(delivered), len(complete))
			}
		}
	})
}
