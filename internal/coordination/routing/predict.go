package routing

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// predict returns the time to the first token if the request went to host i.
// The prefix's owner is taken to have it cached: every entry sends it there, so
// if it is not true yet it soon is.
func (r *Router) predict(i int32, request *Request, owner bool) time.Duration {
	h := &r.hosts[i]
	prefill := float64(request.PromptTokens)
	if owner || r.prefixCached(i, request.Prefix) {
		prefill *= 1 - r.config.HitShare
	}
	predicted := time.Duration(prefill * float64(r.config.PrefillToken))
	switch {
	case h.region != r.region:
		predicted += r.config.OtherRegion
	case h.site != r.site:
		predicted += r.config.OtherSite
	}
	if request.Now > 0 {
		// An engine reads prompts one after the other and makes no token meanwhile.
		predicted += max(h.prefillUntil-request.Now, 0) + h.currentBias(request.Now)
	}
	return predicted + r.config.FirstToken + r.predictWait(h)
}

// predictWait predicts the queueing time: what the report says, corrected by what
// was sent since. Below the concurrency limit a busier host is still a little
// slower, since engines batch.
func (r *Router) predictWait(h *host) time.Duration {
	concurrency := max(h.load.Concurrency, 1)
	busy := h.load.Running + h.load.Queued + h.inFlight
	over := h.queuePosition()
	service := r.config.Service
	if h.load.Queued > 0 && h.load.Wait > 0 {
		service = h.load.Wait * time.Duration(concurrency) / time.Duration(h.load.Queued+1)
	}
	share := service / time.Duration(concurrency)
	if over <= 0 {
		return share * time.Duration(busy) / time.Duration(batchDivisor*concurrency)
	}
	// One place is free half a turn from now on average.
	return share*time.Duration(over) - share/2 + share/batchDivisor
}

// willInterrupt reports whether an answer would be broken off at host i, which leaves.
func (r *Router) willInterrupt(i int32, request *Request, predicted time.Duration) bool {
	leaves := r.hosts[i].interruptAt
	return leaves > request.Now && request.Lasts > 0 && request.Now+predicted+request.Lasts > leaves
}

// lastAttemptCostFactor is how many times more than another an answer suffers that cannot go
// on elsewhere: it is lost, where others have a pause.
const lastAttemptCostFactor = 12

func (r *Router) interruptCost(cut bool, request *Request) time.Duration {
	switch {
	case !cut:
		return 0
	case request.Final:
		return lastAttemptCostFactor * r.config.Cut
	}
	return r.config.Cut
}

// queuePosition is how many requests would wait with one more.
func (h *host) queuePosition() int {
	return h.load.Running + h.load.Queued + h.inFlight + 1 - max(h.load.Concurrency, 1)
}

func (r *Router) prefixCached(i int32, prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	hint := r.prefixHints[prefix%prefixSlots]
	return hint.prefix == prefix && hint.host == i
}

// currentBias returns what is left of the bias.
func (h *host) currentBias(now time.Duration) time.Duration {
	left := 1 - float64(now-h.biasAt)/float64(biasDecay)
	return time.Duration(max(left, 0) * float64(h.bias))
}

// Observe notes the time to a first token beside what was predicted for it.
//
// Guard: a host whose link or processor is slow has as few requests as a sound
// one, and its callers wait; what its answers took is the only sign.
func (r *Router) Observe(id filbertlever.HostID, predicted, took, now time.Duration) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	old := h.currentBias(now)
	// The prediction holds the bias already; what it was without is compared.
	late := took - max(predicted-old, 0)
	h.bias = min(max(old+time.Duration(biasWeight*float64(late-old)), 0), maxBias)
	h.biasAt = now
}

// addPrefill notes that a host has one more prompt to read.
func (r *Router) addPrefill(i int32, request *Request) {
	h := &r.hosts[i]
	h.prefillUntil = max(h.prefillUntil, request.Now) + time.Duration(request.PromptTokens)*r.config.PrefillToken
}

// batchDivisor is how many times less a full batch slows a request than one place in the queue does.
const batchDivisor = 2

const (
	// biasWeight is the weight of the newest observation.
	biasWeight = 0.3
	// biasDecay is how long a bias takes to fade, so that a host that was slow is
	// tried again: a few requests a second then tell how it is.
	biasDecay = 4 * time.Second
	maxBias   = 2 * time.Second
)
