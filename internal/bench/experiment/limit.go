package experiment

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

const (
	// rateReportTick is how often entries check whether a report about a rate limit is due, and
	// rateReportDelay how long a report takes.
	rateReportTick  = 25 * time.Millisecond
	rateReportDelay = 3 * time.Millisecond
)

// scheduleLimits schedules the rate limits of servers and the reports about them.
func (sim *simulation) scheduleLimits() {
	for _, l := range sim.Limits {
		for _, s := range sim.limitedBy(l) {
			sim.after(warmUpDuration+l.At, func() { s.limit = &l.PerSecond })
			sim.after(warmUpDuration+l.At+l.For, func() { s.limit = nil })
		}
	}
	if len(sim.Limits) == 0 || sim.policy.IgnoreLimits {
		return
	}
	var hosts []filbertlever.Host
	for _, e := range sim.entries {
		hosts = append(hosts, filbertlever.Host{ID: e.host, Region: e.region})
	}
	for _, e := range sim.entries {
		e.fleet.SetEntries(hosts, sim.now)
		sim.after(sim.randomDelay(rateReportTick), e.reportRates)
	}
}

// limitedBy returns the servers that a limit applies to.
func (sim *simulation) limitedBy(l Limit) []*engine {
	var limited []*engine
	perRegion := map[string]int{}
	for _, s := range sim.engines {
		if perRegion[s.region]++; perRegion[s.region] <= l.Servers {
			limited = append(limited, s)
		}
	}
	return limited
}

// recordLimit records what an engine announces with the first token of an attempt.
func (a *attempt) recordLimit() {
	sim := a.entry.simulation
	if !sim.policy.IgnoreLimits && len(sim.Limits) > 0 {
		a.entry.fleet.RecordRateLimit(fleet.Answer{Backend: catalog.Backend{ID: a.server.id}}, a.server.limit, a.placedAt, sim.now)
	}
}

// reportRates periodically sends the reports about rate limits that are due to all other entries.
func (e *entry) reportRates() {
	for _, r := range e.fleet.RateReports(e.simulation.now) {
		for _, other := range e.simulation.entries {
			if other != e {
				e.simulation.after(rateReportDelay, func() { other.fleet.ApplyRateReport(r, e.simulation.now) })
			}
		}
	}
	e.simulation.after(rateReportTick, e.reportRates)
}
