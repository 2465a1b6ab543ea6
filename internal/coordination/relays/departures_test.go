package relays

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
)

// When the entries that fetch a version from the origin stopped one after the
// other, each successor fetched the same pieces again. Other entries are asked
// first only in that case, since asking them delays the fetch.
func TestPieceMayBeOnPeersAfterEntryDeparted(t *testing.T) {
	c := qt.New(t)
	const setAt = 10 * time.Second
	all := []Entry{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	var tracker DepartureTracker
	tracker.Observe(all, "a", 5*time.Second)
	tracker.Observe(all[:2], "a", 11*time.Second)
	c.Check(tracker.MayBeOnPeers(setAt), qt.IsFalse, qt.Commentf("an entry of another site fetches nothing from the origin"))
	c.Check(tracker.MayBeOnPeers(0), qt.IsTrue, qt.Commentf("the target was set before this process started"))
	tracker.Observe(all[1:], "a", 12*time.Second)
	c.Check(tracker.MayBeOnPeers(setAt), qt.IsTrue)
	c.Check(tracker.MayBeOnPeers(13*time.Second), qt.IsFalse, qt.Commentf("a target set after the departure"))
	tracker.Observe(all, "a", 14*time.Second)
	c.Check(tracker.MayBeOnPeers(13*time.Second), qt.IsFalse, qt.Commentf("a new entry has fetched nothing"))
}

// A piece must cross as few site boundaries as possible, so the home entry of
// the own site is asked first. Only home entries hold a piece.
func TestHomesToQueryStartWithOwnSite(t *testing.T) {
	c := qt.New(t)
	var entries []Entry
	for _, site := range []string{"a", "b", "c", "d", "e", "f"} {
		for _, n := range []string{"1", "2", "3"} {
			entries = append(entries, Entry{Host: filbertlever.HostID(site + n), Site: site})
		}
	}
	for _, piece := range []string{"m/2/0", "m/2/1", "m/2/2", "m/2/3"} {
		for _, self := range entries[:3] {
			homes := HomesToQuery(self, entries, piece)
			c.Assert(homes, qt.HasLen, maxHomesQueried)
			if home := Home(entries, "a", piece); home != self.Host {
				c.Check(homes[0], qt.Equals, home)
			}
			for _, host := range homes {
				c.Check(Home(entries, string(host[0]), piece), qt.Equals, host)
			}
			c.Check(slices.Contains(homes, self.Host), qt.IsFalse)
		}
	}
}
