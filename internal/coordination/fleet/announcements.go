package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// announcement is what one process of a server has announced in its answers.
type announcement struct {
	boot catalog.Boot
	// draining is true once the process has announced that it is draining, which is final.
	draining bool
	// retryAt is the time until which the process asked this entry not to send requests.
	retryAt time.Duration
	limit   rateLimit
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
func (f *Fleet) RecordDraining(b catalog.Backend, now time.Duration) bool {
	a := f.announcementFor(b, now)
	if a == nil || a.draining {
		return false
	}
	a.draining = true
	f.updateMembership(now)
	f.syncRouter(b.ID, now)
	return true
}

// RecordConnectionClose records that a process closes the connection after an answer. Healthy
// processes do so occasionally, but a server whose row is missing then counts as removed until it
// is listed again. It returns true if this is new.
func (f *Fleet) RecordConnectionClose(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	if !ok || s.missingSince == 0 || s.closesConnections {
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
func (f *Fleet) RecordRetryAfter(b catalog.Backend, retryAfter, now time.Duration) bool {
	a := f.announcementFor(b, now)
	if a == nil {
		return false
	}
	accepted := now >= a.retryAt
	a.retryAt = max(a.retryAt, now+retryAfter)
	f.recheck[b.ID] = true
	f.syncRouter(b.ID, now)
	return accepted
}

// retryAt returns the time until which a server asked for no requests; 0 if it did not.
func (f *Fleet) retryAt(s *server) time.Duration {
	if a, ok := f.announcements[s.backend.ID]; ok && a.matches(s.backend) {
		return a.retryAt
	}
	return 0
}

// announcementFor returns the announcement of a process, creating it if needed; nil if another
// process has replaced it.
func (f *Fleet) announcementFor(b catalog.Backend, now time.Duration) *announcement {
	s, ok := f.servers[b.ID]
	if !ok || f.Superseded(b) {
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
	if !ok || f.draining(s.backend) || f.isRemoved(s, now) {
		return false
	}
	a, ok := f.announcements[b.ID]
	return !ok || !a.matches(b) || !a.draining && now >= a.retryAt
}
