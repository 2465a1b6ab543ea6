package quarantine

import "time"

// answers is when requests were last answered, of the latest ones.
type answers struct {
	times map[Fingerprint]time.Duration
	// order has the requests by when they were first noted, from next on.
	order []Fingerprint
	next  int
}

func newAnswers(most int) answers {
	return answers{times: make(map[Fingerprint]time.Duration, most), order: make([]Fingerprint, most)}
}

// at returns when a request was last answered; false if that is not known.
func (a *answers) at(request Fingerprint) (time.Duration, bool) {
	at, ok := a.times[request]
	return at, ok
}

// note notes an answer, and forgets the request that was noted first.
func (a *answers) note(request Fingerprint, at time.Duration) {
	if old, ok := a.times[request]; ok {
		a.times[request] = max(old, at)
		return
	}
	delete(a.times, a.order[a.next])
	a.times[request], a.order[a.next] = at, request
	a.next = (a.next + 1) % len(a.order)
}
