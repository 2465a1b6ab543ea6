package routing

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Bounds of reports between agents and entries.
const (
	// viewHosts is how many hosts of each pool an entry hears from, so that it
	// has a choice.
	viewHosts = 32
	// leastEntries is how many entries each agent reports to at least.
	leastEntries = 8
	// cheapEntries is how many entries an agent can report to each period
	// within its budget of bytes; more stretch the period.
	cheapEntries = 24
)

// ReportPlan says to how many entries an agent reports, and how often, given
// how many entries and how many agents of its pool there are. An entry routes
// to the agents that report to it: of a large pool a part, of a small one all.
func ReportPlan(entries, pool int, period time.Duration) (to int, every time.Duration) {
	to = (viewHosts*entries + max(pool, 1) - 1) / max(pool, 1)
	to = min(max(to, leastEntries), entries)
	return to, period * time.Duration(max(to, cheapEntries)) / cheapEntries
}

// Forget drops what was sent to a host and learnt from its answers, as when another
// process runs there now.
func (r *Router) Forget(id filbertlever.HostID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	old := r.hosts[i]
	r.hosts[i] = host{id: old.id, site: old.site, region: old.region, usable: old.usable, loaded: old.loaded}
	if !r.hinted {
		return
	}
	for slot := range r.prefixes {
		if r.prefixes[slot].host == i {
			r.prefixes[slot] = prefixHint{}
		}
	}
}
