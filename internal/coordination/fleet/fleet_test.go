package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

const (
	modelService = "models"
	plainService = "orders"
	model        = "drafter"
)

func testEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 16, Step: 7 * time.Millisecond, Stride: 6, PromptToken: 32 * time.Microsecond,
		UsualPrompt: 900, UsualAnswer: 119, ReportLag: 200 * time.Millisecond, Models: []string{model},
	}
}

func testState() *catalog.State {
	services := []catalog.Service{{Name: modelService, Engine: testEngine()}, {Name: plainService}}
	return catalog.New(1, nil, services, nil, catalog.Limits{})
}

func newFleet() *Fleet {
	config := DefaultConfig()
	config.Site, config.Region = "a", "ra"
	config.Regions = map[string]string{"a": "ra", "b": "rb"}
	return New(config, rand.New(rand.NewPCG(1, 2)))
}

func newBackend(id, service, address string, version uint64) catalog.Backend {
	b := catalog.Backend{ID: id, Service: service, Address: address, Site: "a", Slots: 16}
	if version > 0 {
		b.Models = []catalog.Model{{Name: model, Version: version}}
	}
	return b
}

// An order is refused with "no server" though its three servers are up and
// listed. The list arrives after the desired state; a server was judged before
// the membership table knew it, and nothing judged it again.
func TestChooseUsesServersListedAfterState(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0)}, nil, true, time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, time.Second).Backend.ID, qt.Equals, "o1")
}

// The same the other way round: the list is read before the desired state.
func TestChooseUsesServersListedBeforeState(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)}, nil, true, 0)
	f.SetState(testState(), 0)
	used := map[string]bool{}
	for range 20 {
		used[f.Choose(Request{Service: plainService}, 0).Backend.ID] = true
	}
	c.Assert(used, qt.DeepEquals, map[string]bool{"o1": true, "o2": true})
}

// A caller's request reaches a server that has no weights, which refuses it.
// An added server is listed seconds before it holds a model.
func TestServerWithoutModelGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 0)}, nil, true, 0)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Found, qt.IsFalse)
	f.Report(Load{Address: "10.0.0.1:1", Sequence: 1, Models: []catalog.Model{{Name: model, Version: 1}}}, time.Second)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, time.Second).Backend.ID, qt.Equals, "m1")
}

// A request after the bound of a new version begins on the older one. Only
// servers that hold the version wanted may be picked.
func TestChooseReturnsOnlyRequestedVersion(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 2)}, nil, true, 0)
	for range 20 {
		c.Assert(f.Choose(Request{Service: modelService, Model: model, Version: 2}, 0).Backend.ID, qt.Equals, "m2")
	}
}

// A request reaches a server seconds after it said that it leaves, and is cut
// off when the server exits.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	leaving := newBackend("o1", plainService, "10.0.0.1:1", 0)
	f.Apply([]catalog.Backend{leaving}, nil, true, 0)
	leaving.Leaving = true
	f.Apply([]catalog.Backend{leaving}, nil, false, time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, time.Second).Found, qt.IsFalse)
}

// A server that breaks off answers gets no request for a moment, and some again
// after it.
func TestFailedServerIsSuspectedTemporarily(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)}, nil, true, 0)
	f.Failed("o1", time.Second)
	used := map[string]bool{}
	for range 20 {
		used[f.Choose(Request{Service: plainService}, time.Second).Backend.ID] = true
	}
	c.Assert(used, qt.DeepEquals, map[string]bool{"o2": true})
	for range 40 {
		used[f.Choose(Request{Service: plainService}, 2*time.Second).Backend.ID] = true
	}
	c.Assert(used["o1"], qt.IsTrue)
}

// Every request is refused while all servers fail a few of theirs. Where none is
// above suspicion, those that failed are used.
func TestSuspectedServersAreUsedAsLastResort(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)}, nil, true, 0)
	f.Failed("o1", time.Second)
	f.Failed("o2", time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, time.Second).Found, qt.IsTrue)
	c.Assert(f.Choose(Request{Service: plainService, Avoid: []filbertlever.HostID{"o1", "o2"}}, time.Second).Found, qt.IsFalse)
}

// All servers load their weights but two that are gone; each request is refused after it tried these,
// where it could wait for the first that is ready.
func TestUnreachableServersAreNotUsedAsLastResort(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1),
		newBackend("m3", modelService, "10.0.0.3:1", 0)}, nil, true, 0)
	f.Report(Load{Address: "10.0.0.3:1", Sequence: 1, LoadedIn: 400 * time.Millisecond}, time.Second)
	wanted := Request{Service: modelService, Model: model}
	f.Unreachable("m1", time.Second)
	c.Assert(f.Choose(wanted, time.Second).Backend.ID, qt.Equals, "m2")
	f.Unreachable("m2", time.Second)
	got := f.Choose(wanted, time.Second)
	c.Assert(got.Found, qt.IsFalse)
	c.Assert(got.ReadyIn, qt.Equals, 400*time.Millisecond)
	c.Assert(f.Choose(wanted, time.Second+unreachableBackoff).Found, qt.IsTrue)
}

// Requests sent to a server just before it switches weights wait through the
// switch. Its agent tells ahead, and entries send elsewhere.
func TestSwitchingServerGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1)}, nil, true, 0)
	models := []catalog.Model{{Name: model, Version: 1}}
	f.Report(Load{Address: "10.0.0.1:1", Sequence: 1, Switching: true, Models: models}, time.Second)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, time.Second).Found, qt.IsFalse)
	f.Report(Load{Address: "10.0.0.1:1", Sequence: 2, Models: models}, 2*time.Second)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, 2*time.Second).Found, qt.IsTrue)
}

// After a loss of power each server is a new one at its old address, and the rows of the
// old ones stay for seconds. Requests went to those first, one after the other, until they
// were refused. The newer row of an address is the server that lives there, in whichever
// order rows come.
func TestNewestRowOfAddressWins(t *testing.T) {
	c := qt.New(t)
	row := func(id string, revision, version uint64) catalog.Backend {
		b := newBackend(id, modelService, "10.0.0.1:1", version)
		b.Revision = revision
		return b
	}
	for _, present := range [][]catalog.Backend{
		{row("new", 9, 2), row("old", 4, 1)},
		{row("old", 4, 1), row("new", 9, 2)},
	} {
		f := newFleet()
		f.SetState(testState(), 0)
		f.Apply(present, nil, true, 0)
		c.Check(f.Known("old"), qt.IsFalse)
		for range 20 {
			c.Check(f.Choose(Request{Service: modelService, Model: model}, 0).Backend.ID, qt.Equals, "new")
		}
		f.Report(Load{Address: "10.0.0.1:1", Sequence: 1, Running: 16}, 0)
		c.Check(f.Choose(Request{Service: modelService, Model: model}, 0).Found, qt.IsFalse)
	}
	// One change after the other, as the list is followed.
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{row("old", 4, 1)}, nil, true, 0)
	f.Apply([]catalog.Backend{row("new", 9, 0)}, nil, false, time.Second)
	c.Assert(f.Known("old"), qt.IsFalse)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, time.Second).Found, qt.IsFalse)
}

// One server has lost its weights, which the list does not show for a second. It says so
// to one request, and gets no more; others still do.
func TestServerMissingModelGetsNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "m1", 1), newBackend("m2", modelService, "m2", 1)}, nil, true, 0)
	f.NoteModelMissing("m1", 0)
	for range 40 {
		c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Backend.ID, qt.Equals, "m2")
	}
}

// After a loss of power every server has lost its weights, and the list still says what
// they held. A request went to seven of them one after the other, and was refused though
// one would be ready in half a second. After two, the list is doubted for all of the
// service that no agent has told of; one answer is enough to trust it.
func TestListedModelsAreDiscardedAfterTwoMisses(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	var present []catalog.Backend
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		present = append(present, newBackend(id, modelService, id, 1))
	}
	f.Apply(present, nil, true, 0)
	f.NoteModelMissing("m1", 0)
	f.Answered("m2", 0)
	f.NoteModelMissing("m2", 0)
	wanted := Request{Service: modelService, Model: model}
	c.Assert(f.Choose(wanted, 0).Found, qt.IsTrue)
	f.NoteModelMissing("m3", 0)
	c.Assert(f.Choose(wanted, 0).Found, qt.IsFalse)
	f.Report(Load{Address: "m4", Sequence: 1, LoadedIn: 500 * time.Millisecond}, 0)
	c.Assert(f.Choose(wanted, 0).ReadyIn, qt.Equals, 500*time.Millisecond)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "m1", 1)}, nil, false, time.Second)
	c.Assert(f.Choose(wanted, time.Second).Backend.ID, qt.Equals, "m1")
}

// Placement is on the path of every request: it must not allocate much and
// stay cheap with the number of servers.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{16, 256, 2700} {
		f := newFleet()
		f.SetState(testState(), 0)
		var list []catalog.Backend
		for i := range count {
			list = append(list, newBackend(string(rune('a'+i%26))+time.Duration(i).String(), modelService, time.Duration(i).String(), 1))
		}
		f.Apply(list, nil, true, 0)
		b.Run(time.Duration(count).String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p := f.Choose(Request{Service: modelService, Model: model, PromptTokens: 900}, 0)
				f.Ended(p.Backend.ID)
			}
		})
	}
}

// Eight entries take the same server for the idlest and bury it. What the
// others have there counts as soon as they tell.
func TestPeerRequestsAreCounted(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	f.SetCounts("entry-2", map[string]int{"m1": 16}, 0)
	for range 10 {
		c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Backend.ID, qt.Equals, "m2")
	}
	f.SetCounts("entry-2", nil, 0)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Backend.ID, qt.Equals, "m1")
	c.Assert(f.Counts(), qt.DeepEquals, map[string]int{"m1": 1, "m2": 10})
}

// An entry that cannot be heard still sends, and a server's queue is full of
// requests that nobody counts. The server's own report shows them.
func TestReportedLoadIncludesUngossipedRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1)}, nil, true, 0)
	models := []catalog.Model{{Name: model, Version: 1}}
	f.Report(Load{Address: "10.0.0.1:1", Sequence: 1, Running: 16, Queued: 10, Models: models}, 0)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Ahead > 1, qt.IsTrue)
}

// A server's place is taken by another life of it; requests go on to the old
// one, which answers each that it is not meant, until the list catches up.
func TestReplacedServerGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0)}, nil, true, 0)
	f.Replaced("o1", 0)
	c.Assert(f.Choose(Request{Service: plainService}, 0).Found, qt.IsFalse)
}

// All power was lost. The list still says what each server held, and every
// request is sent to one that holds nothing; callers come back at random. They
// are told when the first load ends.
func TestReadyInIsEarliestLoadEnd(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	f.NoteModelMissing("m1", 0)
	f.NoteModelMissing("m2", 0)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Found, qt.IsFalse)
	f.Report(Load{Address: "10.0.0.1:1", Sequence: 1, LoadedIn: 3 * time.Second}, time.Second)
	f.Report(Load{Address: "10.0.0.2:1", Sequence: 1, LoadedIn: 2 * time.Second}, time.Second)
	none := f.Choose(Request{Service: modelService, Model: model}, 2*time.Second)
	c.Assert(none.Found, qt.IsFalse)
	c.Assert(none.ReadyIn, qt.Equals, time.Second)
}

// A server with a slow link has few requests and keeps its callers waiting. Its
// late first tokens show it; after a while it is tried again.
func TestSlowServerIsAvoidedTemporarily(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	f.SetCounts("entry-2", map[string]int{"m2": 8}, 0)
	now := time.Second
	for range 3 {
		f.Observe("m1", 100*time.Millisecond, 900*time.Millisecond, now)
	}
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, now).Backend.ID, qt.Equals, "m2")
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, now+10*time.Second).Backend.ID, qt.Equals, "m1")
}

// Servers of another region are used only when those near are full: their
// entries' requests are heard late, and bytes between regions are scarce.
func TestOtherRegionIsUsedLast(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	far := newBackend("m2", modelService, "10.0.0.2:1", 1)
	far.Site = "b"
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), far}, nil, true, 0)
	for range 16 {
		c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Backend.ID, qt.Equals, "m1")
	}
	f.Choose(Request{Service: modelService, Model: model}, 0)
	c.Assert(f.Choose(Request{Service: modelService, Model: model}, 0).Backend.ID, qt.Equals, "m2")
}

// A host stands still for seconds. It refuses nothing, and until the first of
// its requests is given up, more and more callers wait there.
func TestStalledServerGetsNoMoreRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	f.SetCounts("entry-2", map[string]int{"m2": 15}, 0)
	now := time.Second
	wanted := Request{Service: modelService, Model: model}
	c.Assert(f.Choose(wanted, now).Backend.ID, qt.Equals, "m1")
	c.Assert(f.Choose(wanted, now+500*time.Millisecond).Backend.ID, qt.Equals, "m1")
	c.Assert(f.Stalled("m1", now+700*time.Millisecond), qt.IsTrue)
	c.Assert(f.Choose(wanted, now+700*time.Millisecond).Backend.ID, qt.Equals, "m2")
	f.Progress("m1", now+800*time.Millisecond)
	c.Assert(f.Choose(wanted, now+800*time.Millisecond).Backend.ID, qt.Equals, "m1")
}

// Hosts stand still, several at once. A request given up at one of them was sent
// to the next, and reached it long after its caller had left. Their agents stand
// still with them, which is seen before anything is sent.
func TestServerWithSilentAgentGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	models := []catalog.Model{{Name: model, Version: 1}}
	report := func(address string, sequence uint64, now time.Duration) {
		f.Report(Load{Address: address, Sequence: sequence, Models: models}, now)
	}
	wanted := Request{Service: modelService, Model: model}
	report("10.0.0.1:1", 1, time.Second)
	report("10.0.0.2:1", 1, 2*time.Second)
	for range 10 {
		c.Assert(f.Choose(wanted, 2*time.Second).Backend.ID, qt.Equals, "m2")
	}
	f.Progress("m1", 2100*time.Millisecond)
	c.Assert(f.Choose(wanted, 2100*time.Millisecond).Backend.ID, qt.Equals, "m1")
}

// A request that was given up at a host that stands still is sent to another
// region, to a host that stands still too. Entries there know, and tell.
func TestSilentServersOfOtherRegionAreAvoided(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	near, far, other := newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1), newBackend("m3", modelService, "10.0.0.3:1", 1)
	far.Site, other.Site = "b", "b"
	f.Apply([]catalog.Backend{near, far, other}, nil, true, 0)
	f.SetCounts("entry-9", map[string]int{"m3": 10}, time.Second)
	f.SetSilent([]string{"m1", "m2"}, time.Second)
	wanted := Request{Service: modelService, Model: model, Avoid: []filbertlever.HostID{"m1"}}
	c.Assert(f.Choose(wanted, time.Second).Backend.ID, qt.Equals, "m3")
	c.Assert(f.Choose(wanted, 3*time.Second).Backend.ID, qt.Equals, "m2")
	wanted.Avoid = nil
	c.Assert(f.Choose(wanted, time.Second).Backend.ID, qt.Equals, "m1", qt.Commentf("others' word on a server of the own region was taken"))
}

// All entries come back at once after a loss of power, and each engine gets a whole
// batch of prompts within half a second. Callers were told that their requests may
// have run, which were given up while the engine read them.
func TestPrefillOfFirstBatchIsNotAStall(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1)}, nil, true, 0)
	now := time.Second
	wanted := Request{Service: modelService, Model: model}
	for range 4 {
		c.Assert(f.Choose(wanted, now).Found, qt.IsTrue)
	}
	f.SetCounts("entry-2", map[string]int{"m1": 12}, now)
	// Sixteen prompts of 900 tokens take 0.46 s to read.
	c.Assert(f.Stalled("m1", now+time.Second), qt.IsFalse)
	c.Assert(f.Stalled("m1", now+1100*time.Millisecond), qt.IsTrue)
	f.Progress("m1", now+time.Second)
	c.Assert(f.Stalled("m1", now+1500*time.Millisecond), qt.IsFalse)
	c.Assert(f.Stalled("m1", now+1700*time.Millisecond), qt.IsTrue)
}

// A request may only be given up for another place if there is one.
func TestHasAlternativeLeavesCountsUnchanged(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	wanted := Request{Service: modelService, Model: model, Avoid: []filbertlever.HostID{"m1"}}
	c.Assert(f.Elsewhere(wanted, 1, time.Second), qt.IsTrue)
	f.SetCounts("entry-2", map[string]int{"m2": 17}, time.Second)
	c.Assert(f.Elsewhere(wanted, 1, time.Second), qt.IsFalse)
	wanted.Avoid = append(wanted.Avoid, "m2")
	c.Assert(f.Elsewhere(wanted, 1, time.Second), qt.IsFalse)
	c.Assert(f.Counts(), qt.HasLen, 0)
}
