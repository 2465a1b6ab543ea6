package experiment

import (
	"slices"
	"time"
)

// attempt is one attempt to run a request on an engine.
type attempt struct {
	entry   *entry
	request *request
	// call is the caller's try that the attempt belongs to; nil if entries do not retry.
	call     *call
	server   *engine
	placedAt time.Duration
	// predictedDelay is the predicted time from the placement to the first token.
	predictedDelay time.Duration
	// prefilled is true once the prompt has been processed.
	prefilled bool
	// promptTokens is the length of the prompt, with the part of the answer that was already sent.
	promptTokens int
	// lastEventAt is when the server last sent an event, or when the attempt was placed.
	lastEventAt time.Duration
	// remainingTokens is the number of tokens that are still to be generated.
	remainingTokens int
	// ended is true once the attempt has completed or failed.
	ended bool
}

// engine models a model server with batched passes. A pass processes queued prompts, up to the
// number of free slots, and generates one event for each running request.
type engine struct {
	simulation *simulation
	id         string
	address    string
	region     string
	running    []*attempt
	queued     []*attempt
	// passRunning is true during a pass.
	passRunning bool
	// passEnd is when the current pass ends.
	passEnd time.Duration
	// pausedUntil is when the server continues after a pause.
	pausedUntil time.Duration
	// linkedAt is when requests, events and reports pass again.
	linkedAt time.Duration
	// slowdown is the factor by which passes take longer than usual.
	slowdown float64
	// loadedVersion is the version of the loaded weights, or 0.
	loadedVersion uint64
	// loadEnd is the time at which loading ends, or 0.
	loadEnd time.Duration
	// boot counts the boots of the server, so that the end of a pass of an earlier boot is ignored.
	boot     int
	sequence uint64
	// limit is the rate limit that the answers announce; nil if there is none.
	limit *float64
}

// enqueue adds an attempt to the queue.
func (s *engine) enqueue(a *attempt) {
	if now := s.simulation.now; now < s.linkedAt {
		s.simulation.after(s.linkedAt-now, func() { s.enqueue(a) })
		return
	}
	s.queued = append(s.queued, a)
	s.startPass()
}

// startPass starts a pass if none is running and there are attempts to process.
func (s *engine) startPass() {
	s.running = slices.DeleteFunc(s.running, s.finished)
	s.queued = slices.DeleteFunc(s.queued, s.finished)
	free := max(s.simulation.Engine.Slots-len(s.running), 0)
	next := s.queued[:min(free, len(s.queued))]
	if s.passRunning || s.loadedVersion == 0 || len(s.running)+len(next) == 0 {
		return
	}
	tokens := 0
	for _, a := range next {
		tokens += a.promptTokens
	}
	s.running = append(s.running, next...)
	s.queued = slices.Clone(s.queued[len(next):])
	pass := time.Duration(s.simulation.Engine.Stride)*s.simulation.Engine.Step +
		time.Duration(tokens)*time.Second/time.Duration(s.simulation.Engine.PromptsPerSecond)
	pass = time.Duration(float64(pass) * s.slowdown)
	s.passRunning = true
	s.passEnd = max(s.simulation.now, s.pausedUntil) + pass
	boot := s.boot
	s.simulation.after(s.passEnd-s.simulation.now, func() { s.endPass(boot) })
}

// finished reports whether the server has nothing more to do for an attempt.
func (s *engine) finished(a *attempt) bool {
	return a.remainingTokens <= 0 || a.ended && s.simulation.now >= s.linkedAt
}

// endPass processes the end of a pass and starts the next one.
func (s *engine) endPass(boot int) {
	if boot != s.boot {
		return
	}
	if s.simulation.now < s.passEnd {
		s.simulation.after(s.passEnd-s.simulation.now, func() { s.endPass(boot) })
		return
	}
	s.passRunning = false
	for _, a := range s.running {
		if a.call != nil {
			a.advance()
			continue
		}
		if !a.prefilled {
			a.prefilled = true
			s.simulation.recordFirstToken(a)
		}
		a.remainingTokens -= s.simulation.Engine.Stride
		if a.remainingTokens <= 0 {
			s.simulation.completeAttempt(a)
		}
	}
	s.startPass()
}

// stop ends the server process. All its attempts fail.
func (s *engine) stop() {
	failed := slices.Concat(s.running, s.queued)
	s.running, s.queued, s.passRunning, s.loadedVersion, s.loadEnd = nil, nil, false, 0, 0
	s.pausedUntil = 0
	s.boot++
	for _, a := range failed {
		s.simulation.failAttempt(a)
	}
}

// start starts the server process and loads the weights.
func (s *engine) start() {
	s.loadEnd = s.simulation.now + s.simulation.Engine.Load
	boot := s.boot
	s.simulation.report(s)
	s.simulation.after(s.simulation.Engine.Load, func() {
		if boot != s.boot {
			return
		}
		s.loadedVersion, s.loadEnd = 1, 0
		s.simulation.report(s)
	})
}
