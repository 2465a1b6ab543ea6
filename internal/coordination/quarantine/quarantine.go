package quarantine

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Process is one process of a backend server.
type Process struct {
	Server string `cbor:"1,keyasint"`
	// Boot is 0 if the server does not tell it.
	Boot catalog.Boot `cbor:"2,keyasint,omitempty"`
}

// broken is an attempt that got no whole answer.
type broken struct {
	request Fingerprint
	at      time.Duration
	// byPeer is true if the server's side ended the connection.
	byPeer bool
}

// end is the end of a process with requests under way.
type end struct {
	process Process
	at      time.Duration
	// explained is true if a request that is held was one of them.
	explained bool
	// mine are those of this entry, which it tells others.
	mine []Fingerprint
}

// mine is a request that this entry had under way at the end of a process, noted or told
// at a time.
type mine struct {
	request Fingerprint
	end     *end
	at      time.Duration
}

// Table is what one entry believes of requests that end the processes that run them. It
// is not safe for concurrent use. Times are of one steady clock.
//
// Each entry tells the others which requests it had under way at a process that ended.
// The one that ends them is always there, others by chance; and where it was, nothing is
// held against the others. All entries come to the same verdict.
type Table struct {
	config Config
	// broken has attempts at processes that may have ended.
	broken map[Process][]broken
	// ends are those within Evidence, the latest of each process.
	ends     map[Process]*end
	suspects map[Fingerprint]*suspect
	// heads counts suspects by the first part of their fingerprints.
	heads    map[uint64]int
	answered answers
	// markedAt is when a request was last suspected, and undecided is true until a verdict
	// was made that all entries' news of it had the time to reach.
	markedAt  time.Duration
	undecided bool
	sweptAt   time.Duration
	// fresh and waiting are what was not told yet, and told and toldEnds what was within
	// repeatFor.
	fresh    News
	waiting  []mine
	told     []told
	toldEnds []mine
	// made and over are verdicts of this entry that are to be kept, and kept no more.
	made []Hold
	over []Fingerprint
	// allowed is how many ends may be told, as of allowedAt.
	allowed   float64
	allowedAt time.Duration
}

// New returns a table that suspects no request.
func New(config Config) *Table {
	return &Table{config: config, broken: map[Process][]broken{}, ends: map[Process]*end{},
		suspects: map[Fingerprint]*suspect{}, heads: map[uint64]int{}, answered: newAnswers(config.Most)}
}

// Quiet reports whether no request is suspected.
func (t *Table) Quiet() bool { return len(t.suspects) == 0 }

// Knows reports whether a request with this head may be suspected; others need no
// fingerprint.
func (t *Table) Knows(head uint64) bool { return t.heads[head] > 0 }

// brokenMost bounds the attempts that are kept of one process: more than it runs and queues.
const brokenMost = 256

// Broke notes that an attempt at a process got no whole answer. ByPeer is true if the
// server's side ended the connection; else this entry gave it up.
func (t *Table) Broke(request Fingerprint, process Process, byPeer bool, now time.Duration) {
	if e, ok := t.ends[process]; ok && now-e.at < t.config.Together {
		t.markMine(request, e, now)
		return
	}
	kept := t.broken[process]
	if len(kept) >= brokenMost {
		kept = kept[1:]
	}
	t.broken[process] = append(kept, broken{request, now, byPeer})
}

// Ended notes that a process is known to have ended. It ended when the last answer broke
// off there; what broke off then was under way, and is returned.
func (t *Table) Ended(process Process, now time.Duration) []Fingerprint {
	at, ok := t.brokeOff(process, now)
	if !ok {
		return nil
	}
	return t.endAt(process, at, now).mine
}

// brokeOff is when answers of a process last broke off.
func (t *Table) brokeOff(process Process, now time.Duration) (time.Duration, bool) {
	for _, b := range slices.Backward(t.broken[process]) {
		if b.byPeer && now-b.at < t.config.Evidence {
			return b.at, true
		}
	}
	return 0, false
}

// endAt returns the end of a process at a time, and suspects what this entry had there.
func (t *Table) endAt(process Process, at, now time.Duration) *end {
	e, ok := t.ends[process]
	if !ok || at-e.at >= t.config.Evidence {
		e = &end{process: process, at: at}
		t.ends[process] = e
	}
	for _, b := range t.broken[process] {
		if max(b.at-e.at, e.at-b.at) < t.config.Together {
			t.markMine(b.request, e, now)
		}
	}
	delete(t.broken, process)
	return e
}

func (t *Table) markMine(request Fingerprint, e *end, now time.Duration) {
	if slices.Contains(e.mine, request) {
		return
	}
	e.mine = append(e.mine, request)
	t.waiting = append(t.waiting, mine{request, e, now})
	t.mark(request, e, now)
}

// mark notes that a process ended under a request.
func (t *Table) mark(request Fingerprint, e *end, now time.Duration) {
	if at, ok := t.answered.at(request); ok && at >= e.at {
		return
	}
	s := t.suspect(request)
	if slices.Contains(s.ends, e) {
		return
	}
	s.ends, s.seen = append(s.ends, e), now
	t.markedAt, t.undecided = now, true
	switch {
	case t.held(s, now):
		e.explained = true
	case s.times > 0:
		t.hold(s, now)
	}
}

// Answered notes that a server gave a whole answer to a request, and went on: it ends none.
//
// Guard: a request that was under way at several servers that ended for other reasons was
// refused though servers answer it; one that many callers send is under way everywhere.
func (t *Table) Answered(request Fingerprint, now time.Duration) {
	t.answered.note(request, now)
	s, ok := t.suspects[request]
	if !ok {
		return
	}
	t.forget(request)
	if s.times > 0 {
		t.over = append(t.over, request)
	}
	if s.told {
		t.tell(News{Cleared: []Clearing{{Request: request, At: now}}}, now)
	}
}
