package sidecar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a power failure agents start before their servers. If they polled at the usual
// interval, callers would wait longer for the first server that answers. A leaving server that was
// paused time and again was recognised after more than 2.4 s, as it answered too few reports between.
func TestUnreachableServerIsPolledOften(t *testing.T) {
	tests := []struct {
		unreachable, undecided bool
		sinceLast              time.Duration
		want                   time.Duration
	}{
		{unreachable: true, sinceLast: 0, want: fastPollInterval},
		{unreachable: true, sinceLast: fastPollDuration - 1, want: fastPollInterval},
		{unreachable: true, sinceLast: fastPollDuration, want: reportInterval},
		{undecided: true, sinceLast: 0, want: fastPollInterval},
		{sinceLast: 0, want: reportInterval},
		{sinceLast: time.Hour, want: reportInterval},
	}
	for _, test := range tests {
		qt.Check(t, nextReportDelay(test.unreachable, test.undecided, test.sinceLast), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
