package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// maxPacketBytes is what one packet carries on every link.
const maxPacketBytes = 1400

// News of servers that end was lost whole if one part of a message was, as it took several
// packets. However much there is to tell, each message fits one.
func TestCrashReportsFitOnePacket(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	now := 1000 * time.Hour
	for n := range 200 {
		process := quarantine.Process{Server: fmt.Sprintf("i-%012d", n), Boot: 1764723093000}
		request := quarantine.Identity{Organisation: "hauler-1", Target: fmt.Sprint("/draft/", n)}
		table.Broke(request.Fingerprint(), process, true, now)
		table.Ended(process, now+time.Millisecond)
	}
	told := 0
	for _, news := range table.Fresh(now + 123456*time.Microsecond) {
		data, err := EncodeDatagram(Datagram{News: &news})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(data) <= maxPacketBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		d, err := DecodeDatagram(data)
		qt.Assert(t, err, qt.IsNil)
		for _, e := range d.News.Ends {
			told += len(e.Requests)
		}
	}
	qt.Assert(t, told, qt.Equals, 18)
}

// The end of one server with 16 requests under way, of which an entry had two, and what an
// entry's tick costs then; 98 and 460 entries are told the former.
func BenchmarkCrashReport(b *testing.B) {
	table := quarantine.New(quarantine.DefaultConfig())
	process := quarantine.Process{Server: "i-0b0818ed14"}
	for n := range 2 {
		request := quarantine.Identity{Organisation: "hauler-1", Target: fmt.Sprint("/draft/", n)}
		table.Broke(request.Fingerprint(), process, true, time.Second)
	}
	table.Ended(process, time.Second)
	news := table.Fresh(time.Second)
	data, err := EncodeDatagram(Datagram{News: &news[0]})
	qt.Assert(b, err, qt.IsNil)
	now := time.Second
	for b.Loop() {
		now += countsInterval
		table.Advance(now)
	}
	b.ReportMetric(float64(len(data)), "bytes/message")
}
