package relays

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Uploads share the slow link of each holder with responses to callers. A
// holder that uploaded most of a set would delay its own responses.
func TestUploadsAreBalancedAcrossHolders(t *testing.T) {
	c := qt.New(t)
	var holders []Holder
	for n := range 4 {
		holders = append(holders, Holder{Backend: fmt.Sprint("i-", n)})
	}
	requests := map[string]int{}
	for piece := range 96 {
		selected := HoldersToQuery(holders, fmt.Sprint("drafter/1/", piece))
		c.Assert(selected, qt.HasLen, maxHoldersQueried)
		requests[selected[0].Backend]++
	}
	for backend, n := range requests {
		c.Check(n < 40, qt.IsTrue, qt.Commentf("%s uploads %d of 96", backend, n))
	}
	c.Assert(HoldersToQuery(nil, "drafter/1/0"), qt.HasLen, 0)
}
