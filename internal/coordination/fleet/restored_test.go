package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
)

// usableServers returns the servers that get a request if no other server may get it.
func usableServers(f *Fleet, now time.Duration) map[string]bool {
	ids := map[string]bool{}
	for id := range f.servers {
		var others []filbertlever.HostID
		for other := range f.servers {
			if other != id {
				others = append(others, filbertlever.HostID(other))
			}
		}
		if p := f.Choose(Request{Service: plainService, Avoid: others}, now); p.Found {
			f.Release(p.Backend.ID)
			ids[id] = true
		}
	}
	return ids
}

// A copy of the store reverted what was known of servers: one that was draining or had been removed,
// also after a restart, got requests, and one that had registered since got none.
func TestRestoredListDoesNotRevertServers(t *testing.T) {
	const restoredAt = 10 * time.Second
	row := func(id, address string, number uint64, change func(b *catalog.Backend)) catalog.Backend {
		b := newBackend(id, plainService, address, 0)
		b.Revision = number
		if change != nil {
			change(&b)
		}
		return b
	}
	draining := func(b *catalog.Backend) { b.Draining = true }
	boot := func(start catalog.Boot) func(b *catalog.Backend) {
		return func(b *catalog.Backend) { b.Boot = start }
	}
	inNewEra := func(b *catalog.Backend) { b.Revision = revision.New(1, b.Revision) }
	only := func(ids ...string) map[string]bool {
		servers := map[string]bool{}
		for _, id := range ids {
			servers[id] = true
		}
		return servers
	}
	o1, o2 := row("o1", "10.0.0.1:1", 5, nil), row("o2", "10.0.0.2:1", 6, nil)
	tests := []struct {
		name string
		// before happens before the restoration, copied is the list of the copy, and after are the rows
		// that are written later.
		before        func(f *Fleet)
		copied, after []catalog.Backend
		// removed are the servers whose rows are removed later.
		removed []string
		// atOnce are the servers that may get requests right after the restoration, and later those after
		// the grace period.
		atOnce, later map[string]bool
	}{
		{name: "nothing changed", copied: []catalog.Backend{o1, o2}, atOnce: only("o1", "o2"), later: only("o1", "o2")},
		{name: "draining since", copied: []catalog.Backend{o1, o2}, atOnce: only("o2"), later: only("o2"),
			before: func(f *Fleet) {
				f.Apply([]catalog.Backend{row("o1", "10.0.0.1:1", 9, draining)}, nil, false, time.Second)
			}},
		{name: "draining since, ready again", copied: []catalog.Backend{o1, o2}, after: []catalog.Backend{row("o1", "10.0.0.1:1", 8, inNewEra)}, atOnce: only("o2"), later: only("o1", "o2"),
			before: func(f *Fleet) {
				f.Apply([]catalog.Backend{row("o1", "10.0.0.1:1", 9, draining)}, nil, false, time.Second)
			}},
		{name: "removed since", copied: []catalog.Backend{o1, o2}, atOnce: only("o2"), later: only("o2"),
			before: func(f *Fleet) { f.Apply(nil, []string{"o1"}, false, time.Second) }},
		{name: "restarted and removed since", copied: []catalog.Backend{row("o1", "10.0.0.1:1", 6, boot(1000)), o2}, atOnce: only("o2"), later: only("o2"),
			before: func(f *Fleet) {
				f.Apply([]catalog.Backend{row("o1", "10.0.0.1:1", 6, boot(1000))}, nil, false, time.Second)
				f.Apply([]catalog.Backend{row("o1", "10.0.0.1:1", 7, boot(2000))}, nil, false, time.Second)
				f.Apply(nil, []string{"o1"}, false, 2*time.Second)
			}},
		{name: "removed since, registered again", copied: []catalog.Backend{o1, o2}, after: []catalog.Backend{row("o1", "10.0.0.1:1", 8, inNewEra)}, atOnce: only("o2"), later: only("o1", "o2"),
			before: func(f *Fleet) { f.Apply(nil, []string{"o1"}, false, time.Second) }},
		{name: "replaced at its address since", copied: []catalog.Backend{o1, o2}, atOnce: only("o2", "o3"), later: only("o2"),
			before: func(f *Fleet) {
				f.Apply([]catalog.Backend{row("o3", "10.0.0.1:1", 9, nil)}, nil, false, time.Second)
			}},
		{name: "registered since", copied: []catalog.Backend{o1}, atOnce: only("o1", "o2"), later: only("o1")},
		{name: "registered since and again", copied: []catalog.Backend{o1}, after: []catalog.Backend{row("o2", "10.0.0.2:1", 7, inNewEra)}, atOnce: only("o1", "o2"), later: only("o1", "o2")},
		{name: "removed in the restored store", copied: []catalog.Backend{o1, o2}, removed: []string{"o2"}, atOnce: only("o1", "o2"), later: only("o1")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet()
			f.SetState(testState(), 0)
			f.Apply([]catalog.Backend{o1, o2}, nil, true, 0)
			if test.before != nil {
				test.before(f)
			}
			f.refresh(restoredAt)
			var copied []catalog.Backend
			for _, b := range test.copied {
				inNewEra(&b)
				copied = append(copied, b)
			}
			f.ApplyRestored(copied, restoredAt)
			c.Check(usableServers(f, restoredAt), qt.DeepEquals, test.atOnce)
			f.Apply(test.after, test.removed, false, restoredAt+time.Second)
			if test.removed != nil {
				c.Check(usableServers(f, restoredAt+time.Second), qt.DeepEquals, test.later)
			}
			c.Check(usableServers(f, restoredAt+DefaultConfig().ExpiryGracePeriod), qt.DeepEquals, test.later)
		})
	}
}
