package state

import (
	"sync/atomic"

	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// ActiveBundle is the bundle that is active in a process. It is immutable: a new
// bundle replaces the whole value.
type ActiveBundle struct {
	Head   Head
	Bundle *bundle.Bundle
	// Signed is the signed bundle as stored and as sent to peers.
	Signed []byte
}

// BundleHolder holds the active bundle of a process. It is safe for concurrent use.
type BundleHolder struct {
	current atomic.Pointer[ActiveBundle]
}

// Load returns the active bundle, or nil if there is none yet.
func (h *BundleHolder) Load() *ActiveBundle { return h.current.Load() }

// Store makes a bundle the active one.
func (h *BundleHolder) Store(current *ActiveBundle) { h.current.Store(current) }
