package quarantine

import "time"

// answer is when requests with a feature were last answered.
type answer struct {
	// begun is when the first event of an answer last arrived, and whole when an answer last
	// ended completely.
	begun, whole time.Duration
}

// answerLog holds when requests with a feature were last answered, for a bounded number of
// features.
type answerLog struct {
	times map[Feature]answer
	// order is a ring buffer of the features by when they were first recorded. The oldest one
	// is at next.
	order []Feature
	next  int
}

// never is before all times.
const never = time.Duration(-1 << 62)

func newAnswerLog(maxEntries int) answerLog {
	return answerLog{times: make(map[Feature]answer, maxEntries), order: make([]Feature, maxEntries)}
}

// last returns when a feature was last answered, which is never if that is not recorded.
func (l *answerLog) last(f Feature) answer {
	if a, ok := l.times[f]; ok {
		return a
	}
	return answer{begun: never, whole: never}
}

// recordBegun records that an answer began. A new feature replaces the one that was recorded first.
func (l *answerLog) recordBegun(f Feature, at time.Duration) {
	a := l.last(f)
	a.begun = max(a.begun, at)
	l.set(f, a)
}

// recordWhole records that an answer ended completely.
func (l *answerLog) recordWhole(f Feature, at time.Duration) {
	a := l.last(f)
	a.begun, a.whole = max(a.begun, at), max(a.whole, at)
	l.set(f, a)
}

func (l *answerLog) set(f Feature, a answer) {
	if _, ok := l.times[f]; !ok {
		delete(l.times, l.order[l.next])
		l.order[l.next] = f
		l.next = (l.next + 1) % len(l.order)
	}
	l.times[f] = a
}
