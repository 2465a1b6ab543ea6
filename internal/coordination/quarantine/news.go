package quarantine

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// News is what one entry tells others. Each item says how long ago it was; At is by the
// clock of the table that holds it, and not told.
type News struct {
	Ends    []End      `cbor:"1,keyasint,omitempty"`
	Holds   []Hold     `cbor:"2,keyasint,omitempty"`
	Cleared []Clearing `cbor:"3,keyasint,omitempty"`
}

// End is the end of a process, and which requests the teller had under way there.
type End struct {
	Process  Process       `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	Requests []Fingerprint `cbor:"3,keyasint"`
	At       time.Duration `cbor:"-"`
}

// Hold is a request that is kept from all servers.
type Hold struct {
	Request Fingerprint   `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	// Times is how often it has been held, 1 or more.
	Times int           `cbor:"3,keyasint"`
	At    time.Duration `cbor:"-"`
}

// Clearing is a request that was answered, and is suspected by whom it is told to.
type Clearing struct {
	Request Fingerprint   `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	At      time.Duration `cbor:"-"`
}

// Empty reports whether there is nothing to tell.
func (n *News) Empty() bool { return len(n.Ends) == 0 && len(n.Holds) == 0 && len(n.Cleared) == 0 }

// Bounds of what is told.
const (
	// newsMost bounds the requests in one message, which then fits one packet.
	newsMost = 18
	// endsEach is how many requests under which a process ended are told a second at most,
	// and waitMost how long one waits for its turn.
	endsEach = 18
	waitMost = 3 * time.Second
	// repeatFor is how long news is told again, with each heartbeat that goes to all entries.
	//
	// Guard: datagrams are lost, one in some hundreds and more on a full link. An entry that
	// missed one went on sending what all others refuse.
	repeatFor = 5 * time.Second
	// recentMost bounds the verdicts that are told again.
	recentMost = 64
	// timesMost bounds how often a request can have been held in the life of a process.
	timesMost = 1 << 16
)

// Check reports figures that cannot be.
func (n *News) Check() error {
	if n == nil {
		return nil
	}
	for _, e := range n.Ends {
		if e.Age < 0 || e.Process.Server == "" {
			return fmt.Errorf("end of process %q %v ago: expected a server and a time gone by", e.Process.Server, e.Age)
		}
	}
	for _, h := range n.Holds {
		if h.Age < 0 || h.Times < 1 || h.Times > timesMost {
			return fmt.Errorf("request held %d times, last %v ago: expected 1 to %d times and a time gone by", h.Times, h.Age, timesMost)
		}
	}
	for _, c := range n.Cleared {
		if c.Age < 0 {
			return fmt.Errorf("request cleared %v ago: expected a time gone by", c.Age)
		}
	}
	return nil
}

// Take takes another entry's news, and returns what that entry does not know: which of the
// requests under which servers ended were answered here lately.
//
// Guard: an entry that was cut off comes back with what it believed before. A request
// that was answered meanwhile would be refused again; what is older than that is dropped.
func (t *Table) Take(news *News, now time.Duration) []News {
	for _, c := range news.Cleared {
		t.takeCleared(c, now-c.Age)
	}
	var reply News
	for _, told := range news.Ends {
		if told.Age >= t.config.Evidence {
			continue
		}
		e := t.endAt(told.Process, now-told.Age, now)
		for _, request := range told.Requests {
			if t.trusted(request, now) {
				at, _ := t.answered.at(request)
				reply.Cleared = append(reply.Cleared, Clearing{Request: request, At: at})
			}
			t.mark(request, e, now)
			if s, ok := t.suspects[request]; ok {
				s.told = true
			}
		}
	}
	for _, h := range news.Holds {
		t.takeHold(h, now-h.Age)
	}
	return reply.messages(now)
}

// takeCleared takes that a request was answered at another entry. What is held since then
// stays held: who held it heard of the answer, or it ended servers after it.
func (t *Table) takeCleared(c Clearing, at time.Duration) {
	t.answered.note(c.Request, at)
	s, ok := t.suspects[c.Request]
	if ok && s.since <= at && (s.times > 0 || s.seen <= at) {
		t.forget(c.Request)
	}
}

// takeHold takes another entry's verdict.
func (t *Table) takeHold(h Hold, at time.Duration) {
	if answered, ok := t.answered.at(h.Request); ok && answered >= at {
		return
	}
	s := t.suspect(h.Request)
	if s.times >= h.Times {
		return
	}
	s.since, s.times, s.told = at, h.Times, true
	for _, e := range s.ends {
		e.explained = true
	}
}

// Verdicts returns the verdicts that this entry made since the last call and that are to be
// kept, and the requests of which none is to be kept any more. Of several entries that made
// the same one, those that had the request at the last end keep it.
func (t *Table) Verdicts() (made []Hold, over []Fingerprint) {
	made, over = t.made, t.over
	t.made, t.over = nil, nil
	return made, over
}

// Restore takes verdicts that were kept, and returns the requests whose time is past.
func (t *Table) Restore(kept []Hold, now time.Duration) []Fingerprint {
	var past []Fingerprint
	for _, h := range kept {
		t.takeHold(h, now-h.Age)
		if s, ok := t.suspects[h.Request]; ok && s.since == now-h.Age && !t.held(s, now) {
			t.forget(h.Request)
			past = append(past, h.Request)
		}
	}
	return past
}

// told is what this entry told, and when.
type told struct {
	news News
	at   time.Duration
}

// tell notes what the others are to hear.
func (t *Table) tell(news News, now time.Duration) {
	t.fresh.add(news)
	t.told = append(t.told, told{news, now})
	t.told = t.told[max(len(t.told)-recentMost, 0):]
}

func (n *News) add(more News) {
	for _, e := range more.Ends {
		at := slices.IndexFunc(n.Ends, func(have End) bool { return have.Process == e.Process && have.At == e.At })
		if at < 0 {
			n.Ends = append(n.Ends, End{Process: e.Process, At: e.At, Requests: slices.Clone(e.Requests)})
			continue
		}
		n.Ends[at].Requests = append(n.Ends[at].Requests, e.Requests...)
	}
	n.Holds = append(n.Holds, more.Holds...)
	n.Cleared = append(n.Cleared, more.Cleared...)
}

func (n *News) addMine(all []mine) {
	for _, m := range all {
		n.add(News{Ends: []End{{Process: m.end.process, At: m.end.at, Requests: []Fingerprint{m.request}}}})
	}
}

// Fresh returns what has come up since the last call, in messages.
func (t *Table) Fresh(now time.Duration) []News {
	fresh := t.fresh
	t.fresh = News{}
	fresh.addMine(t.nextEnds(now))
	return fresh.messages(now)
}

// nextEnds returns the ends that are told now, those first that say most.
//
// Guard: with a data centre each entry loses hundreds of requests in one moment; told of
// each, a hundred entries fill the links between regions for seconds. What ends servers one
// by one is soon there for the second time, and goes first.
func (t *Table) nextEnds(now time.Duration) []mine {
	t.allowed = min(t.allowed+endsEach*(now-t.allowedAt).Seconds(), endsEach)
	t.allowedAt = now
	t.waiting = slices.DeleteFunc(t.waiting, func(m mine) bool { return now-m.at >= waitMost || t.suspects[m.request] == nil })
	t.sortMine(t.waiting)
	n := min(int(t.allowed), len(t.waiting))
	next := slices.Clone(t.waiting[:n])
	t.waiting = t.waiting[n:]
	t.allowed -= float64(n)
	for i := range next {
		next[i].at = now
		t.suspects[next[i].request].told = true
	}
	t.toldEnds = append(t.toldEnds, next...)
	return next
}

// sortMine puts requests first under which most processes have ended.
func (t *Table) sortMine(all []mine) {
	ends := func(m mine) int {
		if s, ok := t.suspects[m.request]; ok {
			return len(s.ends)
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b mine) int { return cmp.Compare(ends(b), ends(a)) })
}

// Recent returns what this entry has told lately, in messages.
func (t *Table) Recent(now time.Duration) []News {
	t.told = slices.DeleteFunc(t.told, func(old told) bool { return now-old.at >= repeatFor })
	t.toldEnds = slices.DeleteFunc(t.toldEnds, func(m mine) bool { return now-m.at >= repeatFor })
	var all News
	for _, old := range t.told {
		all.add(old.news)
	}
	again := slices.Clone(t.toldEnds)
	t.sortMine(again)
	all.addMine(again[:min(len(again), newsMost)])
	return all.messages(now)
}

// Holds returns the requests that are held, in messages.
func (t *Table) Holds(now time.Duration) []News {
	var all News
	for request, s := range t.suspects {
		if t.held(s, now) {
			all.Holds = append(all.Holds, Hold{Request: request, At: s.since, Times: s.times})
		}
	}
	return all.messages(now)
}

// Digest differs between tables that hold different requests; 0 if none is held.
func (t *Table) Digest(now time.Duration) uint64 {
	sum := uint64(0)
	for request, s := range t.suspects {
		if t.held(s, now) {
			sum ^= bits.RotateLeft64(request.Head(), 1) ^ uint64(request[headBytes])
		}
	}
	return sum
}

// messages splits news into messages, and tells times as ages.
func (n *News) messages(now time.Duration) []News {
	var all []News
	current, size := News{}, 0
	room := func() {
		if size == newsMost {
			all, current, size = append(all, current), News{}, 0
		}
		size++
	}
	for _, e := range n.Ends {
		for _, request := range e.Requests {
			room()
			e.Age = now - e.At
			current.add(News{Ends: []End{{Process: e.Process, At: e.At, Requests: []Fingerprint{request}}}})
		}
	}
	for _, h := range n.Holds {
		room()
		current.Holds = append(current.Holds, h)
	}
	for _, c := range n.Cleared {
		room()
		current.Cleared = append(current.Cleared, c)
	}
	if !current.Empty() {
		all = append(all, current)
	}
	for i := range all {
		all[i].age(now)
	}
	return all
}

func (n *News) age(now time.Duration) {
	for i := range n.Ends {
		n.Ends[i].Age = max(now-n.Ends[i].At, 0)
	}
	for i := range n.Holds {
		n.Holds[i].Age = max(now-n.Holds[i].At, 0)
	}
	for i := range n.Cleared {
		n.Cleared[i].Age = max(now-n.Cleared[i].At, 0)
	}
}
