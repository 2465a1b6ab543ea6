// Package shares computes the max-min shares of organisations that compete for one service.
package shares

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Config holds the parameters of a Table.
type Config struct {
	// TimeConstant is the time constant with which usage decays.
	TimeConstant time.Duration
	// MaxOrganisations bounds the organisations that are tracked.
	MaxOrganisations int
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{TimeConstant: 5 * time.Second, MaxOrganisations: 10_000}
}

// Usage is the work a second that an organisation asked for and was served.
type Usage struct {
	Organisation filbertlever.OrganisationID `cbor:"1,keyasint"`
	Asked        float64                     `cbor:"2,keyasint"`
	Served       float64                     `cbor:"3,keyasint"`
}

// Table tracks the usage of one service by organisation. It is not safe for concurrent use.
type Table struct{ config Config }

// New returns an empty table.
func New(config Config) *Table { return &Table{config: config} }

// Record records the work of a request, which was admitted or refused.
func (t *Table) Record(id filbertlever.OrganisationID, work time.Duration, admitted bool, now time.Duration) {
}

// Top returns the usage of the n organisations that asked this entry for the most work.
func (t *Table) Top(n int, now time.Duration) []Usage { return nil }

// ApplyPeer applies the usages of another entry.
func (t *Table) ApplyPeer(host filbertlever.HostID, usages []Usage, now time.Duration) {}

// RemovePeer drops the usages of an entry that has left.
func (t *Table) RemovePeer(host filbertlever.HostID) {}

// Excess returns by which fraction an organisation exceeds its share; 0 if it does not.
func (t *Table) Excess(id filbertlever.OrganisationID, now time.Duration) float64 { return 0 }
