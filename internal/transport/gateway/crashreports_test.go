package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// maxPacketBytes is the payload that one packet can carry on any link.
const maxPacketBytes = 1400

// A crash report of several packets was lost completely if one packet was dropped. Each
// message must fit one packet, whatever the number of crashes.
func TestCrashReportsFitOnePacket(t *testing.T) {
	for _, parts := range []int{0, 3, quarantine.MaxParts} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			table := quarantine.New(quarantine.DefaultConfig())
			now := 1000 * time.Hour
			for n := range 200 {
				process := quarantine.Process{Server: fmt.Sprintf("i-%012d", n), Boot: 1764723093000}
				table.RecordFailure(quarantine.Attempt{Request: requestWithParts(n, parts), Process: process, ClosedByServer: true}, now)
				table.RecordCrash(process, now+time.Millisecond)
			}
			sent := 0
			for _, report := range table.NewReports(now + 123456*time.Microsecond) {
				data, err := EncodeDatagram(Datagram{Crashes: &report})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, len(data) <= maxPacketBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
				d, err := DecodeDatagram(data)
				qt.Assert(t, err, qt.IsNil)
				for _, c := range d.Crashes.Crashes {
					sent += len(c.Requests)
					for _, p := range c.Pending {
						qt.Assert(t, p.Parts, qt.HasLen, parts)
					}
				}
			}
			qt.Assert(t, sent, qt.Equals, 18)
		})
	}
}

// An entry that has just started reported a crash to nobody, as it did not know other entries yet, and
// decided without their answers. It must report what it has once it knows them.
func TestCrashesAreReportedOnceOtherEntriesAreKnown(t *testing.T) {
	g, _ := newEntryWithBoot(t)
	now := boottime.Now()
	g.peers.startedAt = now
	process := quarantine.Process{Server: "i-1", Boot: 1}
	g.crashes.RecordFailure(quarantine.Attempt{Request: requestWithParts(0, 1), Process: process, ClosedByServer: true}, now)
	g.crashes.RecordCrash(process, now)
	qt.Assert(t, g.advanceQuarantine(now), qt.HasLen, 0)
	g.entriesListed.Store(true)
	qt.Assert(t, g.advanceQuarantine(now+time.Second), qt.HasLen, 1)
}

// requestWithParts returns request number n with parts that no other request has.
func requestWithParts(n, parts int) *quarantine.Request {
	identity := quarantine.Identity{Organisation: "hauler-1", Target: fmt.Sprint("/draft/", n)}
	r := &quarantine.Request{Fingerprint: identity.Fingerprint(), Organisation: quarantine.OrganisationTag("hauler-1")}
	for k := range parts {
		r.Parts = append(r.Parts, quarantine.NewPartID("drafter", fmt.Sprint(n, " ", k)))
	}
	return r
}

// BenchmarkCrashReport measures the size of the report on the crash of one server, and the cost of one
// tick afterwards. This entry had 2 of 16 requests in flight, or 8 of 32, none of them begun, with
// parts that it got no answers to. The report is sent to 98 or 460 entries.
func BenchmarkCrashReport(b *testing.B) {
	for _, size := range []struct{ requests, parts int }{{2, 0}, {2, 2}, {8, 2}, {8, 8}} {
		b.Run(fmt.Sprintf("%dRequests/%dParts", size.requests, size.parts), func(b *testing.B) {
			table := quarantine.New(quarantine.DefaultConfig())
			process := quarantine.Process{Server: "i-0b0818ed14"}
			for n := range size.requests {
				table.RecordFailure(quarantine.Attempt{Request: requestWithParts(n, size.parts), Process: process, ClosedByServer: true}, time.Second)
			}
			table.RecordCrash(process, time.Second)
			bytes := 0
			for _, report := range table.NewReports(time.Second) {
				data, err := EncodeDatagram(Datagram{Crashes: &report})
				qt.Assert(b, err, qt.IsNil)
				bytes += len(data)
			}
			now := time.Second
			for b.Loop() {
				now += countsInterval
				table.Advance(now)
			}
			b.ReportMetric(float64(bytes), "bytes/crash")
		})
	}
}
