package gateway

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

// An invalid report of a rate limit kept requests from a server, or a valid one was dropped.
func TestRateReportsAreValidated(t *testing.T) {
	tests := []struct {
		name   string
		report fleet.RateReport
		valid  bool
	}{
		{"limit", fleet.RateReport{Backend: "i-1", Boot: 7, PerSecond: 2.5, Age: time.Second}, true},
		{"lifted", fleet.RateReport{Backend: "i-1"}, true},
		{"no server", fleet.RateReport{PerSecond: 1}, false},
		{"long name", fleet.RateReport{Backend: strings.Repeat("x", maxNameBytes+1), PerSecond: 1}, false},
		{"negative rate", fleet.RateReport{Backend: "i-1", PerSecond: -1}, false},
		{"not a number", fleet.RateReport{Backend: "i-1", PerSecond: math.NaN()}, false},
		{"negative age", fleet.RateReport{Backend: "i-1", PerSecond: 1, Age: -1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := EncodeDatagram(Datagram{RateReports: []fleet.RateReport{test.report}})
			qt.Assert(t, err, qt.IsNil)
			d, err := DecodeDatagram(data)
			qt.Assert(t, err == nil, qt.Equals, test.valid)
			if test.valid {
				qt.Assert(t, d.RateReports, qt.DeepEquals, []fleet.RateReport{test.report})
			}
		})
	}
}

// Reports about many servers must fit into datagrams.
func TestRateReportsFitIntoOneDatagram(t *testing.T) {
	var reports []fleet.RateReport
	for range maxRateReports {
		reports = append(reports, fleet.RateReport{Backend: "i-0123456789abcdef", Boot: math.MaxInt64, PerSecond: math.Pi, Age: math.MaxInt64})
	}
	data, err := EncodeDatagram(Datagram{RateReports: reports})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) < 8<<10, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
}
