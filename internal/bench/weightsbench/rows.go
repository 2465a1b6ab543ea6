package weightsbench

import (
	"context"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/transport/weights"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Row is one measured burst.
type Row struct {
	// Way says who fetched from whom.
	Way   string
	Hosts int
	// Seconds until the last host, the median host, and the bound.
	Last, Median, Bound float64
	// OverBound is Last over Bound.
	OverBound float64
	// OriginCopies is the bytes drawn from the origin over the model's size.
	OriginCopies float64
	// SiteCopies is chunks that crossed between sites, over the model's chunks.
	SiteCopies float64
}

// The ways that are measured.
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

// fetchConfig returns the fetch configuration of a way at a scale.
func fetchConfig() weights.FetchConfig {
	c := weights.DefaultFetchConfig()
	c.Planner.Takeover = 500 * time.Millisecond
	c.Planner.Avoid = 500 * time.Millisecond
	c.Stall = 250 * time.Millisecond
	c.Wait = 250 * time.Millisecond
	return c
}

// Burst runs one burst and measures it.
func Burst(ctx context.Context, scale Scale, way string, hosts int, prepare func(*testbed)) (Row, error) {
	c := fetchConfig()
	c.Planner.Shape = treeShapes[way]
	if way == StrategyOrigin {
		// With the origin's link split among all, a chunk takes seconds.
		c.Stall, c.Planner.Takeover = originBurstTimeout, originBurstTimeout
	}
	w, err := newTestbed(scale, hosts, c)
	if err != nil {
		return Row{}, err
	}
	defer w.close()
	if way == StrategySiteUnaware {
		for i := range w.peers {
			w.peers[i].Site = ""
		}
	}
	if prepare != nil {
		prepare(w)
	}
	favour := bundle.FavourOriginBytes
	if way == StrategyTime {
		favour = bundle.FavourTime
	}
	if err := w.fetchAll(ctx, favour); err != nil {
		return Row{}, err
	}
	return w.resultRow(way), nil
}

// originBurstTimeout keeps the baseline from taking a shared origin for a stalled one.
const originBurstTimeout = 30 * time.Second

// treeShapes are the trees of the ways.
var treeShapes = map[string]distribution.Shape{
	StrategyOrigin:  distribution.ShapeStar,
	StrategyOneTree: distribution.ShapeOneTree,
	StrategyChain:   distribution.ShapeChain,
}

func (w *testbed) resultRow(way string) Row {
	var took []float64
	crossed := int64(0)
	for _, h := range w.hosts {
		crossed += h.crossSiteRequests.Load()
		if !h.expectFailure {
			took = append(took, h.fetchTime.Seconds())
		}
	}
	slices.Sort(took)
	bound := w.scale.Bound().Seconds()
	last := took[len(took)-1]
	return Row{
		Way: way, Hosts: len(w.hosts), Last: last, Median: took[len(took)/2], Bound: bound, OverBound: last / bound,
		OriginCopies: float64(w.originBytes.Load()) / float64(w.scale.Size),
		SiteCopies:   float64(crossed) / float64(len(w.manifest.Chunks)),
	}
}
