package weightsbench

import (
	"context"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/transport/weights"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Row is the result of one measured burst.
type Row struct {
	// Strategy is the way in which the hosts fetched from each other.
	Strategy string `json:"Way"`
	Hosts    int
	// Last and Median are the fetch times of the slowest and the median host, and
	// Bound is the lower bound, all in seconds.
	Last, Median, Bound float64
	// OverBound is Last divided by Bound.
	OverBound float64
	// OriginCopies is the number of bytes fetched from the origin divided by the
	// size of the model.
	OriginCopies float64
	// SiteCopies is the number of requests between sites divided by the number of
	// chunks of the model.
	SiteCopies float64
}

// Measured strategies.
const (
	StrategyAlone       = "one host alone"
	StrategyOrigin      = "every host from the origin"
	StrategyTrees       = "trees per chunk, origin bytes favoured"
	StrategyTime        = "trees per chunk, time favoured"
	StrategyOneTree     = "one tree for all chunks"
	StrategyChain       = "chain"
	StrategyFaults      = "trees with faults"
	StrategySiteUnaware = "trees per chunk, blind to sites"
)

// fetchConfig returns the fetch configuration, with timeouts for the scaled-down
// burst.
func fetchConfig() weights.FetchConfig {
	c := weights.DefaultFetchConfig()
	c.Planner.TakeoverTimeout = 500 * time.Millisecond
	c.Planner.Backoff = 500 * time.Millisecond
	c.StallTimeout = 250 * time.Millisecond
	c.PeerWait = 250 * time.Millisecond
	return c
}

// Burst runs one burst and measures it.
func Burst(ctx context.Context, scale Scale, strategy string, hosts int, prepare func(*testbed)) (Row, error) {
	c := fetchConfig()
	c.Planner.Shape = treeShapes[strategy]
	if strategy == StrategyOrigin {
		// All hosts share the origin's link, so a chunk takes seconds.
		c.StallTimeout, c.Planner.TakeoverTimeout = originBurstTimeout, originBurstTimeout
	}
	t, err := newTestbed(scale, hosts, c)
	if err != nil {
		return Row{}, err
	}
	defer t.stop()
	if strategy == StrategySiteUnaware {
		for i := range t.peers {
			t.peers[i].Site = ""
		}
	}
	if prepare != nil {
		prepare(t)
	}
	favour := bundle.FavourOriginBytes
	if strategy == StrategyTime {
		favour = bundle.FavourTime
	}
	if err := t.fetchAll(ctx, favour); err != nil {
		return Row{}, err
	}
	return t.resultRow(strategy), nil
}

// originBurstTimeout is long enough that a slow, shared origin does not count as
// stalled.
const originBurstTimeout = 30 * time.Second

// treeShapes are the tree shapes of the strategies that do not use the default.
var treeShapes = map[string]distribution.Shape{
	StrategyOrigin:  distribution.ShapeStar,
	StrategyOneTree: distribution.ShapeOneTree,
	StrategyChain:   distribution.ShapeChain,
}

// resultRow returns the results of the burst.
func (t *testbed) resultRow(strategy string) Row {
	var times []float64
	crossSite := int64(0)
	for _, h := range t.hosts {
		crossSite += h.crossSiteRequests.Load()
		if !h.expectFailure {
			times = append(times, h.fetchTime.Seconds())
		}
	}
	slices.Sort(times)
	bound := t.scale.Bound().Seconds()
	slowest := times[len(times)-1]
	return Row{
		Strategy: strategy, Hosts: len(t.hosts), Last: slowest, Median: times[len(times)/2], Bound: bound, OverBound: slowest / bound,
		OriginCopies: float64(t.originBytes.Load()) / float64(t.scale.Size),
		SiteCopies:   float64(crossSite) / float64(len(t.manifest.Chunks)),
	}
}
