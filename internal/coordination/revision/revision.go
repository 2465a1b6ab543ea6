// Package revision orders the states of a store that may be restored from an older copy.
//
// Such a store gives out its revisions again. Its era rises with each restoration, so that a state is
// identified by era and number. Both are kept in one integer that orders states by era first: code
// that compares revisions, or keeps the highest one, also works across a restoration.
package revision

const (
	// numberBits is the number of bits of a number, which is at most 2^53. The remaining bits hold the
	// lowest bits of the era, which lasts for 1,024 restorations while entries run.
	numberBits = 54
	eraMask    = 1<<(64-numberBits) - 1
	numberMask = 1<<numberBits - 1
)

// New returns the revision with a number in an era. The number is at most 2^53.
func New(era, number uint64) uint64 { return era&eraMask<<numberBits | number&numberMask }

// Era returns the era of a revision.
func Era(r uint64) uint64 { return r >> numberBits }

// Number returns the number of a revision in its era.
func Number(r uint64) uint64 { return r & numberMask }

// InEra returns the revision with the same era as another one and a number.
func InEra(other, number uint64) uint64 { return New(Era(other), number) }
