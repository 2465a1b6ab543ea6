package distribution

import "math"

// BandwidthLimit limits the rate of weight transfers on a host's link.
type BandwidthLimit struct {
	// Capacity is the capacity of the link in bytes per second, or 0 if unknown.
	Capacity float64
	// Share is the fraction of the capacity available to weights while live
	// requests run.
	Share float64
}

// DefaultBandwidthShare leaves live requests enough of a link that they hardly
// queue.
const DefaultBandwidthShare = 0.85

// Rate returns the bytes per second that weight transfers may use while the
// given number of live requests run. It is infinite if no limit applies.
//
// A transfer at full speed fills every queue on the link and delays the first
// token of each live request. A link below its capacity has no queues.
func (l BandwidthLimit) Rate(live int) float64 {
	if l.Capacity == 0 || live == 0 {
		return math.Inf(1)
	}
	return l.Capacity * l.Share
}
