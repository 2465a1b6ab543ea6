package quarantine

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"
)

// CrashReport is a message from one entry to others. Age is how long ago an item occurred
// when the message was made. At is the same time by the clock of the local table and is not
// sent.
type CrashReport struct {
	Crashes []Crash     `cbor:"1,keyasint,omitempty"`
	Holds   []Hold      `cbor:"2,keyasint,omitempty"`
	Cleared []Clearance `cbor:"3,keyasint,omitempty"`
	// Withdrawn are features whose holds something wider explains.
	Withdrawn []Clearance `cbor:"4,keyasint,omitempty"`
}

// Crash is the crash of a process with the requests that the sender had in flight there.
type Crash struct {
	Process Process       `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	// Requests are the fingerprints of the requests.
	Requests []Feature `cbor:"3,keyasint"`
	// Pending are those requests whose answers had not begun.
	Pending []Pending     `cbor:"4,keyasint,omitempty"`
	At      time.Duration `cbor:"-"`
}

// Pending is a request whose answer had not begun at a crash.
type Pending struct {
	// Index is the position of the request in the crash's Requests.
	Index int `cbor:"1,keyasint"`
	// Organisation is 0 if there are no parts.
	Organisation uint64   `cbor:"2,keyasint,omitempty"`
	Parts        []PartID `cbor:"3,keyasint,omitempty"`
}

// Hold is a feature whose requests must be sent to no server.
type Hold struct {
	Feature Feature       `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	// Count is how often the feature has been held, at least 1.
	Count int           `cbor:"3,keyasint"`
	Kind  Kind          `cbor:"4,keyasint,omitempty"`
	At    time.Duration `cbor:"-"`
}

// Clearance is a feature whose requests were answered, or whose hold was withdrawn, and that the
// receivers may suspect.
type Clearance struct {
	Feature Feature       `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	Kind    Kind          `cbor:"3,keyasint,omitempty"`
	At      time.Duration `cbor:"-"`
}

// Empty reports whether the report has no items.
func (r *CrashReport) Empty() bool {
	return len(r.Crashes) == 0 && len(r.Holds) == 0 && len(r.Cleared) == 0 && len(r.Withdrawn) == 0
}

// Limits of what is sent.
const (
	// maxMessageBytes bounds a message so that it fits in one packet. requestBytes, pendingBytes and
	// partBytes are upper limits of what is added to it by one request, hold or clearance, by one
	// request with parts, and by one part.
	maxMessageBytes = 1200
	requestBytes    = 66
	pendingBytes    = 22
	partBytes       = 18
	// maxCrashesPerSecond bounds how many requests that were in flight at crashes are reported
	// in a second. maxQueueTime is how long such a request is queued before it is dropped.
	maxCrashesPerSecond = 18
	maxQueueTime        = 3 * time.Second
	// answeredPartDelay is how long the report of a part is delayed that this entry got answers
	// to. Most parts are answered again before that, and are not reported.
	answeredPartDelay = 300 * time.Millisecond
	// resendDuration is how long a report is sent again, with each heartbeat that goes to all
	// entries.
	//
	// Datagrams are lost, one in some hundreds and more on a full link. An entry that missed
	// one continued to send requests that all others refuse.
	resendDuration = 5 * time.Second
	// maxResent bounds the requests that are sent again with one heartbeat, and maxSentReports
	// the reports of holds and clearances.
	maxResent      = 18
	maxSentReports = 64
	// maxHoldCount bounds how often a feature can have been held in the lifetime of a process.
	maxHoldCount = 1 << 16
)

// Validate returns an error if a value in the report is out of range.
func (r *CrashReport) Validate() error {
	if r == nil {
		return nil
	}
	for _, c := range r.Crashes {
		if c.Age < 0 || c.Process.Server == "" {
			return fmt.Errorf("crash of process %q with age %v: expected a server name and an age of at least 0", c.Process.Server, c.Age)
		}
		for _, p := range c.Pending {
			if p.Index < 0 || p.Index >= len(c.Requests) || len(p.Parts) > MaxParts {
				return fmt.Errorf("pending request %d of %d with %d parts: expected one of the requests and at most %d parts", p.Index, len(c.Requests), len(p.Parts), MaxParts)
			}
		}
	}
	for _, h := range r.Holds {
		if h.Age < 0 || h.Count < 1 || h.Count > maxHoldCount || !h.Kind.valid() {
			return fmt.Errorf("feature of kind %d held %d times, last with age %v: expected a known kind, 1 to %d times and an age of at least 0", h.Kind, h.Count, h.Age, maxHoldCount)
		}
	}
	for _, c := range slices.Concat(r.Cleared, r.Withdrawn) {
		if c.Age < 0 || !c.Kind.valid() {
			return fmt.Errorf("feature of kind %d cleared with age %v: expected a known kind and an age of at least 0", c.Kind, c.Age)
		}
	}
	return nil
}

func (k Kind) valid() bool { return k >= KindRequest && k <= KindPart }

// Merge adds another entry's report. It returns the clearances that the sender lacks, for
// those of its features that were in flight at a crash and that were answered here recently.
//
// An entry that was partitioned from the others comes back with outdated state, and a request
// that was answered in the meantime would be refused again. Crashes and holds from before the
// answer are therefore ignored.
func (t *Table) Merge(report *CrashReport, now time.Duration) []CrashReport {
	for _, c := range report.Cleared {
		t.mergeClearance(c, now-c.Age)
	}
	for _, w := range report.Withdrawn {
		if s, ok := t.suspects[w.Feature]; ok && s.holdCount > 0 && s.heldAt <= now-w.Age {
			t.remove(w.Feature)
		}
	}
	var reply CrashReport
	for _, received := range report.Crashes {
		if received.Age >= t.config.DetectionTimeout {
			continue
		}
		c := t.crashAt(received.Process, now-received.Age, now)
		for _, r := range received.inFlight() {
			reply.Cleared = append(reply.Cleared, t.clearancesFor(r, c, now)...)
			t.addCrash(r, c, now)
			t.markReported(r.Request)
		}
	}
	for _, h := range report.Holds {
		if answeredAt, ok := t.mergeHold(h, now-h.Age); !ok {
			reply.Cleared = append(reply.Cleared, Clearance{Feature: h.Feature, Kind: h.Kind, At: answeredAt})
		}
	}
	return reply.split(now)
}

// inFlight returns the requests of a received crash.
func (c *Crash) inFlight() []inFlight {
	requests := make([]inFlight, 0, len(c.Requests))
	for _, f := range c.Requests {
		requests = append(requests, inFlight{Request: &Request{Fingerprint: f}, begun: true})
	}
	for _, p := range c.Pending {
		requests[p.Index] = inFlight{Request: &Request{Fingerprint: c.Requests[p.Index], Organisation: p.Organisation, Parts: p.Parts}}
	}
	return requests
}

// clearancesFor returns the features of a request in flight at another entry that were answered
// here: the request recently, or a part since the crash.
func (t *Table) clearancesFor(r inFlight, c *crash, now time.Duration) []Clearance {
	var cleared []Clearance
	if t.recentlyAnswered(r.Fingerprint, KindRequest, now) {
		cleared = append(cleared, Clearance{Feature: r.Fingerprint, At: t.answered.last(r.Fingerprint).whole})
	}
	for _, id := range r.Parts {
		f := partFeature(anyOrganisation, id)
		if at := t.answeredParts.last(f).begun; at >= c.at {
			cleared = append(cleared, Clearance{Feature: f, Kind: KindPart, At: at})
		}
	}
	return cleared
}

// markReported records that other entries may suspect what a request has.
func (t *Table) markReported(r *Request) {
	for f := range r.features() {
		if s, ok := t.suspects[f]; ok {
			s.reported = true
		}
	}
}

// mergeClearance records that a feature was answered at another entry. A feature that was
// held after the answer stays held: the entry that held it had received the answer, or its
// requests crashed servers after it.
func (t *Table) mergeClearance(c Clearance, at time.Duration) {
	if c.Kind == KindRequest {
		t.answered.recordWhole(c.Feature, at)
		t.removeAnswered(c.Feature, at)
		return
	}
	id := c.Feature.part()
	t.answeredParts.recordBegun(partFeature(anyOrganisation, id), at)
	for _, f := range slices.Clone(t.suspectParts[id]) {
		t.removeAnswered(f, at)
	}
}

// removeAnswered removes a suspect whose crashes and holds are from before an answer.
func (t *Table) removeAnswered(f Feature, at time.Duration) {
	s, ok := t.suspects[f]
	if ok && s.heldAt <= at && (s.holdCount > 0 || s.lastAdded <= at) {
		t.remove(f)
	}
}

// mergeHold applies another entry's hold. If requests with the feature were answered since, it
// returns when, and false.
func (t *Table) mergeHold(h Hold, at time.Duration) (time.Duration, bool) {
	a := t.lastAnswer(h.Feature, h.Kind)
	answeredAt := a.whole
	if h.Kind != KindRequest {
		answeredAt = a.begun
	}
	if answeredAt >= at {
		return answeredAt, false
	}
	s := t.suspectFor(h.Feature, h.Kind)
	if s.holdCount >= h.Count {
		return 0, true
	}
	s.heldAt, s.holdCount, s.reported = at, h.Count, true
	t.attribute(s)
	t.withdrawInstances(s, at)
	return 0, true
}

// TakeStoreChanges returns the holds to write to the store and the requests whose holds are
// to be deleted from it, and resets both. If several entries make the same hold, those that
// had the request in flight at its last crash write it.
func (t *Table) TakeStoreChanges() (newHolds []Hold, cleared []Feature) {
	newHolds, cleared = t.newHolds, t.cleared
	t.newHolds, t.cleared = nil, nil
	return newHolds, cleared
}

// StoreAgain queues all current holds to be written to the store, which may have lost them.
func (t *Table) StoreAgain(now time.Duration) {
	t.newHolds = nil
	for _, s := range t.suspects {
		if t.held(s, now) {
			t.newHolds = append(t.newHolds, s.toHold())
		}
	}
}

// Restore adds holds that were read from the store, and returns the requests whose holds
// have expired.
func (t *Table) Restore(stored []Hold, now time.Duration) []Feature {
	var expired []Feature
	for _, h := range stored {
		t.mergeHold(h, now-h.Age)
		if s, ok := t.suspects[h.Feature]; ok && s.heldAt == now-h.Age && !t.held(s, now) {
			t.remove(h.Feature)
			expired = append(expired, h.Feature)
		}
	}
	return expired
}

func (s *suspect) toHold() Hold {
	return Hold{Feature: s.feature, Kind: s.kind, At: s.heldAt, Count: s.holdCount}
}

// sentReport is a report of holds or clearances that this entry queued for sending, and when.
type sentReport struct {
	report CrashReport
	at     time.Duration
}

// queue queues a report to be sent to the other entries.
func (t *Table) queue(report CrashReport, now time.Duration) {
	t.unsent.add(report)
	t.sent = append(t.sent, sentReport{report, now})
	t.sent = t.sent[max(len(t.sent)-maxSentReports, 0):]
}

// add appends the items of another report. Requests at the same crash are combined.
func (r *CrashReport) add(more CrashReport) {
	for _, c := range more.Crashes {
		at := slices.IndexFunc(r.Crashes, func(known Crash) bool { return known.Process == c.Process && known.At == c.At })
		if at < 0 {
			r.Crashes = append(r.Crashes, Crash{Process: c.Process, At: c.At})
			at = len(r.Crashes) - 1
		}
		known := &r.Crashes[at]
		offset := len(known.Requests)
		known.Requests = append(known.Requests, c.Requests...)
		for _, p := range c.Pending {
			p.Index += offset
			known.Pending = append(known.Pending, p)
		}
	}
	r.Holds = append(r.Holds, more.Holds...)
	r.Cleared = append(r.Cleared, more.Cleared...)
	r.Withdrawn = append(r.Withdrawn, more.Withdrawn...)
}

// localCrash is a request that this entry had in flight at a crash. The field at is when that
// was recorded, or when it was reported to other entries.
type localCrash struct {
	inFlight
	crash *crash
	at    time.Duration
	// after is when it may be reported.
	after time.Duration
}

// queueCrash queues a request that was in flight at a crash to be reported. The parts that this entry
// got answers to are reported later, unless they are answered meanwhile.
//
// Most parts of a request are shared by many others. If each of them was reported at each crash,
// reports would be several times as large, and each entry would reply with its answers.
func (t *Table) queueCrash(r inFlight, c *crash, now time.Duration) {
	if r.begun {
		t.unsentCrashes = append(t.unsentCrashes, localCrash{inFlight{Request: &Request{Fingerprint: r.Fingerprint}, begun: true}, c, now, now})
		return
	}
	early, late := *r.Request, *r.Request
	early.Parts, late.Parts = nil, nil
	for _, id := range r.Parts {
		if t.recentlyAnswered(partFeature(anyOrganisation, id), KindPart, now) {
			late.Parts = append(late.Parts, id)
		} else {
			early.Parts = append(early.Parts, id)
		}
	}
	t.unsentCrashes = append(t.unsentCrashes, localCrash{inFlight{Request: &early}, c, now, now})
	if len(late.Parts) > 0 {
		t.unsentCrashes = append(t.unsentCrashes, localCrash{inFlight{Request: &late}, c, now, now + answeredPartDelay})
	}
}

// report returns the message part for a request in flight at a crash.
func (l *localCrash) report() CrashReport {
	c := Crash{Process: l.crash.process, At: l.crash.at, Requests: []Feature{l.Fingerprint}}
	if !l.begun {
		c.Pending = []Pending{{Parts: l.Parts}}
		if len(l.Parts) > 0 {
			c.Pending[0].Organisation = l.Organisation
		}
	}
	return CrashReport{Crashes: []Crash{c}}
}

func (r *CrashReport) addLocal(all []localCrash) {
	for _, l := range all {
		r.add(l.report())
	}
}

// NewReports returns what is to be sent since the last call, in messages.
func (t *Table) NewReports(now time.Duration) []CrashReport {
	if t.peersUnknown() {
		return nil
	}
	report := t.unsent
	t.unsent = CrashReport{}
	report.addLocal(t.nextCrashes(now))
	return report.split(now)
}

// nextCrashes returns the local crashes that may be reported now. Requests with the most
// crashes come first.
//
// When a data centre fails, hundreds of requests of each entry fail at once. If each of them
// was reported, a hundred entries would fill the links between regions for seconds. A request
// that crashes servers one by one soon has a second crash, and is reported first.
func (t *Table) nextCrashes(now time.Duration) []localCrash {
	t.crashTokens = min(t.crashTokens+maxCrashesPerSecond*(now-t.tokensUpdatedAt).Seconds(), maxCrashesPerSecond)
	t.tokensUpdatedAt = now
	t.unsentCrashes = slices.DeleteFunc(t.unsentCrashes, func(l localCrash) bool { return now-l.at >= maxQueueTime || t.crashCount(l.Request) == 0 })
	t.sortByCrashCount(t.unsentCrashes)
	var next []localCrash
	t.unsentCrashes = slices.DeleteFunc(t.unsentCrashes, func(l localCrash) bool {
		if l.after > now || t.crashTokens < 1 {
			return false
		}
		if l.after > l.at {
			// Only the parts that were not answered meanwhile are still suspected.
			l.Parts = slices.DeleteFunc(l.Parts, func(id PartID) bool { return !t.SuspectsPart(id) })
			if len(l.Parts) == 0 {
				return true
			}
		}
		t.crashTokens--
		l.at = now
		t.markReported(l.Request)
		next = append(next, l)
		return true
	})
	t.sentCrashes = append(t.sentCrashes, next...)
	return next
}

// crashCount returns the most crashes of any suspect that a request has.
func (t *Table) crashCount(r *Request) int {
	most := 0
	for f := range r.features() {
		if s, ok := t.suspects[f]; ok {
			most = max(most, len(s.crashes))
		}
	}
	return most
}

// sortByCrashCount sorts requests by their number of crashes, highest first.
func (t *Table) sortByCrashCount(all []localCrash) {
	slices.SortStableFunc(all, func(a, b localCrash) int { return cmp.Compare(t.crashCount(b.Request), t.crashCount(a.Request)) })
}

// RecentReports returns what this entry sent within resendDuration, in messages.
func (t *Table) RecentReports(now time.Duration) []CrashReport {
	t.sent = slices.DeleteFunc(t.sent, func(old sentReport) bool { return now-old.at >= resendDuration })
	t.sentCrashes = slices.DeleteFunc(t.sentCrashes, func(l localCrash) bool { return now-l.at >= resendDuration })
	var all CrashReport
	for _, old := range t.sent {
		all.add(old.report)
	}
	resend := slices.Clone(t.sentCrashes)
	t.sortByCrashCount(resend)
	all.addLocal(resend[:min(len(resend), maxResent)])
	return all.split(now)
}

// HoldReports returns all requests that are held, in messages.
func (t *Table) HoldReports(now time.Duration) []CrashReport {
	var all CrashReport
	for _, s := range t.suspects {
		if t.held(s, now) {
			all.Holds = append(all.Holds, s.toHold())
		}
	}
	return all.split(now)
}

// Digest returns a value that differs between tables that hold different requests. It is 0
// if no request is held.
func (t *Table) Digest(now time.Duration) uint64 {
	sum := uint64(0)
	for f, s := range t.suspects {
		if t.held(s, now) {
			sum ^= bits.RotateLeft64(f.MetadataHash(), 1) ^ uint64(f[tagBytes])
		}
	}
	return sum
}

// split divides a report into messages and sets the ages.
func (r *CrashReport) split(now time.Duration) []CrashReport {
	var all []CrashReport
	current, size := CrashReport{}, 0
	add := func(item CrashReport, bytes int) {
		if size > 0 && size+bytes > maxMessageBytes {
			all, current, size = append(all, current), CrashReport{}, 0
		}
		size += bytes
		current.add(item)
	}
	for _, c := range r.Crashes {
		pending := make(map[int]Pending, len(c.Pending))
		for _, p := range c.Pending {
			pending[p.Index] = p
		}
		for i, f := range c.Requests {
			one, size := Crash{Process: c.Process, At: c.At, Requests: []Feature{f}}, requestBytes
			if p, ok := pending[i]; ok {
				p.Index = 0
				one.Pending = []Pending{p}
				if len(p.Parts) > 0 {
					size += pendingBytes + partBytes*len(p.Parts)
				}
			}
			add(CrashReport{Crashes: []Crash{one}}, size)
		}
	}
	for _, h := range r.Holds {
		add(CrashReport{Holds: []Hold{h}}, requestBytes)
	}
	for _, c := range r.Cleared {
		add(CrashReport{Cleared: []Clearance{c}}, requestBytes)
	}
	for _, c := range r.Withdrawn {
		add(CrashReport{Withdrawn: []Clearance{c}}, requestBytes)
	}
	if !current.Empty() {
		all = append(all, current)
	}
	for i := range all {
		all[i].setAges(now)
	}
	return all
}

func (r *CrashReport) setAges(now time.Duration) {
	for i := range r.Crashes {
		r.Crashes[i].Age = max(now-r.Crashes[i].At, 0)
	}
	for i := range r.Holds {
		r.Holds[i].Age = max(now-r.Holds[i].At, 0)
	}
	for i := range r.Cleared {
		r.Cleared[i].Age = max(now-r.Cleared[i].At, 0)
	}
	for i := range r.Withdrawn {
		r.Withdrawn[i].Age = max(now-r.Withdrawn[i].At, 0)
	}
}
