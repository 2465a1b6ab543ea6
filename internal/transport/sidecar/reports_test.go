package sidecar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a power failure agents start before their servers. If they polled at the usual
// interval, callers would wait longer for the first server that answers.
func TestUnreachableServerIsPolledOften(t *testing.T) {
	tests := []struct {
		unreachable bool
		sinceLast   time.Duration
		want        time.Duration
	}{
		{unreachable: true, sinceLast: 0, want: unreachablePollInterval},
		{unreachable: true, sinceLast: fastPollDuration - 1, want: unreachablePollInterval},
		{unreachable: true, sinceLast: fastPollDuration, want: reportInterval},
		{sinceLast: 0, want: reportInterval},
		{sinceLast: time.Hour, want: reportInterval},
	}
	for _, test := range tests {
		qt.Check(t, nextReportDelay(test.unreachable, test.sinceLast), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
