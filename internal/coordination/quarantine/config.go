package quarantine

import (
	"time"
)

// Config holds the thresholds and timing settings of a Table.
type Config struct {
	// MinCrashes is how many processes must have crashed under a request before it is held.
	// CertainCrashes are enough even if another request was in flight at each of them.
	MinCrashes     int
	CertainCrashes int
	// PropagationDelay is the time after a crash within which all entries have reported the
	// requests that they had in flight there.
	PropagationDelay time.Duration
	// CorrelationWindow is the maximum time between the failures of one process's last
	// answers.
	CorrelationWindow time.Duration
	// DetectionTimeout is how long after a failed attempt the crash of its process can be
	// detected. It is also the minimum time between two crashes of processes with the same
	// name.
	DetectionTimeout time.Duration
	// AnswerTTL is how long an answer counts in favour of a request. For a request that was
	// answered within this time, crashes within CorrelationWindow count once and crashes
	// before its latest answer do not count.
	AnswerTTL time.Duration
	// HoldDuration is how long a request is held the first time. It doubles with each further
	// hold, up to MaxHoldDuration.
	HoldDuration    time.Duration
	MaxHoldDuration time.Duration
	// SuspectTTL is how long after its last crash a request is suspected that was never held.
	SuspectTTL time.Duration
	// MaxEntries bounds the number of suspects, and the number of recorded answers.
	MaxEntries int
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{
		// Two hosts may crash one after the other under a request that is not the cause.
		MinCrashes: 3, CertainCrashes: 5,
		// Covers datagrams between regions, one of them late.
		PropagationDelay:  150 * time.Millisecond,
		CorrelationWindow: time.Second,
		// A process restarts and writes its row within seconds.
		DetectionTimeout: 6 * time.Second,
		AnswerTTL:        time.Minute,
		HoldDuration:     5 * time.Minute, MaxHoldDuration: 24 * time.Hour,
		SuspectTTL: 10 * time.Minute,
		// The number of requests that an entry answers in a minute. They take a megabyte in
		// total.
		MaxEntries: 4096,
	}
}
