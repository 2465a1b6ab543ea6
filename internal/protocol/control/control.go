// Package control defines the messages that the processes of the system exchange
// over JSON-RPC 2.0 connections.
package control

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/placement"
	"github.com/filbertlever/filbertlever/internal/state"
)

// The JSON-RPC methods.
const (
	// MethodSync exchanges the facts of two processes. Each adopts the newer ones.
	MethodSync = "Sync"
	// MethodBundle returns a signed bundle by digest.
	MethodBundle = "Bundle"
	// MethodReport sends an agent's load and live weights to an entry.
	MethodReport = "Report"
	// MethodRecorded notifies an agent that the platform has stored the outcome
	// of an order.
	MethodRecorded = "Recorded"
	// MethodAccepted notifies an entry of a bundle that was just accepted.
	MethodAccepted = "Accepted"
	// MethodStatus returns the loading progress of weights. Operators use it.
	MethodStatus = "Status"
)

// Identity identifies the sender of a message.
type Identity struct {
	Host        filbertlever.Host
	Incarnation filbertlever.Incarnation
	// Leaving is true after this incarnation has announced its stop.
	Leaving bool
}

// Stops is the value of the row that lists all planned stops.
type Stops struct {
	Stops []knowledge.Stop
}

// SyncRequest carries the facts of the sender.
type SyncRequest struct {
	From  Identity
	Facts knowledge.Facts
}

// SyncResponse carries the facts of the receiver of the request.
type SyncResponse struct {
	From  Identity
	Facts knowledge.Facts
}

// BundleRequest requests a signed bundle by digest.
type BundleRequest struct {
	Digest filbertlever.Digest
}

// BundleResponse carries a signed bundle. Signed is empty if the receiver does
// not have it.
type BundleResponse struct {
	Signed []byte
}

// Accepted carries an accepted head and its signed bundle. The operator's
// command sends it after its compare-and-swap of the head succeeded, as no other
// process has observed the new head yet.
type Accepted struct {
	Head   state.Head
	Signed []byte
}

// LiveWeights is a set of weights that an agent's engine serves.
type LiveWeights struct {
	Model    string
	Version  string
	Manifest filbertlever.Digest
	Base     filbertlever.Digest `json:",omitempty"`
}

// Load is the load of a backend server as measured by its agent.
type Load struct {
	Sequence    uint64
	Running     int
	Queued      int
	Concurrency int
	Wait        time.Duration
	// ReceivedRequests is the number of requests that the agent has received from
	// the entry to which this report is sent.
	ReceivedRequests uint64 `json:"Seen"`
}

// Progress is the loading progress of a set of weights at one agent. It has
// HeldChunks of Chunks chunks.
type Progress struct {
	Model      string
	Version    string
	Manifest   filbertlever.Digest
	Stage      placement.Stage
	HeldChunks int `json:"Held"`
	Chunks     int
	Failures   int
	Reason     string `json:",omitempty"`
}

// FetchedBytes counts the bytes of weights that an agent has fetched, by source.
type FetchedBytes struct {
	Origin int64
	Store  int64
	Peer   int64
}

// Report is an agent's state. Agents send it to entries about once a second. Full
// holds the parts that rarely change. It is omitted while the entry has them.
type Report struct {
	Incarnation filbertlever.Incarnation
	Load        Load
	Full        *FullReport `json:",omitempty"`
}

// FullReport is the part of an agent's state that rarely changes.
type FullReport struct {
	From Identity
	// ActiveVersion is the version of the bundle that is active at the agent.
	ActiveVersion uint64 `json:"InForce"`
	Live          []LiveWeights
	Weights       []Progress
	Fetched       FetchedBytes `json:"Drawn"`
}

// ReportResponse is the response to a Report.
type ReportResponse struct {
	// WantFull is true if the entry lacks the full report of this incarnation.
	WantFull bool `json:",omitempty"`
}

// Recorded identifies an order whose outcome the platform has stored.
type Recorded struct {
	Incarnation  filbertlever.Incarnation
	Organisation filbertlever.OrganisationID
	Key          string
}

// HostStatus is the status of one host as observed by an entry.
type HostStatus struct {
	Host          filbertlever.Host
	Usable        bool
	ActiveVersion uint64 `json:"InForce"`
	Weights       []Progress
	Fetched       FetchedBytes `json:"Drawn"`
	Load          Load
}

// Status is the status of the system as observed by an entry.
type Status struct {
	From  Identity
	Head  state.Head
	Hosts []HostStatus
}
