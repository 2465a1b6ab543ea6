package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trial is a feature whose hold has ended. Its next request shows whether it still crashes servers.
type Trial struct {
	Feature Feature
	Kind    Kind
	// Since is how long ago the hold ended.
	Since time.Duration
}

// Trials returns the features of a request that were held and that may crash servers again.
func (t *Table) Trials(r *Request, now time.Duration) []Trial {
	var trials []Trial
	for f, kind := range r.features() {
		if s, ok := t.suspects[f]; ok && s.holdCount > 0 && !t.held(s, now) {
			trials = append(trials, Trial{f, kind, now - t.heldUntil(s)})
		}
	}
	return trials
}

// maxTrialTurns bounds the turns in which entries try, so that a rare request does not wait for
// hundreds of them. Entries of one turn may try at once.
const maxTrialTurns = 16

// TrialWait returns how long an entry must wait before it may send a request with a feature whose
// hold has ended; 0 if it is its turn. Hosts are those of all live entries.
//
// If all entries tried at once, each of them would crash a server.
func (t *Table) TrialWait(trial Trial, self string, hosts []string) time.Duration {
	before := 0
	own := turnHash(trial.Feature, self)
	for _, host := range hosts {
		if h := turnHash(trial.Feature, host); h < own || h == own && host < self {
			before++
		}
	}
	turns := max(min(len(hosts), maxTrialTurns), 1)
	round, start := time.Duration(turns)*t.config.TrialInterval, time.Duration(before%turns)*t.config.TrialInterval
	wait := (start - trial.Since%round + round) % round
	if round-wait < t.config.TrialInterval {
		return 0
	}
	return wait
}

// turnHash orders hosts, for each feature differently.
func turnHash(f Feature, host string) uint64 { return xxhash.Sum64String(string(f[:]) + host) }
