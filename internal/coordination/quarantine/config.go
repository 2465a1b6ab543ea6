package quarantine

import (
	"time"
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
		// What an entry answers in a minute; a megabyte in all.
		Most: 4096,
	}
}
