package shares

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

type id = filbertlever.OrganisationID

// Guards against a burst of one organisation, of ten times its share, that takes the slots of all others. It
// asks for all 40 slots and the nine others for 3 each, in requests of 100 ms. In the second run an
// organisation over its share leaves a slot free.
func TestBurstCostsOnlyItsOrganisation(t *testing.T) {
	const work, step, duration = 100 * time.Millisecond, 5 * time.Millisecond, 20 * time.Second
	rates := [10]float64{40, 3, 3, 3, 3, 3, 3, 3, 3, 3}
	var served [2][10]float64
	for run := range served {
		table, owed, ends := New(DefaultConfig()), [10]float64{}, []time.Duration{}
		for now := step; now <= duration; now += step {
			ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= now })
			for i := range rates {
				i = (i + int(now/step)) % len(rates)
				asker := id(fmt.Sprint(i))
				for owed[i] += rates[i] * float64(step) / float64(work); owed[i] >= 1; owed[i]-- {
					free := 40 - len(ends)
					admitted := free > 1 || free > 0 && (run == 0 || table.Excess(asker, now) == 0)
					table.Record(asker, work, admitted, now)
					if admitted {
						served[run][i] += float64(work) / float64(duration) / rates[i]
						ends = append(ends, now+work)
					}
				}
			}
		}
	}
	t.Logf("served without and with shares: %.2f", served)
	qt.Check(t, slices.Max(served[0][1:]) < 0.8, qt.IsTrue)
	qt.Check(t, slices.Min(served[1][1:]) > 0.95, qt.IsTrue)
	// The others leave 40 - 9*3 of the 40 slots that it asks for.
	qt.Check(t, served[1][0] > 0.28 && served[1][0] < 0.36, qt.IsTrue)
}

// Guards against organisations that are over their share only because they are large: excess is measured
// against what small ones leave, is 0 within a tenth, and is 0 for whoever asks alone.
func TestLargeAndSmallOrganisations(t *testing.T) {
	c := qt.New(t)
	table := New(DefaultConfig())
	table.Record("alone", time.Minute, true, time.Millisecond)
	table.Record("alone", time.Minute, false, time.Millisecond)
	c.Check(table.Excess("alone", time.Second), qt.Equals, 0.0)

	table = New(DefaultConfig())
	record := func(organisation id, served, refused time.Duration) {
		table.Record(organisation, served*time.Second, true, time.Millisecond)
		table.Record(organisation, refused*time.Second, false, time.Millisecond)
	}
	for i := range 200 {
		record(id(fmt.Sprint("small", i)), 1, 1)
	}
	record("large", 600, 400)
	record("within", 420, 580)
	record("below", 330, 670)
	// Of the 1,550 s served the small ones' shares are the 400 s that they asked for.
	level := (1550.0 - 400) / 3
	c.Check(math.Abs(table.Excess("large", time.Second)-(600/level-1)) < 1e-9, qt.IsTrue)
	for _, organisation := range []id{"within", "below", "small0", "unknown"} {
		c.Check(table.Excess(organisation, time.Second), qt.Equals, 0.0)
	}
}

// Guards against usages that outlive their entry, a frozen process, or their time.
func TestUsagesExpire(t *testing.T) {
	c := qt.New(t)
	table := New(DefaultConfig())
	excess := func(now time.Duration) bool { return table.Excess("a", now) > 0 }
	peer := []Usage{{"a", 900, 800}, {"b", 900, 100}}
	table.ApplyPeer("h", peer, 0)
	for now := time.Duration(0); now <= 4*time.Second; now += 250 * time.Millisecond {
		c.Check(excess(now), qt.Equals, now > 0 && now <= peerTTL, qt.Commentf("%v", now))
	}
	table.ApplyPeer("h", peer, 4*time.Second)
	c.Check(excess(4500*time.Millisecond), qt.IsTrue)
	table.RemovePeer("h")
	c.Check(excess(5*time.Second), qt.IsFalse)
	table.Record("a", 5*time.Second, true, 5100*time.Millisecond)
	table.Record("a", 0, true, 0) // a clock that runs back
	c.Check(math.Abs(table.Top(1, 6*time.Second)[0].Asked-1000*math.Exp(-0.18)) < 1e-9, qt.IsTrue)
	for now := 6 * time.Second; now < 86*time.Second; now += time.Second {
		table.Excess("a", now)
	}
	c.Check(table.byID, qt.HasLen, 0) // idle
	table.Record("a", time.Second, true, 86*time.Second)
	table.ApplyPeer("h", peer, 86*time.Second)
	c.Check(table.Top(1, 87*time.Second+1), qt.HasLen, 0) // frozen
	c.Check(excess(88*time.Second), qt.IsFalse)
}

// Guards against shares that are not max-min fair, and entries that decide differently on the same usage.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := [2]*Table{New(DefaultConfig()), New(DefaultConfig())}
		demands, served, total, asked := []demand{}, []float64{}, 0.0, 0.0
		for i := range rapid.IntRange(1, maxPeerUsages).Draw(t, "organisations") {
			// Rounding work to nanoseconds changes these by less than 1e-5.
			d := demand{rapid.Float64Range(1e3, 1e6).Draw(t, "asked"), rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			demands, served = append(demands, d), append(served, d.asked*rapid.Float64Range(0.01, 1).Draw(t, "served"))
			total, asked = total+served[i], asked+d.asked
			part := rapid.Float64Range(0.01, 0.99).Draw(t, "part")
			for j, part := range []float64{part, 1 - part} {
				tables[j].Record(id(fmt.Sprint(i)), time.Duration(served[i]*part*5e6), true, 0)
				tables[j].Record(id(fmt.Sprint(i)), time.Duration((d.asked-served[i])*part*5e6), false, 0)
				tables[j].byID[id(fmt.Sprint(i))].weight = d.weight
			}
		}
		level, sum := shareLevel(slices.Clone(demands), total), 0.0
		for _, d := range demands {
			sum += min(d.asked, level*d.weight)
		}
		if math.Abs(sum-total) > 1e-9*asked {
			t.Fatalf("shares add up to %v of %v", sum, total)
		}
		now := recomputeInterval - 1
		for j, table := range tables {
			table.ApplyPeer("peer", tables[1-j].Top(maxPeerUsages, now), now)
		}
		for i, d := range demands {
			want := max(0, served[i]/min(d.asked, level*d.weight)-1)
			for j, table := range tables {
				got := table.Excess(id(fmt.Sprint(i)), now+1)
				if (want >= tolerance+1e-3 || got != 0) && (want <= tolerance-1e-3 || math.Abs(got-want) >= 1e-3*(1+want)) {
					t.Fatalf("entry %d: excess of %d is %v, not %v", j, i, got, want)
				}
			}
		}
	})
}

// Guards against memory without bound, eviction of large organisations, and false usages of peers.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	table := New(Config{MaxOrganisations: 20})
	for i := range 30 {
		table.Record(id(fmt.Sprint(i)), time.Duration(100+i)*time.Second, true, 0)
	}
	top := table.Top(30, 0)
	c.Check(top, qt.HasLen, 20)
	c.Check(slices.IsSortedFunc(top, func(a, b Usage) int { return cmp.Compare(b.Asked, a.Asked) }), qt.IsTrue)
	c.Check(top[19].Organisation, qt.Equals, id("10"))
	table.ApplyPeer("h", []Usage{{"larger", 1e6, 1}, {"smaller", 1, 1}}, 0)
	table.Excess("", recomputeInterval)
	c.Check(table.byID["smaller"] == nil && table.byID["larger"] != nil, qt.IsTrue)
	now := recomputeInterval
	c.Check(testing.AllocsPerRun(100, func() {
		now += recomputeInterval
		table.Excess("20", now)
		table.Record("20", time.Second, true, now)
	}), qt.Equals, 0.0)
	table.ApplyPeer("h", []Usage{{"a", 2, 1}, {"a", 3, 1}, {"b", math.NaN(), 1}, {"c", 1, math.NaN()}, {"d", 2, -1},
		{"e", math.Inf(1), 1}, {"f", 1, 2}, {"g", 1e10, 0}, {"ninth", 2, 1}}, now)
	c.Check(table.peers[0].usages, qt.DeepEquals, []Usage{{"a", 2, 1}})
	for i := range 2 * maxPeers {
		table.ApplyPeer(filbertlever.HostID(fmt.Sprint(i)), nil, now)
	}
	c.Check(table.peers, qt.HasLen, maxPeers)
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SampledFrom([]float64{0, -1, 1, 5, 1e6, maxPeerRate, 1e10, math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN()})
		usage := rapid.Custom(func(t *rapid.T) Usage {
			return Usage{id(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))), value.Draw(t, "asked"), value.Draw(t, "served")}
		})
		table := New(Config{MaxOrganisations: 5})
		now := time.Duration(0)
		for range 50 {
			now += time.Duration(rapid.IntRange(-100, 500).Draw(t, "ms")) * time.Millisecond
			asker := id(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "asker")))
			table.Record(asker, time.Duration(rapid.Int64().Draw(t, "work")), rapid.Bool().Draw(t, "admitted"), now)
			host := filbertlever.HostID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "host")))
			table.ApplyPeer(host, rapid.SliceOfN(usage, 0, 20).Draw(t, "usages"), now)
			excess := table.Excess(asker, now)
			byUse := func(a, b *organisation) int { return cmp.Compare(a.use(), b.use()) }
			if excess < 0 || math.IsNaN(excess) || math.IsInf(excess, 0) || len(table.organisations) > 5 ||
				len(table.byID) != len(table.organisations) ||
				table.full() && table.leastUsed().use() != slices.MinFunc(table.organisations, byUse).use() {
				t.Fatalf("excess %v, organisations %v", excess, table.organisations)
			}
		}
	})
}

func BenchmarkTable(b *testing.B) {
	table := New(DefaultConfig())
	ids := make([]id, 20_000)
	for i := range ids {
		ids[i] = id(fmt.Sprint("organisation-", i))
		table.Record(ids[i%10_000], time.Duration(2e9/float64(i+1)), i < 10_000, 0)
	}
	for i := range 45 {
		table.ApplyPeer(filbertlever.HostID(fmt.Sprint(i)), table.Top(maxPeerUsages, 0), 0)
	}
	now, next := recomputeInterval, 0
	run := func(name string, f func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for ; b.Loop(); next++ {
				f()
			}
		})
	}
	run("Record", func() { table.Record(ids[next%10_000], time.Millisecond, true, now) })
	run("Excess", func() { table.Excess(ids[next%10_000], now) })
	// 8,000 requests a second, with the shares recomputed every 250 ms.
	run("RecordAndExcess", func() {
		now += 125 * time.Microsecond
		table.Excess(ids[next%10_000], now)
		table.Record(ids[next%10_000], time.Millisecond, true, now)
	})
	run("Recompute", func() { table.recompute() })
	run("Top", func() { table.Top(maxPeerUsages, now) })
	run("Evict", func() { table.Record(ids[next%20_000], time.Millisecond, true, now) })
}
