package quarantine

import "time"

// answerLog holds when requests were last answered, for a bounded number of requests.
type answerLog struct {
	times map[Fingerprint]time.Duration
	// order is a ring buffer of the requests by when they were first recorded. The oldest
	// one is at next.
	order []Fingerprint
	next  int
}

func newAnswerLog(maxEntries int) answerLog {
	return answerLog{times: make(map[Fingerprint]time.Duration, maxEntries), order: make([]Fingerprint, maxEntries)}
}

// last returns when a request was last answered. It returns false if that is not recorded.
func (l *answerLog) last(request Fingerprint) (time.Duration, bool) {
	at, ok := l.times[request]
	return at, ok
}

// record records an answer. A new request replaces the one that was recorded first.
func (l *answerLog) record(request Fingerprint, at time.Duration) {
	if old, ok := l.times[request]; ok {
		l.times[request] = max(old, at)
		return
	}
	delete(l.times, l.order[l.next])
	l.times[request], l.order[l.next] = at, request
	l.next = (l.next + 1) % len(l.order)
}
