package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// A caller's request is refused as another's. Whatever is sent again alike has one
// fingerprint, and whatever differs in caller, path or body has another.
func TestFingerprints(t *testing.T) {
	base := quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: "/draft/7", Body: []byte("a clause")}
	change := func(change func(*quarantine.Identity)) quarantine.Identity {
		other := base
		change(&other)
		return other
	}
	tests := []struct {
		name  string
		other quarantine.Identity
		same  bool
	}{
		{"sent again", base, true},
		{"another caller", change(func(i *quarantine.Identity) { i.Organisation = "hauler-2" }), false},
		{"another method", change(func(i *quarantine.Identity) { i.Method = "GET" }), false},
		{"another host", change(func(i *quarantine.Identity) { i.Host = "other.example" }), false},
		{"another path", change(func(i *quarantine.Identity) { i.Target = "/draft/8" }), false},
		{"another body", change(func(i *quarantine.Identity) { i.Body = []byte("a Clause") }), false},
		{"a longer body", change(func(i *quarantine.Identity) { i.Body = []byte("a clause ") }), false},
		{"no body", change(func(i *quarantine.Identity) { i.Body = nil }), false},
		{"the same text in other fields", change(func(i *quarantine.Identity) { i.Host, i.Target = "portal.example/draft", "/7" }), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.other.Fingerprint() == base.Fingerprint()
			qt.Assert(t, got, qt.Equals, test.same)
			qt.Assert(t, test.other.Fingerprint().Head(), qt.Equals, test.other.Head())
		})
	}
}

func BenchmarkHead(b *testing.B) {
	identity := quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: "/draft/7", Body: make([]byte, 4<<20)}
	for b.Loop() {
		identity.Head()
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		identity := quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: "/draft/7", Body: bytes.Repeat([]byte("x"), size)}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				identity.Fingerprint()
			}
		})
	}
}
