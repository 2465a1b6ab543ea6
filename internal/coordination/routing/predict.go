package routing

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// predict returns the time to first token if the request were sent to host i. The
// first owner of the prefix is assumed to have it cached: every entry sends the
// prefix there, so the host caches it soon.
func (r *Router) predict(i int32, request *Request, owner bool) time.Duration {
	h := &r.hosts[i]
	prefill := float64(request.PromptTokens)
	if owner || r.prefixCached(i, request.Prefix) {
		prefill *= 1 - r.config.PrefixShare
	}
	predicted := h.scale(time.Duration(prefill * float64(r.config.PrefillPerToken)))
	switch {
	case h.region != r.region:
		predicted += r.config.OtherRegionCost
	case h.site != r.site:
		predicted += r.config.OtherSiteCost
	}
	if request.Now > 0 {
		// An engine prefills prompts one at a time and generates no tokens meanwhile.
		predicted += max(h.prefillUntil-request.Now, 0) + h.currentBias(request.Now)
	}
	return predicted + h.scale(r.config.FirstToken+r.predictWait(h))
}

// predictWait predicts the queueing time from the last report and the requests
// sent since. Below the concurrency limit a busier host is still slightly slower,
// since engines batch.
func (r *Router) predictWait(h *host) time.Duration {
	concurrency := max(h.load.Concurrency, 1)
	busy := h.requests()
	position := h.queuePosition()
	serviceTime := r.config.ServiceTime
	if h.load.Queued > 0 && h.load.PredictedWait > 0 {
		serviceTime = h.load.PredictedWait * time.Duration(concurrency) / time.Duration(h.load.Queued+1)
	}
	slotInterval := serviceTime / time.Duration(concurrency)
	if position <= 0 {
		return slotInterval * time.Duration(busy) / time.Duration(batchDivisor*concurrency)
	}
	// A slot becomes free every slotInterval, the next one after half of it on average.
	return slotInterval*time.Duration(position) - slotInterval/2 + slotInterval/batchDivisor
}

// willInterrupt reports whether host i is predicted to interrupt the answer before its end.
func (r *Router) willInterrupt(i int32, request *Request, predicted time.Duration) bool {
	interruptAt := r.hosts[i].interruptAt
	return interruptAt > request.Now && request.AnswerDuration > 0 && request.Now+predicted+r.hosts[i].scale(request.AnswerDuration) > interruptAt
}

const (
	// lastAttemptCostFactor multiplies the cost of an interruption on the last attempt: the answer is
	// lost, while other answers only pause.
	lastAttemptCostFactor = 12
	// lastAttemptMargin times the predicted duration is how long an answer may take on the last attempt.
	lastAttemptMargin = 2
)

// interruptCost returns the cost of an interruption by host h, 0 if none is expected.
//
// While all hosts are interrupted in turn, each of them may interrupt the last attempt. Its cost therefore
// grows with the part of the answer that would be interrupted, so that the host that stays longest is chosen.
func (r *Router) interruptCost(h *host, request *Request, predicted time.Duration, willInterrupt bool) time.Duration {
	if !request.LastAttempt {
		if willInterrupt {
			return r.config.InterruptCost
		}
		return 0
	}
	longest := lastAttemptMargin * h.scale(request.AnswerDuration)
	if longest <= 0 || h.interruptAt <= request.Now {
		return 0
	}
	interrupted := float64(request.Now+predicted+longest-h.interruptAt) / float64(longest)
	return time.Duration(min(max(interrupted, 0), 1) * lastAttemptCostFactor * float64(r.config.InterruptCost))
}

// queuePosition returns how many requests above its concurrency the host would
// have with one more.
func (h *host) queuePosition() int {
	return h.requests() + 1 - max(h.load.Concurrency, 1)
}

// requests returns how many requests the host is known to have.
func (h *host) requests() int { return h.load.Running + h.load.Queued + h.inFlight }

// prefixCached reports whether a prefix was last sent to host i.
func (r *Router) prefixCached(i int32, prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	hint := r.prefixHints[prefix%prefixSlots]
	return hint.prefix == prefix && hint.host == i
}

// currentBias returns the bias after its linear decay.
func (h *host) currentBias(now time.Duration) time.Duration {
	weight := 1 - float64(now-h.biasAt)/float64(biasDecay)
	return time.Duration(max(weight, 0) * float64(h.bias))
}

// Observe records the measured time to a first token with the predicted one. A
// host with a slow link or processor has as few requests as a healthy one, so
// the time that its answers took is the only sign that it is slow.
func (r *Router) Observe(id filbertlever.HostID, predicted, took, now time.Duration) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	old := h.currentBias(now)
	// The prediction includes the bias, so the bias is subtracted before the comparison.
	lateness := took - max(predicted-old, 0)
	h.bias = min(max(old+time.Duration(biasWeight*float64(lateness-old)), 0), maxBias)
	h.biasAt = now
}

// addPrefill adds a request's prompt to the prefill backlog of a host.
func (r *Router) addPrefill(i int32, request *Request) {
	h := &r.hosts[i]
	h.prefillUntil = max(h.prefillUntil, request.Now) + h.scale(time.Duration(request.PromptTokens)*r.config.PrefillPerToken)
}

// Withdraw takes back a choice whose request is not sent, with its prompt in the backlog.
func (r *Router) Withdraw(id filbertlever.HostID, promptTokens int) {
	if i, ok := r.index[id]; ok {
		h := &r.hosts[i]
		h.prefillUntil -= h.scale(time.Duration(promptTokens) * r.config.PrefillPerToken)
		r.Release(id)
	}
}

// batchDivisor is how many times smaller the delay in a full batch is than the delay by one queue
// position.
const batchDivisor = 2

const (
	// biasWeight is the weight of the newest observation in the smoothed bias.
	biasWeight = 0.3
	// biasDecay is the time in which a bias decays to 0, so that a slow host is
	// tried again. A few requests per second then show whether it is still slow.
	biasDecay = 4 * time.Second
	maxBias   = 2 * time.Second
)
