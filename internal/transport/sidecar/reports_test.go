package sidecar

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a loss of all power agents are up before their servers, and look for them rarely while no
// server answers callers.
func TestAServerThatStartsIsAskedOften(t *testing.T) {
	tests := []struct {
		lost bool
		ago  time.Duration
		want time.Duration
	}{
		{lost: true, ago: 0, want: lostEvery},
		{lost: true, ago: lostSoon - 1, want: lostEvery},
		{lost: true, ago: lostSoon, want: reportEvery},
		{ago: 0, want: reportEvery},
		{ago: time.Hour, want: reportEvery},
	}
	for _, test := range tests {
		qt.Check(t, reportPause(test.lost, test.ago), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
