package quarantine

import (
	"time"
)

// Config holds the thresholds and timing settings of a Table.
type Config struct {
	// MinCrashes is how many crashes must count against a feature before it is held.
	// CertainCrashes are enough even if something else explains them too, and hold a part for
	// all organisations.
	MinCrashes     int
	CertainCrashes int
	// PropagationDelay is the time after a crash within which all entries have reported the
	// requests that they had in flight there. ReplyDelay is the time after a crash became known here
	// within which they have replied with their answers.
	PropagationDelay time.Duration
	ReplyDelay       time.Duration
	// CorrelationWindow is the maximum time between the failures of one process's last
	// answers.
	CorrelationWindow time.Duration
	// DetectionTimeout is how long after a failed attempt the crash of its process can be
	// detected. It is also the minimum time between two crashes of processes with the same
	// name.
	DetectionTimeout time.Duration
	// SimultaneousWindow is the time within which crashes count once against a feature. For one
	// that was answered within AnswerTTL, CorrelationWindow is that time.
	SimultaneousWindow time.Duration
	// AnswerTTL is how long a feature counts as answered recently.
	AnswerTTL time.Duration
	// HoldDuration is how long a feature is held the first time. It doubles with each further
	// hold, up to MaxHoldDuration.
	HoldDuration    time.Duration
	MaxHoldDuration time.Duration
	// TrialInterval is the time between the entries' turns to send a request with a feature whose
	// hold has ended.
	TrialInterval time.Duration
	// SuspectTTL is how long after its last crash a feature is suspected that was never held.
	SuspectTTL time.Duration
	// MaxEntries bounds the number of suspects, and the number of features whose
	// answers are recorded, each of requests and of parts.
	MaxEntries int
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{
		// Two hosts may crash one after the other under a request that is not the cause.
		MinCrashes: 3, CertainCrashes: 5,
		// Covers datagrams between regions, one of them late.
		PropagationDelay: 150 * time.Millisecond,
		// A crash is usually known within 50 ms.
		ReplyDelay:        100 * time.Millisecond,
		CorrelationWindow: time.Second,
		// Servers that lose their power together are noticed within the delay of a link.
		SimultaneousWindow: 100 * time.Millisecond,
		// A process restarts and writes its row within seconds.
		DetectionTimeout: 6 * time.Second,
		AnswerTTL:        time.Minute,
		HoldDuration:     5 * time.Minute, MaxHoldDuration: 24 * time.Hour,
		// A crash is detected and reported well within it.
		TrialInterval: 3 * time.Second,
		SuspectTTL:    10 * time.Minute,
		// The number of requests that an entry answers in a minute. They take a megabyte in
		// total.
		MaxEntries: 4096,
	}
}
