package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
)

// FuzzDatagram checks that arbitrary data is either rejected, or decodes to valid addresses and
// values in range.
func FuzzDatagram(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDatagram(data)
		if err != nil {
			return
		}
		if d.Heartbeat != nil && (d.Heartbeat.Entry.Host == "" || checkAddress("", d.Heartbeat.Entry.Datagrams) != nil) {
			t.Fatalf("heartbeat without a valid entry: %+v", d.Heartbeat)
		}
		if d.Load != nil && (d.Load.Load.Running < 0 || d.Load.Load.Queued < 0 || d.Load.Load.LeavesIn > maxLookahead) {
			t.Fatalf("load out of range: %+v", d.Load)
		}
		if d.Counts != nil {
			for id, n := range d.Counts.Requests {
				if n < 0 {
					t.Fatalf("negative count of requests: %d at %s", n, id)
				}
			}
			if checkSpeeds(d.Counts.Speeds) != nil {
				t.Fatalf("speeds out of range: %+v", d.Counts.Speeds)
			}
			for i := range d.Counts.Demand {
				d.Counts.Demand[i].usages() // fails if the lists differ in length
			}
		}
	})
}

// FuzzFeed checks that an arbitrary feed answer, raw or packed, is either rejected or joins to one
// valid list of rows.
func FuzzFeed(f *testing.F) {
	header := http.Header{headerRevision: {"7"}, headerAge: {"5"}}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, body := range [][]byte{data, compressRows(data)} {
			answer, err := decodeFeed(header, bytes.NewReader(body))
			if err != nil {
				continue
			}
			joined := joinRows(answer.Raw)
			var rows []json.RawMessage
			if len(joined) > 0 && json.Unmarshal(joined, &rows) != nil {
				t.Fatalf("joined rows are not a list: %q", joined)
			}
		}
	})
}
