package drain

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCloseDetector(t *testing.T) {
	tests := []struct {
		name            string
		closes          []bool
		want, undecided bool
	}{
		{"no answer", nil, false, false},
		{"one", []bool{true}, false, false},
		{"the first two", []bool{false, true, true}, false, true},
		{"now and then", []bool{true, false, true, true, false, true, true}, false, true},
		{"all", []bool{false, true, true, true, true}, true, false},
		{"a server that keeps no connection", []bool{true, true, true, true}, false, false},
		{"it stays after all", []bool{true, true, true, true, false}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var detector CloseDetector
			for _, closes := range test.closes {
				detector.Observe(closes)
			}
			qt.Assert(t, detector.Leaving(), qt.Equals, test.want)
			qt.Assert(t, detector.Undecided(), qt.Equals, test.undecided)
		})
	}
}
