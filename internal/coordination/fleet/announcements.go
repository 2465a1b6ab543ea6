package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Answer identifies the process of a server that sent an answer.
type Answer struct {
	// Backend is the server as it was known when the request was placed. Another process may have
	// replaced that one since.
	Backend catalog.Backend
	// RunningAt is a time at which the process that answered was running, by the server's clock; zero
	// if unknown.
	RunningAt time.Time
}

// maxClockOffset is the assumed difference between the clocks of two hosts.
const maxClockOffset = time.Second

// RunningAt returns a time at which the process that sent an answer was running, by the server's
// clock. sentAt is when the request was sent, by this host's clock, and date is the date of the
// answer in whole seconds, zero if it has none.
//
// A process only receives requests that are sent after its start. The date, which comes from the
// clock that also dates the start, corrects the difference between the clocks of the two hosts.
func RunningAt(sentAt, date time.Time) time.Time {
	switch latest := date.Add(time.Second - time.Millisecond); {
	case date.IsZero():
		return sentAt.Add(-maxClockOffset)
	case sentAt.Before(date):
		return date
	case sentAt.After(latest):
		return latest
	}
	return sentAt
}

// startedBy reports whether a process had started at the time.
func startedBy(boot catalog.Boot, at time.Time) bool {
	return !at.IsZero() && at.UnixMilli() >= int64(boot)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// announcement is what one process of a server has announced in its answers.
type announcement struct {
	boot catalog.Boot
	// draining is true once the process has announced that it is draining, which is final.
	draining bool
	// retryAt is the time until which the process asked this entry not to send requests.
	retryAt time.Duration
	limit   rateLimit
	// drainingSeen, retrySeen and limitSeen are the RunningAt of the answers that made each
	// announcement; zero if unknown.
	drainingSeen, retrySeen, limitSeen time.Time
	// updatedAt is the time of the last announcement.
	updatedAt time.Duration
}

// announcementTTL is how long the announcements of a server that is not tracked are kept. A server
// whose row expired during an outage of the store is listed again within seconds or not at all.
const announcementTTL = time.Minute

// matches reports whether the announcement was made by a process. An unknown boot matches any
// process.
func (a *announcement) matches(b catalog.Backend) bool {
	return a.boot == 0 || b.Boot == 0 || a.boot == b.Boot
}

// RecordDraining records that a process announced that it is draining. It returns true if this is
// new.
//
// An outdated row does not revoke the announcement. It ends only with another process at the
// address or under the ID.
func (f *Fleet) RecordDraining(answer Answer, now time.Duration) bool {
	a := f.announcementFor(answer, now)
	if a == nil {
		return false
	}
	a.drainingSeen = laterOf(a.drainingSeen, answer.RunningAt)
	if a.draining {
		return false
	}
	a.draining = true
	f.updateMembership(now)
	f.syncRouter(answer.Backend.ID, now)
	return true
}

// RecordConnectionClose records that a process closes the connection after an answer. Healthy
// processes do so occasionally, but a server whose row is missing then counts as removed until it
// is listed again. It returns true if this is new.
func (f *Fleet) RecordConnectionClose(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	if !ok || s.missingSince == 0 || s.closesConnections || f.Superseded(b) {
		return false
	}
	s.closesConnections = true
	f.refresh(now)
	return true
}

// RecordRetryAfter records that a process refused a request and asked for no more requests for some
// time. It returns true if the process accepted requests before.
//
// Requests keep an overloaded server from recovering. The latest time that the process asked for
// applies.
func (f *Fleet) RecordRetryAfter(answer Answer, retryAfter, now time.Duration) bool {
	a := f.announcementFor(answer, now)
	if a == nil {
		return false
	}
	accepted := now >= a.retryAt
	if until := now + retryAfter; until > a.retryAt {
		a.retryAt, a.retrySeen = until, answer.RunningAt
	}
	f.recheck[answer.Backend.ID] = true
	f.syncRouter(answer.Backend.ID, now)
	return accepted
}

// retryAt returns the time until which a server asked for no requests; 0 if it did not.
func (f *Fleet) retryAt(s *server) time.Duration {
	if a, ok := f.announcements[s.backend.ID]; ok && a.matches(s.backend) {
		return a.retryAt
	}
	return 0
}

// announcementFor returns the announcement of the process that answered, creating it if needed; nil
// if another process has replaced it.
func (f *Fleet) announcementFor(answer Answer, now time.Duration) *announcement {
	b := answer.Backend
	s, ok := f.servers[b.ID]
	if !ok || f.Superseded(b) && !(b.Boot < s.backend.Boot && startedBy(s.backend.Boot, answer.RunningAt)) {
		return nil
	}
	a, ok := f.announcements[b.ID]
	if !ok || !a.matches(s.backend) {
		f.pruneAnnouncements(now)
		a = &announcement{boot: s.backend.Boot}
		f.announcements[b.ID] = a
		f.dropRateLimit(b.ID)
	}
	a.updatedAt = now
	return a
}

// attributeAnnouncements applies the announcements of a server to the process that now runs there,
// and drops those of the processes before it.
//
// The row or report of a process may arrive after its first answers, seconds later while the store
// is unavailable. If the process has an earlier boot, the server's clock was set back, and times
// before and after the restart are not comparable.
func (f *Fleet) attributeAnnouncements(current catalog.Backend, now time.Duration) {
	a, ok := f.announcements[current.ID]
	if !ok || current.Boot == 0 || a.boot == current.Boot {
		return
	}
	if a.boot == 0 {
		a.boot = current.Boot
		return
	}
	ascending := a.boot < current.Boot
	made := func(at time.Time) bool { return ascending && startedBy(current.Boot, at) }
	a.boot = current.Boot
	a.draining = a.draining && made(a.drainingSeen)
	if !made(a.retrySeen) {
		a.retryAt = 0
	}
	if a.limit.perSecond > 0 && made(a.limitSeen) {
		// Other entries ignored reports about the process that was replaced.
		a.limit.reportAt, a.limit.reports = now, 0
	} else {
		a.limit = rateLimit{}
		f.dropRateLimit(current.ID)
	}
}

// pruneAnnouncements removes the expired announcements of servers that are no longer tracked.
func (f *Fleet) pruneAnnouncements(now time.Duration) {
	for id, a := range f.announcements {
		if _, tracked := f.servers[id]; !tracked && now-max(a.updatedAt, a.retryAt) >= announcementTTL {
			delete(f.announcements, id)
			f.dropRateLimit(id)
		}
	}
}

// announcedDraining reports whether a process has announced that it is draining.
func (f *Fleet) announcedDraining(b catalog.Backend) bool {
	a, ok := f.announcements[b.ID]
	return ok && a.draining && a.matches(b)
}

// draining reports whether a process is draining according to its row, its answers or its agent.
func (f *Fleet) draining(b catalog.Backend) bool {
	s, ok := f.servers[b.ID]
	return b.Draining || f.announcedDraining(b) || ok && s.report.Leaving
}

// Accepts reports whether a request may still be sent to the process that it was placed at. The
// process may have left while the request waited for a connection.
func (f *Fleet) Accepts(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	return ok && !f.draining(s.backend) && !f.isRemoved(s, now) && now >= f.retryAt(s)
}
