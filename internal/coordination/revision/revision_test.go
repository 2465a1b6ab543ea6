package revision

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Revisions of a later era are higher, whatever their numbers.
func TestErasOrderRevisions(t *testing.T) {
	const maxNumber = 1 << 53
	rapid.Check(t, func(rt *rapid.T) {
		era := rapid.Uint64Range(0, 1021).Draw(rt, "era")
		number, other := rapid.Uint64Range(0, maxNumber).Draw(rt, "number"), rapid.Uint64Range(0, maxNumber).Draw(rt, "other")
		r := New(era, number)
		c := qt.New(t)
		c.Assert(Era(r), qt.Equals, era)
		c.Assert(Number(r), qt.Equals, number)
		c.Assert(r < New(era+1, other), qt.IsTrue)
		c.Assert(r < New(era, other), qt.Equals, number < other)
		c.Assert(InEra(r, other), qt.Equals, New(era, other))
	})
	// A store without eras has the revisions themselves.
	qt.Assert(t, New(0, 7), qt.Equals, uint64(7))
}
