package proof

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"
)

// Five mechanisms could not be switched off any more, as the code that their entries quote had
// changed. Each entry must quote code that is there exactly once.
func TestAblationQuotesCode(t *testing.T) {
	c := qt.New(t)
	const root = "../.."
	data, err := os.ReadFile(filepath.Join(root, "proof/ablation.yaml"))
	c.Assert(err, qt.IsNil)
	var mechanisms []map[string]string
	c.Assert(yaml.Unmarshal(data, &mechanisms), qt.IsNil)
	c.Assert(mechanisms, qt.Not(qt.HasLen), 0)
	for _, m := range mechanisms {
		code, err := os.ReadFile(filepath.Join(root, m["File"]))
		c.Assert(err, qt.IsNil)
		c.Check(strings.Count(string(code), m["Old"]), qt.Equals, 1, qt.Commentf(m["Name"]))
		c.Check(m["New"], qt.Not(qt.Equals), m["Old"], qt.Commentf(m["Name"]))
	}
}
