// Package filbertlever defines the core types that callers, operators and the
// processes of the system share.
package filbertlever

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// HostID identifies a host. It is also the name in the host's TLS certificate.
type HostID string

// Incarnation identifies one run of a process on a host. A restarted process has
// a different incarnation, which shows that the state of the earlier one is lost.
type Incarnation string

// OrganisationID identifies an organisation. Organisations are isolated from
// each other.
type OrganisationID string

// Digest is a SHA-256 digest, written as "sha256:" and 64 lower-case hex digits.
type Digest string

const digestPrefix = "sha256:"

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return NewDigest(sum[:])
}

// NewDigest returns the digest for a SHA-256 sum of 32 bytes.
func NewDigest(sum []byte) Digest {
	return Digest(digestPrefix + hex.EncodeToString(sum))
}

// Valid reports whether d is well formed.
func (d Digest) Valid() bool {
	digits, ok := strings.CutPrefix(string(d), digestPrefix)
	if !ok || len(digits) != hex.EncodedLen(sha256.Size) {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil && strings.ToLower(digits) == digits
}

// Short returns the first 12 hex digits of d, for messages.
func (d Digest) Short() string {
	digits := strings.TrimPrefix(string(d), digestPrefix)
	return digits[:min(12, len(digits))]
}

// Outcome is the result of a request.
type Outcome int

// The outcomes.
const (
	// OutcomePending means that the outcome is not decided yet.
	OutcomePending Outcome = iota
	// OutcomeAnswered means that the complete answer was delivered.
	OutcomeAnswered
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
	// OutcomeUnknown means that an order may have run. It is never retried.
	OutcomeUnknown
	// OutcomeIncomplete means that a model's answer was interrupted and is not
	// resumed.
	OutcomeIncomplete
)

var outcomeNames = [...]string{"Pending", "Answered", "NotRun", "Unknown", "Incomplete"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "Invalid"
	}
	return outcomeNames[o]
}

// Priority is the priority of a request within its organisation.
type Priority int

// The priorities, lowest first.
const (
	PriorityBatch Priority = iota + 1
	PriorityNormal
	PriorityUrgent
)

// Role is the role of a host in the system.
type Role string

// The roles.
const (
	RoleEntry Role = "Entry"
	RoleAgent Role = "Agent"
)

// Host is a host as described by the platform's host list.
type Host struct {
	ID          HostID
	Role        Role
	Site        string
	Region      string
	PeerAddress string
	// CallerAddress is the address for callers. It is empty for agents.
	CallerAddress string
	// Pool is the pool of the backend server behind an agent. It is empty for
	// entries.
	Pool string
	// Leaving is true after the platform or an operator has planned its stop.
	Leaving bool
}
