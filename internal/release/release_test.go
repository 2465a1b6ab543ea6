package release_test

import (
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertlever/filbertlever/internal/release"
)

// A binary named only its release, so that runs of different commits could not be told apart.
func TestBuildNamesRevision(t *testing.T) {
	const revision = "f40228bd33beb4fbbfa54ea2ce6e239590571746"
	platform := []debug.BuildSetting{{Key: "GOOS", Value: "linux"}, {Key: "GOARCH", Value: "arm64"}}
	for _, test := range []struct {
		settings           []debug.BuildSetting
		revision, modified string
		line               string
	}{
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: "false"}}, revision, "false", "0.1.0 revision " + revision + " go1.26.8 linux/arm64"},
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: "true"}}, revision, "true", "0.1.0 revision " + revision + " modified go1.26.8 linux/arm64"},
		{nil, release.Unknown, "false", "0.1.0 revision unknown go1.26.8 linux/arm64"},
	} {
		t.Run(test.line, func(t *testing.T) {
			c := qt.New(t)
			build := release.FromBuildInfo(&debug.BuildInfo{GoVersion: "go1.26.8", Settings: append(platform, test.settings...)})
			c.Check(build.String(), qt.Equals, test.line)
			registry := prometheus.NewRegistry()
			registry.MustRegister(build.Collector())
			families, err := registry.Gather()
			c.Assert(err, qt.IsNil)
			labels := map[string]string{}
			for _, label := range families[0].Metric[0].Label {
				labels[label.GetName()] = label.GetValue()
			}
			c.Check(labels, qt.DeepEquals, map[string]string{"Release": release.Version, "Revision": test.revision, "Modified": test.modified, "Go": "go1.26.8", "Platform": "linux/arm64"})
		})
	}
}
