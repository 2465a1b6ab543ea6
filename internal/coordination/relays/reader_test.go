package relays

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
)

func TestPickReader(t *testing.T) {
	answered, unknown, lost := Reader{Host: "e1", Answered: true}, Reader{Host: "e2"}, Reader{Host: "e3", Lost: true}
	tests := []struct {
		name    string
		readers []Reader
		want    filbertlever.HostID
	}{
		{"one that the store has answered", []Reader{lost, unknown, answered}, "e1"},
		{"one that it has not turned away", []Reader{lost, unknown}, "e2"},
		{"one that tries for all", []Reader{lost}, "e3"},
		{"one that was turned away since its last answer", []Reader{{Host: "e4", Answered: true, Lost: true}, unknown}, "e2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, PickReader("ra", test.readers), qt.Equals, test.want)
		})
	}
}

// Entries that know the same pick the same reader, in whichever order they know the others.
func TestPickReaderIsIndependentOfOrder(t *testing.T) {
	c := qt.New(t)
	readers := []Reader{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}}
	c.Assert(PickReader("ra", []Reader{readers[2], readers[0], readers[1]}), qt.Equals, PickReader("ra", readers))
}
