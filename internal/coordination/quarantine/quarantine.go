package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Config holds the bounds of a Table.
type Config struct {
	// Ends is how many processes must have ended under a request until it is held, and
	// Certain how many are enough even if another request was under way at each of them.
	Ends    int
	Certain int
	// Settle is how long after the end of a process all entries have told what they had
	// under way there.
	Settle time.Duration
	// Together is how far apart the last answers of one process break off.
	Together time.Duration
	// Evidence is how long an attempt that broke off waits for a sign that its process
	// has ended, and one process's end is told from the next one's under the same name.
	Evidence time.Duration
	// Trust is how long an answer speaks for a request: of one that was answered no longer
	// ago, only ends that lie Together apart count, and none before its latest answer.
	Trust time.Duration
	// Hold is how long a request is held first; it doubles each time, up to HoldMost.
	Hold     time.Duration
	HoldMost time.Duration
	// Remember is how long a request that is not held is suspected after the last end.
	Remember time.Duration
	// Most bounds the requests that are remembered: those suspected, and those answered.
	Most int
}

// DefaultConfig returns the bounds used in production.
func DefaultConfig() Config {
	return Config{
		// Two hosts may well end one after the other under a request that has no part in it.
		Ends: 3, Certain: 5,
		// Datagrams between regions and one that is late.
		Settle:   150 * time.Millisecond,
		Together: time.Second,
		// A process is back, and its row is written, within seconds.
		Evidence: 6 * time.Second,
		Trust:    time.Minute,
		Hold:     5 * time.Minute, HoldMost: 24 * time.Hour,
		Remember: 10 * time.Minute,
		// What an entry answers in a minute, and a megabyte.
		Most: 4096,
	}
}

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

// suspect is a request under which processes have ended.
type suspect struct {
	request Fingerprint
	ends    []*end
	// seen is when the last of ends was heard of.
	seen time.Duration
	// told is true if other entries may suspect the request.
	told bool
	// since is when it was held last, which may be before the clock's start, and times how
	// often; 0 if it never was.
	since time.Duration
	times int
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

func (t *Table) suspect(request Fingerprint) *suspect {
	s, ok := t.suspects[request]
	if ok {
		return s
	}
	if len(t.suspects) >= t.config.Most {
		t.dropLeast()
	}
	s = &suspect{request: request}
	t.suspects[request] = s
	t.heads[request.Head()]++
	return s
}

func (t *Table) forget(request Fingerprint) {
	if _, ok := t.suspects[request]; !ok {
		return
	}
	delete(t.suspects, request)
	head := request.Head()
	if t.heads[head]--; t.heads[head] == 0 {
		delete(t.heads, head)
	}
}

// dropLeast drops a quarter of the suspects: first those that were never held, of these
// the ones with the fewest ends, the longest ago.
//
// Guard: callers may send any number of different requests that each end a server. Each
// is remembered, and memory grew without bound; one that is held is the last to go.
func (t *Table) dropLeast() {
	all := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.times, b.times), cmp.Compare(len(a.ends), len(b.ends)), cmp.Compare(a.seen, b.seen))
	})
	for _, s := range all[:max(len(all)/4, 1)] {
		t.forget(s.request)
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

// trusted reports whether a request was answered lately.
func (t *Table) trusted(request Fingerprint, now time.Duration) bool {
	at, ok := t.answered.at(request)
	return ok && now-at < t.config.Trust
}

// Held reports whether a request is kept from all servers, and for how long still.
func (t *Table) Held(request Fingerprint, now time.Duration) (time.Duration, bool) {
	s, ok := t.suspects[request]
	if !ok || !t.held(s, now) {
		return 0, false
	}
	return t.until(s) - now, true
}

// HeldCount is how many requests are held.
func (t *Table) HeldCount(now time.Duration) int {
	n := 0
	for _, s := range t.suspects {
		if t.held(s, now) {
			n++
		}
	}
	return n
}

// Ends is how many processes ended under a request.
func (t *Table) Ends(request Fingerprint) int {
	if s, ok := t.suspects[request]; ok {
		return len(s.ends)
	}
	return 0
}

// Suspected reports whether the next end of a process under a request is the one for which
// it is held. It then is sent to one server at a time.
func (t *Table) Suspected(request Fingerprint, now time.Duration) bool {
	s, ok := t.suspects[request]
	return ok && !t.trusted(request, now) && (s.times > 0 || len(t.against(s, now)) >= t.config.Ends-1)
}

func (t *Table) held(s *suspect, now time.Duration) bool { return s.times > 0 && now < t.until(s) }

// until is when a request that was held may be sent again.
//
// Guard: what runs a request may be mended, and a request may be held that ends nothing;
// refused for ever, neither would be seen. The next end under it holds it twice as long.
func (t *Table) until(s *suspect) time.Duration {
	hold := t.config.HoldMost
	if s.times < 16 {
		hold = min(t.config.Hold<<(s.times-1), hold)
	}
	return s.since + hold
}

// against returns the ends before a time that count against a request: those that nothing
// else explains, and that it was not answered after.
//
// Guard: a request that many callers send is under way at all servers that lose their power
// at once. Of one that servers answer, such ends count once.
func (t *Table) against(s *suspect, before time.Duration) []*end {
	answered, trusted := t.answered.at(s.request)
	trusted = trusted && before-answered < t.config.Trust
	var ends []*end
	for _, e := range s.ends {
		switch {
		case e.explained || e.at > before || trusted && e.at <= answered:
		case trusted && len(ends) > 0 && e.at-ends[len(ends)-1].at < t.config.Together:
		default:
			ends = append(ends, e)
		}
	}
	return ends
}

// hold keeps a request from all servers, and takes it for the cause of each end that it
// was there for.
//
// Guard: a server that runs 16 requests ends with 15 that have no part in it, which are
// sent again and may meet the same one again. Counted alone, they were refused too.
func (t *Table) hold(s *suspect, now time.Duration) {
	s.since, s.times = now, s.times+1
	for _, e := range s.ends {
		e.explained = true
	}
	if !s.mine() {
		return
	}
	s.told = true
	hold := Hold{Request: s.request, At: s.since, Times: s.times}
	t.tell(News{Holds: []Hold{hold}}, now)
	if last := s.ends[len(s.ends)-1]; slices.Contains(last.mine, s.request) {
		t.made = append(t.made, hold)
	}
}

// Advance takes note of what time has brought, and returns the requests that are held
// from now on.
func (t *Table) Advance(now time.Duration) []Fingerprint {
	t.sweep(now)
	if !t.undecided {
		return nil
	}
	t.undecided = now-t.markedAt <= t.config.Together
	var held []Fingerprint
	for s := t.verdict(now); s != nil; s = t.verdict(now) {
		t.hold(s, now)
		held = append(held, s.request)
	}
	return held
}

// verdict returns the request that is to be held next: of those that may be the cause, and
// that this entry had at an end, the one under which the most processes have ended.
func (t *Table) verdict(now time.Duration) *suspect {
	var found *suspect
	most := 0
	for _, s := range t.suspects {
		if s.times > 0 || len(s.ends) < t.config.Ends || !s.mine() {
			continue
		}
		before := t.decided(s.request, now)
		n := len(t.against(s, before))
		if n < t.config.Ends || n <= most || n < t.config.Certain && t.rivalled(s, n, before) {
			continue
		}
		found, most = s, n
	}
	return found
}

// decided returns the time up to which ends are decided on. A request that is answered has
// the time to be answered once more.
func (t *Table) decided(request Fingerprint, now time.Duration) time.Duration {
	if t.trusted(request, now) {
		return now - t.config.Together
	}
	return now - t.config.Settle
}

// mine reports whether this entry had the request at one of its ends.
//
// Guard: an entry that only heard of the ends may not know that the request was answered
// since; its verdict would be told to all. Those that had it decide, and are told.
func (s *suspect) mine() bool {
	return slices.ContainsFunc(s.ends, func(e *end) bool { return slices.Contains(e.mine, s.request) })
}

// rivalled reports whether another request explains the same ends as well.
//
// Guard: of two requests that were under way at the same servers one may have no part in
// their ends. It was refused with the other; the next end mostly tells them apart.
func (t *Table) rivalled(s *suspect, n int, before time.Duration) bool {
	for _, other := range t.suspects {
		if other == s || other.times > 0 || len(t.against(other, before)) < n {
			continue
		}
		for _, e := range s.ends {
			if !e.explained && slices.Contains(other.ends, e) {
				return true
			}
		}
	}
	return false
}

// sweepEvery is how often it is looked for what can be forgotten.
const sweepEvery = time.Second

func (t *Table) sweep(now time.Duration) {
	if now-t.sweptAt < sweepEvery {
		return
	}
	t.sweptAt = now
	for process, kept := range t.broken {
		if now-kept[len(kept)-1].at >= t.config.Evidence {
			delete(t.broken, process)
		}
	}
	for process, e := range t.ends {
		if now-e.at >= t.config.Evidence {
			delete(t.ends, process)
		}
	}
	for request, s := range t.suspects {
		kept := t.config.Remember
		if s.times > 0 {
			kept = t.until(s) - s.since + t.config.HoldMost
		}
		if now-max(s.seen, s.since) >= kept {
			t.forget(request)
		}
	}
}
