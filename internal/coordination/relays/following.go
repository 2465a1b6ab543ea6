package relays

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

const (
	// slowTransfer is how long a transfer may take before another source is asked beside it.
	slowTransfer = 700 * time.Millisecond
	// maxParallelFetches is the number of sources that an entry asks at the same time.
	maxParallelFetches = 2
	// SuspicionTTL is how long a source that failed is asked last.
	SuspicionTTL = 3 * time.Second
	// immediateStoreTurns is the number of entries that read the store as soon as their sources fail.
	immediateStoreTurns = 1
)

// Attempt is a call to a source for the changes of a table.
type Attempt struct {
	Source filbertlever.HostID
	// ArrivingSince is when the response began to arrive; 0 if it has not.
	ArrivingSince time.Duration
	// Failed is true once the call has ended without a usable response.
	Failed bool
}

// Following is what an entry knows when it decides where to get the next changes of a table.
type Following struct {
	Now time.Duration
	// Sources are the entries to ask, in order of preference.
	Sources  []filbertlever.HostID
	Attempts []Attempt
	// Due is true if the view has to be confirmed soon. Sources that have not begun to answer are not waited for.
	Due bool
	// Position is that of this entry in the tree, and FailingSince when its sources began to fail; 0 if
	// they have not failed.
	Position     int
	FailingSince time.Duration
}

// StepKind is a kind of Step.
type StepKind int

// The kinds of steps.
const (
	// StepWait waits for the calls that are in progress, until Step.Until if that is not 0.
	StepWait StepKind = iota
	// StepAsk asks Step.Source, beside the calls that are in progress.
	StepAsk
	// StepReadStore asks the store.
	StepReadStore
	// StepRetry asks the sources again after a pause.
	StepRetry
)

// Step is what an entry does next.
type Step struct {
	Kind   StepKind
	Source filbertlever.HostID
	Until  time.Duration
}

// Next returns the next step.
//
// A call whose response is arriving continues until another one has ended: if slow transfers were ended
// and begun again elsewhere, none of them would complete on a busy link. The store is asked by one
// entry after the other, because their calls share the link to it.
func (f Following) Next() Step {
	running, slow, slowAt := 0, true, time.Duration(0)
	for _, a := range f.Attempts {
		if a.Failed {
			continue
		}
		running++
		if a.ArrivingSince == 0 || f.Now < a.ArrivingSince+slowTransfer {
			slow = false
		}
		if a.ArrivingSince != 0 {
			slowAt = max(slowAt, a.ArrivingSince+slowTransfer)
		}
	}
	next, found := f.nextSource()
	switch {
	case found && (running == 0 || (slow || f.Due && !f.IsArriving()) && running < maxParallelFetches):
		return Step{Kind: StepAsk, Source: next}
	case running > 0 && found && slowAt > f.Now:
		return Step{Kind: StepWait, Until: slowAt}
	case running > 0:
		return Step{Kind: StepWait}
	case f.FailingSince == 0 && f.Position <= immediateStoreTurns, f.FailingSince != 0 && f.Now >= f.FailingSince+StoreTurn(f.Position):
		return Step{Kind: StepReadStore}
	}
	return Step{Kind: StepRetry}
}

// IsArriving reports whether the response of a source is arriving.
func (f Following) IsArriving() bool {
	return slices.ContainsFunc(f.Attempts, func(a Attempt) bool { return !a.Failed && a.ArrivingSince != 0 })
}

// nextSource returns the first source that has not been asked.
func (f Following) nextSource() (filbertlever.HostID, bool) {
	for _, source := range f.Sources {
		if !slices.ContainsFunc(f.Attempts, func(a Attempt) bool { return a.Source == source }) {
			return source, true
		}
	}
	return "", false
}

// StoreTurn returns how long the entry at a position of the tree asks its sources again, once they have
// failed, before it asks the store. The rate at which entries turn to the store does not depend on
// their number.
func StoreTurn(position int) time.Duration {
	return SnapshotInterval * time.Duration(max(position-immediateStoreTurns, 0))
}

// Parts of the limit of a view's age at which the entries of a region ask the store themselves.
const (
	// firstTurnShare is that of the entry that asks first. Views of a region whose reader is sound are younger.
	firstTurnShare = 0.72
	// nextTurnShare is that of the next one, by when a confirmation that the first one got has reached all.
	nextTurnShare = 0.76
	// lastTurnShare is that of the last one. If the store does not answer it, it learns so before the limit.
	lastTurnShare = 0.79
)

// StoreAge returns the age from which on the entry at a position of a tree of n entries asks the store for
// changes itself, whichever sources it has. The limit bounds the age at which a view may be acted on.
//
// The age of the view counts, not the time for which sources have failed: any number of them may fail one after the
// other. The entries ask in the order of their positions, so that those who get the confirmation of one before
// do not ask.
func StoreAge(limit time.Duration, position, n int) time.Duration {
	if position <= immediateStoreTurns {
		return part(limit, firstTurnShare)
	}
	step := (lastTurnShare - nextTurnShare) / float64(max(n-immediateStoreTurns-2, 1))
	return part(limit, min(nextTurnShare+step*float64(position-immediateStoreTurns-1), lastTurnShare))
}

func part(limit time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(limit))
}

// StoreRetryInterval returns how long an entry that the store did not answer waits before it asks the
// store again, while the reader of its region of n entries is disconnected too. The entries ask one
// after the other, so that the one that the store answers again becomes known soon.
func StoreRetryInterval(n int) time.Duration { return SnapshotInterval * time.Duration(max(n, 1)) }

// PreferResponsive moves the suspected sources to the end.
func PreferResponsive(sources []filbertlever.HostID, suspected func(filbertlever.HostID) bool) []filbertlever.HostID {
	ordered := slices.Clone(sources)
	slices.SortStableFunc(ordered, func(a, b filbertlever.HostID) int { return boolRank(suspected(a)) - boolRank(suspected(b)) })
	return ordered
}
