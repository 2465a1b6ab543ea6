// Package quarantine decides which requests are held, which means that they are sent to no
// backend server because the processes that run them crash.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity holds the parts of a request that stay the same when a caller retries it. The ID
// of the attempt, the entry and the position at which a stream resumes differ between
// attempts.
type Identity struct {
	// Organisation is determined by the caller's key, so that no caller can cause the requests
	// of another to be refused. It is empty on routes without keys.
	Organisation string
	Method       string
	Host         string
	Target       string
	Body         []byte
}

// metadataHashBytes is the length of a fingerprint's first part, which covers everything but
// the content of the body.
const metadataHashBytes = 8

// Fingerprint identifies a request across its attempts. A caller gains nothing by
// constructing another request with the same fingerprint.
type Fingerprint [metadataHashBytes + 16]byte

// MetadataHash returns the first part of the fingerprint. It does not read the body.
func (i *Identity) MetadataHash() uint64 {
	var text []byte
	for _, part := range []string{i.Organisation, i.Method, i.Host, i.Target} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	text = binary.AppendUvarint(text, uint64(len(i.Body)))
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:metadataHashBytes])
}

// Fingerprint returns the request's fingerprint.
func (i *Identity) Fingerprint() Fingerprint {
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:metadataHashBytes], i.MetadataHash())
	sum := sha256.Sum256(i.Body)
	copy(f[metadataHashBytes:], sum[:])
	return f
}

// MetadataHash returns the first part of the fingerprint.
func (f Fingerprint) MetadataHash() uint64 { return binary.BigEndian.Uint64(f[:metadataHashBytes]) }

// String returns a shortened form that distinguishes requests in a log.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:4]) + hex.EncodeToString(f[metadataHashBytes:metadataHashBytes+4])
}
