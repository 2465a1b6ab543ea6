package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// writeFile writes a file into a test directory and returns its path.
func writeFile(c *qt.C, dir, name, text string) string {
	path := filepath.Join(dir, name)
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Scripts rely on the exit codes to distinguish an invalid file, an outage and a
// conflicting change.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	// Nothing listens on port 1.
	operator := strings.ReplaceAll(settings.Example(settings.UseOperator), "127.0.0.2:7300", "127.0.0.1:1")
	settingsPath := writeFile(c, dir, "operator.yaml", operator)
	invalidSettings := writeFile(c, dir, "bad.yaml", strings.Replace(operator, "SignOffs: 1", "SignOffs: 0", 1))
	data, err := bundle.Example().Encode()
	c.Assert(err, qt.IsNil)
	validBundle := writeFile(c, dir, "bundle.yaml", string(data))
	invalidBundle := writeFile(c, dir, "bad-bundle.yaml", strings.Replace(string(data), "Favour: Time", "Favour: Speed", 1))
	keys := filepath.Join(dir, "keys")
	for _, test := range []struct {
		name string
		args []string
		want int
	}{
		{"no command", nil, exitUsage},
		{"unknown flag", []string{"bundle", "check", "--fast", validBundle}, exitUsage},
		{"valid bundle", []string{"bundle", "check", validBundle}, exitOK},
		{"invalid bundle", []string{"bundle", "check", invalidBundle}, exitUsage},
		{"missing file", []string{"bundle", "check", "none.yaml"}, exitUsage},
		{"valid settings", []string{"config", "check", settingsPath, "--use", "Operator"}, exitOK},
		{"invalid settings", []string{"config", "check", invalidSettings, "--use", "Operator"}, exitUsage},
		{"new keys", []string{"keys", "new", "ana", "--dir", keys, "--role", "Operator"}, exitOK},
		{"keys are never overwritten", []string{"keys", "new", "ana", "--dir", keys, "--role", "Operator"}, exitFailed},
		{"entry without IP", []string{"keys", "new", "entry-1", "--dir", keys, "--role", "Entry"}, exitUsage},
		{"roll unsigned", []string{"bundle", "roll", validBundle, "--settings", settingsPath}, exitUsage},
		{"sign", []string{"bundle", "sign", validBundle, "--operator", "ana", "--key", filepath.Join(keys, "ana.signing.key")}, exitOK},
		{"roll signed by an unknown operator", []string{"bundle", "roll", validBundle, "--settings", settingsPath}, exitNotRun},
		{"platform unreachable", []string{"bundle", "history", "--settings", settingsPath}, exitNotRun},
		{"stop while the platform is unreachable", []string{"stop", "model-1", "--settings", settingsPath}, exitNotRun},
	} {
		c.Assert(run(context.Background(), test.args), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// Setting the version and parent of a bundle must keep the operators' comments.
func TestBundleNewKeepsComments(t *testing.T) {
	c := qt.New(t)
	data, err := setParent([]byte("# ours\nFormat: 1\nVersion: 1 # by hand\nParent:\n  Version: 0\n  Digest: \"\"\nSignOffs: 1\n"), state.Head{Version: 4, Digest: "sha256:four"})
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "# ours\nFormat: 1\nVersion: 5 # by hand\nParent:\n  Version: 4\n  Digest: sha256:four\nSignOffs: 1\n")
}
