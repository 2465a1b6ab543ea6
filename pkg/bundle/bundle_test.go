package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

func encode(c *qt.C, b *bundle.Bundle) []byte {
	data, err := b.Encode()
	c.Assert(err, qt.IsNil)
	return data
}

func TestExampleRoundTrip(t *testing.T) {
	c := qt.New(t)
	b, err := bundle.Parse(encode(c, bundle.Example()))
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, bundle.Example())
}

func TestInvalidFieldsAreReported(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*bundle.Bundle)
		want   string
	}{
		{"version", func(b *bundle.Bundle) { b.Version = 7 }, `line 2: Version: "7": expected Parent.Version \+ 1`},
		{"favour", func(b *bundle.Bundle) { b.Favour = "Speed" }, `line \d+: Favour: "Speed": expected Time or OriginBytes`},
		{"pool", func(b *bundle.Bundle) { b.Models[0].Pool = "billing" }, `line \d+: Models\[0\].Pool: "billing": expected a pool of kind ModelEngine`},
		{"manifest", func(b *bundle.Bundle) { b.Models[0].Manifest = "sha256:12" }, `line \d+: Models\[0\].Manifest: "sha256:12": expected sha256: and 64 hex digits`},
		{"shared token", func(b *bundle.Bundle) {
			other := b.Organisations[0]
			other.Name = "hauler-2"
			b.Organisations = append(b.Organisations, other)
		}, `line \d+: Organisations\[1\].TokenDigests\[0\]: "sha256:.*": expected once only`},
		{"twice", func(b *bundle.Bundle) { b.Pools = append(b.Pools, b.Pools[0]) }, `line \d+: Pools\[2\].Name: "model-servers": expected once only`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := bundle.Example()
			test.change(b)
			_, err := bundle.Parse(encode(c, b))
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestDiffReportsFieldPaths(t *testing.T) {
	c := qt.New(t)
	old, changed := bundle.Example(), bundle.Example()
	changed.Models[0].Version = "2026-12-02"
	changed.Organisations = nil
	changed.Pools = []bundle.Pool{changed.Pools[1], changed.Pools[0]}
	c.Assert(bundle.Diff(old, changed), qt.DeepEquals, []bundle.Change{
		{Path: "Models[drafter].Version", Old: "2026-12-01", New: "2026-12-02"},
		{Path: "Organisations[hauler-1]", Old: "present"},
	})
}

func privateKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
}

func publicKey(seed byte) ed25519.PublicKey { return privateKey(seed).Public().(ed25519.PublicKey) }

// One operator must not satisfy a requirement of two sign-offs by signing under
// two names with the same key.
func TestOneKeyUnderTwoNamesCountsOnce(t *testing.T) {
	c := qt.New(t)
	operators := bundle.Operators{"ana": publicKey(1), "ana-too": publicKey(1), "kwame": publicKey(2)}
	s := &bundle.Signed{Body: encode(c, bundle.Example())}
	s.Sign("ana", privateKey(1))
	s.Sign("ana-too", privateKey(1))
	_, err := s.Verify(operators, 2)
	c.Assert(err, qt.ErrorIs, bundle.ErrSignOffs)
	s.Sign("kwame", privateKey(2))
	_, err = s.Verify(operators, 2)
	c.Assert(err, qt.IsNil)
}

func TestInvalidSignaturesAreRejected(t *testing.T) {
	c := qt.New(t)
	operators := bundle.Operators{"ana": publicKey(1)}
	s := &bundle.Signed{Body: encode(c, bundle.Example())}
	s.Sign("ana", privateKey(2))
	_, err := s.Verify(operators, 1)
	c.Assert(err, qt.ErrorIs, bundle.ErrSignature)
	s = &bundle.Signed{Body: s.Body}
	s.Sign("eve", privateKey(3))
	_, err = s.Verify(operators, 1)
	c.Assert(err, qt.ErrorIs, bundle.ErrSignature)
}

func TestManifestRoundTripAndDigestCheck(t *testing.T) {
	c := qt.New(t)
	m, err := bundle.NewManifest("drafter", strings.NewReader(strings.Repeat("x", 25)), 10)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Chunks, qt.HasLen, 3)
	c.Assert(m.ChunkLen(2), qt.Equals, int64(5))
	data, err := m.Encode()
	c.Assert(err, qt.IsNil)
	decoded, err := bundle.DecodeManifest(data, filbertlever.DigestOf(data))
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, m)
	_, err = bundle.DecodeManifest(data, filbertlever.DigestOf([]byte("other")))
	c.Assert(err, qt.ErrorIs, bundle.ErrDigest)
}

func FuzzParse(f *testing.F) {
	data, _ := bundle.Example().Encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundle.Parse(data)
		if err != nil {
			return
		}
		encoded, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundle.Parse(encoded); err != nil {
			t.Fatalf("a valid bundle is invalid after encoding: %v", err)
		}
	})
}

func FuzzDecodeManifest(f *testing.F) {
	f.Add([]byte(`{"Path":"a","Size":1,"ChunkSize":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := bundle.DecodeManifest(data, filbertlever.DigestOf(data))
		if err == nil && int64(len(m.Chunks))*m.ChunkSize < m.Size {
			t.Fatalf("DecodeManifest accepted a manifest with too few chunks: %+v", m)
		}
	})
}
