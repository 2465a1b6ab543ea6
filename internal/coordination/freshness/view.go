package freshness

import "time"

const (
	// OutageTTL is how long after a call that the store left unanswered this process is certainly not in
	// touch with a sound store, and may act on an old view.
	OutageTTL = 2500 * time.Millisecond
	// MaxHold is how long a request waits for the view to be confirmed. It is longer than it takes to learn
	// that the store does not answer.
	MaxHold = 500 * time.Millisecond
)

// View is what a process knows about the age of its view of a table of the store.
type View struct {
	// Limit is the age up to which the view may be acted on while the store answers; 0 means any.
	Limit time.Duration
	// ConfirmedAt is the latest time at which the view was certainly current.
	ConfirmedAt time.Duration
	// UnansweredAt is when this process made the last call that the store did not answer; 0 if the store has
	// answered a later one. What other processes say of the store does not count: it may answer this one.
	UnansweredAt time.Duration
}

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Proceed means that the view may be acted on.
	Proceed Verdict = iota
	// Wait means that the view may be confirmed soon.
	Wait
	// Refuse means that another process is more likely to have a current view.
	Refuse
)

// Judge returns the verdict on a request that arrived at arrivedAt. It was sent before, so a view that was
// confirmed later includes all changes that must be in force for it.
func (v View) Judge(arrivedAt, now time.Duration) Verdict {
	switch {
	case v.Limit <= 0, arrivedAt-v.ConfirmedAt <= v.Limit, v.StoreIsAway(now):
		return Proceed
	case now-arrivedAt < MaxHold:
		return Wait
	}
	return Refuse
}

// StoreIsAway reports whether the store did not answer this process recently.
func (v View) StoreIsAway(now time.Duration) bool {
	return v.UnansweredAt != 0 && now-v.UnansweredAt < OutageTTL
}

// reaskInterval is the time between two calls with which a process finds out that the store is still away.
// Such a call is given up soon enough to be within OutageTTL.
const reaskInterval = 1500 * time.Millisecond

// AsksStore reports whether the process must ask the store itself, as its view has reached an age at which its
// turn to do so has come. See relays.StoreAge.
func (v View) AsksStore(turn, now time.Duration) bool {
	return v.Limit > 0 && now-v.ConfirmedAt >= turn && (v.UnansweredAt == 0 || now-v.UnansweredAt >= reaskInterval)
}
