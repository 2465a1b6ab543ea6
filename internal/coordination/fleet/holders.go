package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// Holders returns the hosts of this site whose servers hold a version, by their agents'
// own fresh reports.
func (f *Fleet) Holders(model string, version uint64, now time.Duration) []relays.Holder {
	var holders []relays.Holder
	for id, s := range f.servers {
		fresh := s.hasReport && now-s.reportedAt < f.config.ReportFresh && s.load.Agent != ""
		if fresh && s.backend.Site == f.config.Site && f.version(s, model, now) == version {
			holders = append(holders, relays.Holder{Backend: id, Address: s.load.Agent})
		}
	}
	slices.SortFunc(holders, func(a, b relays.Holder) int { return cmp.Compare(a.Backend, b.Backend) })
	return holders
}
