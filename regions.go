package filbertlever

import "slices"

// Regions restricts a request to some regions. nil allows every region, an empty
// list allows none.
type Regions []string

// Allows reports whether a region is allowed.
func (r Regions) Allows(region string) bool {
	return r == nil || slices.Contains(r, region)
}

// Intersect returns the regions that both r and other allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	return both
}
