package platform

import (
	"encoding/hex"
	"fmt"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/state"
)

// Keys of rows and objects.
const (
	KeyHead  = "head"
	KeyStops = "stops"
)

// KeyHistory returns the key of the row of the head accepted at a version.
func KeyHistory(version uint64) string { return fmt.Sprintf("%s%016x", PrefixHistory, version) }

// PrefixHistory is the prefix of the keys of all accepted heads.
const PrefixHistory = "history/"

// KeyLease returns the key of the row of the lease on a backend server.
func KeyLease(host filbertlever.HostID) string { return "lease/" + string(host) }

// KeyOrder returns the key of the row of an order. Both parts are hex-encoded, so that an
// organisation cannot choose a key that refers to a row of another organisation.
func KeyOrder(organisation filbertlever.OrganisationID, key string) string {
	return "order/" + hex.EncodeToString([]byte(organisation)) + "/" + hex.EncodeToString([]byte(key))
}

// KeyManifest returns the key of the object of a manifest.
func KeyManifest(digest filbertlever.Digest) string { return "manifest/" + string(digest) }

// KeyBundle returns the key of the object of a signed bundle. It contains a digest of the
// encoded bundle with its signatures.
func KeyBundle(head state.Head, signed []byte) string {
	return fmt.Sprintf("bundle/%d-%s", head.Version, filbertlever.DigestOf(signed).Short())
}
