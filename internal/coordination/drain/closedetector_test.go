package drain

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCloseDetector(t *testing.T) {
	tests := []struct {
		name   string
		closes []bool
		want   bool
	}{
		{"no answer", nil, false},
		{"one", []bool{true}, false},
		{"now and then", []bool{true, false, true, true, false, true, true}, false},
		{"all", []bool{false, true, true, true, true}, true},
		{"a server that keeps no connection", []bool{true, true, true, true}, false},
		{"it stays after all", []bool{true, true, true, true, false}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var detector CloseDetector
			for _, closes := range test.closes {
				detector.Observe(closes)
			}
			qt.Assert(t, detector.Leaving(), qt.Equals, test.want)
		})
	}
}
