package relays

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

var entries = []Entry{{"e1", "a"}, {"e2", "a"}, {"e3", "a"}, {"e4", "b"}, {"e5", "b"}, {"e6", "c"}}

// The origin's slow link must carry each piece once. One entry fetches a piece
// from the origin, one of each other site fetches it across the site boundary,
// and every route ends at the origin.
func TestEachPieceIsSentOncePerSite(t *testing.T) {
	c := qt.New(t)
	for piece := range 64 {
		key := fmt.Sprint(piece)
		fromOrigin, acrossSites := 0, map[string]int{}
		for _, entry := range entries {
			source, ask := Source(entry, entries, "a", key, RoleAny)
			switch {
			case source == "":
				fromOrigin++
				c.Assert(entry.Site, qt.Equals, "a")
			case siteOf(source) != entry.Site:
				acrossSites[entry.Site]++
				nextSource, _ := Source(Entry{Host: source, Site: siteOf(source)}, entries, "a", key, ask)
				c.Assert(nextSource, qt.Equals, filbertlever.HostID(""))
			}
		}
		c.Assert(fromOrigin, qt.Equals, 1)
		c.Assert(acrossSites, qt.DeepEquals, map[string]int{"b": 1, "c": 1})
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

// The removal of an entry must move only its own pieces. Otherwise every relay
// would fetch its pieces again.
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

// Without an entry at the origin's site, the others must fetch from the origin
// directly.
func TestNoEntryAtOriginSite(t *testing.T) {
	c := qt.New(t)
	remote := []Entry{{"e4", "b"}}
	source, _ := Source(remote[0], remote, "a", "1", RoleAny)
	c.Assert(source, qt.Equals, filbertlever.HostID(""))
}

// When fourteen entries each fetched a part, those that had finished one
// version took most of the origin's link for the next. With few fetchers, each
// has pieces of both versions.
func TestFewEntriesFetchFromOrigin(t *testing.T) {
	c := qt.New(t)
	var all []Entry
	for n := range 14 {
		all = append(all, Entry{Host: filbertlever.HostID(fmt.Sprint("e", n)), Site: "a"})
	}
	pieces := map[filbertlever.HostID]int{}
	homes := map[filbertlever.HostID]bool{}
	for piece := range 64 {
		key := fmt.Sprint(piece)
		pieces[OriginFetcher(all, "a", key)]++
		homes[Home(all, "a", key)] = true
	}
	c.Assert(len(pieces), qt.Equals, maxOriginFetchers)
	for host, n := range pieces {
		c.Check(n >= 8 && n <= 24, qt.IsTrue, qt.Commentf("%s fetches %d of 64", host, n))
	}
	// All entries serve agents.
	c.Assert(len(homes), qt.Equals, len(all))
}

// Entries with different views of the live entries must not wait for each other
// in a cycle. Whatever each of them observes, three steps must reach the
// origin.
func TestEveryRouteEndsAtOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom(entries)
		key := fmt.Sprint(rapid.IntRange(0, 63).Draw(t, "piece"))
		self, asked := host.Draw(t, "first"), RoleAny
		for range 3 {
			live := []Entry{self}
			for _, other := range entries {
				if other != self && rapid.Bool().Draw(t, "seen") {
					live = append(live, other)
				}
			}
			source, ask := Source(self, live, "a", key, asked)
			if source == "" {
				return
			}
			if ask <= asked {
				t.Fatalf("asked as %d, asks as %d", asked, ask)
			}
			self, asked = Entry{Host: source, Site: siteOf(source)}, ask
		}
		if source, _ := Source(self, entries, "a", key, asked); source != "" {
			t.Fatal("the route does not end at the origin")
		}
	})
}

// Entries that read the store in turn must agree on their order, which starts
// with the home entry.
func TestRanksAreConsistent(t *testing.T) {
	c := qt.New(t)
	entries := []Entry{{Host: "e1", Site: "a"}, {Host: "e2", Site: "a"}, {Host: "e3", Site: "b"}, {Host: "e4", Site: "a"}}
	ranks := map[int]bool{}
	for _, host := range []filbertlever.HostID{"e1", "e2", "e4"} {
		ranks[Rank(host, entries, "a", "reader")] = true
	}
	c.Assert(ranks, qt.DeepEquals, map[int]bool{0: true, 1: true, 2: true})
	c.Assert(Rank(Home(entries, "a", "reader"), entries, "a", "reader"), qt.Equals, 0)
	c.Assert(Rank("e3", entries, "a", "reader"), qt.Equals, -1)
}

// From the ninth entry of a region on all stopped waiting for a whole table at the same moment. Their
// reads filled the link, timed out, and began again together.
func TestReadsOfWholeTablesBeginAtAConstantRate(t *testing.T) {
	for _, reading := range []bool{true, false} {
		for _, entries := range []int{3, 20, 97, 500} {
			starts := map[time.Duration]int{}
			for rank := range entries {
				starts[SnapshotWait(rank, reading)]++
			}
			most := 0
			for _, n := range starts {
				most = max(most, n)
			}
			qt.Check(t, most <= maxSimultaneousReads+1, qt.IsTrue, qt.Commentf("%d of %d entries begin together", most, entries))
			qt.Check(t, SnapshotWait(1, reading), qt.Equals, SnapshotInterval)
		}
	}
}

// Entries that failed to read a whole table tried again, each after a time by its rank. From some 90
// entries on their reads filled the link to the store for good.
func TestRepeatedReadsOfWholeTablesStayAtAConstantRate(t *testing.T) {
	for _, n := range []int{1, 3, 20, 97, 500, 5000} {
		perSecond := 0.0
		for rank := range n {
			perSecond += 1 / SnapshotRetryWait(rank, n).Seconds()
		}
		qt.Check(t, perSecond <= 2/SnapshotInterval.Seconds()+1e-9, qt.IsTrue, qt.Commentf("%.1f reads a second by %d entries", perSecond, n))
	}
}
