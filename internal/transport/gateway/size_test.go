package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

// newSizedPeers returns the state of an installation of some entries in five regions.
func newSizedPeers(entries int) *peers {
	entry := func(i int) Entry {
		return Entry{Host: filbertlever.HostID(fmt.Sprintf("edge-%d", i)), Site: fmt.Sprint("s", i%5), Region: fmt.Sprint("r", i%5),
			Callers: fmt.Sprintf("10.%d.%d.1:1", i/250, i%250), Peers: fmt.Sprintf("10.%d.%d.1:2", i/250, i%250),
			Datagrams: fmt.Sprintf("10.%d.%d.1:3", i/250, i%250), Incarnation: "a"}
	}
	p := newPeers(entry(0), 0)
	for i := range entries - 1 {
		p.observeHeartbeat(entry(i+1), true, false, time.Second)
	}
	return p
}

// BenchmarkPeers: with 98 and 460 entries a count took 1.9 and 9.0 us, the alive list 62 and 309 us.
// Heartbeats and counts have a constant rate, so their cost must not grow. The list is needed some 30
// times a second (agents, pieces, the region's reader), and each agent fetches a view every 3 s.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{15, 98, 460} {
		p, now := newSizedPeers(n), time.Second
		b.Run(fmt.Sprintf("Heartbeat/%d", n), func(b *testing.B) {
			entry := p.byHost["edge-7"].entry
			for b.Loop() {
				p.observeHeartbeat(entry, true, false, now)
			}
		})
		b.Run(fmt.Sprintf("Count/%d", n), func(b *testing.B) {
			for b.Loop() {
				p.regionCounts()
			}
		})
		b.Run(fmt.Sprintf("Alive/%d", n), func(b *testing.B) {
			for b.Loop() {
				p.alive(now)
			}
		})
		b.Run(fmt.Sprintf("View/%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = json.Marshal(View{Entries: p.alive(now)})
			}
		})
	}
}

// If the cached order misses a change, agents, pieces and the region's reader are assigned to
// removed entries, or new entries are left out.
func TestSortedPeersMatchAfterAnyChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeers(Entry{Host: "e5", Region: "ra"}, 0)
		now := time.Second
		drawEntry := func() Entry {
			return Entry{Host: filbertlever.HostID(fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "entry"))),
				Region: rapid.SampledFrom([]string{"ra", "rb"}).Draw(t, "region"), Incarnation: "a"}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch entry := drawEntry(); rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				p.applyRows([]Entry{entry}, []string{string(drawEntry().Host)}, rapid.Bool().Draw(t, "whole"), now)
			case 1:
				p.addDiscovered([]Entry{entry}, now)
			case 2:
				if entry.Host != p.self.Host {
					p.observeHeartbeat(entry, true, false, now)
				}
			}
			var want []filbertlever.HostID
			local := 0
			for host, other := range p.byHost {
				if p.isAlive(other, now) {
					want = append(want, host)
				}
				if other.entry.Region == p.self.Region {
					local++
				}
			}
			want = append(want, p.self.Host)
			slices.Sort(want)
			var got []filbertlever.HostID
			for _, entry := range p.alive(now) {
				got = append(got, entry.Host)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("alive: want %v, got %v", want, got)
			}
			if n, remote := p.regionCounts(); n != local || n+remote != len(p.byHost) || len(p.addresses(scopeRegion)) != n || len(p.addresses(scopeRemote)) != remote {
				t.Fatalf("%d of %d are in the region, found %d, and %d in others", local, len(p.byHost), n, remote)
			}
		}
	})
}
