package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/liveness"
)

// Process is one process of a backend server.
type Process struct {
	Server string `cbor:"1,keyasint"`
	// Boot is 0 if the server does not report it.
	Boot catalog.Boot `cbor:"2,keyasint,omitempty"`
}

// Attempt is a request at a process that got no complete answer.
type Attempt struct {
	Request *Request
	Process Process
	// Sent is when the request was sent.
	Sent time.Duration
	// Begun is true if the first event of the answer had arrived.
	Begun bool
	// ClosedByServer is true if the server's side closed the connection, and false if this entry
	// cancelled the attempt.
	ClosedByServer bool
}

// failedAttempt is an attempt with the time at which it failed.
type failedAttempt struct {
	Attempt
	at time.Duration
}

// inFlight is a request that was in flight at a crash.
type inFlight struct {
	*Request
	// begun is true if its answer had begun. Such a request did not crash the process as it began,
	// so that its parts are not suspected.
	begun bool
	// sent is when this entry sent it; 0 if another entry did.
	sent time.Duration
}

// crash is a process that ended with requests in flight.
type crash struct {
	process Process
	at      time.Duration
	// causes are features that are or were held and that a request in flight had.
	causes []cause
	// requests are those that were in flight at all entries, and local those of this entry. It
	// reports them to the other entries.
	requests []inFlight
	local    []inFlight
}

// cause is a held feature that explains a crash.
type cause struct {
	feature Feature
	kind    Kind
}

// maxCrashRequests bounds the requests that are kept of one crash. It is more than a process runs.
const maxCrashRequests = 128

// add adds a request that was in flight.
func (c *crash) add(f inFlight) {
	at := slices.IndexFunc(c.requests, func(known inFlight) bool { return known.Fingerprint == f.Fingerprint })
	if at < 0 {
		if len(c.requests) < maxCrashRequests {
			c.requests = append(c.requests, f)
		}
		return
	}
	known := &c.requests[at]
	known.begun = known.begun && f.begun
	if missing := slices.DeleteFunc(slices.Clone(f.Parts), func(id PartID) bool { return slices.Contains(known.Parts, id) }); len(missing) > 0 {
		known.Request = &Request{Fingerprint: f.Fingerprint, Organisation: f.Organisation, Parts: slices.Concat(known.Parts, missing)}
	}
}

// hasLocal reports whether a request of this entry with a feature may have caused the crash.
func (c *crash) hasLocal(f Feature, kind Kind) bool {
	return slices.ContainsFunc(c.local, func(r inFlight) bool { return r.mayCause(kind) && r.Has(f, kind) })
}

// mayCause reports whether the request counts as a cause of the crash by features of a kind.
func (r inFlight) mayCause(kind Kind) bool { return kind == KindRequest || !r.begun }

// Table tracks, at one entry, what crashes the processes that run requests. It is not safe for
// concurrent use. Times are read from one monotonic clock.
//
// Each entry reports to the others which requests it had in flight at a crash. What causes the
// crashes is in flight at each of them and is never answered, and everything else only by chance.
// A crash that a held feature explains does not count against others. All entries reach the same
// decision.
type Table struct {
	config Config
	// failures holds attempts at processes that may have crashed.
	failures map[Process][]failedAttempt
	// alive is when a process last gave a sign of life.
	alive map[Process]time.Duration
	// crashes holds the latest crash of each process, for DetectionTimeout.
	crashes  map[Process]*crash
	suspects map[Feature]*suspect
	// suspectHashes counts suspected requests by the metadata hash of their fingerprints, and
	// suspectParts lists the other suspects by part.
	suspectHashes map[uint64]int
	suspectParts  map[PartID][]Feature
	// answered holds the answers to requests, and answeredParts those to parts of any organisation.
	answered      answerLog
	answeredParts answerLog
	// lastBegun is when an answer to a request with parts last began here.
	lastBegun time.Duration
	// lastAnswered is when an answer to any request last began or ended here.
	lastAnswered time.Duration
	// crashAddedAt is when a crash was last added to a suspect. The field undecided is true
	// until a decision was made late enough to include all entries' reports on it.
	crashAddedAt time.Duration
	undecided    bool
	prunedAt     time.Duration
	// peersKnownAt is when the other entries became known, and unknown until then.
	peersKnownAt time.Duration
	// unsent and unsentCrashes have not been sent to other entries yet. sent and sentCrashes
	// were sent within resendDuration.
	unsent        CrashReport
	unsentCrashes []localCrash
	sent          []sentReport
	sentCrashes   []localCrash
	// newHolds are holds of this entry to be written to the store. cleared are features whose
	// holds are to be deleted from it.
	newHolds []Hold
	cleared  []Feature
	// crashTokens is how many crashes may be reported, as of tokensUpdatedAt.
	crashTokens     float64
	tokensUpdatedAt time.Duration
}

// New returns a table without suspects.
func New(config Config) *Table {
	return &Table{config: config, failures: map[Process][]failedAttempt{}, alive: map[Process]time.Duration{}, crashes: map[Process]*crash{},
		suspects: map[Feature]*suspect{}, suspectHashes: map[uint64]int{}, suspectParts: map[PartID][]Feature{},
		answered: newAnswerLog(config.MaxEntries), answeredParts: newAnswerLog(config.MaxEntries), lastBegun: never, lastAnswered: never, peersKnownAt: never}
}

// unknown is after all times.
const unknown = time.Duration(math.MaxInt64)

// SetPeersKnown records whether the other entries are known, which they are by default. Until they
// are, nothing is reported or decided.
//
// An entry that has just started lacks the answers of the others, and gets them as replies to its
// reports. Without them, a request that many callers send was held after any three crashes.
func (t *Table) SetPeersKnown(known bool, now time.Duration) {
	switch {
	case !known:
		t.peersKnownAt = unknown
	case t.peersUnknown():
		t.peersKnownAt = now
	}
}

func (t *Table) peersUnknown() bool { return t.peersKnownAt == unknown }

// NoSuspects reports whether nothing is suspected.
func (t *Table) NoSuspects() bool { return len(t.suspects) == 0 }

// MaySuspect reports whether a request with this metadata hash may be suspected. For other
// requests the fingerprint need not be computed.
func (t *Table) MaySuspect(metadataHash uint64) bool { return t.suspectHashes[metadataHash] > 0 }

// SuspectsPart reports whether a part is suspected.
func (t *Table) SuspectsPart(id PartID) bool { return len(t.suspectParts[id]) > 0 }

// maxFailures bounds the failed attempts that are kept of one process. It is more than a
// process runs and queues.
const maxFailures = 256

// RecordFailure records an attempt that got no complete answer.
func (t *Table) RecordFailure(a Attempt, now time.Duration) {
	if c, ok := t.crashes[a.Process]; ok && now-c.at < t.config.CorrelationWindow {
		if a.sentBefore(c.at) {
			t.addLocalCrash(inFlight{a.Request, a.Begun, a.Sent}, c, now)
		}
		return
	}
	failures := t.failures[a.Process]
	if len(failures) >= maxFailures {
		failures = failures[1:]
	}
	t.failures[a.Process] = append(failures, failedAttempt{a, now})
}

// crashTimeTolerance is the difference between the times at which the connections to a process that
// crashed are seen to break, at one entry and at others.
const crashTimeTolerance = 20 * time.Millisecond

// sentBefore reports whether a request can have caused a crash at a time.
//
// Until a crash is known, requests are written to connections that the process has left open. They
// break off too, and were taken for its cause.
func (a *Attempt) sentBefore(crash time.Duration) bool { return a.Sent < crash+crashTimeTolerance }

// RecordAlive records that an answer, or a part of one, arrived from a process.
func (t *Table) RecordAlive(process Process, now time.Duration) { t.alive[process] = now }

// RecordCheck records what a check of a process found. Attempts after whose failure the process still ran
// were not ended by a crash.
func (t *Table) RecordCheck(process Process, check liveness.Check) {
	ran := func(f failedAttempt) bool {
		e := liveness.Exchange{Process: liveness.Process(process), SentAt: f.Sent, EndedAt: f.at}
		return e.Judge(check) == liveness.Alive
	}
	if t.failures[process] = slices.DeleteFunc(t.failures[process], ran); len(t.failures[process]) == 0 {
		delete(t.failures, process)
	}
}

// RecordCrash records that a process was found to have crashed, and returns the requests
// that this entry had in flight there. The time of the crash is when the server first closed a
// connection of this entry without a complete answer and sent nothing more.
func (t *Table) RecordCrash(process Process, now time.Duration) []Attempt {
	at, ok := t.firstClose(process, now)
	if !ok {
		return nil
	}
	c := t.crashAt(process, at, now)
	attempts := make([]Attempt, 0, len(c.local))
	for _, r := range c.local {
		attempts = append(attempts, Attempt{Request: r.Request, Process: process, Begun: r.begun})
	}
	return attempts
}

// firstClose returns when a process first closed a connection without a complete answer, after the
// last sign of life from it.
func (t *Table) firstClose(process Process, now time.Duration) (time.Duration, bool) {
	alive, ok := t.alive[process]
	if !ok {
		alive = never
	}
	for _, f := range t.failures[process] {
		if f.ClosedByServer && now-f.at < t.config.DetectionTimeout && f.at > alive-t.config.SimultaneousWindow {
			return f.at, true
		}
	}
	return 0, false
}

// crashAt returns the crash of a process at a time, and adds it to this entry's requests
// that failed around that time.
func (t *Table) crashAt(process Process, at, now time.Duration) *crash {
	c, ok := t.crashes[process]
	if !ok || at-c.at >= t.config.DetectionTimeout {
		c = &crash{process: process, at: at}
		t.crashes[process] = c
	}
	for _, f := range t.failures[process] {
		if max(f.at-c.at, c.at-f.at) < t.config.CorrelationWindow && f.sentBefore(c.at) {
			t.addLocalCrash(inFlight{f.Request, f.Begun, f.Sent}, c, now)
		}
	}
	delete(t.failures, process)
	return c
}

// addLocalCrash adds a crash to a request that this entry had in flight there.
func (t *Table) addLocalCrash(r inFlight, c *crash, now time.Duration) {
	if slices.ContainsFunc(c.local, func(known inFlight) bool { return known.Fingerprint == r.Fingerprint }) {
		return
	}
	c.local = append(c.local, r)
	t.queueCrash(r, c, now)
	t.addCrash(r, c, now)
	for f, kind := range r.features() {
		if s, ok := t.suspects[f]; ok && s.localAt == 0 && r.mayCause(kind) {
			s.localAt = now
		}
	}
}

// addCrash adds a crash to the features of a request that was in flight there.
func (t *Table) addCrash(r inFlight, c *crash, now time.Duration) {
	c.add(r)
	for f, kind := range r.features() {
		if r.mayCause(kind) {
			t.suspectCrash(f, kind, suspectedCrash{c, r.begun, r.sent, now})
		}
	}
}

// suspectCrash adds a crash to a feature, unless requests with the feature were answered since.
func (t *Table) suspectCrash(f Feature, kind Kind, c suspectedCrash) {
	if t.answeredSince(f, kind, c) {
		return
	}
	s := t.suspectFor(f, kind)
	if !s.addCrash(c) {
		return
	}
	s.lastAdded = c.known
	t.crashAddedAt, t.undecided = c.known, true
	switch {
	case t.held(s, c.known):
		c.causes = append(c.causes, cause{f, kind})
	case s.holdCount > 0:
		t.hold(s, c.known)
	}
}

// RecordBegun records that the first event of a request's answer arrived, which shows that no part
// of its prompt crashes servers as they begin to answer.
//
// Sound requests have parts in common with those that crash servers, and are in flight at most
// crashes. Waiting for the ends of their answers would leave them suspected for seconds.
func (t *Table) RecordBegun(r *Request, now time.Duration) {
	t.lastAnswered = now
	if r.Fingerprint != (Feature{}) {
		t.answered.recordBegun(r.Fingerprint, now)
	}
	if len(r.Parts) == 0 {
		return
	}
	t.lastBegun = now
	for _, id := range r.Parts {
		t.answeredParts.recordBegun(partFeature(anyOrganisation, id), now)
		for _, f := range slices.Clone(t.suspectParts[id]) {
			t.clear(f, now)
		}
	}
}

// RecordAnswer records that a server answered a request completely and continued to run,
// which shows that the request crashes no server.
//
// A request that was in flight at several servers that crashed for other reasons was refused
// although servers answer it. A request that many callers send is in flight at all servers.
func (t *Table) RecordAnswer(fingerprint Feature, now time.Duration) {
	t.lastAnswered = now
	t.answered.recordWhole(fingerprint, now)
	t.clear(fingerprint, now)
}

// clear removes a suspect that was answered, and reports that to the entries that may suspect it.
func (t *Table) clear(f Feature, now time.Duration) {
	s, ok := t.suspects[f]
	if !ok {
		return
	}
	t.remove(f)
	if s.holdCount > 0 {
		t.cleared = append(t.cleared, f)
	}
	// Entries learn of the answers to a part from their own requests, or by a reply to their
	// report. A message for each part of each answer would fill the links.
	if s.reported && (s.kind == KindRequest || s.holdCount > 0 || len(s.crashes) >= t.config.MinCrashes-1) {
		t.queue(CrashReport{Cleared: []Clearance{{Feature: f, Kind: s.kind, At: now}}}, now)
	}
}
