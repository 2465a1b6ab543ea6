package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// A request must not be refused in place of another one. A retry has the same fingerprint,
// and a request that differs in caller, method, host, path or body has another one.
func TestFingerprintIdentifiesARequest(t *testing.T) {
	base := quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: "/draft/7", Body: intake.Body{[]byte("a clause")}}
	modified := func(modify func(*quarantine.Identity)) quarantine.Identity {
		other := base
		modify(&other)
		return other
	}
	tests := []struct {
		name  string
		other quarantine.Identity
		same  bool
	}{
		{"sent again", base, true},
		{"another caller", modified(func(i *quarantine.Identity) { i.Organisation = "hauler-2" }), false},
		{"another method", modified(func(i *quarantine.Identity) { i.Method = "GET" }), false},
		{"another host", modified(func(i *quarantine.Identity) { i.Host = "other.example" }), false},
		{"another path", modified(func(i *quarantine.Identity) { i.Target = "/draft/8" }), false},
		{"another body", modified(func(i *quarantine.Identity) { i.Body = intake.Body{[]byte("a Clause")} }), false},
		{"a longer body", modified(func(i *quarantine.Identity) { i.Body = intake.Body{[]byte("a clause ")} }), false},
		{"no body", modified(func(i *quarantine.Identity) { i.Body = nil }), false},
		{"the same text in other fields", modified(func(i *quarantine.Identity) { i.Host, i.Target = "portal.example/draft", "/7" }), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.other.Fingerprint() == base.Fingerprint()
			qt.Assert(t, got, qt.Equals, test.same)
			qt.Assert(t, test.other.Fingerprint().MetadataHash(), qt.Equals, test.other.MetadataHash())
		})
	}
}

func BenchmarkMetadataHash(b *testing.B) {
	identity := quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: "/draft/7", Body: intake.Body{make([]byte, 4<<20)}}
	for b.Loop() {
		identity.MetadataHash()
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		identity := quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: "/draft/7", Body: intake.Body{bytes.Repeat([]byte("x"), size)}}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				identity.Fingerprint()
			}
		})
	}
}
