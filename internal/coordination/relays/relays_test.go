package relays

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

var entries = []Entry{{"e1", "a"}, {"e2", "a"}, {"e3", "a"}, {"e4", "b"}, {"e5", "b"}, {"e6", "c"}}

// The origin sends several copies of a version, whose link carries few. Each
// piece must have one entry that draws it from the origin, one of each other
// site that fetches it over the border, and no chain that ends nowhere.
func TestEachPieceIsSentOncePerSite(t *testing.T) {
	c := qt.New(t)
	for piece := range 64 {
		key := fmt.Sprint(piece)
		fromOrigin, overBorder := 0, map[string]int{}
		for _, entry := range entries {
			source, ask := Source(entry, entries, "a", key, RoleAny)
			switch {
			case source == "":
				fromOrigin++
				c.Assert(entry.Site, qt.Equals, "a")
			case siteOf(source) != entry.Site:
				overBorder[entry.Site]++
				next, _ := Source(Entry{Host: source, Site: siteOf(source)}, entries, "a", key, ask)
				c.Assert(next, qt.Equals, filbertlever.HostID(""))
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
func TestRemovedEntryMovesOnlyItsPieces(t *testing.T) {
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
func TestNoEntryAtOriginSite(t *testing.T) {
	c := qt.New(t)
	far := []Entry{{"e4", "b"}}
	source, _ := Source(far[0], far, "a", "1", RoleAny)
	c.Assert(source, qt.Equals, filbertlever.HostID(""))
}

// The origin came back while one version was nearly whole and the next was named.
// Fourteen entries each drew a part: those that were done with the first version
// took most of the link for the second. Few draw, so that each has some of both.
func TestFewEntriesFetchFromOrigin(t *testing.T) {
	c := qt.New(t)
	var many []Entry
	for n := range 14 {
		many = append(many, Entry{Host: filbertlever.HostID(fmt.Sprint("e", n)), Site: "a"})
	}
	pieces := map[filbertlever.HostID]int{}
	homes := map[filbertlever.HostID]bool{}
	for piece := range 64 {
		key := fmt.Sprint(piece)
		pieces[Drawer(many, "a", key)]++
		homes[Home(many, "a", key)] = true
	}
	c.Assert(len(pieces), qt.Equals, maxOriginFetchers)
	for host, n := range pieces {
		c.Check(n >= 8 && n <= 24, qt.IsTrue, qt.Commentf("%s draws %d of 64", host, n))
	}
	// Agents are served by all.
	c.Assert(len(homes), qt.Equals, len(many))
}

// No server gets its weights: entries that do not agree on who lives send each
// other round in a ring. Whatever each of them sees, three steps reach the origin.
func TestEveryRouteEndsAtOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom(entries)
		key := fmt.Sprint(rapid.IntRange(0, 63).Draw(t, "piece"))
		self, asked := host.Draw(t, "first"), RoleAny
		for range 3 {
			seen := []Entry{self}
			for _, other := range entries {
				if other != self && rapid.Bool().Draw(t, "seen") {
					seen = append(seen, other)
				}
			}
			source, ask := Source(self, seen, "a", key, asked)
			if source == "" {
				return
			}
			if ask <= asked {
				t.Fatalf("asked as %d, asks as %d", asked, ask)
			}
			self, asked = Entry{Host: source, Site: siteOf(source)}, ask
		}
		if source, _ := Source(self, entries, "a", key, asked); source != "" {
			t.Fatal("the way goes on")
		}
	})
}

// Entries that read the store one after the other agree on their order, and its first is the home.
func TestRanksAreConsistent(t *testing.T) {
	c := qt.New(t)
	entries := []Entry{{Host: "e1", Site: "a"}, {Host: "e2", Site: "a"}, {Host: "e3", Site: "b"}, {Host: "e4", Site: "a"}}
	turns := map[int]bool{}
	for _, host := range []filbertlever.HostID{"e1", "e2", "e4"} {
		turns[Turn(host, entries, "a", "reader")] = true
	}
	c.Assert(turns, qt.DeepEquals, map[int]bool{0: true, 1: true, 2: true})
	c.Assert(Turn(Home(entries, "a", "reader"), entries, "a", "reader"), qt.Equals, 0)
	c.Assert(Turn("e3", entries, "a", "reader"), qt.Equals, -1)
}
