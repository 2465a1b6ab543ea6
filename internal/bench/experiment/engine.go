package experiment

import (
	"slices"
	"time"
)

// attempt is one try of a request at an engine.
type attempt struct {
	entry    *entry
	request  *request
	server   *engine
	placedAt time.Duration
	// predictedDelay is when the first token was predicted, from the placement on.
	predictedDelay time.Duration
	// prefilled is true once the prompt has been read, and left how many tokens are still to be made.
	prefilled       bool
	remainingTokens int
	// ended is true once nobody waits for the answer.
	ended bool
}

// engine is a model server that works in passes: each reads the prompts that have come, as many as
// there are free slots, and makes one event of each request that is running.
type engine struct {
	simulation *simulation
	id         string
	address    string
	region     string
	running    []*attempt
	queued     []*attempt
	// passRunning is true while a pass is under way.
	passRunning bool
	// loadedVersion is the version of the weights; 0 while none are loaded, and loadedAt when they will be.
	loadedVersion uint64
	loadEnd       time.Duration
	// boot tells processes apart, so that a pass of an earlier one ends nothing.
	boot     int
	sequence uint64
}

// enqueue takes a request.
func (s *engine) enqueue(j *attempt) {
	s.queued = append(s.queued, j)
	s.startPass()
}

// startPass begins a pass if there is something to do.
func (s *engine) startPass() {
	s.running = slices.DeleteFunc(s.running, func(j *attempt) bool { return j.ended })
	s.queued = slices.DeleteFunc(s.queued, func(j *attempt) bool { return j.ended })
	free := max(s.simulation.Engine.Slots-len(s.running), 0)
	next := s.queued[:min(free, len(s.queued))]
	if s.passRunning || s.loadedVersion == 0 || len(s.running)+len(next) == 0 {
		return
	}
	tokens := 0
	for _, j := range next {
		tokens += j.request.promptTokens
	}
	s.running = append(s.running, next...)
	s.queued = slices.Clone(s.queued[len(next):])
	pass := time.Duration(s.simulation.Engine.Stride)*s.simulation.Engine.Step +
		time.Duration(tokens)*time.Second/time.Duration(s.simulation.Engine.PromptsPerSecond)
	s.passRunning = true
	life := s.boot
	s.simulation.after(pass, func() { s.endPass(life) })
}

func (s *engine) endPass(life int) {
	if life != s.boot {
		return
	}
	s.passRunning = false
	for _, j := range s.running {
		if !j.prefilled {
			j.prefilled = true
			s.simulation.recordFirstToken(j)
		}
		j.remainingTokens -= s.simulation.Engine.Stride
		if j.remainingTokens <= 0 {
			s.simulation.completeAttempt(j)
		}
	}
	s.startPass()
}

// stop ends the process with all that it runs.
func (s *engine) stop() {
	lost := slices.Concat(s.running, s.queued)
	s.running, s.queued, s.passRunning, s.loadedVersion, s.loadEnd = nil, nil, false, 0, 0
	s.boot++
	for _, j := range lost {
		s.simulation.failAttempt(j)
	}
}

// start loads the weights.
func (s *engine) start() {
	s.loadEnd = s.simulation.now + s.simulation.Engine.Load
	life := s.boot
	s.simulation.report(s)
	s.simulation.after(s.simulation.Engine.Load, func() {
		if life != s.boot {
			return
		}
		s.loadedVersion, s.loadEnd = 1, 0
		s.simulation.report(s)
	})
}
