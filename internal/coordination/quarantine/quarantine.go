package quarantine

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Process is one process of a backend server.
type Process struct {
	Server string `cbor:"1,keyasint"`
	// Boot is 0 if the server does not report it.
	Boot catalog.Boot `cbor:"2,keyasint,omitempty"`
}

// failedAttempt is an attempt that got no complete answer.
type failedAttempt struct {
	request Fingerprint
	at      time.Duration
	// closedByServer is true if the server's side closed the connection.
	closedByServer bool
}

// crash is a process that ended with requests in flight.
type crash struct {
	process Process
	at      time.Duration
	// attributed is true if a request that is held was in flight at the crash.
	attributed bool
	// local are the requests that this entry had in flight. It reports them to other entries.
	local []Fingerprint
}

// localCrash is a request that this entry had in flight at a crash. The field at is when that
// was recorded, or when it was reported to other entries.
type localCrash struct {
	request Fingerprint
	crash   *crash
	at      time.Duration
}

// Table tracks, at one entry, requests that crash the processes that run them. It is not
// safe for concurrent use. Times are read from one monotonic clock.
//
// Each entry reports to the others which requests it had in flight at a crash. The request
// that causes the crashes is in flight at each of them, and others are only by chance. A
// crash at which a held request was in flight does not count against other requests. All
// entries reach the same decision.
type Table struct {
	config Config
	// failures holds attempts at processes that may have crashed.
	failures map[Process][]failedAttempt
	// crashes holds the latest crash of each process, for DetectionTimeout.
	crashes  map[Process]*crash
	suspects map[Fingerprint]*suspect
	// suspectHashes counts suspects by the metadata hash of their fingerprints.
	suspectHashes map[uint64]int
	answered      answerLog
	// crashAddedAt is when a crash was last added to a suspect. The field undecided is true
	// until a decision was made late enough to include all entries' reports on it.
	crashAddedAt time.Duration
	undecided    bool
	prunedAt     time.Duration
	// unsent and unsentCrashes have not been sent to other entries yet. sent and sentCrashes
	// were sent within resendDuration.
	unsent        CrashReport
	unsentCrashes []localCrash
	sent          []sentReport
	sentCrashes   []localCrash
	// newHolds are holds of this entry to be written to the store. cleared are requests whose
	// holds are to be deleted from it.
	newHolds []Hold
	cleared  []Fingerprint
	// crashTokens is how many crashes may be reported, as of tokensUpdatedAt.
	crashTokens     float64
	tokensUpdatedAt time.Duration
}

// New returns a table without suspects.
func New(config Config) *Table {
	return &Table{config: config, failures: map[Process][]failedAttempt{}, crashes: map[Process]*crash{},
		suspects: map[Fingerprint]*suspect{}, suspectHashes: map[uint64]int{}, answered: newAnswerLog(config.MaxEntries)}
}

// NoSuspects reports whether no request is suspected.
func (t *Table) NoSuspects() bool { return len(t.suspects) == 0 }

// MaySuspect reports whether a request with this metadata hash may be suspected. For other
// requests the fingerprint need not be computed.
func (t *Table) MaySuspect(metadataHash uint64) bool { return t.suspectHashes[metadataHash] > 0 }

// maxFailures bounds the failed attempts that are kept of one process. It is more than a
// process runs and queues.
const maxFailures = 256

// RecordFailure records that an attempt at a process got no complete answer. The parameter
// closedByServer is true if the server's side closed the connection, and false if this entry
// cancelled the attempt.
func (t *Table) RecordFailure(request Fingerprint, process Process, closedByServer bool, now time.Duration) {
	if c, ok := t.crashes[process]; ok && now-c.at < t.config.CorrelationWindow {
		t.addLocalCrash(request, c, now)
		return
	}
	failures := t.failures[process]
	if len(failures) >= maxFailures {
		failures = failures[1:]
	}
	t.failures[process] = append(failures, failedAttempt{request, now, closedByServer})
}

// RecordCrash records that a process was found to have crashed, and returns the requests
// that this entry had in flight there. The time of the crash is when the server last closed
// a connection of this entry without a complete answer.
func (t *Table) RecordCrash(process Process, now time.Duration) []Fingerprint {
	at, ok := t.lastClose(process, now)
	if !ok {
		return nil
	}
	return t.crashAt(process, at, now).local
}

// lastClose returns when a process last closed a connection without a complete answer.
func (t *Table) lastClose(process Process, now time.Duration) (time.Duration, bool) {
	for _, f := range slices.Backward(t.failures[process]) {
		if f.closedByServer && now-f.at < t.config.DetectionTimeout {
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
		if max(f.at-c.at, c.at-f.at) < t.config.CorrelationWindow {
			t.addLocalCrash(f.request, c, now)
		}
	}
	delete(t.failures, process)
	return c
}

// addLocalCrash adds a crash to a request that this entry had in flight there.
func (t *Table) addLocalCrash(request Fingerprint, c *crash, now time.Duration) {
	if slices.Contains(c.local, request) {
		return
	}
	c.local = append(c.local, request)
	t.unsentCrashes = append(t.unsentCrashes, localCrash{request, c, now})
	t.addCrash(request, c, now)
}

// addCrash adds a crash to a request that was in flight there. Crashes before the request's
// latest answer are ignored.
func (t *Table) addCrash(request Fingerprint, c *crash, now time.Duration) {
	if at, ok := t.answered.last(request); ok && at >= c.at {
		return
	}
	s := t.suspectFor(request)
	if slices.Contains(s.crashes, c) {
		return
	}
	s.crashes, s.lastAdded = append(s.crashes, c), now
	t.crashAddedAt, t.undecided = now, true
	switch {
	case t.held(s, now):
		c.attributed = true
	case s.holdCount > 0:
		t.hold(s, now)
	}
}

// RecordAnswer records that a server answered a request completely and continued to run,
// which shows that the request crashes no server.
//
// A request that was in flight at several servers that crashed for other reasons was refused
// although servers answer it. A request that many callers send is in flight at all servers.
func (t *Table) RecordAnswer(request Fingerprint, now time.Duration) {
	t.answered.record(request, now)
	s, ok := t.suspects[request]
	if !ok {
		return
	}
	t.remove(request)
	if s.holdCount > 0 {
		t.cleared = append(t.cleared, request)
	}
	if s.reported {
		t.queue(CrashReport{Cleared: []Clearance{{Request: request, At: now}}}, now)
	}
}
