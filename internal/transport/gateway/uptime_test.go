package gateway

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/uptime"
)

func TestStoreUptimeEncoding(t *testing.T) {
	const now = time.Hour
	tests := []struct {
		name string
		span uptime.Span
		want *StoreUptime
	}{
		{"in milliseconds", uptime.Span{First: now - 5*time.Second, Last: now - 20*time.Millisecond}, &StoreUptime{First: 5000, Last: 20}},
		{"for hours", uptime.Span{First: 0, Last: now}, &StoreUptime{First: 65535}},
		{"too long ago", uptime.Span{First: 0, Last: now - 2*time.Minute}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := newStoreUptime(test.span, now)
			qt.Assert(t, sent, qt.DeepEquals, test.want)
			if sent != nil {
				got := sent.span(now)
				qt.Assert(t, got.Last, qt.Equals, test.span.Last)
				qt.Assert(t, got.First >= test.span.First, qt.IsTrue)
			}
		})
	}
}

// A faulty process may send a First after Last. The result must not be a longer period.
func TestInvalidStoreUptimeBecomesEmptySpan(t *testing.T) {
	got := (&StoreUptime{First: 10, Last: 500}).span(time.Second)
	qt.Assert(t, got, qt.Equals, uptime.Span{First: 500 * time.Millisecond, Last: 500 * time.Millisecond})
}

// A follower treated rows that had expired during an outage of the store as removed, since it
// observed the outage only with the next heartbeat. The feed answer must carry the uptime.
func TestFeedResponseCarriesStoreUptime(t *testing.T) {
	c := qt.New(t)
	header := http.Header{}
	for name, value := range map[string]string{headerRevision: "7", headerAge: "0", headerStoreFirst: "40", headerStoreLast: "10"} {
		header.Set(name, value)
	}
	answer, err := decodeFeed(header, strings.NewReader(""))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Store, qt.DeepEquals, &StoreUptime{First: 40, Last: 10})
	header.Set(headerStoreLast, "-1")
	_, err = decodeFeed(header, strings.NewReader(""))
	c.Assert(err, qt.ErrorMatches, "decode feed: Store-First: .*")
}

// An apparent outage is revoked if late reports show that the store answered other entries
// in that time.
func TestLateReportsRevokeOutage(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{fleet: fleet.New(fleet.DefaultConfig(), rand.New(rand.NewPCG(1, 2))), log: zap.NewNop()}
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	g.recordStoreUptime(uptime.Span{First: at(1), Last: at(5)}, at(5))
	g.recordStoreUptime(uptime.Span{First: at(9), Last: at(9)}, at(9))
	_, outage := g.uptime.OutageEnd()
	c.Assert(outage, qt.IsTrue)
	g.recordStoreUptime((&StoreUptime{First: 8000, Last: 500}).span(at(10)), at(10))
	_, outage = g.uptime.OutageEnd()
	c.Assert(outage, qt.IsFalse)
}
