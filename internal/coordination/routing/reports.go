package routing

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Bounds of reports between agents and entries.
const (
	// hostsPerEntry is how many hosts of each pool an entry hears from, so that it
	// has a choice.
	hostsPerEntry = 32
	// minEntries is how many entries each agent reports to at least.
	minEntries = 8
	// entriesPerPeriod is how many entries an agent can report to each period
	// within its budget of bytes; more stretch the period.
	entriesPerPeriod = 24
)

// ReportPlan says to how many entries an agent reports, and how often, given
// how many entries and how many agents of its pool there are. An entry routes
// to the agents that report to it: of a large pool a part, of a small one all.
func ReportPlan(entries, pool int, period time.Duration) (to int, every time.Duration) {
	to = (hostsPerEntry*entries + max(pool, 1) - 1) / max(pool, 1)
	to = min(max(to, minEntries), entries)
	return to, period * time.Duration(max(to, entriesPerPeriod)) / entriesPerPeriod
}

// Forget drops what was sent to a host and learnt from its answers, as when another
// process runs there now.
func (r *Router) Forget(id filbertlever.HostID) {
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
