package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

const (
	// A change of a limit is reported rateReportRepeats times at intervals of rateRepeatInterval, as
	// datagrams may be lost. After that the state is reported at intervals of one to two
	// rateReportInterval.
	rateReportRepeats  = 3
	rateRepeatInterval = 500 * time.Millisecond
	rateReportInterval = 10 * time.Second
	// liftedTTL is how long the end of a limit is reported.
	liftedTTL = time.Minute
)

// RateReport is what an entry reports about the rate limit of a server process.
type RateReport struct {
	Backend string       `cbor:"1,keyasint"`
	Boot    catalog.Boot `cbor:"2,keyasint,omitempty"`
	// PerSecond is the limit in requests a second from all entries together; 0 if it was lifted.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the process showed this.
	Age time.Duration `cbor:"4,keyasint"`
}

// RateReports returns the reports about limits that are due.
func (f *Fleet) RateReports(now time.Duration) []RateReport {
	var reports []RateReport
	for id, a := range f.rateLimits {
		l := &a.limit
		if l.perSecond == 0 && now-l.liftedAt >= liftedTTL {
			delete(f.rateLimits, id)
			continue
		}
		if now < l.reportAt {
			continue
		}
		if l.reports < rateReportRepeats || l.heardAt > l.reportAt-rateReportInterval {
			reports = append(reports, RateReport{Backend: id, Boot: a.boot, PerSecond: l.perSecond, Age: now - l.shownAt()})
		}
		l.reports++
		l.reportAt = now + rateRepeatInterval
		if l.reports >= rateReportRepeats {
			l.scheduleReport(now, f.rng.Float64())
		}
	}
	slices.SortFunc(reports, func(a, b RateReport) int { return cmp.Compare(a.Backend, b.Backend) })
	return reports
}

// shownAt returns when the process showed its current state.
func (l *rateLimit) shownAt() time.Duration {
	if l.perSecond > 0 {
		return l.announcedAt
	}
	return l.liftedAt
}

// scheduleReport schedules the next periodic report.
func (l *rateLimit) scheduleReport(now time.Duration, random float64) {
	l.reports = max(l.reports, rateReportRepeats)
	l.reportAt = now + rateReportInterval + time.Duration(random*float64(rateReportInterval))
}

// ApplyRateReport applies another entry's report. It returns true if the limit has changed.
func (f *Fleet) ApplyRateReport(r RateReport, now time.Duration) bool {
	s, ok := f.servers[r.Backend]
	if !ok || r.Boot != 0 && s.backend.Boot != 0 && r.Boot != s.backend.Boot {
		return false
	}
	if r.PerSecond > 0 {
		r.PerSecond = max(r.PerSecond, minRateLimit)
	}
	at := now - r.Age
	a, known := f.rateLimits[r.Backend]
	known = known && a.matches(s.backend)
	switch {
	case known && a.limit.perSecond == r.PerSecond:
		// The other entries have this report, so this entry need not repeat it.
		a.limit.scheduleReport(now, f.rng.Float64())
	case known && at <= max(a.limit.announcedAt, a.limit.liftedAt), !known && r.PerSecond == 0:
		return false
	}
	if !known {
		a = f.announcementFor(Answer{Backend: s.backend}, now)
	}
	changed := f.setRateLimit(r.Backend, a, r.PerSecond, at, now)
	if changed {
		a.limit.scheduleReport(now, f.rng.Float64())
	}
	return changed
}
