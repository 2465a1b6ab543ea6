package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
)

func (s *Sidecar) runReports(ctx context.Context) {
	lost, lostAt := false, boottime.Now()
	for turn := 0; ; turn++ {
		asked := boottime.Now()
		report, err := s.engine.Report(ctx)
		if err != nil && !lost && ctx.Err() == nil {
			s.log.Warn("model server lost", zap.Error(err))
		}
		if err == nil && lost {
			s.log.Info("model server regained", zap.Int("Models", len(report.Models)))
		}
		if err == nil {
			s.takeReport(report, asked)
			lostAt = asked
			if lost || turn == 0 {
				s.stepNow()
			}
		}
		lost = err != nil
		s.mu.Lock()
		if err != nil {
			s.report, s.hasReport = Report{}, false
		}
		all := s.news || turn%farTurns == 0
		s.news = false
		s.mu.Unlock()
		if err == nil {
			s.tell(all)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPause(lost, boottime.Now()-lostAt) - (boottime.Now() - asked)):
		}
	}
}

// reportPause returns the time between two reports of a server that answered so long ago.
//
// A server that starts is asked more often: until its first report nothing is brought to it.
func reportPause(lost bool, ago time.Duration) time.Duration {
	if lost && ago < lostSoon {
		return lostEvery
	}
	return reportEvery
}

// tell sends the load report to the entries of the own site, or to all.
func (s *Sidecar) tell(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasReport {
		return
	}
	load := fleet.Load{
		Address: s.config.Address, Boot: s.report.Boot, Before: s.before, Sequence: uint64(time.Now().UnixNano()),
		Running: s.report.Running, Queued: s.report.Queued, Pace: s.report.Pace, Switching: s.switching, Models: s.report.Models,
		Leaving: s.closing.Leaving(),
	}
	now := boottime.Now()
	for _, m := range s.models {
		if in := m.servedIn(now); in > 0 && (load.LoadedIn == 0 || in < load.LoadedIn) {
			load.LoadedIn = in
		}
		if in := m.leavesAt - now; in > 0 && (load.LeavesIn == 0 || in < load.LeavesIn) {
			load.LeavesIn = in
		}
	}
	data, err := gateway.EncodeDatagram(gateway.Datagram{Load: &gateway.LoadReport{Load: load, Named: s.knows(now)}})
	if err != nil {
		s.log.Error("report not sent", zap.Error(err))
		return
	}
	var addresses []string
	for _, entry := range s.entries {
		if all || entry.Site == s.config.Site {
			addresses = append(addresses, entry.Datagrams)
		}
	}
	if err := s.socket.Send(data, addresses...); err != nil {
		s.log.Warn("an entry has a bad address", zap.Error(err))
	}
}

// knows returns the versions of the last view, as old as they are now; none without a
// view. The caller holds the lock.
func (s *Sidecar) knows(now time.Duration) []gateway.NamedAge {
	if !s.hasView {
		return nil
	}
	known := make([]gateway.NamedAge, 0, len(s.viewed.Named))
	for _, n := range s.viewed.Named {
		n.Age += now - s.viewedAt
		known = append(known, n)
	}
	return known
}
