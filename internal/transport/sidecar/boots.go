package sidecar

import (
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
)

// errServerRestarted means that the server process for which an operation was started
// has ended.
var errServerRestarted = errors.New("model server restarted")

// slowdownChangeThreshold is the change of the server's slowdown that is sent to the entries
// of all sites at once. How long before a version's deadline entries cancel requests
// depends on the slowdown.
const slowdownChangeThreshold = 0.5

// maxEndedBoots is how many ended boots of its server an agent reports. They are for
// entries that missed some of the reports. A server that restarts more often than this
// within the maximum delay of a datagram does no work between its restarts.
const maxEndedBoots = 4

// applyReport records a report of the server that was requested at a given time.
//
// Reports are requested periodically and while a load is awaited, so a response from the
// previous boot can arrive after one from the current boot. It would restore the previous
// boot's models, and entries would send requests for them.
func (s *Sidecar) applyReport(report Report, requestedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if requestedAt < s.reportRequestedAt {
		return
	}
	if previous := s.boot; report.Boot != 0 && report.Boot != previous {
		s.boot = report.Boot
		if previous != 0 {
			s.handleRestart(previous, &report)
		}
	}
	s.logRateLimit(report.RateLimit)
	leaving := s.drainDetector.Leaving()
	s.drainDetector.Observe(report.ClosesConnection)
	s.broadcastNext = s.broadcastNext || math.Abs(report.Slowdown-s.report.Slowdown) > slowdownChangeThreshold || s.drainDetector.Leaving() != leaving
	s.report, s.hasReport, s.everReported, s.reportRequestedAt = report, true, true, requestedAt
}

// logRateLimit logs a rate limit that differs from the one in the last report; the caller holds the
// lock.
func (s *Sidecar) logRateLimit(limit *float64) {
	last := s.report.RateLimit
	switch {
	case limit == nil && last != nil:
		s.log.Info("model server lifted its rate limit")
	case limit != nil && (last == nil || *last != *limit):
		s.log.Info("model server limits its rate", zap.Float64("PerSecond", *limit))
	}
}

// handleRestart discards what was planned for the previous boot; the caller holds the
// lock. Pieces and manifests are kept because they are on the host, and staged pieces are
// read back before each load.
//
// A restarted server has no models and no requests. Without this, the agent waited for the
// switchover scheduled for the previous boot, fetched at the rate of a serving server, and
// made entries hold back requests for a switchover that the new boot does not make.
func (s *Sidecar) handleRestart(previous catalog.Boot, report *Report) {
	s.log.Info("model server restarted", zap.Int64("Before", int64(previous)), zap.Int64("After", int64(report.Boot)),
		zap.Int("Held", len(s.report.Models)), zap.Int("Holds", len(report.Models)))
	s.endedBoots = append(s.endedBoots, previous)
	s.endedBoots = s.endedBoots[max(len(s.endedBoots)-maxEndedBoots, 0):]
	s.switching, s.broadcastNext = false, true
	s.drainDetector = drain.CloseDetector{}
	for _, m := range s.models {
		m.switchAt, m.loadedAt, m.unproven = 0, 0, 0
		m.cancelLoad(errServerRestarted)
		if m.fetching && m.fetchThrottled {
			m.cancelFetch(errServerRestarted)
		}
	}
}
