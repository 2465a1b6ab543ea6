package routing

import "time"

// sendsKept bounds the sends remembered: an engine takes about 12 requests a
// second and a report is 0.3 s old, so 64 are some seconds of one entry's.
const sendsKept = 64

// Sends remembers when a router sent requests to one host, so that a report
// that is some time old can be corrected by what was sent since it was taken.
type Sends struct {
	times [sendsKept]time.Duration
	total uint64
}

// Add notes a send. Times are of one steady clock and never fall.
func (s *Sends) Add(now time.Duration) {
	s.times[s.total%sendsKept] = now
	s.total++
}

// Since returns how many sends were made at or after a time, as far as they are
// remembered.
func (s *Sends) Since(t time.Duration) int { return int(s.total - s.Before(t)) }

// Before returns how many sends were made before a time. Sends that are no
// longer remembered count as made before it.
func (s *Sends) Before(t time.Duration) uint64 {
	before := s.total
	for before > 0 && s.total-before < sendsKept && s.times[(before-1)%sendsKept] >= t {
		before--
	}
	return before
}
