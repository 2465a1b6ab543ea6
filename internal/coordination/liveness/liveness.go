// Package liveness decides whether the process of a backend server runs, from what a check found at
// the server's address.
//
// A connection that is accepted shows only that something listens at the address: the server's next
// process, or a proxy. Only an answer that identifies the process shows that it runs.
package liveness

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Outcome is what is known of a process.
type Outcome int

// The outcomes.
const (
	// Unknown means that nothing shows whether the process runs. It is neither alive nor ended.
	Unknown Outcome = iota
	// Alive means that the process ran after the check was sent.
	Alive
	// Ended means that the process does not run any more.
	Ended
)

// String returns the name of the outcome as logged.
func (o Outcome) String() string { return [...]string{"Unknown", "Alive", "Ended"}[o] }

// Process identifies a process of a server.
type Process struct {
	Server string
	// Boot is 0 in installations whose servers get a new ID with each start.
	Boot catalog.Boot
}

// Check is what a check found at a server's address. Times are read from one monotonic clock.
type Check struct {
	// SentAt is when the check was sent.
	SentAt time.Duration
	// Refused is true if the address refused the connection.
	Refused bool
	// Server is the ID that an answer named; empty without such an answer.
	Server string
	// Boot is the boot that an answer named; 0 if it named none.
	Boot catalog.Boot
	// RunningSince is a time at which the process that answered ran already: when its connection was
	// opened, or its start by its own clock.
	RunningSince time.Duration
}

// Evidence names what the outcome follows from, for the log.
func (c Check) Evidence() string {
	switch {
	case c.Refused:
		return "ConnectionRefused"
	case c.Server != "":
		return "Answer"
	}
	return "None"
}

// Exchange is a request to a process and the end of its response.
type Exchange struct {
	Process Process
	// SentAt is when the request was sent.
	SentAt time.Duration
	// EndedAt is when the end of the response was read.
	EndedAt time.Duration
}

// Judge returns whether the process ran after the end of the response.
//
// If servers keep their IDs when they restart, an answer identifies the process by its boot, or because
// it ran before the request was sent and still runs: no other process can have taken the request. Another
// boot shows nothing, because the request may have been sent to that process before its row arrived.
func (e Exchange) Judge(c Check) Outcome {
	switch {
	case c.SentAt < e.EndedAt:
		return Unknown
	case c.Refused:
		return Ended
	case c.Server == "":
		return Unknown
	case c.Server != e.Process.Server:
		return Ended
	case e.Process.Boot == 0, e.Process.Boot == c.Boot, c.RunningSince < e.SentAt:
		return Alive
	}
	return Unknown
}
