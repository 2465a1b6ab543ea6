// Package state holds the in-memory state of a process: the active bundle and the
// verified chunks of weights.
package state

import "github.com/filbertlever/filbertlever"

// Head is the record of an accepted bundle. A head is accepted if and only if its
// compare-and-swap in the platform's table took effect.
type Head struct {
	// Version increases by one with each accepted bundle. 0 means no bundle yet.
	Version uint64
	// Digest is the digest of the bundle file.
	Digest filbertlever.Digest
	// Parent is the digest of the previously accepted bundle.
	Parent filbertlever.Digest
	// Object is the key of the signed bundle in the object store.
	Object string
	// RollID identifies the roll that was accepted.
	RollID string
}
