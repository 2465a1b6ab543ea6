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
	unreachable, lastReportAt := false, boottime.Now()
	for round := 0; ; round++ {
		requestedAt := boottime.Now()
		report, err := s.engine.Report(ctx)
		if err != nil && !unreachable && ctx.Err() == nil {
			s.log.Warn("model server unreachable", zap.Error(err))
		}
		if err == nil && unreachable {
			s.log.Info("model server reachable again", zap.Int("Models", len(report.Models)))
		}
		if err == nil {
			s.applyReport(report, requestedAt)
			lastReportAt = requestedAt
			if unreachable || round == 0 {
				s.requestStep()
			}
		}
		unreachable = err != nil
		s.mu.Lock()
		if err != nil {
			s.report, s.hasReport = Report{}, false
		}
		all := s.broadcastNext || round%reportsPerBroadcast == 0
		s.broadcastNext = false
		undecided := err == nil && s.drainDetector.Undecided()
		s.mu.Unlock()
		if err == nil {
			s.sendReport(all)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(nextReportDelay(unreachable, undecided, boottime.Now()-lastReportAt) - (boottime.Now() - requestedAt)):
		}
	}
}

// nextReportDelay returns the time between two report requests to a server whose last
// report was requested sinceLast ago. undecided is true if the last reports closed their
// connections, but too few to tell whether the server is leaving.
//
// A server that is starting is polled more often, because nothing is loaded into it until
// its first report. One that may be leaving is polled more often, because it may answer
// only for moments.
func nextReportDelay(unreachable, undecided bool, sinceLast time.Duration) time.Duration {
	if undecided || unreachable && sinceLast < fastPollDuration {
		return fastPollInterval
	}
	return reportInterval
}

// sendReport sends the load report to the entries of the agent's own site, or to all.
func (s *Sidecar) sendReport(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasReport {
		return
	}
	models, withheld := s.servedModels()
	// Entries without a fresh report rely on the server's row, which lists the withheld model.
	all = all || withheld
	load := fleet.Report{
		Address: s.config.Address, Boot: s.report.Boot, PreviousBoots: s.endedBoots, Sequence: uint64(time.Now().UnixNano()),
		Running: s.report.Running, Queued: s.report.Queued, Pace: s.report.Slowdown, Switching: s.switching, Models: models, FreeMemory: s.report.FreeMemory,
		Leaving: s.drainDetector.Leaving(),
	}
	now := boottime.Now()
	for _, m := range s.models {
		if in := m.loadedIn(now); in > 0 && (load.LoadedIn == 0 || in < load.LoadedIn) {
			load.LoadedIn = in
		}
		if in := m.switchAt - now; in > 0 && (load.LeavesIn == 0 || in < load.LeavesIn) {
			load.LeavesIn = in
		}
	}
	data, err := gateway.EncodeDatagram(gateway.Datagram{Load: &gateway.LoadReport{Load: load, Named: s.namedVersions(now)}})
	if err != nil {
		s.log.Error("failed to encode load report", zap.Error(err))
		return
	}
	var addresses []string
	for _, entry := range s.entries {
		if all || entry.Site == s.config.Site {
			addresses = append(addresses, entry.Datagrams)
		}
	}
	if err := s.socket.Send(data, addresses...); err != nil {
		s.log.Warn("invalid entry address", zap.Error(err))
	}
}

// namedVersions returns the versions of the last view with their current ages, or nil if
// there is no view. The caller holds the lock.
func (s *Sidecar) namedVersions(now time.Duration) []gateway.NamedAge {
	if !s.hasView {
		return nil
	}
	versions := make([]gateway.NamedAge, 0, len(s.view.Named))
	for _, n := range s.view.Named {
		n.Age += now - s.viewReadAt
		versions = append(versions, n)
	}
	return versions
}
