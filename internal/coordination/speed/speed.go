// Package speed estimates by which factor each backend server is slower than its engine's description.
package speed

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Observation is what an entry observed of one server.
type Observation struct {
	// Slowdown is in thousandths.
	Slowdown uint32 `cbor:"1,keyasint"`
	// Gaps is the number of gaps between events that it rests on.
	Gaps uint32 `cbor:"2,keyasint"`
}

// Estimator estimates slowdowns. It is not safe for concurrent use.
type Estimator struct{}

// New returns an estimator that knows no server.
func New() *Estimator { return &Estimator{} }

// Report records the slowdown that a server reports of itself.
func (e *Estimator) Report(id string, slowdown float64, now time.Duration) {}

// ObserveGap records the gap between two events of a stream and the gap that was expected.
func (e *Estimator) ObserveGap(id string, gap, expected, now time.Duration) {}

// ApplyPeer applies the observations of another entry.
func (e *Estimator) ApplyPeer(host filbertlever.HostID, observations map[string]Observation, now time.Duration) {
}

// Observations returns this entry's own recent observations.
func (e *Estimator) Observations(now time.Duration) map[string]Observation { return nil }

// Slowdown returns the estimated slowdown of a server; 1 if it is unknown.
func (e *Estimator) Slowdown(id string, now time.Duration) float64 { return 1 }

// Forget drops what is known of a server.
func (e *Estimator) Forget(id string) {}
