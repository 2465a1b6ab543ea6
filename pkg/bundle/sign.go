package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/filbertlever/filbertlever"
)

// signatureContext is signed together with the bundle, so that a signature of
// other data is never valid for a bundle and vice versa.
const signatureContext = "filbertlever bundle 1\n"

// Errors of the verification of bundles and manifests.
var (
	ErrDigest    = errors.New("digest does not match the content")
	ErrSignature = errors.New("wrong signature")
	ErrSignOffs  = errors.New("too few sign-offs")
)

// Signature is the sign-off of one operator.
type Signature struct {
	Operator  string
	Signature []byte
}

// Signed is a bundle file with its sign-offs, in the form that is stored and
// sent.
type Signed struct {
	// Body is the exact content of the bundle file that was signed.
	Body       []byte
	Signatures []Signature
}

// Operators maps the names of operators to their public keys.
type Operators map[string]ed25519.PublicKey

// Digest returns the digest of the bundle file.
func (s *Signed) Digest() filbertlever.Digest {
	return filbertlever.DigestOf(s.Body)
}

// Sign adds the sign-off of an operator. It replaces an earlier one of the same
// operator.
func (s *Signed) Sign(operator string, key ed25519.PrivateKey) {
	signature := Signature{Operator: operator, Signature: ed25519.Sign(key, signedMessage(s.Body))}
	for i := range s.Signatures {
		if s.Signatures[i].Operator == operator {
			s.Signatures[i] = signature
			return
		}
	}
	s.Signatures = append(s.Signatures, signature)
}

// Verify checks every sign-off and that enough different operators signed, and
// returns the bundle. The required number is the larger of signOffs and the
// bundle's own SignOffs.
func (s *Signed) Verify(operators Operators, signOffs int) (*Bundle, error) {
	b, err := Parse(s.Body)
	if err != nil {
		return nil, fmt.Errorf("parse bundle: %w", err)
	}
	valid := map[string]bool{}
	for _, signature := range s.Signatures {
		key, ok := operators[signature.Operator]
		if !ok {
			return nil, fmt.Errorf("sign-off of %q: not an operator: %w", signature.Operator, ErrSignature)
		}
		if !ed25519.Verify(key, signedMessage(s.Body), signature.Signature) {
			return nil, fmt.Errorf("sign-off of %q: %w", signature.Operator, ErrSignature)
		}
		// Two names with the same key count as one operator.
		valid[string(key)] = true
	}
	required := max(signOffs, b.SignOffs)
	if len(valid) < required {
		return nil, fmt.Errorf("bundle %d has %d of %d required sign-offs: %w", b.Version, len(valid), required, ErrSignOffs)
	}
	return b, nil
}

// Encode returns the JSON encoding that is stored and sent.
func (s *Signed) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode signed bundle: %w", err)
	}
	return data, nil
}

// DecodeSigned decodes the encoding that Encode returns.
func DecodeSigned(data []byte) (*Signed, error) {
	var s Signed
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode signed bundle: %w", err)
	}
	return &s, nil
}

// ParsePublicKey parses an ed25519 public key in base64.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key: expected %d bytes in base64", ed25519.PublicKeySize)
	}
	return raw, nil
}

func signedMessage(body []byte) []byte {
	return append([]byte(signatureContext), body...)
}
