package weightsbench

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"sync"
	"time"
)

// Result holds all measurements of one run.
type Result struct {
	Rows  []Row
	Live  Live
	Rolls Rolls
	// AgentMiB is the memory of an agent during a burst in MiB, without the cached
	// chunks.
	AgentMiB float64
}

// burstHosts are the measured numbers of hosts.
var burstHosts = []int{16, 32, 64, 128}

// maxShapingError is the maximum relative deviation of the fetch time of a single
// host from the time that follows from the link rate.
const maxShapingError = 0.1

// measureTimeout limits the duration of the whole measurement.
const measureTimeout = 100 * time.Second

// Measure measures all bursts, live requests and rolls.
func Measure(ctx context.Context, scale Scale, rolls int) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	result := &Result{}
	alone, err := Burst(ctx, scale, StrategyAlone, 1, nil)
	if err != nil {
		return nil, err
	}
	if math.Abs(alone.OverBound-1) > maxShapingError {
		return nil, fmt.Errorf("link rates are wrong: one host alone took %.2f of the bound, expected 1 +/- %.2f", alone.OverBound, maxShapingError)
	}
	result.Rows = append(result.Rows, alone)
	// Bursts in which every host fetches from the origin take minutes and little
	// CPU time, so they run concurrently with the others, on faster links.
	originRows := &originBursts{rows: make([]Row, len(burstHosts)), errs: make([]error, len(burstHosts))}
	var group sync.WaitGroup
	for i, hosts := range burstHosts {
		group.Go(func() {
			originRows.rows[i], originRows.errs[i] = Burst(ctx, scale.withDoubleRate(), StrategyOrigin, hosts, nil)
		})
	}
	if err := result.measureFastBursts(ctx, scale); err != nil {
		return nil, err
	}
	if result.Live, err = MeasureLive(ctx, scale); err != nil {
		return nil, err
	}
	if result.Rolls, err = MeasureRolls(ctx, rolls); err != nil {
		return nil, err
	}
	group.Wait()
	result.Rows = append(result.Rows, originRows.rows...)
	return result, errors.Join(originRows.errs...)
}

// originBursts holds the results of the concurrent bursts.
type originBursts struct {
	rows []Row
	errs []error
}

// measureFastBursts measures the bursts whose duration is close to the bound.
func (r *Result) measureFastBursts(ctx context.Context, scale Scale) error {
	for _, hosts := range burstHosts {
		for _, strategy := range []string{StrategyTrees, StrategyTime} {
			sampler := startMemorySampler()
			row, err := Burst(ctx, scale, strategy, hosts, nil)
			mib := sampler.mibPerAgent(hosts, scale)
			if err != nil {
				return fmt.Errorf("%s, %d hosts: %w", strategy, hosts, err)
			}
			r.Rows = append(r.Rows, row)
			if hosts == 64 && strategy == StrategyTrees {
				r.AgentMiB = mib
			}
		}
	}
	for _, strategy := range []string{StrategySiteUnaware, StrategyOneTree, StrategyChain} {
		row, err := Burst(ctx, scale, strategy, 64, nil)
		if err != nil {
			return fmt.Errorf("%s: %w", strategy, err)
		}
		r.Rows = append(r.Rows, row)
	}
	row, err := Burst(ctx, scale, StrategyFaults, 64, injectFaults)
	r.Rows = append(r.Rows, row)
	return err
}

// injectFaults cuts the links of a tenth of the hosts during the transfer, stalls
// a twentieth of the links, and corrupts a hundredth of the chunks.
func injectFaults(t *testbed) {
	t.corruptShare = 0.01
	half := t.scale.Bound() / 2
	for i, h := range t.hosts {
		switch {
		case i%10 == 3:
			h.expectFailure = true
			time.AfterFunc(half/2+time.Duration(i)*half/time.Duration(2*len(t.hosts)), h.link.Cut)
		case i%20 == 7:
			h.expectFailure = true
			time.AfterFunc(half, h.link.Stall)
		}
	}
}

// memorySampler records the peak memory use of the process.
type memorySampler struct {
	before uint64
	peak   uint64
	stop   chan struct{}
	done   sync.WaitGroup
}

func startMemorySampler() *memorySampler {
	runtime.GC()
	m := &memorySampler{before: memoryInUse(), stop: make(chan struct{})}
	m.done.Go(m.sample)
	return m
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func (m *memorySampler) sample() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.peak = max(m.peak, memoryInUse())
		}
	}
}

// mibPerAgent stops sampling and returns the peak memory per agent in MiB,
// without the cached chunks.
func (m *memorySampler) mibPerAgent(hosts int, scale Scale) float64 {
	close(m.stop)
	m.done.Wait()
	const mib = 1 << 20
	total := float64(m.peak) - float64(m.before) - float64(scale.Size) - float64(hosts*scale.Size)
	return max(total, 0) / float64(hosts) / mib
}

// findRow returns the row of a strategy with a number of hosts.
func (r *Result) findRow(strategy string, hosts int) Row {
	for _, row := range r.Rows {
		if row.Strategy == strategy && row.Hosts == hosts {
			return row
		}
	}
	return Row{}
}

// Summary returns the summary line of the measurement.
func (r *Result) Summary() string {
	maxCopies := func(strategy string) float64 {
		copies := 0.0
		for _, hosts := range burstHosts {
			copies = max(copies, r.findRow(strategy, hosts).OriginCopies)
		}
		return copies
	}
	trees, faults := r.findRow(StrategyTrees, 64), r.findRow(StrategyFaults, 64)
	return fmt.Sprintf("bench-weights: n64_over_bound=%.2f growth_16_to_128=%.2f origin_copies=%.2f time_favoured_copies=%.2f faults_over_bound=%.2f faults_copies=%.2f live_p95_ratio=%.2f roll_p99_ms=%.0f roll_p99_platform_down_ms=%.0f agent_mib=%.1f",
		trees.OverBound, r.findRow(StrategyTrees, 128).Last/r.findRow(StrategyTrees, 16).Last, maxCopies(StrategyTrees), maxCopies(StrategyTime),
		faults.OverBound, faults.OriginCopies, r.Live.Ratio, r.Rolls.P99, r.Rolls.DownP99, r.AgentMiB)
}
