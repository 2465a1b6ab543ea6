package fleet

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
)

func occupantRow(id string, number uint64, change ...func(*catalog.Backend)) catalog.Backend {
	b := newBackend(id, plainService, "10.0.0.1:1", 0)
	b.Revision = number
	for _, apply := range change {
		apply(&b)
	}
	return b
}

// chosenServer returns the server that the next request goes to; empty if there is none.
func chosenServer(f *Fleet, now time.Duration) string {
	p := f.Choose(Request{Service: plainService}, now)
	f.Release(p.Backend.ID)
	return p.Backend.ID
}

func drained(b *catalog.Backend) { b.Draining = true }

// A server was removed for good: after a power failure the last write of its predecessor at the
// address was performed late, and the row of the running server did not change any more.
func TestLateRowDoesNotRemoveServerForGood(t *testing.T) {
	const late = 10 * time.Second
	newer := occupantRow("new", 5)
	tests := []struct {
		name string
		// before are the rows that the entry had seen of the predecessor.
		before []catalog.Backend
		late   catalog.Backend
		// answering is true if the server answers requests when the late row arrives.
		answering bool
		// atOnce is the server that gets the next request.
		atOnce string
	}{
		{name: "PredecessorUnknown", late: occupantRow("old", 9), atOnce: "old"},
		{name: "PredecessorKnown", before: []catalog.Backend{occupantRow("old", 1)}, late: occupantRow("old", 9), atOnce: "new"},
		{name: "ServerAnswers", late: occupantRow("old", 9), answering: true, atOnce: "new"},
		{name: "PredecessorDraining", late: occupantRow("old", 9, drained), atOnce: "new"},
		{name: "OtherService", late: occupantRow("old", 9, func(b *catalog.Backend) { b.Service = modelService }), atOnce: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			f.SetState(testState(), 0)
			f.Apply(test.before, nil, true, 0)
			f.Apply([]catalog.Backend{newer}, nil, false, 2*time.Second)
			f.Apply(nil, []string{"old"}, false, 3*time.Second)
			if test.answering {
				f.RecordProgress("new", late-100*time.Millisecond)
			}
			f.Apply([]catalog.Backend{test.late}, nil, false, late)
			chosen := chosenServer(f, late)
			qt.Assert(t, chosen, qt.Equals, test.atOnce)
			if chosen == "old" {
				// The server at the address answers that it is another one.
				f.RecordReplaced("old", "new", late)
				qt.Assert(t, chosenServer(f, late), qt.Equals, "new")
			}
			f.Apply(nil, []string{"old"}, false, late+4*time.Second)
			qt.Assert(t, chosenServer(f, late+5*time.Second), qt.Equals, "new")
		})
	}
}

// A server that was named by no row but found at another server's address must not keep that one
// out of use: the answer may have been wrong, and the row does not change.
func TestDeniedServerReturns(t *testing.T) {
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{occupantRow("o1", 1)}, nil, true, 0)
	f.RecordReplaced("o1", "unlisted", time.Second)
	qt.Assert(t, f.Choose(Request{Service: plainService}, 2*time.Second).Found, qt.IsFalse)
	qt.Assert(t, chosenServer(f, time.Second+denialTTL), qt.Equals, "o1")
}

// A draining server got requests again because an older row of its process was written late.
func TestLateRowDoesNotEndDraining(t *testing.T) {
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{occupantRow("o1", 1)}, nil, true, 0)
	f.Apply([]catalog.Backend{occupantRow("o1", 2, drained)}, nil, false, time.Second)
	f.Apply([]catalog.Backend{occupantRow("o1", 3)}, nil, false, 2*time.Second)
	qt.Assert(t, f.Choose(Request{Service: plainService}, 3*time.Second).Found, qt.IsFalse)
	f.Apply(nil, []string{"o1"}, false, 4*time.Second)
	f.Apply([]catalog.Backend{occupantRow("o1", 5)}, nil, false, 5*time.Second)
	qt.Assert(t, f.Choose(Request{Service: plainService}, 6*time.Second).Found, qt.IsFalse)
}

// listSimulation is a store with the rows of servers that start again and again at a few addresses,
// and an entry that follows it.
type listSimulation struct {
	t     *rapid.T
	fleet *Fleet
	now   time.Duration
	// stored are the rows of the store, copied an older copy of them, and written all rows that were
	// ever written.
	stored, copied map[string]catalog.Backend
	written        []catalog.Backend
	revision       uint64
	// live is the process that runs at each address.
	live map[string]catalog.Backend
	// changed and removed are the changes that the entry has not received.
	changed  map[string]bool
	restored bool
	starts   int
}

var simulatedAddresses = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

func (sim *listSimulation) put(b catalog.Backend) {
	sim.revision++
	b.Revision = sim.revision
	sim.stored[b.ID], sim.changed[b.ID] = b, true
	sim.written = append(sim.written, b)
}

func (sim *listSimulation) expire(id string) {
	delete(sim.stored, id)
	sim.changed[id] = true
}

// start ends the process at an address without a word and starts another one.
func (sim *listSimulation) start(address string) {
	sim.starts++
	b := newBackend("i"+strconv.Itoa(sim.starts), rapid.SampledFrom([]string{plainService, modelService}).Draw(sim.t, "service"), address, 0)
	sim.live[address] = b
	sim.put(b)
}

func (sim *listSimulation) rows() []catalog.Backend {
	return slices.SortedFunc(maps.Values(sim.stored), func(a, b catalog.Backend) int { return int(a.Revision) - int(b.Revision) })
}

// deliver delivers all changes to the entry.
func (sim *listSimulation) deliver() {
	var present []catalog.Backend
	var removed []string
	for _, id := range slices.Sorted(maps.Keys(sim.changed)) {
		if b, ok := sim.stored[id]; ok {
			present = append(present, b)
		} else {
			removed = append(removed, id)
		}
	}
	clear(sim.changed)
	sim.fleet.Apply(present, removed, false, sim.now)
}

// restore replaces the store by an older copy.
func (sim *listSimulation) restore() {
	sim.stored, sim.restored = maps.Clone(sim.copied), true
	sim.revision = revision.New(revision.Era(sim.revision)+1, revision.Number(sim.revision))
	for id, b := range sim.stored {
		b.Revision = revision.New(revision.Era(sim.revision), revision.Number(b.Revision))
		sim.stored[id] = b
	}
	clear(sim.changed)
	sim.fleet.ApplyRestored(sim.rows(), sim.now)
}

// request sends a request of a service and applies what its server answers.
func (sim *listSimulation) request(service string) {
	wanted := Request{Service: service}
	if service == modelService {
		wanted.Model = model
	}
	p := sim.fleet.Choose(wanted, sim.now)
	if !p.Found {
		return
	}
	id := p.Backend.ID
	live, ok := sim.live[p.Backend.Address]
	switch {
	case !ok:
		sim.fleet.RecordUnreachable(id, sim.now)
	case live.ID != id:
		sim.fleet.RecordReplaced(id, live.ID, sim.now)
	default:
		sim.fleet.RecordProgress(id, sim.now)
		sim.fleet.RecordSuccess(id, sim.now)
	}
	sim.fleet.ReleaseIfCurrent(p.Backend)
}

func (sim *listSimulation) step() {
	sim.now += time.Duration(rapid.IntRange(0, 1500).Draw(sim.t, "ms")) * time.Millisecond
	address := rapid.SampledFrom(simulatedAddresses).Draw(sim.t, "address")
	switch rapid.IntRange(0, 9).Draw(sim.t, "what") {
	case 0:
		sim.start(address)
	case 1:
		delete(sim.live, address)
	case 2:
		if b, ok := sim.live[address]; ok {
			b.Models = []catalog.Model{{Name: model, Version: 1}}
			sim.live[address] = b
			sim.put(b)
		}
	case 3:
		if len(sim.written) > 0 {
			sim.put(rapid.SampledFrom(sim.written).Draw(sim.t, "late"))
		}
	case 4:
		if len(sim.stored) > 0 {
			sim.expire(rapid.SampledFrom(slices.Sorted(maps.Keys(sim.stored))).Draw(sim.t, "expired"))
		}
	case 5:
		clear(sim.changed)
		sim.fleet.Apply(sim.rows(), nil, true, sim.now)
	case 6:
		sim.copied = maps.Clone(sim.stored)
	case 7:
		if rapid.IntRange(0, 3).Draw(sim.t, "restored") == 0 {
			sim.restore()
		}
	case 8:
		sim.request(rapid.SampledFrom([]string{plainService, modelService}).Draw(sim.t, "requested"))
	case 9:
		sim.deliver()
	}
}

// settle lets rows of ended processes expire and running ones write theirs.
func (sim *listSimulation) settle() {
	if sim.restored {
		// Entries read the whole table once more after a restoration.
		sim.now += 5 * time.Second
		clear(sim.changed)
		sim.fleet.Apply(sim.rows(), nil, true, sim.now)
	}
	running := map[string]catalog.Backend{}
	for _, b := range sim.live {
		running[b.ID] = b
	}
	for id := range sim.stored {
		if _, ok := running[id]; !ok {
			sim.expire(id)
		}
	}
	for id, b := range running {
		if old, ok := sim.stored[id]; !ok || len(old.Models) != len(b.Models) {
			sim.put(b)
		}
	}
	sim.now += time.Second
	sim.deliver()
	sim.now += 2 * time.Minute
	sim.fleet.refresh(sim.now)
}

// view returns what a fleet knows of the servers that it may send requests to.
func view(f *Fleet, now time.Duration) map[string]string {
	servers := map[string]string{}
	for id, s := range f.servers {
		servers[id] = s.backend.Address + " " + s.backend.Service + " " + strconv.Itoa(len(s.backend.Models)) + " " + strconv.FormatBool(f.usable(s, now) && s.routerUsable)
	}
	return servers
}

// Servers stayed out of use that a restarted entry would have used: what was inferred from the
// order of rows was not taken back when the rows were removed.
func TestAnyOrderOfRowsEndsInTheFleetOfAFreshEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &listSimulation{t: t, fleet: newFleet(), now: time.Second, live: map[string]catalog.Backend{},
			stored: map[string]catalog.Backend{}, copied: map[string]catalog.Backend{}, changed: map[string]bool{}}
		sim.fleet.SetState(testState(), 0)
		for _, address := range simulatedAddresses {
			sim.start(address)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			sim.step()
		}
		sim.settle()
		fresh := newFleet()
		fresh.SetState(testState(), 0)
		fresh.Apply(sim.rows(), nil, true, sim.now)
		got, want := view(sim.fleet, sim.now), view(fresh, sim.now)
		if !maps.Equal(got, want) {
			t.Fatalf("the entry has %v, a fresh one %v", got, want)
		}
	})
}
