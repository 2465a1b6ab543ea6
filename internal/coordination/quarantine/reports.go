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
}

// Crash is the crash of a process with the requests that the sender had in flight there.
type Crash struct {
	Process  Process       `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	Requests []Fingerprint `cbor:"3,keyasint"`
	At       time.Duration `cbor:"-"`
}

// Hold is a request that must be sent to no server.
type Hold struct {
	Request Fingerprint   `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	// Count is how often the request has been held, at least 1.
	Count int           `cbor:"3,keyasint"`
	At    time.Duration `cbor:"-"`
}

// Clearance is a request that was answered and that the receivers may suspect.
type Clearance struct {
	Request Fingerprint   `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
	At      time.Duration `cbor:"-"`
}

// Empty reports whether the report has no items.
func (r *CrashReport) Empty() bool {
	return len(r.Crashes) == 0 && len(r.Holds) == 0 && len(r.Cleared) == 0
}

// Limits of what is sent.
const (
	// maxRequestsPerMessage bounds the requests in one message so that it fits in one packet.
	maxRequestsPerMessage = 18
	// maxCrashesPerSecond bounds how many requests that were in flight at crashes are reported
	// in a second. maxQueueTime is how long such a request is queued before it is dropped.
	maxCrashesPerSecond = 18
	maxQueueTime        = 3 * time.Second
	// resendDuration is how long a report is sent again, with each heartbeat that goes to all
	// entries.
	//
	// Datagrams are lost, one in some hundreds and more on a full link. An entry that missed
	// one continued to send requests that all others refuse.
	resendDuration = 5 * time.Second
	// maxSentReports bounds the reports of holds and clearances that are sent again.
	maxSentReports = 64
	// maxHoldCount bounds how often a request can have been held in the lifetime of a process.
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
	}
	for _, h := range r.Holds {
		if h.Age < 0 || h.Count < 1 || h.Count > maxHoldCount {
			return fmt.Errorf("request held %d times, last with age %v: expected 1 to %d times and an age of at least 0", h.Count, h.Age, maxHoldCount)
		}
	}
	for _, c := range r.Cleared {
		if c.Age < 0 {
			return fmt.Errorf("request cleared with age %v: expected an age of at least 0", c.Age)
		}
	}
	return nil
}

// Merge adds another entry's report. It returns the clearances that the sender lacks, for
// those of its requests that were in flight at a crash and that were answered here recently.
//
// An entry that was partitioned from the others comes back with outdated state, and a request
// that was answered in the meantime would be refused again. Crashes and holds from before the
// answer are therefore ignored.
func (t *Table) Merge(report *CrashReport, now time.Duration) []CrashReport {
	for _, c := range report.Cleared {
		t.mergeClearance(c, now-c.Age)
	}
	var reply CrashReport
	for _, received := range report.Crashes {
		if received.Age >= t.config.DetectionTimeout {
			continue
		}
		c := t.crashAt(received.Process, now-received.Age, now)
		for _, request := range received.Requests {
			if t.recentlyAnswered(request, now) {
				at, _ := t.answered.last(request)
				reply.Cleared = append(reply.Cleared, Clearance{Request: request, At: at})
			}
			t.addCrash(request, c, now)
			if s, ok := t.suspects[request]; ok {
				s.reported = true
			}
		}
	}
	for _, h := range report.Holds {
		t.mergeHold(h, now-h.Age)
	}
	return reply.split(now)
}

// mergeClearance records that a request was answered at another entry. A request that was
// held after the answer stays held: the entry that held it had received the answer, or the
// request crashed servers after it.
func (t *Table) mergeClearance(c Clearance, at time.Duration) {
	t.answered.record(c.Request, at)
	s, ok := t.suspects[c.Request]
	if ok && s.heldAt <= at && (s.holdCount > 0 || s.lastAdded <= at) {
		t.remove(c.Request)
	}
}

// mergeHold applies another entry's hold.
func (t *Table) mergeHold(h Hold, at time.Duration) {
	if answeredAt, ok := t.answered.last(h.Request); ok && answeredAt >= at {
		return
	}
	s := t.suspectFor(h.Request)
	if s.holdCount >= h.Count {
		return
	}
	s.heldAt, s.holdCount, s.reported = at, h.Count, true
	for _, c := range s.crashes {
		c.attributed = true
	}
}

// TakeStoreChanges returns the holds to write to the store and the requests whose holds are
// to be deleted from it, and resets both. If several entries make the same hold, those that
// had the request in flight at its last crash write it.
func (t *Table) TakeStoreChanges() (newHolds []Hold, cleared []Fingerprint) {
	newHolds, cleared = t.newHolds, t.cleared
	t.newHolds, t.cleared = nil, nil
	return newHolds, cleared
}

// StoreAgain queues all current holds to be written to the store, which may have lost them.
func (t *Table) StoreAgain(now time.Duration) {
	t.newHolds = nil
	for request, s := range t.suspects {
		if t.held(s, now) {
			t.newHolds = append(t.newHolds, Hold{Request: request, At: s.heldAt, Count: s.holdCount})
		}
	}
}

// Restore adds holds that were read from the store, and returns the requests whose holds
// have expired.
func (t *Table) Restore(stored []Hold, now time.Duration) []Fingerprint {
	var expired []Fingerprint
	for _, h := range stored {
		t.mergeHold(h, now-h.Age)
		if s, ok := t.suspects[h.Request]; ok && s.heldAt == now-h.Age && !t.held(s, now) {
			t.remove(h.Request)
			expired = append(expired, h.Request)
		}
	}
	return expired
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
			r.Crashes = append(r.Crashes, Crash{Process: c.Process, At: c.At, Requests: slices.Clone(c.Requests)})
			continue
		}
		r.Crashes[at].Requests = append(r.Crashes[at].Requests, c.Requests...)
	}
	r.Holds = append(r.Holds, more.Holds...)
	r.Cleared = append(r.Cleared, more.Cleared...)
}

func (r *CrashReport) addLocal(all []localCrash) {
	for _, l := range all {
		r.add(CrashReport{Crashes: []Crash{{Process: l.crash.process, At: l.crash.at, Requests: []Fingerprint{l.request}}}})
	}
}

// NewReports returns what is to be sent since the last call, in messages.
func (t *Table) NewReports(now time.Duration) []CrashReport {
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
	t.unsentCrashes = slices.DeleteFunc(t.unsentCrashes, func(l localCrash) bool { return now-l.at >= maxQueueTime || t.suspects[l.request] == nil })
	t.sortByCrashCount(t.unsentCrashes)
	n := min(int(t.crashTokens), len(t.unsentCrashes))
	next := slices.Clone(t.unsentCrashes[:n])
	t.unsentCrashes = t.unsentCrashes[n:]
	t.crashTokens -= float64(n)
	for i := range next {
		next[i].at = now
		t.suspects[next[i].request].reported = true
	}
	t.sentCrashes = append(t.sentCrashes, next...)
	return next
}

// sortByCrashCount sorts requests by their number of crashes, highest first.
func (t *Table) sortByCrashCount(all []localCrash) {
	count := func(l localCrash) int {
		if s, ok := t.suspects[l.request]; ok {
			return len(s.crashes)
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b localCrash) int { return cmp.Compare(count(b), count(a)) })
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
	all.addLocal(resend[:min(len(resend), maxRequestsPerMessage)])
	return all.split(now)
}

// HoldReports returns all requests that are held, in messages.
func (t *Table) HoldReports(now time.Duration) []CrashReport {
	var all CrashReport
	for request, s := range t.suspects {
		if t.held(s, now) {
			all.Holds = append(all.Holds, Hold{Request: request, At: s.heldAt, Count: s.holdCount})
		}
	}
	return all.split(now)
}

// Digest returns a value that differs between tables that hold different requests. It is 0
// if no request is held.
func (t *Table) Digest(now time.Duration) uint64 {
	sum := uint64(0)
	for request, s := range t.suspects {
		if t.held(s, now) {
			sum ^= bits.RotateLeft64(request.MetadataHash(), 1) ^ uint64(request[metadataHashBytes])
		}
	}
	return sum
}

// split divides a report into messages and sets the ages.
func (r *CrashReport) split(now time.Duration) []CrashReport {
	var all []CrashReport
	current, size := CrashReport{}, 0
	reserve := func() {
		if size == maxRequestsPerMessage {
			all, current, size = append(all, current), CrashReport{}, 0
		}
		size++
	}
	for _, c := range r.Crashes {
		for _, request := range c.Requests {
			reserve()
			c.Age = now - c.At
			current.add(CrashReport{Crashes: []Crash{{Process: c.Process, At: c.At, Requests: []Fingerprint{request}}}})
		}
	}
	for _, h := range r.Holds {
		reserve()
		current.Holds = append(current.Holds, h)
	}
	for _, c := range r.Cleared {
		reserve()
		current.Cleared = append(current.Cleared, c)
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
}
