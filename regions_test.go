package filbertlever_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
)

func TestRegionsIntersect(t *testing.T) {
	for _, test := range []struct {
		name              string
		one, other, both  filbertlever.Regions
		allowed, rejected string
	}{
		{name: "unrestricted", allowed: "a"},
		{name: "one restricted", one: filbertlever.Regions{"a"}, both: filbertlever.Regions{"a"}, allowed: "a", rejected: "b"},
		{name: "overlap", one: filbertlever.Regions{"a", "b"}, other: filbertlever.Regions{"b", "c"}, both: filbertlever.Regions{"b"}, allowed: "b", rejected: "a"},
		{name: "disjoint", one: filbertlever.Regions{"a"}, other: filbertlever.Regions{"b"}, both: filbertlever.Regions{}, rejected: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.one.Intersect(test.other), qt.DeepEquals, test.both)
			both := test.other.Intersect(test.one)
			c.Assert(both, qt.DeepEquals, test.both)
			c.Assert(test.allowed == "" || both.Allows(test.allowed), qt.IsTrue)
			c.Assert(test.rejected != "" && both.Allows(test.rejected), qt.IsFalse)
		})
	}
}
