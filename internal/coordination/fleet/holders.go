package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// Holders returns the agents of the servers of this site that hold a version according to their
// fresh reports.
func (f *Fleet) Holders(model string, version uint64, now time.Duration) []relays.Holder {
	var holders []relays.Holder
	for id, s := range f.servers {
		fresh := s.hasReport && now-s.reportedAt < f.config.ReportTTL && s.report.AgentAddress != ""
		if fresh && s.backend.Site == f.config.Site && f.heldVersion(s, model, now) == version {
			holders = append(holders, relays.Holder{Backend: id, Address: s.report.AgentAddress})
		}
	}
	slices.SortFunc(holders, func(a, b relays.Holder) int { return cmp.Compare(a.Backend, b.Backend) })
	return holders
}
