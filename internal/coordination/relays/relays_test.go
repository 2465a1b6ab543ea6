package relays

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
)

var entries = []Entry{{"e1", "a"}, {"e2", "a"}, {"e3", "a"}, {"e4", "b"}, {"e5", "b"}, {"e6", "c"}}

// The origin sends several copies of a version, whose link carries few. Each
// piece must have one entry that draws it from the origin, one of each other
// site that fetches it over the border, and no chain that ends nowhere.
func TestEachPieceLeavesTheOriginAndCrossesEachBorderOnce(t *testing.T) {
	c := qt.New(t)
	for piece := range 64 {
		key := fmt.Sprint(piece)
		fromOrigin, overBorder := 0, map[string]int{}
		for _, entry := range entries {
			source := Source(entry, entries, "a", key)
			switch {
			case source == "":
				fromOrigin++
				c.Assert(entry.Site, qt.Equals, "a")
			case siteOf(source) != entry.Site:
				overBorder[entry.Site]++
				c.Assert(Source(Entry{Host: source, Site: siteOf(source)}, entries, "a", key), qt.Equals, filbertlever.HostID(""))
			}
		}
		c.Assert(fromOrigin, qt.Equals, 1)
		c.Assert(overBorder, qt.DeepEquals, map[string]int{"b": 1, "c": 1})
	}
}

func siteOf(host filbertlever.HostID) string {
	for _, entry := range entries {
		if entry.Host == host {
			return entry.Site
		}
	}
	return ""
}

// The loss of one entry must move only its pieces, or every relay draws anew.
func TestLosingAnEntryMovesOnlyItsPieces(t *testing.T) {
	c := qt.New(t)
	for piece := range 64 {
		key := fmt.Sprint(piece)
		before := Home(entries, "a", key)
		after := Home(entries[1:], "a", key)
		if before != "e1" {
			c.Assert(after, qt.Equals, before)
		}
	}
}

// No entry lives at the origin's site: the others draw from the origin itself.
func TestWithoutAnEntryAtTheOriginsSite(t *testing.T) {
	c := qt.New(t)
	far := []Entry{{"e4", "b"}}
	c.Assert(Source(far[0], far, "a", "1"), qt.Equals, filbertlever.HostID(""))
}
