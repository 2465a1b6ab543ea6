package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// announcement is what one process of a server has announced in its answers.
type announcement struct {
	boot catalog.Boot
	// draining is true once the process has announced its end, which is final.
	draining bool
	// retryAt is until when the process asked for no requests of this entry.
	retryAt time.Duration
	// at is the time of the last announcement.
	at time.Duration
}

// announcementTTL is how long announcements of a server are kept that is not listed. A server
// whose row lapsed with the store is listed again within seconds, or not at all.
const announcementTTL = time.Minute

// of reports whether the announcement is of a process. A boot that is not known yet may be it.
func (a *announcement) of(b catalog.Backend) bool {
	return a.boot == 0 || b.Boot == 0 || a.boot == b.Boot
}

// NoteDraining notes that a process announces its end. It returns true if that is new.
//
// Guard: a row that is out of date does not withdraw the announcement; only another process at
// the address, or under the ID, has not made it.
func (f *Fleet) NoteDraining(b catalog.Backend, now time.Duration) bool {
	a := f.announcementOf(b, now)
	if a == nil || a.draining {
		return false
	}
	a.draining = true
	f.list(now)
	f.place(b.ID, now)
	return true
}

// NoteConnectionClose notes that a process closes the connection after an answer. A sound one
// does so now and then; one whose row is missing counts as gone until it is listed again. It
// returns true if that is new.
func (f *Fleet) NoteConnectionClose(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	if !ok || s.missingSince == 0 || s.closes {
		return false
	}
	s.closes = true
	f.refresh(now)
	return true
}

// NoteRetryAfter notes that a process that refused a request asks for no more for a while. It
// returns true if it accepted requests before.
//
// Guard: requests keep an overloaded server from recovering. The longest time that it asked for
// holds.
func (f *Fleet) NoteRetryAfter(b catalog.Backend, wait, now time.Duration) bool {
	a := f.announcementOf(b, now)
	if a == nil {
		return false
	}
	first := now >= a.retryAt
	a.retryAt = max(a.retryAt, now+wait)
	f.transient[b.ID] = true
	f.place(b.ID, now)
	return first
}

// retryAt returns until when a server asked for no requests; 0 if it has not.
func (f *Fleet) retryAt(s *server) time.Duration {
	if a, ok := f.announcements[s.backend.ID]; ok && a.of(s.backend) {
		return a.retryAt
	}
	return 0
}

// announcementOf returns the announcements of a process, to be added to; nil if another process
// has followed it.
func (f *Fleet) announcementOf(b catalog.Backend, now time.Duration) *announcement {
	s, ok := f.servers[b.ID]
	if !ok || f.Followed(b) {
		return nil
	}
	a, ok := f.announcements[b.ID]
	if !ok || !a.of(s.backend) {
		f.dropAnnouncements(now)
		a = &announcement{boot: s.backend.Boot}
		f.announcements[b.ID] = a
	}
	a.at = now
	return a
}

// dropAnnouncements drops announcements of servers that are long gone.
func (f *Fleet) dropAnnouncements(now time.Duration) {
	for id, a := range f.announcements {
		if _, listed := f.servers[id]; !listed && now-max(a.at, a.retryAt) >= announcementTTL {
			delete(f.announcements, id)
		}
	}
}

// announcedDraining reports whether a process has announced its end.
func (f *Fleet) announcedDraining(b catalog.Backend) bool {
	a, ok := f.announcements[b.ID]
	return ok && a.draining && a.of(b)
}

// draining reports whether a process is draining, by its row, its answers or its agent.
func (f *Fleet) draining(b catalog.Backend) bool {
	s, ok := f.servers[b.ID]
	return b.Leaving || f.announcedDraining(b) || ok && s.load.Leaving
}

// Accepts reports whether a request that was placed at a process may still be sent there: the
// process may have left while the request waited for a connection.
func (f *Fleet) Accepts(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	if !ok || f.draining(s.backend) || f.gone(s, now) {
		return false
	}
	a, ok := f.announcements[b.ID]
	return !ok || !a.of(b) || !a.draining && now >= a.retryAt
}
