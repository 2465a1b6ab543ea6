package experiment

import (
	"slices"
	"time"
)

// job is one try of a request at an engine.
type job struct {
	entry  *entry
	asked  *request
	server *engine
	placed time.Duration
	// predicted is when the first token was predicted, from the placement on.
	predicted time.Duration
	// read is true once the prompt has been read, and left how many tokens are still to be made.
	read bool
	left int
	// over is true once nobody waits for the answer.
	over bool
}

// engine is a model server that works in passes: each reads the prompts that have come, as many as
// there are free slots, and makes one event of each request that is running.
type engine struct {
	world   *world
	id      string
	address string
	region  string
	running []*job
	queued  []*job
	// working is true while a pass is under way.
	working bool
	// holds is the version of the weights; 0 while none are loaded, and loadedAt when they will be.
	holds    uint64
	loadedAt time.Duration
	// life tells processes apart, so that a pass of an earlier one ends nothing.
	life     int
	sequence uint64
}

// take takes a request.
func (s *engine) take(j *job) {
	s.queued = append(s.queued, j)
	s.work()
}

// work begins a pass if there is something to do.
func (s *engine) work() {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.over })
	s.queued = slices.DeleteFunc(s.queued, func(j *job) bool { return j.over })
	free := max(s.world.Engine.Slots-len(s.running), 0)
	next := s.queued[:min(free, len(s.queued))]
	if s.working || s.holds == 0 || len(s.running)+len(next) == 0 {
		return
	}
	tokens := 0
	for _, j := range next {
		tokens += j.asked.prompt
	}
	s.running = append(s.running, next...)
	s.queued = slices.Clone(s.queued[len(next):])
	pass := time.Duration(s.world.Engine.Stride)*s.world.Engine.Step +
		time.Duration(tokens)*time.Second/time.Duration(s.world.Engine.PromptsPerSecond)
	s.working = true
	life := s.life
	s.world.after(pass, func() { s.endPass(life) })
}

func (s *engine) endPass(life int) {
	if life != s.life {
		return
	}
	s.working = false
	for _, j := range s.running {
		if !j.read {
			j.read = true
			s.world.first(j)
		}
		j.left -= s.world.Engine.Stride
		if j.left <= 0 {
			s.world.answered(j)
		}
	}
	s.work()
}

// stop ends the process with all that it runs.
func (s *engine) stop() {
	lost := slices.Concat(s.running, s.queued)
	s.running, s.queued, s.working, s.holds, s.loadedAt = nil, nil, false, 0, 0
	s.life++
	for _, j := range lost {
		s.world.lost(j)
	}
}

// start loads the weights.
func (s *engine) start() {
	s.loadedAt = s.world.now + s.world.Engine.Load
	life := s.life
	s.world.report(s)
	s.world.after(s.world.Engine.Load, func() {
		if life != s.life {
			return
		}
		s.holds, s.loadedAt = 1, 0
		s.world.report(s)
	})
}
