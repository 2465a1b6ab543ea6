package routing

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Bounds of load reports from agents to entries.
const (
	// hostsPerEntry is how many hosts of each pool report to an entry on average,
	// so that it has enough candidates.
	hostsPerEntry = 32
	// minEntries is the smallest number of entries that an agent reports to.
	minEntries = 8
	// entriesPerPeriod is how many entries an agent can report to in each period
	// within its bandwidth budget. With more entries the period becomes longer.
	entriesPerPeriod = 24
)

// ReportPlan returns to how many entries an agent reports and at which interval,
// given the number of entries and the number of agents in its pool. An entry
// routes only to the agents that report to it: some of a large pool, and all of a
// small one.
func ReportPlan(entries, agents int, period time.Duration) (count int, interval time.Duration) {
	count = (hostsPerEntry*entries + max(agents, 1) - 1) / max(agents, 1)
	count = min(max(count, minEntries), entries)
	return count, period * time.Duration(max(count, entriesPerPeriod)) / entriesPerPeriod
}

// ResetHost drops the counts and observations of a host, for use when a new process runs there.
func (r *Router) ResetHost(id filbertlever.HostID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	old := r.hosts[i]
	r.hosts[i] = host{id: old.id, site: old.site, region: old.region, usable: old.usable, targets: old.targets}
	if !r.hasHints {
		return
	}
	for slot := range r.prefixHints {
		if r.prefixHints[slot].host == i {
			r.prefixHints[slot] = prefixHint{}
		}
	}
}
