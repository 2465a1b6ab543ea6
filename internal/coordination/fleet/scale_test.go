package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// newFleetOfSize returns a fleet of model servers, a fifth of which are in its region.
func newFleetOfSize(servers int) *Fleet {
	f := newFleet()
	f.SetState(testState(), time.Second)
	var rows []catalog.Backend
	for i := range servers {
		row := newBackend(sizedServerID(i), modelService, fmt.Sprintf("10.%d.%d.%d:80", i/62500, i/250%250, i%250), 1)
		if i%5 != 0 {
			row.Site = "b"
		}
		rows = append(rows, row)
	}
	f.Apply(rows, nil, true, time.Second)
	for i, row := range rows {
		f.ApplyReport(Report{Address: row.Address, Sequence: uint64(i), Models: row.Models}, time.Second)
	}
	return f
}

func sizedServerID(i int) string { return fmt.Sprintf("i-%010x", i*7919) }

// fleetSizes are the server counts of a small installation, of the largest one of the users and of
// the design target.
var fleetSizes = []int{21, 265, 2700}

// BenchmarkSize measures an entry's periodic work, which must not grow with the servers. At 265 and
// 2,700 servers, scans took 9.0 and 229 us for a tick without changes, 5.0 and 77 for another entry's
// counts and 1.0 and 3.0 for a placement; incremental updates 1.6 and 1.8, 1.2 and 1.5, 0.7 and 0.9.
func BenchmarkSize(b *testing.B) {
	for _, n := range fleetSizes {
		f, now := newFleetOfSize(n), 1100*time.Millisecond
		for range 10 {
			f.Choose(Request{Service: modelService, Model: model, PromptTokens: 900}, now)
		}
		b.Run(fmt.Sprintf("Tick/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.InFlightCounts()
				f.SilentServers(now)
			}
		})
		counts := []map[string]int{{}, {}}
		for i := range 15 {
			counts[0][sizedServerID(i)], counts[1][sizedServerID(i+1)] = 1, 1
		}
		turn := 0
		b.Run(fmt.Sprintf("Counts/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.SetPeerCounts("e1", counts[turn%2], now)
				turn++
			}
		})
		b.Run(fmt.Sprintf("Report/%d", n), func(b *testing.B) {
			for b.Loop() {
				f.ApplyReport(Report{Address: "10.0.0.0:80", Models: []catalog.Model{{Name: model, Version: 1}}}, now)
			}
		})
		b.Run(fmt.Sprintf("Placement/%d", n), func(b *testing.B) {
			at := now
			for b.Loop() {
				at += 20 * time.Microsecond
				f.Release(f.Choose(Request{Service: modelService, Model: model, PromptTokens: 900}, at).Backend.ID)
			}
		})
	}
}

// Requests gathered at servers that looked idle, or idle servers got none, because one incremental
// update of the gossiped counts was missed. Each server's total must equal the sum of what each
// entry last gossiped since the server's restart.
func TestPeerTotalsMatchCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.SetState(testState(), 0)
		ids := []string{"m1", "m2", "m3"}
		gossiped := map[filbertlever.HostID]map[string]int{}
		boots := map[string]catalog.Boot{}
		now, revision := time.Second, uint64(0)
		writeRow := func(id string) {
			revision++
			row := newBackendWithBoot(id, modelService, boots[id], revision, 1)
			row.Address = "10.0.0." + id[1:] + ":1"
			f.Apply([]catalog.Backend{row}, nil, false, now)
		}
		clearCounts := func(id string) {
			for _, counts := range gossiped {
				delete(counts, id)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += 10 * time.Millisecond
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if boots[id] == 0 {
					boots[id] = 1000
				}
				writeRow(id)
			case 1:
				boots[id] += 1000
				clearCounts(id)
				writeRow(id)
			case 2:
				f.RecordReplaced(id, "other", now)
				clearCounts(id)
			case 3:
				entry := filbertlever.HostID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"))
				counts := map[string]int{}
				for _, at := range ids {
					counts[at] = rapid.IntRange(0, 2).Draw(t, "requests")
				}
				f.SetPeerCounts(entry, counts, now)
				maps.DeleteFunc(counts, func(at string, _ int) bool { return !f.Contains(at) })
				gossiped[entry] = counts
			}
			for at, s := range f.servers {
				want := 0
				for _, counts := range gossiped {
					want += counts[at]
				}
				if s.peerTotal != want {
					t.Fatalf("server %s has a peer total of %d, want %d", at, s.peerTotal, want)
				}
			}
		}
	})
}

// The health check evaluates only some servers. It must find the same silent and stalled servers as
// a scan of all, otherwise requests wait at suspended hosts or recovered servers get none.
func TestIncrementalHealthCheckMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetOfSize(8)
		now := time.Second
		var sent []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			id := sizedServerID(rapid.IntRange(0, 7).Draw(t, "server"))
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				f.ApplyReport(Report{Address: f.servers[id].backend.Address, Models: f.servers[id].backend.Models}, now)
			case 2:
				f.RecordProgress(id, now)
			case 3:
				if p := f.Choose(Request{Service: modelService, Model: model}, now); p.Found {
					sent = append(sent, p.Backend.ID)
				}
			case 4:
				if len(sent) > 0 {
					f.Release(sent[0])
					sent = sent[1:]
				}
			case 5:
				f.SetPeerSilent("entry-2", []string{id}, now)
			case 6:
				if len(sent) > 0 {
					f.EndAttempt(f.servers[sent[0]].backend, now)
					sent = sent[1:]
				}
			case 7:
				f.RecordFailure(id, now)
			}
			f.healthCheckedAt = 0
			f.checkHealth(now)
			var silent []string
			for id, s := range f.servers {
				if usable := f.usable(s, now); usable != s.routerUsable {
					t.Fatalf("server %s: the router has usable = %v, want %v", id, s.routerUsable, usable)
				}
				if f.config.Regions[s.backend.Site] == f.config.Region && (f.silent(s, now) || f.stalled(s, now) || s.awaitsProbe(now)) {
					silent = append(silent, id)
				}
			}
			slices.Sort(silent)
			if got := f.SilentServers(now); !slices.Equal(got, silent) {
				t.Fatalf("want silent servers %v, got %v", silent, got)
			}
		}
	})
}

// A tick without changes must neither scan the servers nor allocate for each of them.
func TestIdleTickAllocatesLittle(t *testing.T) {
	c := qt.New(t)
	for _, n := range fleetSizes {
		f := newFleetOfSize(n)
		got := testing.AllocsPerRun(100, func() {
			f.InFlightCounts()
			f.SilentServers(1100 * time.Millisecond)
		})
		c.Check(got <= 1, qt.IsTrue, qt.Commentf("%v allocations at %d servers", got, n))
	}
}
