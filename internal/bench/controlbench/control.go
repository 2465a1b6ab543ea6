// Package controlbench measures the control plane overhead of idle processes and
// how it grows with the number of entries and agents.
package controlbench

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/bench/cluster"
	"github.com/filbertlever/filbertlever/internal/bench/links"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// Row is the overhead of an idle cluster of one size.
type Row struct {
	Entries, Agents int
	// CPU is the mean share of a core per process, over both roles.
	CPU float64
	// HeapKiB is the memory per process, without the memory in use before the start.
	HeapKiB float64
	// EntryBytes and AgentBytes are the bytes per second, in and out, of one entry
	// and of one agent.
	EntryBytes, AgentBytes float64
	// Reads and Writes are the platform calls per second of all processes.
	Reads, Writes float64
}

// Fit is a least squares line through measured points.
type Fit struct {
	// Description names the fitted value and its unit.
	Description string
	// Base is the intercept, and Slope the increase per unit.
	Base, Slope float64
	// Residual is the root mean square of the residuals.
	Residual float64
}

// Result holds all measurements of one run.
type Result struct {
	Rows []Row
	Fits []Fit
}

// clusterSizes are the measured numbers of entries and agents.
var clusterSizes = [][2]int{{8, 8}, {8, 24}, {8, 56}, {8, 120}, {16, 48}, {32, 96}}

const (
	settleDuration  = 4 * time.Second
	measureDuration = 6 * time.Second
	unlimitedRate   = 1 << 34
)

// Measure measures all cluster sizes and fits lines to the results.
func Measure(ctx context.Context) (*Result, error) {
	result := &Result{}
	for _, size := range clusterSizes {
		row, err := measureSize(ctx, size[0], size[1])
		if err != nil {
			return nil, fmt.Errorf("%d entries, %d agents: %w", size[0], size[1], err)
		}
		result.Rows = append(result.Rows, row)
	}
	perEntry := func(r Row) float64 { return float64(r.Agents) / float64(r.Entries) }
	processes := func(r Row) float64 { return float64(r.Agents + r.Entries) }
	result.Fits = []Fit{
		fitLine("bytes a second of an entry, by agents for each entry", result.Rows, perEntry, func(r Row) float64 { return r.EntryBytes }),
		fitLine("bytes a second of an agent, by entries", result.Rows, func(r Row) float64 { return float64(r.Entries) }, func(r Row) float64 { return r.AgentBytes }),
		fitLine("share of a core of a process, by agents for each entry", result.Rows, perEntry, func(r Row) float64 { return r.CPU }),
		fitLine("KiB of a process, by processes", result.Rows, processes, func(r Row) float64 { return r.HeapKiB }),
		fitLine("platform reads a second of all, by processes", result.Rows, processes, func(r Row) float64 { return r.Reads }),
	}
	return result, nil
}

// linkSet is the set of links of all processes of one role.
type linkSet struct {
	mu    sync.Mutex
	links []*links.Link
}

func (s *linkSet) add(l *links.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append(s.links, l)
}

func (s *linkSet) totalBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	for _, l := range s.links {
		total += l.In.Load() + l.Out.Load()
	}
	return total
}

// measureSize starts a cluster and measures it while it is idle.
func measureSize(ctx context.Context, entries, agents int) (Row, error) {
	runtime.GC()
	memoryBefore := memoryInUse()
	var entryLinks, agentLinks linkSet
	var networks atomic.Int64
	c, stop, err := cluster.New(ctx, cluster.Config{
		Entries: entries, Agents: agents, Concurrency: 4, Queue: 32, Routing: routing.DefaultConfig(),
		Engine:        standin.EngineConfig{ChecksFencing: true, Slots: 4},
		Organisations: []filbertlever.OrganisationID{"hauler-1"},
		Network: func(h filbertlever.Host) network.Network {
			networks.Add(1)
			l := links.New(unlimitedRate)
			if h.Role == filbertlever.RoleEntry {
				entryLinks.add(l)
			} else {
				agentLinks.add(l)
			}
			return l
		},
	})
	if err != nil {
		return Row{}, err
	}
	defer stop()
	time.Sleep(settleDuration)
	entryBytes, agentBytes, cpu := entryLinks.totalBytes(), agentLinks.totalBytes(), cpuTime()
	reads, writes := c.PlatformCalls()
	time.Sleep(measureDuration)
	seconds := measureDuration.Seconds()
	readsAfter, writesAfter := c.PlatformCalls()
	processes := float64(entries + agents)
	row := Row{
		Entries: entries, Agents: agents,
		CPU:        (cpuTime() - cpu).Seconds() / seconds / processes,
		EntryBytes: float64(entryLinks.totalBytes()-entryBytes) / seconds / float64(entries),
		AgentBytes: float64(agentLinks.totalBytes()-agentBytes) / seconds / float64(agents),
		Reads:      float64(readsAfter-reads) / seconds,
		Writes:     float64(writesAfter-writes) / seconds,
	}
	runtime.GC()
	row.HeapKiB = (float64(memoryInUse()) - float64(memoryBefore)) / processes / 1024
	return row, nil
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}

// fitLine returns the least squares line of y over x.
func fitLine(description string, rows []Row, x, y func(Row) float64) Fit {
	n := float64(len(rows))
	var sx, sy, sxx, sxy float64
	for _, row := range rows {
		sx += x(row)
		sy += y(row)
		sxx += x(row) * x(row)
		sxy += x(row) * y(row)
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f := Fit{Description: description, Slope: slope, Base: (sy - slope*sx) / n}
	for _, row := range rows {
		residual := y(row) - f.Base - f.Slope*x(row)
		f.Residual += residual * residual
	}
	f.Residual = math.Sqrt(f.Residual / n)
	return f
}
