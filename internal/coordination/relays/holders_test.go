package relays

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Callers' answers share the thin link of each host that gives out pieces; one that
// gave out most of a set would put off its own answers.
func TestUploadsAreBalancedAcrossHolders(t *testing.T) {
	c := qt.New(t)
	var holders []Holder
	for n := range 4 {
		holders = append(holders, Holder{Backend: fmt.Sprint("i-", n)})
	}
	asked := map[string]int{}
	for piece := range 96 {
		ways := HoldersOf(holders, fmt.Sprint("drafter/1/", piece))
		c.Assert(ways, qt.HasLen, maxHoldersQueried)
		asked[ways[0].Backend]++
	}
	for backend, n := range asked {
		c.Check(n < 40, qt.IsTrue, qt.Commentf("%s gives out %d of 96", backend, n))
	}
	c.Assert(HoldersOf(nil, "drafter/1/0"), qt.HasLen, 0)
}
