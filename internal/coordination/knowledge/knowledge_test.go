package knowledge_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/membership"
	"github.com/filbertlever/filbertlever/internal/state"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newBase() *knowledge.Base {
	return knowledge.New(membership.New(membership.DefaultConfig()))
}

func facts(n uint64) knowledge.Facts {
	return knowledge.Facts{
		Head:          state.Head{Version: n, Digest: filbertlever.Digest(fmt.Sprint("bundle-", n))},
		HostsRevision: n,
		Hosts:         []filbertlever.Host{{ID: filbertlever.HostID(fmt.Sprint("host-", n)), Role: filbertlever.RoleAgent}},
		StopsRevision: n,
		StopsKnown:    true,
		Stops:         []knowledge.Stop{{Host: filbertlever.HostID(fmt.Sprint("host-", n))}},
	}
}

// Messages that arrive late, twice or out of order must not bring a process back
// to an older version, and all processes must end with the same state.
func TestVersionsNeverDecreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bases := make([]*knowledge.Base, 5)
		for i := range bases {
			bases[i] = newBase()
		}
		var sent []knowledge.Facts
		pick := func() *knowledge.Base { return bases[rapid.IntRange(0, len(bases)-1).Draw(t, "base")] }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			to := pick()
			before := to.Digest()
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				merge(t, to, facts(uint64(rapid.IntRange(1, 9).Draw(t, "version"))))
			case 1:
				message := pick().Delta(to.Digest())
				sent = append(sent, message)
				merge(t, to, message)
			case 2:
				if len(sent) > 0 {
					merge(t, to, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")])
				}
			}
			after := to.Digest()
			if after.Head.Version < before.Head.Version || after.HostsRevision < before.HostsRevision || after.StopsRevision < before.StopsRevision {
				t.Fatalf("versions decreased from %+v to %+v", before, after)
			}
		}
		for range bases {
			for i, base := range bases {
				merge(t, base, bases[(i+1)%len(bases)].Delta(base.Digest()))
			}
		}
		for _, base := range bases {
			if bases[0].AheadOf(base.Digest()) || base.AheadOf(bases[0].Digest()) {
				t.Fatalf("%+v and %+v did not converge", base.Digest(), bases[0].Digest())
			}
		}
	})
}

func merge(t *rapid.T, base *knowledge.Base, facts knowledge.Facts) {
	if _, err := base.Merge(facts, epoch); err != nil {
		t.Fatal(err)
	}
}

// A host with a planned stop must not get new work, although the host list still
// contains it as live.
func TestHostWithAPlannedStopIsNotUsable(t *testing.T) {
	c := qt.New(t)
	base := newBase()
	_, err := base.Merge(facts(3), epoch)
	c.Assert(err, qt.IsNil)
	c.Assert(base.Members.Usable("host-3", epoch), qt.IsTrue)
	c.Assert(base.Usable("host-3", epoch), qt.IsFalse)
	c.Assert(base.UsableHosts(filbertlever.RoleAgent, epoch), qt.HasLen, 0)
}
