package routing

import (
	"math"
	"time"

	"github.com/filbertlever/filbertlever"
)

const (
	// minSlowdown is the slowdown from which a host counts as slow. Estimates of equal hosts differ by up
	// to a fifth.
	minSlowdown = 1.25
	// maxSlowdown bounds a slowdown, which may result from a false report.
	maxSlowdown = 16
	// answerCostShare is the fraction of the additional duration of an answer at a slow host that counts
	// as cost. The whole would leave slow hosts idle until requests queue at all others.
	answerCostShare = 0.5
)

// SetSlowdown sets the factor by which a host is slower than its engine's description, 0 if it is
// unknown. Values that are not finite or below 0 count as unknown.
func (r *Router) SetSlowdown(id filbertlever.HostID, slowdown float64) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	if math.IsNaN(slowdown) || math.IsInf(slowdown, 0) || slowdown < 0 {
		slowdown = 0
	}
	r.hosts[i].slowdown = min(slowdown, maxSlowdown)
}

// SetFreeMemory sets how many more tokens fit into the memory of a host, negative if it is unknown.
func (r *Router) SetFreeMemory(id filbertlever.HostID, tokens int) {
	r.SetFreeMemoryUntil(id, tokens, math.MaxInt64)
}

// SetFreeMemoryUntil is SetFreeMemory with a time from which the free memory is unknown.
func (r *Router) SetFreeMemoryUntil(id filbertlever.HostID, tokens int, until time.Duration) {
	if i, ok := r.index[id]; ok {
		r.hosts[i].freeTokens = max(tokens, 0)
		r.hosts[i].memoryUntil = until
		if tokens < 0 {
			r.hosts[i].memoryUntil = 0
		}
	}
}

// isSlow reports whether predictions for a host take its slowdown into account.
func (h *host) isSlow() bool { return h.slowdown >= minSlowdown }

// scale returns how long a host takes for what its engine's description says takes d.
func (h *host) scale(d time.Duration) time.Duration {
	if !h.isSlow() {
		return d
	}
	return time.Duration(h.slowdown * float64(d))
}

// lacksMemory reports whether a host is known to have too little free memory for a request.
func (h *host) lacksMemory(request *Request) bool {
	return request.Now < h.memoryUntil && h.freeTokens < request.PromptTokens+request.AnswerTokens
}

// tier groups the candidates of a request. A lower tier is preferred whatever the costs are.
type tier uint8

const (
	// tierInTime has a free slot, and the request neither delays the events of other answers too much nor
	// ends after its deadline.
	tierInTime tier = iota
	// tierFree has a free slot.
	tierFree
	// tierQueued has none, or a backlog of prompts for which admission control refuses the request.
	tierQueued
)

// tier returns the tier of host i for a request with a predicted time to first token. A host that is not
// slow is in tierInTime if it has a free slot and memory.
func (r *Router) tier(i int32, request *Request, predicted time.Duration) tier {
	h := &r.hosts[i]
	position := h.queuePosition()
	if h.region != r.region {
		position += r.config.OtherRegionMargin
	}
	backlog := h.prefillUntil - request.Now
	switch {
	case position > 0 || request.Now > 0 && r.config.MaxPrefillWait > 0 && backlog > r.config.MaxPrefillWait:
		return tierQueued
	case h.lacksMemory(request):
		return tierFree
	case !h.isSlow():
		return tierInTime
	case h.requests()+1 > r.speedLimit(h.slowdown, request.MaxEventGap):
		return tierFree
	case request.Remaining > 0 && predicted+h.scale(request.AnswerDuration) > request.Remaining:
		return tierFree
	}
	return tierInTime
}

// speedLimit returns the largest number of requests, at least 1, with which the predicted gap between two
// events of a host stays within maxGap.
//
// While n requests run, a prompt is prefilled for each answer that ends, so during the decoding of a
// typical answer n prompts are prefilled. The gap is stretched by the same proportion:
//
//	gap(n) = slowdown * StepsPerEvent * StepTime * (1 + n * TypicalPrefill / TypicalDecode)
func (r *Router) speedLimit(slowdown float64, maxGap time.Duration) int {
	steps := slowdown * float64(r.config.StepsPerEvent) * float64(r.config.StepTime)
	if maxGap <= 0 || steps <= 0 {
		return math.MaxInt
	}
	stretch := float64(maxGap)/steps - 1
	switch {
	case stretch < 0:
		return 1
	case r.config.TypicalPrefill <= 0 || r.config.TypicalDecode <= 0:
		return math.MaxInt
	}
	limit := stretch * float64(r.config.TypicalDecode) / float64(r.config.TypicalPrefill)
	return int(min(max(limit, 1), math.MaxInt32))
}
