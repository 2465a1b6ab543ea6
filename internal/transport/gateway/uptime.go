package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/uptime"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// StoreUptime is a period in which the store answered, as sent to other entries: First and
// Last are the times of the first and the last answer, in milliseconds before the message was
// sent. First is at most math.MaxUint16, about a minute; longer periods are truncated.
type StoreUptime struct {
	First uint16 `cbor:"1,keyasint"`
	Last  uint16 `cbor:"2,keyasint,omitempty"`
}

// newStoreUptime encodes a span; nil if it ended too long ago.
func newStoreUptime(span uptime.Span, now time.Duration) *StoreUptime {
	last := (now - span.Last).Milliseconds()
	if last < 0 || last > math.MaxUint16 {
		return nil
	}
	return &StoreUptime{First: uint16(min((now - span.First).Milliseconds(), math.MaxUint16)), Last: uint16(last)}
}

// span decodes a span that was just received. A First after Last is set to Last.
func (s *StoreUptime) span(now time.Duration) uptime.Span {
	ago := func(ms uint16) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	return uptime.Span{First: ago(max(s.First, s.Last)), Last: ago(s.Last)}
}

// storeUptime returns the latest period in which the store answered; nil if there is no
// recent one. The caller holds the lock.
func (g *Gateway) storeUptime(now time.Duration) *StoreUptime {
	span, ok := g.uptime.Latest()
	if !ok {
		return nil
	}
	return newStoreUptime(span, now)
}

// storeIsUp reports whether the store has answered any entry recently. The caller holds the
// lock.
func (g *Gateway) storeIsUp(now time.Duration) bool {
	span, ok := g.uptime.Latest()
	return ok && now-span.Last < uptime.MinOutage
}

// minFailureAge is how old a failure of the store must be for an answer to outweigh it. A store that
// answers some of an entry's calls must not make it the reader between its failures.
const minFailureAge = time.Second

// recordStoreAnswer records that the store has just answered a call that this entry made at sentAt. If it is the first
// answer within storeAnswerTTL, or since the store failed, a heartbeat informs the region.
func (g *Gateway) recordStoreAnswer(sentAt time.Duration) {
	now := boottime.Now()
	if unansweredAt := g.storeUnansweredAt.Load(); int64(sentAt) >= unansweredAt {
		g.storeUnansweredAt.CompareAndSwap(unansweredAt, 0)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasRecentStoreAnswer(now) {
		g.requestHeartbeat()
	}
	g.storeAnsweredAt = now
	if g.storeUnreachable(now) && now-g.storeFailedAt() >= minFailureAge {
		g.readerSuspendedUntil.Store(0)
		g.requestHeartbeat()
	}
	g.recordStoreUptime(uptime.Span{First: now, Last: now}, now)
}

// storeAnswerTTL is how long after an answer the store counts as reachable for an entry. A
// reader gets an answer every second, and reports it with its next heartbeat.
const storeAnswerTTL = 1500 * time.Millisecond

// hasRecentStoreAnswer reports whether the store has answered this entry within
// storeAnswerTTL. The caller holds the lock.
func (g *Gateway) hasRecentStoreAnswer(now time.Duration) bool {
	return g.storeAnsweredAt != 0 && now-g.storeAnsweredAt < storeAnswerTTL
}

// storeAnswerAgeMs returns how many milliseconds ago the store last answered this entry; 0 if
// that is longer ago than storeAnswerTTL. The caller holds the lock.
func (g *Gateway) storeAnswerAgeMs(now time.Duration) uint16 {
	if !g.hasRecentStoreAnswer(now) {
		return 0
	}
	return uint16(max((now - g.storeAnsweredAt).Milliseconds(), 1))
}

// recordReportedUptime records a period that another entry reported; nil is ignored.
func (g *Gateway) recordReportedUptime(reported *StoreUptime) {
	if reported == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.recordStoreUptime(reported.span(now), now)
}

// recordStoreUptime records a period in which the store answered any entry, and updates the end
// of the last outage. The caller holds the lock.
func (g *Gateway) recordStoreUptime(span uptime.Span, now time.Duration) {
	before, _ := g.uptime.OutageEnd()
	g.uptime.Merge(span)
	end, ok := g.uptime.OutageEnd()
	if end == before {
		return
	}
	g.fleet.SetOutageEnd(end, ok, now)
	if ok {
		g.log.Info("store outage ended", zap.Duration("Ago", now-end))
		return
	}
	g.log.Info("store outage revoked: other entries had reached the store")
}
