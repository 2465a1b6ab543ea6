package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validEntry = `Host: entry-1
Site: a
Region: ra
Store: "127.0.0.2:7600"
Listen: {Callers: "127.0.0.11:1", Ready: "127.0.0.11:2", Locate: "127.0.0.11:3", Peers: "127.0.0.11:4", Datagrams: "127.0.0.11:5"}
Bounds: {Revoke: 5s, Version: 8s, RetryRatio: 0.2, RetrySlack: 100}
`

// All faults of a file are reported at once, each with the field, its value and
// what was expected.
func TestInstallationReportsEveryFault(t *testing.T) {
	tests := []struct {
		name, from, to string
		want           []string
	}{
		{"good", "", "", nil},
		{"no host", "Host: entry-1", "Host: ''", []string{`Host`, "expected a name"}},
		{"bad address", `Store: "127.0.0.2:7600"`, `Store: store`, []string{`Store: "store": expected IP:port`}},
		{"bad share", "RetryRatio: 0.2", "RetryRatio: 2", []string{`Bounds.RetryRatio: "2": expected a share from 0 to 1`}},
		{"unknown field", "Site: a", "Site: a\nSight: b", []string{"Sight", "unknown field"}},
		{"two faults", "Site: a\nRegion: ra\nStore: \"127.0.0.2:7600\"", "Site: ''\nStore: x", []string{"Site", "Store"}},
		{"bad duration", "Revoke: 5s", "Revoke: soon", []string{"soon", "expected a duration"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validEntry, test.from, test.to, 1)
			_, err := ParseInstallation([]byte(text), UseEntry)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.IsNotNil)
			for _, part := range test.want {
				qt.Check(t, strings.Contains(err.Error(), part), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

// Settings of an agent that lack the address and service of its model server
// are rejected.
func TestAgentWithoutModelServerIsRejected(t *testing.T) {
	_, err := ParseInstallation([]byte(validEntry), UseAgent)
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*ModelServer.Address.*ModelServer.Service.*`)
}
