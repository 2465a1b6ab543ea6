package relays

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
)

// The origin sends a version three times over its thin link: the entries that draw it are
// stopped in turn, and each that follows draws what the one before had drawn. Only then
// are others asked first; each call is time before a draw.
func TestPieceMayBeOnPeersAfterEntryDeparted(t *testing.T) {
	c := qt.New(t)
	const named = 10 * time.Second
	all := []Entry{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	var turnover Turnover
	turnover.See(all, "a", 5*time.Second)
	turnover.See(all[:2], "a", 11*time.Second)
	c.Check(turnover.Since(named), qt.IsFalse, qt.Commentf("one of another site draws nothing"))
	c.Check(turnover.Since(0), qt.IsTrue, qt.Commentf("it was named before this process started"))
	turnover.See(all[1:], "a", 12*time.Second)
	c.Check(turnover.Since(named), qt.IsTrue)
	c.Check(turnover.Since(13*time.Second), qt.IsFalse, qt.Commentf("a version named after the loss"))
	turnover.See(all, "a", 14*time.Second)
	c.Check(turnover.Since(13*time.Second), qt.IsFalse, qt.Commentf("one that came has drawn nothing"))
}

// A piece crosses as few borders as can be: the entry of the own site is asked first, and
// all that may hold a piece are homes of it.
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
			keepers := Keepers(self, entries, piece)
			c.Assert(keepers, qt.HasLen, maxHomesQueried)
			if home := Home(entries, "a", piece); home != self.Host {
				c.Check(keepers[0], qt.Equals, home)
			}
			for _, keeper := range keepers {
				c.Check(Home(entries, string(keeper[0]), piece), qt.Equals, keeper)
			}
			c.Check(slices.Contains(keepers, self.Host), qt.IsFalse)
		}
	}
}
