package requestsbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/bench/cluster"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/standin"
)

// Row is the result of one measured load.
type Row struct {
	Name   string
	Policy string
	// LoadFactor is the offered load divided by the capacity.
	LoadFactor float64 `json:"Times"`
	Outcome
	// Hits is the share of generations with a cached prefix.
	Hits float64
	// Spread is the maximum number of generations per host divided by the mean.
	Spread float64
	// Amplification is the number of generations divided by the number of requests.
	Amplification float64
}

// Result holds all measurements of one run.
type Result struct {
	Rows     []Row
	Decision Decision
	Overhead Overhead
}

// The measured cluster is scaled down: 12 engines with 4 slots each, and 0.4 s
// for each request.
const (
	entryCount     = 8
	engineCount    = 12
	slotsPerEngine = 4
	prefillTime    = 160 * time.Millisecond
	tokenTime      = 24 * time.Millisecond
	answerTokens   = 10
	promptCount    = 96
	// cachedPrompts is the size of an engine's prefix cache. All engines together
	// can cache more prompts than exist, if each is cached only once.
	cachedPrompts   = 12
	requestDeadline = 2 * time.Second
	loadDuration    = 3 * time.Second
	warmUpDuration  = 1500 * time.Millisecond
)

// capacity returns the requests per second that the engines can answer without
// prefix cache hits.
func capacity() float64 {
	service := prefillTime + answerTokens*tokenTime
	return engineCount * slotsPerEngine / service.Seconds()
}

const (
	largeOrganisation = filbertlever.OrganisationID("large")
	smallOrganisation = filbertlever.OrganisationID("small")
)

// startCluster starts a cluster whose entries use a routing policy.
func startCluster(ctx context.Context, policy routing.Policy) (*cluster.Cluster, func(), error) {
	config := routing.DefaultConfig()
	config.Policy = policy
	config.ServiceTime = prefillTime + answerTokens*tokenTime
	config.PrefillPerToken = prefillTime / (promptBytes / 4)
	return cluster.New(ctx, cluster.Config{
		Entries: entryCount, Agents: engineCount, Concurrency: slotsPerEngine, Queue: 32, Routing: config,
		Engine:        standin.EngineConfig{ChecksFencing: true, Slots: slotsPerEngine + slotsPerEngine/4, PrefillTime: prefillTime, TokenTime: tokenTime, CachedPrompts: cachedPrompts},
		Organisations: []filbertlever.OrganisationID{largeOrganisation, smallOrganisation},
	})
}

// clusterBench is a cluster under measurement.
type clusterBench struct {
	cluster *cluster.Cluster
	callers *callers
	policy  routing.Policy
}

// measureLoad offers a load and measures its outcome and the engine counters.
func (b *clusterBench) measureLoad(ctx context.Context, name string, loadFactor float64) Row {
	before := b.engineCounts()
	load := Load{Organisation: largeOrganisation, PerSecond: loadFactor * capacity(), Duration: loadDuration, Deadline: requestDeadline, Tokens: answerTokens, Prompts: promptCount, Seed: 1}
	outcome := b.callers.offerLoad(ctx, load)
	row := Row{Name: name, Policy: string(b.policy), LoadFactor: loadFactor, Outcome: outcome}
	if row.Policy == "" {
		row.Policy = "Predicted"
	}
	b.addEngineCounts(&row, before)
	return row
}

type engineCounts struct{ generates, hits []int }

func (b *clusterBench) engineCounts() engineCounts {
	var c engineCounts
	for _, engine := range b.cluster.Engines {
		generates, hits := engine.GenerateCounts()
		c.generates = append(c.generates, generates)
		c.hits = append(c.hits, hits)
	}
	return c
}

// addEngineCounts computes the fields of a row that derive from the engine
// counters.
func (b *clusterBench) addEngineCounts(row *Row, before engineCounts) {
	after := b.engineCounts()
	total, hits, highest := 0, 0, 0
	for i := range after.generates {
		n := after.generates[i] - before.generates[i]
		total += n
		hits += after.hits[i] - before.hits[i]
		highest = max(highest, n)
	}
	if total == 0 || row.Offered == 0 {
		return
	}
	row.Hits = float64(hits) / float64(total)
	row.Spread = float64(highest) * float64(len(after.generates)) / float64(total)
	row.Amplification = float64(total) / float64(row.Offered)
}

// warmUp fills the prefix caches and opens connections.
func (b *clusterBench) warmUp(ctx context.Context) {
	b.callers.offerLoad(ctx, Load{Organisation: largeOrganisation, PerSecond: 0.8 * capacity(), Duration: warmUpDuration, Deadline: requestDeadline, Tokens: answerTokens, Prompts: promptCount, Seed: 9})
}

// measureTimeout limits the duration of the whole measurement.
const measureTimeout = 115 * time.Second

// Measure runs all loads and returns their results.
func Measure(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	result := &Result{Decision: MeasureDecision()}
	for _, policy := range []routing.Policy{routing.PolicyRoundRobin, routing.PolicyLeastReported, routing.PolicyTwoRandom, routing.PolicyPredicted} {
		if err := result.measurePolicy(ctx, policy); err != nil {
			return nil, err
		}
	}
	var err error
	result.Overhead, err = MeasureOverhead(ctx)
	return result, err
}

// measurePolicy runs the loads of one routing policy.
func (r *Result) measurePolicy(ctx context.Context, policy routing.Policy) error {
	c, stop, err := startCluster(ctx, policy)
	if err != nil {
		return err
	}
	defer stop()
	b := &clusterBench{cluster: c, callers: newCallers(c), policy: policy}
	defer b.callers.http.CloseIdleConnections()
	b.warmUp(ctx)
	r.Rows = append(r.Rows, b.measureLoad(ctx, "load", 0.9))
	if policy != routing.PolicyPredicted && policy != routing.PolicyRoundRobin {
		return nil
	}
	for i, engine := range c.Engines {
		if i%2 == 0 {
			engine.SetFaults(standin.EngineFaults{Slowdown: 2})
		}
	}
	r.Rows = append(r.Rows, b.measureLoad(ctx, "half slowed", 0.6))
	b.setFaults(standin.EngineFaults{})
	if policy != routing.PolicyPredicted {
		return nil
	}
	for _, loadFactor := range []float64{0.5, 1, 1.2, 2, 5, 10} {
		r.Rows = append(r.Rows, b.measureLoad(ctx, "load", loadFactor))
	}
	r.Rows = append(r.Rows, b.measureIsolation(ctx)...)
	b.setFaults(standin.EngineFaults{FailShare: 0.5})
	r.Rows = append(r.Rows, b.measureLoad(ctx, "brown-out", 0.9))
	b.setFaults(standin.EngineFaults{})
	return nil
}

func (b *clusterBench) setFaults(faults standin.EngineFaults) {
	for _, engine := range b.cluster.Engines {
		engine.SetFaults(faults)
	}
}

// measureIsolation measures a small organisation alone and during a burst of
// another organisation.
func (b *clusterBench) measureIsolation(ctx context.Context) []Row {
	time.Sleep(requestDeadline)
	steady := Load{Organisation: smallOrganisation, PerSecond: 0.1 * capacity(), Duration: loadDuration, Deadline: requestDeadline, Tokens: answerTokens, Prompts: promptCount, Seed: 3}
	alone := b.callers.offerLoad(ctx, steady)
	var group sync.WaitGroup
	burst := Load{Organisation: largeOrganisation, PerSecond: 3 * capacity(), Duration: loadDuration + time.Second, Deadline: requestDeadline, Tokens: answerTokens, Prompts: promptCount, Seed: 4}
	group.Go(func() { b.callers.offerLoad(ctx, burst) })
	time.Sleep(time.Second / 2)
	duringBurst := b.callers.offerLoad(ctx, steady)
	group.Wait()
	return []Row{
		{Name: "small alone", Policy: "Predicted", LoadFactor: 0.1, Outcome: alone},
		{Name: "small beside a burst of 3x", Policy: "Predicted", LoadFactor: 0.1, Outcome: duringBurst},
	}
}

func (r *Result) findRow(name, policy string, loadFactor float64) Row {
	for _, row := range r.Rows {
		if row.Name == name && row.Policy == policy && row.LoadFactor == loadFactor {
			return row
		}
	}
	return Row{}
}

// Summary returns the summary line of the measurement.
func (r *Result) Summary() string {
	predicted := "Predicted"
	return fmt.Sprintf("bench-requests: p95_over_round_robin=%.2f goodput_10x=%.2f small_org_p95_ratio=%.2f retry_amplification=%.2f decision_us_2700=%.2f decision_allocs=%.0f overhead_p50_us=%.0f entry_rps_per_core=%.0f",
		r.findRow("load", predicted, 0.9).P95/r.findRow("load", string(routing.PolicyRoundRobin), 0.9).P95,
		r.findRow("load", predicted, 10).Goodput/r.findRow("load", predicted, 1).Goodput,
		r.findRow("small beside a burst of 3x", predicted, 0.1).P95/r.findRow("small alone", predicted, 0.1).P95,
		r.findRow("brown-out", predicted, 0.9).Amplification,
		r.Decision.Micros[2700], r.Decision.Allocations, r.Overhead.P50Micros, r.Overhead.PerCore)
}
