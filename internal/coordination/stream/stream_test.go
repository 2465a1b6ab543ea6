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

// The caller reads a clause with a sentence twice: a frame of the attempt that
// was given up arrives after the next attempt began.
func TestFrameOfEarlierAttemptIsDropped(t *testing.T) {
	c := qt.New(t)
	a := stream.New(version, nil)
	first := a.Begin()
	a.Frame(stream.Frame{Attempt: first, Pieces: []string{"a"}, Version: version})
	second := a.Begin()
	pieces, verdict := a.Frame(stream.Frame{Attempt: first, Offset: 1, Pieces: []string{"b"}, Version: version})
	c.Assert(verdict, qt.Equals, stream.VerdictDrop)
	c.Assert(pieces, qt.HasLen, 0)
	pieces, verdict = a.Frame(stream.Frame{Attempt: second, Offset: 0, Pieces: []string{"a", "b"}, Version: version, Done: true})
	c.Assert(verdict, qt.Equals, stream.VerdictDone)
	c.Assert(pieces, qt.DeepEquals, []string{"b"})
}

// The caller reads a clause with a hole in it: a frame was lost on the way.
func TestGapEndsTheAttempt(t *testing.T) {
	c := qt.New(t)
	a := stream.New(version, nil)
	attempt := a.Begin()
	_, verdict := a.Frame(stream.Frame{Attempt: attempt, Offset: 1, Pieces: []string{"b"}, Version: version})
	c.Assert(verdict, qt.Equals, stream.VerdictBroken)
	c.Assert(a.Delivered(), qt.HasLen, 0)
}

// The caller reads the beginning of one model version's answer and the end of
// another's: the host switched versions, and the request was resumed there.
func TestOtherWeightsEndTheAttempt(t *testing.T) {
	c := qt.New(t)
	a := stream.New(version, []string{"a"})
	attempt := a.Begin()
	_, verdict := a.Frame(stream.Frame{Attempt: attempt, Offset: 1, Pieces: []string{"b"}, Version: "sha256:other"})
	c.Assert(verdict, qt.Equals, stream.VerdictBroken)
	c.Assert(a.Delivered(), qt.DeepEquals, []string{"a"})
}

// Any order of frames, twice, late, out of order and from any attempt: the
// caller is given a beginning of the one true answer, and all of it at the end.
func TestFramesInAnyOrderGiveOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := answer(12)
		a := stream.New(version, nil)
		var delivered []string
		var sent []stream.Frame
		attempt := a.Begin()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
				attempt = a.Begin()
			}
			from := rapid.IntRange(0, len(whole)).Draw(t, "from")
			to := rapid.IntRange(from, min(from+3, len(whole))).Draw(t, "to")
			frame := stream.Frame{Attempt: attempt, Offset: uint32(from), Pieces: whole[from:to], Version: version, Done: to == len(whole)}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				frame.Version = "sha256:other"
				frame.Pieces = []string{"from other weights"}
			}
			sent = append(sent, frame)
			frame = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "frame")]
			pieces, _ := a.Frame(frame)
			delivered = append(delivered, pieces...)
			if !slices.Equal(delivered, whole[:len(delivered)]) {
				t.Fatalf("caller was given %v", delivered)
			}
			if a.Done() && len(delivered) != len(whole) {
				t.Fatalf("answer ended after %d of %d tokens", len(delivered), len(whole))
			}
		}
	})
}
