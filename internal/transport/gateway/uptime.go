package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/uptime"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// StoreUptime is a stretch of time in which the store answered, up to a minute long, in
// milliseconds before it was sent.
type StoreUptime struct {
	First uint16 `cbor:"1,keyasint"`
	Last  uint16 `cbor:"2,keyasint,omitempty"`
}

// newStoreUptime returns a span as it is sent; nil if it ended too long ago.
func newStoreUptime(span uptime.Span, now time.Duration) *StoreUptime {
	last := (now - span.Last).Milliseconds()
	if last < 0 || last > math.MaxUint16 {
		return nil
	}
	return &StoreUptime{First: uint16(min((now - span.First).Milliseconds(), math.MaxUint16)), Last: uint16(last)}
}

// span returns the times of a span that was just received.
func (s *StoreUptime) span(now time.Duration) uptime.Span {
	ago := func(ms uint16) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	return uptime.Span{First: ago(max(s.First, s.Last)), Last: ago(s.Last)}
}

// storeUptime is the heartbeat's part on the store; the caller holds the lock.
func (g *Gateway) storeUptime(now time.Duration) *StoreUptime {
	span, ok := g.uptime.Latest()
	if !ok {
		return nil
	}
	return newStoreUptime(span, now)
}

// storeIsUp reports whether the store has answered some entry lately; the caller holds the
// lock.
func (g *Gateway) storeIsUp(now time.Duration) bool {
	span, ok := g.uptime.Latest()
	return ok && now-span.Last < uptime.OutageLeast
}

// recordStoreAnswer notes that the store has just answered this entry, and tells the others of the
// region if they do not know that it does.
func (g *Gateway) recordStoreAnswer() {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.answered(now) {
		select {
		case g.beatNow <- struct{}{}:
		default:
		}
	}
	g.answeredAt = now
	g.recordStoreUptime(uptime.Span{First: now, Last: now}, now)
}

// storeAnswerTTL is how long after an answer of the store an entry counts as served by it: a
// reader has one within a second, and reports it with its next heartbeat.
const storeAnswerTTL = 1500 * time.Millisecond

// answered reports whether the store has answered this entry lately; the caller holds the lock.
func (g *Gateway) answered(now time.Duration) bool {
	return g.answeredAt != 0 && now-g.answeredAt < storeAnswerTTL
}

// storeAnswerAgeMs is how long ago the store last answered this entry, in milliseconds; 0 if that
// was too long ago to matter. The caller holds the lock.
func (g *Gateway) storeAnswerAgeMs(now time.Duration) uint16 {
	if !g.answered(now) {
		return 0
	}
	return uint16(max((now - g.answeredAt).Milliseconds(), 1))
}

// noteReported takes what another entry knows, nil if nothing.
func (g *Gateway) noteReported(reported *StoreUptime) {
	if reported == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.recordStoreUptime(reported.span(now), now)
}

// recordStoreUptime notes that the store answered some entry in a span; the caller holds the lock.
func (g *Gateway) recordStoreUptime(span uptime.Span, now time.Duration) {
	before, _ := g.uptime.OutageEnd()
	g.uptime.Report(span)
	end, ok := g.uptime.OutageEnd()
	if end == before {
		return
	}
	g.fleet.SetOutageEnd(end, ok, now)
	if ok {
		g.log.Info("store outage ended", zap.Duration("Ago", now-end))
		return
	}
	g.log.Info("store outage was this entry's own absence")
}
