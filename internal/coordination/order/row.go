// Package order runs a call that must not be repeated at most once. A claim
// row in the platform names one incarnation of one agent, and the order can
// start only at the gate of that agent.
package order

import (
	"crypto/subtle"

	"github.com/filbertlever/filbertlever"
)

// State is the state of an order's row.
type State string

// The states of a row.
const (
	// StateClaimed means that the order may be running at the named agent.
	StateClaimed State = "Claimed"
	// StateReleased means that the order did not start under the claim's fence
	// and cannot start under it any more. The next claim uses a higher fence.
	StateReleased State = "Released"
	// StateDone means that the order ran and the row holds its answer. It is final.
	StateDone State = "Done"
	// StateUnknown means that the order may have run. It is final.
	StateUnknown State = "Unknown"
)

// Row is the record of one order in the platform.
type Row struct {
	State State
	// Body is the digest of service, call and body.
	Body filbertlever.Digest
	// ClaimID identifies the claim, so that the run that wrote it recognises it.
	ClaimID string
	// Agent and Incarnation identify the only process in which the order can
	// start under Fence.
	Agent       filbertlever.HostID
	Incarnation filbertlever.Incarnation
	// Fence increases by one with each claim of the same order.
	Fence  uint64
	Answer []byte
}

// BodyDigest returns the digest that distinguishes a key reused for another
// order from a repeated order.
func BodyDigest(service, call string, body []byte) filbertlever.Digest {
	data := make([]byte, 0, len(service)+len(call)+len(body)+2)
	data = append(data, service...)
	data = append(data, 0)
	data = append(data, call...)
	data = append(data, 0)
	data = append(data, body...)
	return filbertlever.DigestOf(data)
}

func (r *Row) sameBody(body filbertlever.Digest) bool {
	return subtle.ConstantTimeCompare([]byte(r.Body), []byte(body)) == 1
}
