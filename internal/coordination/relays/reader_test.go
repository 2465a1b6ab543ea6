package relays

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
)

// The reader of a region must be an entry that the store answers, if there is
// one.
func TestPickReader(t *testing.T) {
	answered, unknown, unavailable := Reader{Host: "e1", StoreAnswered: true}, Reader{Host: "e2"}, Reader{Host: "e3", Unavailable: true}
	tests := []struct {
		name    string
		readers []Reader
		want    filbertlever.HostID
	}{
		{"an entry that the store answered", []Reader{unavailable, unknown, answered}, "e1"},
		{"an entry that the store did not refuse", []Reader{unavailable, unknown}, "e2"},
		{"any entry, on behalf of all", []Reader{unavailable}, "e3"},
		{"an entry refused after its last answer", []Reader{{Host: "e4", StoreAnswered: true, Unavailable: true}, unknown}, "e2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, PickReader("ra", test.readers), qt.Equals, test.want)
		})
	}
}

// Entries with the same view must pick the same reader, in whichever order they
// list the others.
func TestPickReaderIsIndependentOfOrder(t *testing.T) {
	c := qt.New(t)
	readers := []Reader{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}}
	c.Assert(PickReader("ra", []Reader{readers[2], readers[0], readers[1]}), qt.Equals, PickReader("ra", readers))
}
