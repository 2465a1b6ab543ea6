package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
)

// Whatever comes to the socket is refused, or tells of processes that can be called and
// of figures that can be.
func FuzzDatagram(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDatagram(data)
		if err != nil {
			return
		}
		if d.Beat != nil && (d.Beat.Entry.Host == "" || checkAddress("", d.Beat.Entry.Datagrams) != nil) {
			t.Fatalf("a heartbeat of nobody: %+v", d.Beat)
		}
		if d.Load != nil && (d.Load.Load.Running < 0 || d.Load.Load.Queued < 0 || d.Load.Load.LeavesIn > maxLookahead) {
			t.Fatalf("a load that cannot be: %+v", d.Load)
		}
		if d.Counts != nil {
			for id, n := range d.Counts.Requests {
				if n < 0 {
					t.Fatalf("%d requests at %s", n, id)
				}
			}
		}
	})
}

// Whatever an entry answers about a table is refused, or makes one list of rows: as it
// comes, and where it was packed as entries do.
func FuzzFeed(f *testing.F) {
	header := http.Header{headerRevision: {"7"}, headerAge: {"5"}}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, body := range [][]byte{data, pack(data)} {
			answer, err := decodeFeed(header, bytes.NewReader(body))
			if err != nil {
				continue
			}
			joined := joinRows(answer.Raw)
			var rows []json.RawMessage
			if len(joined) > 0 && json.Unmarshal(joined, &rows) != nil {
				t.Fatalf("joined to %q", joined)
			}
		}
	})
}
