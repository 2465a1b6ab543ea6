package fleet

import (
	"math"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/speed"
)

const (
	// minSlow is the slowdown from which a server is considered slow. Placement ignores smaller values,
	// which observed gaps reach by chance.
	minSlow = 1.25
	// notableSlowdown is the slowdown of which a change is logged.
	notableSlowdown = 1.5
	// slowdownStep is the relative change of a slowdown that the router is told of.
	slowdownStep = 0.1
	// slowRecheckInterval is how often the slowdowns of slow servers are evaluated, as they recover with
	// time alone.
	slowRecheckInterval = 250 * time.Millisecond
	// maxSpeedPause is the time between two calls of RefreshSpeeds above which this entry was suspended.
	maxSpeedPause = time.Second
	// paceTTL is the time without a newer report after which a report with a lower sequence number is
	// used. The host's clock may have been set back.
	paceTTL = 6 * time.Second
	// gapFactorStep is the factor by which one record of gaps changes the gap factor of its service, so
	// that it follows the median of the records. It takes about 40 records to follow a change of 1.5.
	gapFactorStep = 1.01
	maxGapFactor  = 4
	// minCalibrationGaps is the number of gaps in a record from which it changes the gap factor.
	minCalibrationGaps = 4
	// maxSpeedChanges limits the changes that TakeSpeedChanges returns at once.
	maxSpeedChanges = 256
)

// SpeedChange is a change of a server's slowdown across notableSlowdown.
type SpeedChange struct {
	Backend          string
	Before, Slowdown float64
	Source           speed.Source
	// Age is the time since the last report or gap that Slowdown rests on.
	Age time.Duration
}

// EventGap is the time between two events of a stream, of which the second one arrived at At.
type EventGap struct {
	Gap, At time.Duration
}

// engine returns the engine of a server; nil if it has none or the desired state is unknown.
func (f *Fleet) engine(s *server) *catalog.Engine {
	if f.state == nil {
		return nil
	}
	return f.state.Services[s.backend.Service].Engine
}

// recordPace passes the pace of a report to the estimator. Reports may be reordered; the pace of an
// older one is ignored.
func (f *Fleet) recordPace(s *server, report *Report, now time.Duration) {
	if f.engine(s) == nil || report.Sequence < s.paceSequence && now-s.paceAt < paceTTL {
		return
	}
	s.paceSequence, s.paceAt = report.Sequence, now
	f.speeds.Report(s.backend.ID, report.Pace, now)
	f.syncSlowdown(s, now)
}

// RecordGaps records gaps between events of a stream at a server. Gaps of a process that was replaced
// are ignored.
func (f *Fleet) RecordGaps(b catalog.Backend, gaps []EventGap, now time.Duration) {
	s, ok := f.servers[b.ID]
	if !ok || f.Superseded(b) {
		return
	}
	engine := f.engine(s)
	if engine == nil {
		return
	}
	expected := f.calibrate(s, gaps, expectedGap(engine, f.batchSize(s, engine, now)), now)
	for _, gap := range gaps {
		f.speeds.ObserveGap(b.ID, gap.Gap, expected, gap.At)
	}
	f.syncSlowdown(s, now)
}

// calibrate returns the expected gap as corrected by the gap factor of the service, which it updates.
//
// If the description is wrong or prompts are longer than the mean, the gaps of all servers are longer
// than expected, although they truthfully report 1. Only the servers that report this count.
func (f *Fleet) calibrate(s *server, gaps []EventGap, expected, now time.Duration) time.Duration {
	factor := max(f.gapFactors[s.backend.Service], 1)
	corrected := time.Duration(factor * float64(expected))
	normal := f.hasFreshReport(s, now) && s.report.Pace > 0 && s.report.Pace < minSlow
	if !normal || len(gaps) < minCalibrationGaps {
		return corrected
	}
	total := time.Duration(0)
	for _, gap := range gaps {
		total += gap.Gap
	}
	if total > corrected*time.Duration(len(gaps)) {
		factor *= gapFactorStep
	} else {
		factor /= gapFactorStep
	}
	f.gapFactors[s.backend.Service] = min(max(factor, 1), maxGapFactor)
	return corrected
}

// batchSize returns the known number of requests that a server runs. If neither a report nor a peer
// shows what other entries send there, it assumes a full batch, so that an entry that is cut off from
// the others does not consider all servers slow.
func (f *Fleet) batchSize(s *server, engine *catalog.Engine, now time.Duration) int {
	running := s.ownRequests + s.peerTotal
	switch {
	case f.hasFreshReport(s, now):
		running = max(running, s.report.Running)
	case s.peerTotal == 0:
		running = engine.Slots
	}
	return min(max(running, 1), engine.Slots)
}

// expectedGap returns the mean gap between two events of a batch. Answers that end are replaced by
// new requests, and the engine reads their prompts between the steps.
func expectedGap(e *catalog.Engine, running int) time.Duration {
	step := e.StepTime
	if e.EmptyStepTime > 0 && e.Slots > 0 {
		step = e.EmptyStepTime + (e.StepTime-e.EmptyStepTime)*time.Duration(running)/time.Duration(e.Slots)
	}
	if e.MeanAnswerTokens > 0 {
		pairs := float64(e.MeanPromptTokens) * float64(e.MeanPromptTokens) / 2e6
		prompt := time.Duration(e.MeanPromptTokens)*e.PromptTokenTime + time.Duration(pairs*float64(e.AttentionTime))
		step += prompt * time.Duration(running) / time.Duration(e.MeanAnswerTokens)
	}
	return step * time.Duration(e.StepsPerEvent)
}

// SpeedObservations returns what this entry has newly observed of at most limit servers, for the other
// entries of the region.
func (f *Fleet) SpeedObservations(limit int, now time.Duration) map[string]speed.Observation {
	return f.speeds.NewObservations(limit, now)
}

// ApplySpeeds applies the observations of another entry. Those of unknown servers are ignored.
func (f *Fleet) ApplySpeeds(host filbertlever.HostID, observations map[string]speed.Observation, now time.Duration) {
	for id := range observations {
		if s, ok := f.servers[id]; !ok || f.engine(s) == nil {
			delete(observations, id)
		}
	}
	f.speeds.ApplyPeer(host, observations, now)
	for id := range observations {
		f.syncSlowdown(f.servers[id], now)
	}
}

// RefreshSpeeds applies the changes of slowdowns that depend on time alone. It must be called several
// times a second: a longer pause means that this entry was suspended, and what it had observed is
// discarded.
func (f *Fleet) RefreshSpeeds(now time.Duration) {
	if f.speedsCheckedAt != 0 && now-f.speedsCheckedAt > maxSpeedPause {
		f.speeds.Invalidate(now)
	}
	f.speedsCheckedAt = now
	if now-f.slowCheckedAt < slowRecheckInterval {
		return
	}
	f.slowCheckedAt = now
	for _, s := range f.slow {
		f.syncSlowdown(s, now)
	}
}

// routedSlowdown returns the slowdown that the router uses.
func (s *server) routedSlowdown() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown
}

// syncSlowdown updates the router if the estimated slowdown of a server has changed.
func (f *Fleet) syncSlowdown(s *server, now time.Duration) {
	estimate := f.speeds.Estimate(s.backend.ID, now)
	slowdown, before := estimate.Slowdown, s.routedSlowdown()
	if slowdown < minSlow {
		slowdown = 1
	}
	if slowdown == before || slowdown != 1 && math.Abs(slowdown-before) < slowdownStep*before {
		return
	}
	router := f.router(s.backend.Service)
	if router == nil {
		s.slowdown = 0
		delete(f.slow, s.backend.ID)
		return
	}
	s.slowdown = slowdown
	router.SetSlowdown(filbertlever.HostID(s.backend.ID), slowdown)
	if slowdown > 1 {
		f.slow[s.backend.ID] = s
	} else {
		delete(f.slow, s.backend.ID)
	}
	if (slowdown >= notableSlowdown) != (before >= notableSlowdown) && len(f.speedChanges) < maxSpeedChanges {
		f.speedChanges = append(f.speedChanges, SpeedChange{Backend: s.backend.ID, Before: before, Slowdown: slowdown, Source: estimate.Source, Age: estimate.Age})
	}
}

// SlowCount returns the number of servers that are considered slow.
func (f *Fleet) SlowCount() int { return len(f.slow) }

// TakeSpeedChanges returns the changes of slowdowns since the last call.
func (f *Fleet) TakeSpeedChanges() []SpeedChange {
	changes := f.speedChanges
	f.speedChanges = nil
	return changes
}
