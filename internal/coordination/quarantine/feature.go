// Package quarantine decides which requests are held, which means that they are sent to no
// backend server because the processes that run them crash.
//
// What is held is a feature of requests: one request with its repeats, a part of prompts as one
// organisation sends it, or that part as anyone sends it. Crashes count against all features of
// the requests that may have caused them, and answers count for them. The narrowest feature that
// explains the crashes is held.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"iter"
	"slices"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
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
	Body         intake.Body
}

// tagBytes is the length of the first part of a feature. Of a request it is a hash of everything
// but the content of the body; of a part of prompts it identifies who sends the part.
const tagBytes = 8

// Feature identifies what requests have in common. A caller gains nothing by constructing another
// request with the same feature.
type Feature [tagBytes + 16]byte

// MetadataHash returns the first part of the request's fingerprint. It does not read the body.
func (i *Identity) MetadataHash() uint64 {
	var text []byte
	for _, part := range []string{i.Organisation, i.Method, i.Host, i.Target} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	text = binary.AppendUvarint(text, uint64(i.Body.Len()))
	return firstBytes(text)
}

// Fingerprint returns the feature that only the request and its repeats have.
func (i *Identity) Fingerprint() Feature {
	var f Feature
	binary.BigEndian.PutUint64(f[:tagBytes], i.MetadataHash())
	sum := sha256.New()
	for _, segment := range i.Body {
		_, _ = sum.Write(segment)
	}
	copy(f[tagBytes:], sum.Sum(nil))
	return f
}

// MetadataHash returns the first part of the feature.
func (f Feature) MetadataHash() uint64 { return binary.BigEndian.Uint64(f[:tagBytes]) }

// String returns a shortened form that distinguishes requests in a log.
func (f Feature) String() string {
	return hex.EncodeToString(f[:4]) + hex.EncodeToString(f[tagBytes:tagBytes+4])
}

// firstBytes returns the first 8 bytes of a hash.
func firstBytes(text []byte) uint64 {
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:tagBytes])
}

// Kind is what a feature identifies. A greater kind is wider.
type Kind int

// The kinds.
const (
	// KindRequest is one request with its repeats.
	KindRequest Kind = iota
	// KindOrganisationPart is a part of prompts in the requests of one organisation.
	KindOrganisationPart
	// KindPart is a part of prompts in the requests of all organisations.
	KindPart
)

// String returns the name that logs and metrics use.
func (k Kind) String() string {
	switch k {
	case KindOrganisationPart:
		return "OrganisationPart"
	case KindPart:
		return "Part"
	}
	return "Request"
}

// PartID identifies a part of prompts.
type PartID [16]byte

// NewPartID returns the ID of a part as requests for a model name it. Servers of another model may
// answer the same part.
func NewPartID(model, name string) PartID {
	text := binary.AppendUvarint(nil, uint64(len(model)))
	text = append(append(text, model...), name...)
	sum := sha256.Sum256(text)
	return PartID(sum[:len(PartID{})])
}

// OrganisationTag identifies an organisation among those that send a part.
func OrganisationTag(organisation string) uint64 {
	return firstBytes(append([]byte("organisation "), organisation...))
}

// anyOrganisation is the tag of a part that any organisation sends.
var anyOrganisation = firstBytes([]byte("any organisation"))

func partFeature(tag uint64, id PartID) Feature {
	var f Feature
	binary.BigEndian.PutUint64(f[:tagBytes], tag)
	copy(f[tagBytes:], id[:])
	return f
}

// part returns the part that a feature of kind KindOrganisationPart or KindPart identifies.
func (f Feature) part() PartID { return PartID(f[tagBytes:]) }

// MaxParts bounds the parts of one request.
const MaxParts = 32

// Request lists what a request has in common with others.
type Request struct {
	// Fingerprint identifies the request with its repeats. It is zero if it is not known.
	Fingerprint Feature
	// Organisation is the OrganisationTag of the caller.
	Organisation uint64
	// Parts are at most MaxParts.
	Parts []PartID
}

// features returns the features of the request, narrower ones first.
func (r *Request) features() iter.Seq2[Feature, Kind] {
	return func(yield func(Feature, Kind) bool) {
		if !yield(r.Fingerprint, KindRequest) {
			return
		}
		for _, id := range r.Parts {
			if !yield(partFeature(r.Organisation, id), KindOrganisationPart) || !yield(partFeature(anyOrganisation, id), KindPart) {
				return
			}
		}
	}
}

// Has reports whether the request has a feature.
func (r *Request) Has(f Feature, kind Kind) bool {
	switch kind {
	case KindOrganisationPart:
		return f.MetadataHash() == r.Organisation && slices.Contains(r.Parts, f.part())
	case KindPart:
		return slices.Contains(r.Parts, f.part())
	}
	return r.Fingerprint == f
}
