package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	for _, use := range []settings.Use{settings.UseEntry, settings.UseAgent, settings.UseOperator} {
		_, err := settings.Parse([]byte(settings.Example(use)), use)
		c.Assert(err, qt.IsNil)
	}
	files, err := filepath.Glob("../../examples/*/*.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 6)
	for _, file := range files {
		data, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		switch filepath.Base(file) {
		case "bundle.yaml":
			_, err = bundle.Parse(data)
		case "entry.yaml":
			_, err = settings.Parse(data, settings.UseEntry)
		case "agent.yaml":
			_, err = settings.Parse(data, settings.UseAgent)
		}
		c.Assert(err, qt.IsNil, qt.Commentf(file))
	}
}

// If only the first fault were reported, an operator would have to fix the
// faults of a settings file one by one, with a restart for each.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	text := settings.Example(settings.UseEntry)
	text = strings.Replace(text, "Address: 127.0.0.11:7443", "Address: localhost", 1)
	text = strings.Replace(text, "OrderWrites: 300", "OrderWrites: 0", 1)
	text = strings.Replace(text, "Grace: 2s", "Grace: 20s", 1)
	_, err := settings.Parse([]byte(text), settings.UseEntry)
	c.Assert(err, qt.ErrorMatches, `line 7: Callers.Address: "localhost": expected IP:port
line 26: Entry.OrderWrites: "0": expected 1 or more
line 30: Stop.Grace: "20s": expected at most 3s`)
}

func TestUnknownFieldsAndWrongTypesAreReported(t *testing.T) {
	c := qt.New(t)
	_, err := settings.Parse([]byte("Host: entry-1\nHots: entry-2\nSignOffs: many\nPlatform:\n  Timeout: soon\n"), settings.UseEntry)
	c.Assert(err, qt.ErrorMatches, `(?s).*line 2: Hots: unknown field.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*line 3: "many": expected a value of type int.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*line 5: "soon": expected a duration such as 250ms.*`)
	c.Assert(err, qt.ErrorMatches, `(?s).*Peer.Address: expected IP:port.*`)
	c.Assert(strings.Count(err.Error(), "line 3:"), qt.Equals, 1)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(settings.Example(settings.UseAgent)))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := settings.Parse(data, settings.UseAgent); err == nil && s.Agent.Pool == "" {
			t.Fatal("Parse accepted agent settings without a pool")
		}
	})
}
