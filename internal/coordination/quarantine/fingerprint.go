// Package quarantine decides which requests are kept from backend servers, because the
// processes that run them end.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity is what a caller repeats when it sends a request again. The ID of the attempt,
// the entry and where a stream goes on differ from one attempt to the next.
type Identity struct {
	// Organisation is by the caller's key, so that no caller can have another's requests
	// refused; it is empty on routes without keys.
	Organisation string
	Method       string
	Host         string
	Target       string
	Body         []byte
}

// headBytes is how much of a fingerprint is of all but the body.
const headBytes = 8

// Fingerprint names a request, whatever its attempt. It is of no use to find another
// request with the same one.
type Fingerprint [headBytes + 16]byte

// Head is the first part of a fingerprint. It costs no reading of the body.
func (i *Identity) Head() uint64 {
	var text []byte
	for _, part := range []string{i.Organisation, i.Method, i.Host, i.Target} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	text = binary.AppendUvarint(text, uint64(len(i.Body)))
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:headBytes])
}

// Fingerprint returns the request's fingerprint.
func (i *Identity) Fingerprint() Fingerprint {
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:headBytes], i.Head())
	sum := sha256.Sum256(i.Body)
	copy(f[headBytes:], sum[:])
	return f
}

// Head returns the first part.
func (f Fingerprint) Head() uint64 { return binary.BigEndian.Uint64(f[:headBytes]) }

// String returns as much as tells requests apart in a log.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:4]) + hex.EncodeToString(f[headBytes:headBytes+4])
}
