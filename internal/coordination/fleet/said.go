package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// word is what one process of a server has said of itself in its answers.
type word struct {
	boot catalog.Boot
	// leaves is true once it has said that it is about to end, which is final.
	leaves bool
	// restsUntil is until when it wants no requests of this entry.
	restsUntil time.Duration
	// at is when it last said anything.
	at time.Duration
}

// wordKept is how long a word is kept of a server that is listed no more. One whose row
// lapsed while the store was away is listed again within seconds, or not at all.
const wordKept = time.Minute

// of reports whether the word is of a process. A boot that is not known yet may be it.
func (w *word) of(b catalog.Backend) bool { return w.boot == 0 || b.Boot == 0 || w.boot == b.Boot }

// Leaves notes that a process says that it is about to end. It returns true if that is new.
//
// Guard: a server's row says "ready" for as long as the store is away. Requests went on to
// a server whose answers told its end, and were lost with it. A row takes nothing back;
// another process at the address, or under the ID, has said nothing.
func (f *Fleet) Leaves(b catalog.Backend, now time.Duration) bool {
	w := f.wordOf(b, now)
	if w == nil || w.leaves {
		return false
	}
	w.leaves = true
	f.list(now)
	f.place(b.ID, now)
	return true
}

// Closes notes that a process closes the connection after an answer. A sound one does so now
// and then, but one whose row is missing has left. It returns true if that is new.
func (f *Fleet) Closes(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	return ok && s.missingSince != 0 && f.Leaves(b, now)
}

// Rests notes that a process that has refused a request wants no more for a while. It
// returns true if it wanted some before.
//
// Guard: a server that is overloaded refuses and is asked again at once, by each entry and
// for each request; that takes from it what it needs to recover, and uses up the retries.
// The longest time that it has named holds, and no other entry's word shortens it.
func (f *Fleet) Rests(b catalog.Backend, rest, now time.Duration) bool {
	w := f.wordOf(b, now)
	if w == nil {
		return false
	}
	first := now >= w.restsUntil
	w.restsUntil = max(w.restsUntil, now+rest)
	f.wobbly[b.ID] = true
	f.place(b.ID, now)
	return first
}

// restsUntil returns until when a server wants no requests; 0 if it has not said.
func (f *Fleet) restsUntil(s *server) time.Duration {
	if w, ok := f.words[s.backend.ID]; ok && w.of(s.backend) {
		return w.restsUntil
	}
	return 0
}

// wordOf returns what a process has said, to be added to; nil if another has followed it.
func (f *Fleet) wordOf(b catalog.Backend, now time.Duration) *word {
	s, ok := f.servers[b.ID]
	if !ok || f.Followed(b) {
		return nil
	}
	w, ok := f.words[b.ID]
	if !ok || !w.of(s.backend) {
		f.forgetWords(now)
		w = &word{boot: s.backend.Boot}
		f.words[b.ID] = w
	}
	w.at = now
	return w
}

// forgetWords drops words of servers that are long gone.
func (f *Fleet) forgetWords(now time.Duration) {
	for id, w := range f.words {
		if _, listed := f.servers[id]; !listed && now-max(w.at, w.restsUntil) >= wordKept {
			delete(f.words, id)
		}
	}
}

// hasLeft reports whether a process has said that it is about to end.
func (f *Fleet) hasLeft(b catalog.Backend) bool {
	w, ok := f.words[b.ID]
	return ok && w.leaves && w.of(b)
}

// leaves reports whether a process leaves, by its row, its answers or its agent.
func (f *Fleet) leaves(b catalog.Backend) bool {
	s, ok := f.servers[b.ID]
	return b.Leaving || f.hasLeft(b) || ok && s.load.Leaving
}

// Takes reports whether a request that was placed at a process may still go there: it may
// have left while the request waited for a connection.
func (f *Fleet) Takes(b catalog.Backend, now time.Duration) bool {
	s, ok := f.servers[b.ID]
	if !ok || f.leaves(s.backend) || f.gone(s, now) {
		return false
	}
	w, ok := f.words[b.ID]
	return !ok || !w.of(b) || !w.leaves && now >= w.restsUntil
}
