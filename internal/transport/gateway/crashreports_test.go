package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// maxPacketBytes is the payload that one packet can carry on any link.
const maxPacketBytes = 1400

// A crash report of several packets was lost completely if one packet was dropped. Each
// message must fit one packet, whatever the number of crashes.
func TestCrashReportsFitOnePacket(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	now := 1000 * time.Hour
	for n := range 200 {
		process := quarantine.Process{Server: fmt.Sprintf("i-%012d", n), Boot: 1764723093000}
		request := quarantine.Identity{Organisation: "hauler-1", Target: fmt.Sprint("/draft/", n)}
		table.RecordFailure(quarantine.Attempt{Request: &quarantine.Request{Fingerprint: request.Fingerprint()}, Process: process, ClosedByServer: true}, now)
		table.RecordCrash(process, now+time.Millisecond)
	}
	sent := 0
	for _, report := range table.NewReports(now + 123456*time.Microsecond) {
		data, err := EncodeDatagram(Datagram{Crashes: &report})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(data) <= maxPacketBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		d, err := DecodeDatagram(data)
		qt.Assert(t, err, qt.IsNil)
		for _, e := range d.Crashes.Crashes {
			sent += len(e.Requests)
		}
	}
	qt.Assert(t, sent, qt.Equals, 18)
}

// BenchmarkCrashReport measures the size of the report on the crash of one server, where this
// entry had 2 of 16 requests in flight, and the cost of one tick afterwards. The report is sent
// to 98 or 460 entries.
func BenchmarkCrashReport(b *testing.B) {
	table := quarantine.New(quarantine.DefaultConfig())
	process := quarantine.Process{Server: "i-0b0818ed14"}
	for n := range 2 {
		request := quarantine.Identity{Organisation: "hauler-1", Target: fmt.Sprint("/draft/", n)}
		table.RecordFailure(quarantine.Attempt{Request: &quarantine.Request{Fingerprint: request.Fingerprint()}, Process: process, ClosedByServer: true}, time.Second)
	}
	table.RecordCrash(process, time.Second)
	reports := table.NewReports(time.Second)
	data, err := EncodeDatagram(Datagram{Crashes: &reports[0]})
	qt.Assert(b, err, qt.IsNil)
	now := time.Second
	for b.Loop() {
		now += countsInterval
		table.Advance(now)
	}
	b.ReportMetric(float64(len(data)), "bytes/message")
}
