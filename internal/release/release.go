// Package release identifies the program that runs: its release, and the revision of the source tree that it
// was built from.
package release

import (
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Version is the version of this source tree.
const Version = "0.1.0"

// Unknown stands for facts that the build information lacks.
const Unknown = "unknown"

// Build identifies a build of the program.
type Build struct {
	// Revision is the commit, or Unknown if the program was built without the information of version control.
	Revision string
	// Modified is true if the source tree differed from the revision. Files that are neither in version
	// control nor ignored count as well.
	Modified bool
	// GoVersion, OS and Architecture are those that the program was built with and for.
	GoVersion, OS, Architecture string
}

// Current returns the build of this process.
func Current() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Revision: Unknown, GoVersion: Unknown, OS: Unknown, Architecture: Unknown}
	}
	return FromBuildInfo(info)
}

// FromBuildInfo returns the build that Go's build information describes.
func FromBuildInfo(info *debug.BuildInfo) Build {
	settings := map[string]string{"vcs.revision": Unknown, "GOOS": Unknown, "GOARCH": Unknown}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	return Build{Revision: settings["vcs.revision"], Modified: settings["vcs.modified"] == "true", GoVersion: info.GoVersion, OS: settings["GOOS"], Architecture: settings["GOARCH"]}
}

// String returns the build as one line of words.
func (b Build) String() string {
	words := []string{Version, "revision", b.Revision}
	if b.Modified {
		words = append(words, "modified")
	}
	return strings.Join(append(words, b.GoVersion, b.OS+"/"+b.Architecture), " ")
}

// Fields returns the build as fields of a log line.
func (b Build) Fields() []zap.Field {
	return []zap.Field{zap.String("Release", Version), zap.String("Revision", b.Revision), zap.Bool("Modified", b.Modified),
		zap.String("Go", b.GoVersion), zap.String("Platform", b.OS+"/"+b.Architecture)}
}

// Collector returns a metric whose labels identify the build.
func (b Build) Collector() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filbertlever_build_info",
		Help: "Always 1; the labels identify the source that the process was built from.",
		ConstLabels: prometheus.Labels{"Release": Version, "Revision": b.Revision, "Modified": strconv.FormatBool(b.Modified),
			"Go": b.GoVersion, "Platform": b.OS + "/" + b.Architecture},
	}, func() float64 { return 1 })
}
