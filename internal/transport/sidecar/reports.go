package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
)

func (s *Sidecar) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	lost := false
	for turn := 0; ; turn++ {
		asked := boottime.Now()
		report, err := s.engine.Report(ctx)
		if err != nil && !lost && ctx.Err() == nil {
			s.log.Warn("model server lost", zap.Error(err))
		}
		if err == nil && lost {
			s.log.Info("model server regained", zap.Int("Models", len(report.Models)))
		}
		lost = err != nil
		if err == nil {
			s.takeReport(report, asked)
		}
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
		case <-ticker.C:
		}
	}
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
	for _, entry := range s.entries {
		if !all && entry.Site != s.config.Site {
			continue
		}
		d := gateway.Datagram{Load: &gateway.LoadReport{Load: load, View: s.views[entry.Datagrams]}}
		data, err := json.Marshal(d)
		if err != nil {
			s.log.Error("report not encoded", zap.Error(err))
			return
		}
		to, err := net.ResolveUDPAddr("udp4", entry.Datagrams)
		if err != nil {
			s.log.Warn("entry has a bad address", zap.String("Address", entry.Datagrams), zap.Error(err))
			continue
		}
		// A datagram that cannot be sent is as good as lost; the next follows.
		_, _ = s.socket.WriteTo(data, to)
	}
}
