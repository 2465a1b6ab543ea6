package fleet

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// A server may announce how many requests a second it takes from all entries together. Entries
// cannot agree on each request, so a few of them, the senders, share the rate. They are chosen like
// those of a cold server. All other entries together send a small part of the rate, so that they
// notice if the limit was lifted and they missed the report of it.

const (
	// minRateLimit is the lowest limit in requests a second. A server that gets no requests at all
	// could not announce that it takes requests again.
	minRateLimit = 0.05
	// A limited server has minRateSenders senders and rateSendersPerUnit more for each request a
	// second. Each may be one request ahead of its share, which limits how many there can be.
	minRateSenders     = 3
	rateSendersPerUnit = 0.5
	// otherEntriesShare is the part of the rate that all other entries together send.
	otherEntriesShare = 0.1
)

// rateLimit is the limit that one process has announced, and this entry's share of it.
type rateLimit struct {
	// perSecond is the rate from all entries together; 0 if the process announces no limit.
	perSecond float64
	// announcedAt is when an answer that announced the limit arrived here or at another entry.
	announcedAt time.Duration
	// liftedAt is when a request was sent whose answer no longer announced a limit.
	liftedAt time.Duration
	// interval is the time between two requests of this entry; 0 if it must not send any.
	interval time.Duration
	isSender bool
	// sentAt is when this entry last sent a request, or a random time before it learned of the limit,
	// and previousAt is the value before the last request. Both are 0 if there has been no limit.
	sentAt, previousAt time.Duration
	// heardAt is when the process itself last showed whether it announces a limit.
	heardAt time.Duration
	// reportAt is when the next report to other entries is due, and reports the number of reports
	// since the last change.
	reportAt time.Duration
	reports  int
}

// RecordRateLimit records the limit in an answer to a request that was placed at a time; perSecond
// is nil if the answer announces none. It returns true if the limit has changed.
//
// An answer without a limit lifts it only if its request was sent after the last announcement, as
// answers may arrive out of order. Of two announcements in unknown order the lower one applies.
func (f *Fleet) RecordRateLimit(answer Answer, perSecond *float64, placedAt, now time.Duration) bool {
	if perSecond == nil {
		return f.liftRateLimit(answer.Backend, placedAt, now)
	}
	a := f.announcementFor(answer, now)
	if a == nil {
		return false
	}
	rate := max(*perSecond, minRateLimit)
	if placedAt < a.limit.announcedAt && a.limit.perSecond > 0 {
		rate = min(rate, a.limit.perSecond)
	}
	a.limit.heardAt, a.limitSeen = now, laterOf(a.limitSeen, answer.RunningAt)
	return f.setRateLimit(answer.Backend.ID, a, rate, now, now)
}

// liftRateLimit records an answer that announces no limit.
func (f *Fleet) liftRateLimit(b catalog.Backend, placedAt, now time.Duration) bool {
	a, ok := f.rateLimits[b.ID]
	if !ok || f.Superseded(b) || !a.matches(b) || placedAt < a.limit.announcedAt {
		return false
	}
	a.limit.heardAt = now
	return f.setRateLimit(b.ID, a, 0, placedAt, now)
}

// setRateLimit applies what a process showed at a time, and schedules its report to other entries.
func (f *Fleet) setRateLimit(id string, a *announcement, perSecond float64, at, now time.Duration) bool {
	l := &a.limit
	old := l.perSecond
	a.updatedAt = now
	l.perSecond = perSecond
	if perSecond > 0 {
		l.announcedAt = max(l.announcedAt, at)
		f.rateLimits[id] = a
	} else {
		l.liftedAt = max(l.liftedAt, at)
	}
	if old == perSecond {
		return false
	}
	f.setRateShare(id, a)
	if old == 0 {
		// Entries learn of a limit at the same time. Without a random phase they would all send at
		// the end of the same interval.
		phase := now - time.Duration(f.rng.Float64()*float64(l.interval))
		if l.sentAt != 0 {
			// The limit was lifted and announced again.
			phase = max(phase, l.sentAt)
		}
		l.sentAt = phase
	}
	l.reportAt, l.reports = now, 0
	if s, ok := f.servers[id]; ok {
		f.refreshUsable(s, now)
	}
	return true
}

// setRateShare sets the interval of this entry's requests to a limited server.
func (f *Fleet) setRateShare(id string, a *announcement) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	l := &a.limit
	l.interval, l.isSender = 0, false
	delete(f.rateSenders, id)
	if l.perSecond == 0 || len(f.entries) == 0 {
		// While the other entries are not known yet, there are no senders.
		return
	}
	senders := min(minRateSenders+int(min(l.perSecond*rateSendersPerUnit, float64(len(f.entries)))), len(f.entries))
	l.isSender = f.rateRank(s) < senders
	if l.isSender {
		l.interval = max(1, time.Duration(float64(senders)/l.perSecond*float64(time.Second)))
		f.rateSenders[id] = s
		return
	}
	others := float64(len(f.entries) - senders)
	l.interval = time.Duration(others / (otherEntriesShare * l.perSecond) * float64(time.Second))
}

// rateRank returns the place of this entry among the entries that may share the rate of a server:
// first those of its region, then those of other regions, each in the order of their rendezvous
// hashes.
func (f *Fleet) rateRank(s *server) int {
	region := f.config.Regions[s.backend.Site]
	distance := func(e filbertlever.Host) int {
		if e.Region == region {
			return 0
		}
		return 1
	}
	score := func(host filbertlever.HostID) uint64 { return xxhash.Sum64String(string(host) + "\x00" + s.backend.ID) }
	own := filbertlever.Host{ID: f.config.Host, Region: f.config.Region}
	ownScore, rank := score(own.ID), 0
	for _, e := range f.entries {
		if cmp.Or(cmp.Compare(distance(e), distance(own)), cmp.Compare(ownScore, score(e.ID)), cmp.Compare(e.ID, own.ID)) < 0 {
			rank++
		}
	}
	return rank
}

// updateRateShares recomputes this entry's share of all limited servers.
func (f *Fleet) updateRateShares(now time.Duration) {
	for id, a := range f.rateLimits {
		f.setRateShare(id, a)
		if s, ok := f.servers[id]; ok {
			f.refreshUsable(s, now)
		}
	}
}

// activeRateLimit returns the limit of a server; nil if it has none.
func (f *Fleet) activeRateLimit(s *server) *rateLimit {
	a, ok := f.rateLimits[s.backend.ID]
	if !ok || a.limit.perSecond == 0 || !a.matches(s.backend) {
		return nil
	}
	return &a.limit
}

// rateLimited reports whether a server must not get a request of this entry now.
func (f *Fleet) rateLimited(s *server, now time.Duration) bool {
	l := f.activeRateLimit(s)
	return l != nil && (l.interval == 0 || now < l.sentAt+l.interval)
}

// rateReadyAt returns when a limited server may get the next request of this entry; 0 if it is not
// limited or if this entry is not one of its senders.
func (f *Fleet) rateReadyAt(s *server) time.Duration {
	if l := f.activeRateLimit(s); l != nil && l.isSender {
		return l.sentAt + l.interval
	}
	return 0
}

// recordSentLimited counts a request against this entry's share of a server's rate. It returns
// false if the server has no limit.
func (f *Fleet) recordSentLimited(s *server, now time.Duration) bool {
	l := f.activeRateLimit(s)
	if l == nil {
		return false
	}
	l.previousAt, l.sentAt = l.sentAt, now
	f.refreshUsable(s, now)
	return true
}

// refundRate takes back a request that was not sent. The next refresh makes the server usable.
func (f *Fleet) refundRate(s *server) {
	if l := f.activeRateLimit(s); l != nil {
		l.sentAt = l.previousAt
	}
}

// refreshRateLimits re-evaluates the limited servers of which this entry is a sender. The others
// are part of checkHealth.
func (f *Fleet) refreshRateLimits(now time.Duration) {
	for _, s := range f.rateSenders {
		f.refreshUsable(s, now)
	}
}

// WithinRateLimit reports whether a placed request may still be sent. The server may have announced
// a limit while the request waited for a connection.
func (f *Fleet) WithinRateLimit(p Placement) bool {
	s, ok := f.servers[p.Backend.ID]
	return !ok || p.RateCounted || f.activeRateLimit(s) == nil
}

// dropRateLimit removes the limit of a process that was replaced or is no longer tracked.
func (f *Fleet) dropRateLimit(id string) {
	delete(f.rateLimits, id)
	delete(f.rateSenders, id)
}

// RateLimitedCount returns the number of servers that limit their rate.
func (f *Fleet) RateLimitedCount() int {
	n := 0
	for _, a := range f.rateLimits {
		if a.limit.perSecond > 0 {
			n++
		}
	}
	return n
}
