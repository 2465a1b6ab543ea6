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
		if _, listed := f.servers[id]; !listed && now-w.at >= wordKept {
			delete(f.words, id)
		}
	}
}

// hasLeft reports whether a process has said that it is about to end.
func (f *Fleet) hasLeft(b catalog.Backend) bool {
	w, ok := f.words[b.ID]
	return ok && w.leaves && w.of(b)
}

// Takes reports whether a request that was placed at a process may still go there: it may
// have said otherwise while the request waited for a connection.
func (f *Fleet) Takes(b catalog.Backend, _ time.Duration) bool { return !f.hasLeft(b) }
