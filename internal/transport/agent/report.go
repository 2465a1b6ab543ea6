package agent

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
)

// Intervals and timeouts of reports.
const (
	reportInterval       = 2 * time.Second
	reportTimeout        = time.Second
	triggeredReportDelay = 50 * time.Millisecond
)

// fullReportInterval is the interval at which an unchanged full report is sent
// again.
const fullReportInterval = 10 * time.Second

// reporter sends this agent's load and weights to entries.
type reporter struct {
	agent *Agent
	wake  chan struct{}

	mu sync.Mutex
	// lastLoad is the load last reported, at lastLoadAt.
	lastLoad   control.Load
	lastLoadAt time.Time
	// accepted holds the last full report that each entry accepted.
	accepted map[filbertlever.HostID]acceptedReport
}

type acceptedReport struct {
	full       *control.FullReport
	acceptedAt time.Time
}

func newReporter(a *Agent) *reporter {
	return &reporter{agent: a, wake: make(chan struct{}, 1), accepted: map[filbertlever.HostID]acceptedReport{}}
}

// loadChanged reports whether the load differs from the last reported one by so
// much that entries would route on outdated data. It limits these additional
// reports to four per second.
func (r *reporter) loadChanged(load control.Load) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	difference := load.Running + load.Queued - r.lastLoad.Running - r.lastLoad.Queued
	return max(difference, -difference) >= max(load.Concurrency/2, 2) && time.Since(r.lastLoadAt) >= reportInterval/8
}

// trigger requests a report ahead of the next interval.
func (r *reporter) trigger() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends reports until ctx is done.
func (r *reporter) run(ctx context.Context) {
	for {
		interval := r.reportAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		case <-r.wake:
			time.Sleep(triggeredReportDelay)
		}
	}
}

// reportAll sends a report to each target entry and returns the interval until
// the next report.
func (r *reporter) reportAll(ctx context.Context) time.Duration {
	var group sync.WaitGroup
	full := r.agent.fullReport()
	r.mu.Lock()
	r.lastLoad, r.lastLoadAt = r.agent.queue.load(), time.Now()
	r.mu.Unlock()
	entries, interval := r.agent.reportTargets()
	for _, entry := range entries {
		group.Go(func() {
			if err := r.send(ctx, entry, full); err != nil {
				r.agent.node.RecordFailure(entry)
			}
		})
	}
	group.Wait()
	return interval
}

// send sends one report. It omits the full report if the entry already has it.
func (r *reporter) send(ctx context.Context, entry filbertlever.HostID, full *control.FullReport) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := control.Report{Incarnation: r.agent.node.Incarnation(), Load: r.agent.queue.loadFor(entry)}
	if !r.hasCurrent(entry, full) {
		report.Full = full
	}
	var response control.ReportResponse
	if err := r.agent.node.Control().Call(ctx, entry, control.MethodReport, report, &response); err != nil {
		return err
	}
	if report.Full != nil || response.WantFull {
		r.recordAccepted(entry, report.Full)
	}
	if response.WantFull {
		r.trigger()
	}
	return nil
}

// hasCurrent reports whether an entry accepted this full report within
// fullReportInterval.
func (r *reporter) hasCurrent(entry filbertlever.HostID, full *control.FullReport) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, ok := r.accepted[entry]
	return ok && sent.full != nil && time.Since(sent.acceptedAt) < fullReportInterval && reflect.DeepEqual(sent.full, full)
}

// recordAccepted records the full report that an entry accepted, nil if it has
// none.
func (r *reporter) recordAccepted(entry filbertlever.HostID, full *control.FullReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted[entry] = acceptedReport{full: full, acceptedAt: time.Now()}
}

// reportTargets returns the entries that this agent reports to, and the interval
// between reports.
func (a *Agent) reportTargets() ([]filbertlever.HostID, time.Duration) {
	var entries []filbertlever.HostID
	pool := 0
	a.node.Read(func(base *knowledge.Base) {
		for _, host := range base.Members.UsableHosts(filbertlever.RoleEntry, time.Now()) {
			entries = append(entries, host.ID)
		}
		for _, host := range base.Members.Hosts(filbertlever.RoleAgent) {
			if host.Pool == a.config.Host.Pool {
				pool++
			}
		}
	})
	count, interval := routing.ReportPlan(len(entries), pool, reportInterval)
	return rollout.Rank("report "+string(a.config.Host.ID), entries)[:count], interval
}

// fullReport returns the complete state of this agent for entries.
func (a *Agent) fullReport() *control.FullReport {
	full := &control.FullReport{From: a.node.Self()}
	if current := a.node.Current(); current != nil {
		full.ActiveVersion = current.Head.Version
	}
	full.Live, full.Weights = a.loader.report()
	full.Fetched = control.FetchedBytes{
		Origin: a.fetcher.Fetched.Origin.Load(),
		Store:  a.fetcher.Fetched.Store.Load(),
		Peer:   a.fetcher.Fetched.Peer.Load(),
	}
	return full
}
