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

// Result is everything that one run measured.
type Result struct {
	Rows  []Row
	Live  Live
	Rolls Rolls
	// AgentMiB is the memory of an agent in a burst, less the chunks it holds.
	AgentMiB float64
}

// Sizes of the bursts.
var burstHosts = []int{16, 32, 64, 128}

// maxShapingError is how far one host alone may be from what the rates say.
const maxShapingError = 0.1

// measureTimeout bounds the whole measurement.
const measureTimeout = 100 * time.Second

// Measure runs all bursts, live requests and rolls.
func Measure(ctx context.Context, scale Scale, rolls int) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	result := &Result{}
	alone, err := Burst(ctx, scale, StrategyAlone, 1, nil)
	if err != nil {
		return nil, err
	}
	if math.Abs(alone.OverBound-1) > maxShapingError {
		return nil, fmt.Errorf("links are not as shaped: one host alone took %.2f of the bound", alone.OverBound)
	}
	result.Rows = append(result.Rows, alone)
	// Every host drawing from the origin takes minutes and hardly any
	// processor time, so these bursts run beside the others, on faster links.
	slow := &originBursts{rows: make([]Row, len(burstHosts)), errs: make([]error, len(burstHosts))}
	var beside sync.WaitGroup
	for i, hosts := range burstHosts {
		beside.Go(func() { slow.rows[i], slow.errs[i] = Burst(ctx, scale.withDoubleRate(), StrategyOrigin, hosts, nil) })
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
	beside.Wait()
	result.Rows = append(result.Rows, slow.rows...)
	return result, errors.Join(slow.errs...)
}

type originBursts struct {
	rows []Row
	errs []error
}

// measureFastBursts measures the bursts that take about the bound.
func (r *Result) measureFastBursts(ctx context.Context, scale Scale) error {
	for _, hosts := range burstHosts {
		for _, way := range []string{StrategyTrees, StrategyTime} {
			memory := startMemorySampler()
			row, err := Burst(ctx, scale, way, hosts, nil)
			mib := memory.stopPerAgent(hosts, scale)
			if err != nil {
				return fmt.Errorf("%s, %d hosts: %w", way, hosts, err)
			}
			r.Rows = append(r.Rows, row)
			if hosts == 64 && way == StrategyTrees {
				r.AgentMiB = mib
			}
		}
	}
	for _, way := range []string{StrategySiteUnaware, StrategyOneTree, StrategyChain} {
		row, err := Burst(ctx, scale, way, 64, nil)
		if err != nil {
			return fmt.Errorf("%s: %w", way, err)
		}
		r.Rows = append(r.Rows, row)
	}
	row, err := Burst(ctx, scale, StrategyFaults, 64, injectFaults)
	r.Rows = append(r.Rows, row)
	return err
}

// injectFaults kills a tenth of the hosts mid-transfer, stalls a twentieth of
// the links, and corrupts a hundredth of the chunks.
func injectFaults(w *testbed) {
	w.corruptShare = 0.01
	half := w.scale.Bound() / 2
	for i, h := range w.hosts {
		switch {
		case i%10 == 3:
			h.expectFailure = true
			time.AfterFunc(half/2+time.Duration(i)*half/time.Duration(2*len(w.hosts)), h.link.Cut)
		case i%20 == 7:
			h.expectFailure = true
			time.AfterFunc(half, h.link.Stall)
		}
	}
}

// memorySampler samples the process's memory.
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

// stopPerAgent returns the mebibytes of one agent, less the chunks that it holds.
func (m *memorySampler) stopPerAgent(hosts int, scale Scale) float64 {
	close(m.stop)
	m.done.Wait()
	const mib = 1 << 20
	total := float64(m.peak) - float64(m.before) - float64(scale.Size) - float64(hosts*scale.Size)
	return max(total, 0) / float64(hosts) / mib
}

// findRow returns the row of a way at a number of hosts.
func (r *Result) findRow(way string, hosts int) Row {
	for _, row := range r.Rows {
		if row.Way == way && row.Hosts == hosts {
			return row
		}
	}
	return Row{}
}

// Summary returns the last line of the measurement.
func (r *Result) Summary() string {
	most := func(way string) float64 {
		copies := 0.0
		for _, hosts := range burstHosts {
			copies = max(copies, r.findRow(way, hosts).OriginCopies)
		}
		return copies
	}
	trees, faults := r.findRow(StrategyTrees, 64), r.findRow(StrategyFaults, 64)
	return fmt.Sprintf("bench-weights: n64_over_bound=%.2f growth_16_to_128=%.2f origin_copies=%.2f time_favoured_copies=%.2f faults_over_bound=%.2f faults_copies=%.2f live_p95_ratio=%.2f roll_p99_ms=%.0f roll_p99_platform_down_ms=%.0f agent_mib=%.1f",
		trees.OverBound, r.findRow(StrategyTrees, 128).Last/r.findRow(StrategyTrees, 16).Last, most(StrategyTrees), most(StrategyTime),
		faults.OverBound, faults.OriginCopies, r.Live.Ratio, r.Rolls.P99, r.Rolls.DownP99, r.AgentMiB)
}
