package installation

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/release"
	"github.com/filbertlever/filbertlever/internal/settings"
)

// The log and the metrics of a process did not say which source it was built from.
func TestProcessNamesItsBuild(t *testing.T) {
	c := qt.New(t)
	s := settings.DefaultInstallation()
	var log bytes.Buffer
	p, err := start(&s, filbertlever.RoleEntry, &log)
	c.Assert(err, qt.IsNil)
	p.logStarted()
	families, err := p.registry.Gather()
	c.Assert(err, qt.IsNil)
	p.close()
	lines := bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n"))
	var line map[string]any
	c.Assert(json.Unmarshal(lines[len(lines)-1], &line), qt.IsNil)
	build := release.Current()
	c.Check(line["Message"], qt.Equals, "started")
	c.Check(line["Revision"], qt.Equals, build.Revision)
	c.Check(line["Modified"], qt.Equals, build.Modified)
	found := false
	for _, family := range families {
		found = found || family.GetName() == "filbertlever_build_info"
	}
	c.Check(found, qt.IsTrue)
}
