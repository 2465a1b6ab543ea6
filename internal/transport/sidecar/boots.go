package sidecar

import (
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
)

// errRestarted means that the process that something was begun for is gone.
var errRestarted = errors.New("the model server started again")

// paceNews is a change of the server's pace that entries of all sites are told at once:
// how long before a bound requests are taken back follows it.
const paceNews = 0.5

// bootsTold is how many ended processes of its server an agent tells of. They are told
// for entries that missed some, and one that starts again more often within the time in
// which datagrams are late is not at work between.
const bootsTold = 4

// takeReport takes the server's report, asked for at a time.
//
// Guard: reports are asked for by turns and while a load is awaited, so that an answer of
// the process before may come after one of the new process. It would bring back what that
// one held, and entries would send requests there.
func (s *Sidecar) takeReport(report Report, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asked < s.reportAsked {
		return
	}
	if before := s.boot; report.Boot != 0 && report.Boot != before {
		s.boot = report.Boot
		if before != 0 {
			s.restarted(before, &report)
		}
	}
	leaving := s.closing.Leaving()
	s.closing.Observe(report.Closes)
	s.news = s.news || math.Abs(report.Pace-s.report.Pace) > paceNews || s.closing.Leaving() != leaving
	s.report, s.hasReport, s.reportedOnce, s.reportAsked = report, true, true, asked
}

// restarted drops what was planned for the process before; the caller holds the lock.
// Pieces and manifests are the host's and stay, and what lies beside the server is read
// back before each order.
//
// Guard: a server that started again holds nothing and has no requests. Its agent went on
// to wait for the turn of the process before, fetched beside answers that had ended, and
// had entries keep requests from the new process for a change that it does not make.
func (s *Sidecar) restarted(before catalog.Boot, report *Report) {
	s.log.Info("model server started again", zap.Int64("Before", int64(before)), zap.Int64("After", int64(report.Boot)),
		zap.Int("Held", len(s.report.Models)), zap.Int("Holds", len(report.Models)))
	s.before = append(s.before, before)
	s.before = s.before[max(len(s.before)-bootsTold, 0):]
	s.switching, s.news = false, true
	s.closing = drain.Closing{}
	for _, m := range s.models {
		m.leavesAt, m.servedAt = 0, 0
		m.giveUp(errRestarted)
		if m.fetching && m.beside {
			m.abandon(errRestarted)
		}
	}
}
