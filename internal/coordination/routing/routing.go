// Package routing chooses the backend server for a model request: the one with
// the shortest predicted time to first token among a few candidates.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Config holds the parameters of a Router's predictions.
type Config struct {
	// Policy picks among eligible hosts. The zero value is PolicyPredicted, the
	// one used in production.
	Policy Policy
	// ServiceTime is how long a request occupies a slot. It applies until load
	// reports give an estimate.
	ServiceTime time.Duration
	// FirstToken is the time to first token of an idle host for an empty prompt.
	FirstToken time.Duration
	// PrefillPerToken is the time to prefill one prompt token.
	PrefillPerToken time.Duration
	// TypicalPrefill is the time to prefill a prompt of typical length. It is
	// assumed for each request of other routers.
	TypicalPrefill time.Duration
	// OtherSiteCost and OtherRegionCost are added for hosts at another site or in
	// another region.
	OtherSiteCost   time.Duration
	OtherRegionCost time.Duration
	// Samples is how many hosts are sampled at random for each request, besides
	// the two owners of the prompt's prefix.
	Samples int
	// PrefixShare is the fraction of a prompt that a cached prefix covers.
	PrefixShare float64
	// InterruptCost is added for hosts that are predicted to interrupt the answer.
	// It then resumes on another host, where its prompt is prefilled again.
	InterruptCost time.Duration
	// SuspectCost is added for hosts that may have failed.
	SuspectCost time.Duration

	// The following apply only where a candidate is slow or lacks memory. 0 means unknown and has no
	// effect.

	// StepTime is the duration of one decoding step, and StepsPerEvent the number of steps between two
	// events of an answer.
	StepTime      time.Duration
	StepsPerEvent int
	// TypicalDecode is how long the steps of an answer of typical length take, without the prompts that
	// are prefilled meanwhile.
	TypicalDecode time.Duration
	// MaxPrefillWait is the prefill backlog beyond which admission control refuses a request.
	MaxPrefillWait time.Duration
	// OtherRegionMargin is how many requests more than known are assumed at a host of another region.
	OtherRegionMargin int
}

// DefaultConfig returns the costs used in production.
func DefaultConfig() Config {
	return Config{
		ServiceTime:     time.Second,
		PrefillPerToken: 100 * time.Microsecond,
		OtherSiteCost:   time.Millisecond,
		OtherRegionCost: 2 * time.Millisecond,
		Samples:         3,
		PrefixShare:     0.8,
	}
}

// Load is a backend server's load as reported by its agent.
type Load struct {
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	Running  int
	Queued   int
	// Concurrency is how many requests the server runs at once.
	Concurrency int
	// PredictedWait is the queueing time that the agent predicts for a new request.
	PredictedWait time.Duration
	// Incarnation identifies the process of the agent that made the report.
	Incarnation filbertlever.Incarnation
	// Received is how many requests of this router the agent had received when it
	// made the report, so that those in transit can be added.
	Received uint64
}

// Target identifies a set of weights that hosts have loaded.
type Target string

// Request is a model request to route.
type Request struct {
	Target Target
	// Prefix is the hash of the organisation and the beginning of the prompt, so
	// that organisations share no cache hints. 0 means none.
	Prefix uint64
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Avoid lists the hosts where the request has already failed.
	Avoid []filbertlever.HostID
	// Only lists the hosts that may be chosen; empty for all.
	Only []filbertlever.HostID
	// Regions are the regions of the hosts that may run the request.
	Regions filbertlever.Regions
	// AnswerDuration is how long the answer is predicted to take at a host that is not slow, 0 if unknown.
	AnswerDuration time.Duration
	// AnswerTokens is the expected length of the answer in tokens, 0 if unknown.
	AnswerTokens int
	// Remaining is the time until the request's deadline. 0 or less means unknown.
	Remaining time.Duration
	// MaxEventGap is the longest gap between events that the caller accepts, 0 if unknown.
	MaxEventGap time.Duration
	// LastAttempt is true if the answer cannot resume on another host again.
	LastAttempt bool
	// Now is the time on any monotonic clock. If it is 0, prefill backlogs and the
	// bias of slow hosts are ignored.
	Now time.Duration
}

// Candidate is a host that was considered for a request.
type Candidate struct {
	Host filbertlever.HostID
	// Predicted is the predicted time to first token.
	Predicted time.Duration
}

// maxCandidates bounds the hosts considered for a request.
const maxCandidates = 8

// Choice is the routing decision on one request. It holds no pointers into the
// router, so it can be logged later.
type Choice struct {
	Host filbertlever.HostID
	// Predicted is the predicted time to first token.
	Predicted time.Duration
	// PrefillWait is the host's prefill backlog of earlier prompts.
	PrefillWait time.Duration
	// WillInterrupt is true if the host is predicted to interrupt the answer.
	WillInterrupt bool
	// QueuePosition is how many requests the host has above its concurrency, this
	// one included. It is negative if slots are free.
	QueuePosition int
	Reason        Reason
	// CandidateCount is how many of Candidates are set.
	CandidateCount int
	Candidates     [maxCandidates]Candidate
}

// Reason says why a host was chosen.
type Reason string

// The reasons.
const (
	ReasonLeastPredicted Reason = "LeastPredicted"
	ReasonPrefixCached   Reason = "PrefixCached"
	ReasonNoHost         Reason = "NoHost"
)

// host is the router's state of one backend server.
type host struct {
	id     filbertlever.HostID
	site   string
	region string
	usable bool
	load   Load
	// dispatched is how many requests this router sent to the current incarnation.
	dispatched uint64
	// inFlight is how many of them the last report did not include. With
	// SetOtherRequests it is how many have not ended.
	inFlight int
	// prefillUntil is when the host is predicted to have prefilled all prompts
	// sent to it.
	prefillUntil time.Duration
	// bias is the smoothed difference between the measured and the predicted time
	// to first token, as of biasAt.
	bias   time.Duration
	biasAt time.Duration
	// interruptAt is when the host interrupts its answers, for instance to change
	// its weights, 0 if it does not.
	interruptAt time.Duration
	// suspect is true while the host may have failed.
	suspect bool
	// slowdown is the factor by which the host is slower than its engine's description, 0 if unknown.
	slowdown float64
	// freeTokens is how many more tokens fit into its memory. It is unknown from memoryUntil on.
	freeTokens  int
	memoryUntil time.Duration
	// targets lists the targets that the host serves.
	targets []Target
}

const (
	ringPointsPerHost = 8
	// prefixSlots is the size of the table of prefix hints.
	prefixSlots = 1 << 14
	// maxSampleAttempts bounds the random hosts looked at for a request. A host may be sampled twice or
	// be ineligible.
	maxSampleAttempts = 12
)

// Router chooses backend servers for one entry and keeps the entry's view of
// their load. It is not safe for concurrent use.
type Router struct {
	config Config
	site   string
	region string
	rng    *rand.Rand
	hosts  []host
	index  map[filbertlever.HostID]int32
	pools  map[Target]*pool
	// prefixHints records, by hash slot, which prefix was last sent to which host.
	// It is only a hint about the host's cache.
	prefixHints [prefixSlots]prefixHint
	// hasHints is true once a hint has been recorded.
	hasHints bool
	// roundRobin counts the choices of PolicyRoundRobin.
	roundRobin int
	// inRegions is the buffer of hostsIn.
	inRegions []int32
}

type prefixHint struct {
	prefix uint64
	host   int32
}

// New returns a router for an entry at a site. Each router needs its own source
// of random numbers, so that entries don't make the same choices.
func New(config Config, site, region string, rng *rand.Rand) *Router {
	return &Router{
		config: config,
		site:   site,
		region: region,
		rng:    rng,
		index:  map[filbertlever.HostID]int32{},
		pools:  map[Target]*pool{},
	}
}

// SetHost adds or updates a host.
func (r *Router) SetHost(h filbertlever.Host, usable bool) {
	i, ok := r.index[h.ID]
	if !ok {
		i = int32(len(r.hosts))
		r.hosts = append(r.hosts, host{id: h.ID})
		r.index[h.ID] = i
	}
	r.hosts[i].site = h.Site
	r.hosts[i].region = h.Region
	r.hosts[i].usable = usable
}

// SetTargets sets the targets that a host serves.
func (r *Router) SetTargets(id filbertlever.HostID, targets []Target) {
	i, ok := r.index[id]
	if !ok || slices.Equal(r.hosts[i].targets, targets) {
		return
	}
	for _, target := range r.hosts[i].targets {
		r.pools[target].remove(i)
	}
	r.hosts[i].targets = slices.Clone(targets)
	for _, target := range targets {
		p, ok := r.pools[target]
		if !ok {
			p = &pool{}
			r.pools[target] = p
		}
		p.add(i, id)
	}
}

// Report applies a load report, which the host's answers or other processes
// deliver. Reports arrive late and out of order, so one that is older than the
// last report of the same incarnation is ignored. It would restore outdated load.
func (r *Router) Report(id filbertlever.HostID, load Load) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	if load.Incarnation == h.load.Incarnation && load.Sequence < h.load.Sequence {
		return
	}
	if load.Incarnation != h.load.Incarnation && h.load.Incarnation != "" {
		h.dispatched = load.Received
	}
	h.load = load
	h.inFlight = int(h.dispatched - min(load.Received, h.dispatched))
}

// SetOtherRequests sets how many requests of other routers a host has. It replaces
// reports if all routers exchange their counts. Each additional request adds a
// typical prompt to the host's prefill backlog.
func (r *Router) SetOtherRequests(id filbertlever.HostID, count, concurrency int, now time.Duration) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	if added := count - h.load.Running; added > 0 && now > 0 {
		h.prefillUntil = max(h.prefillUntil, now) + h.scale(time.Duration(added)*r.config.TypicalPrefill)
	}
	h.load = Load{Running: count, Concurrency: concurrency}
}

// SetInterruptAt sets when a host interrupts its answers, for instance to change
// its weights, 0 if it does not.
func (r *Router) SetInterruptAt(id filbertlever.HostID, at time.Duration) {
	if i, ok := r.index[id]; ok {
		r.hosts[i].interruptAt = at
	}
}

// SetSuspect sets whether a host may have failed.
func (r *Router) SetSuspect(id filbertlever.HostID, suspect bool) {
	if i, ok := r.index[id]; ok {
		r.hosts[i].suspect = suspect
	}
}

// Release records that a request sent to a host ended without a load report, for
// instance because the host failed.
func (r *Router) Release(id filbertlever.HostID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	if h.inFlight > 0 {
		h.inFlight--
		return
	}
	if h.load.Queued > 0 {
		h.load.Queued--
		return
	}
	h.load.Running = max(h.load.Running-1, 0)
}

// Cancel undoes a choice of a host that the request was not sent to.
func (r *Router) Cancel(id filbertlever.HostID) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	if h.dispatched > 0 {
		h.dispatched--
	}
	h.inFlight = max(h.inFlight-1, 0)
}

// Choose chooses a host for a request and counts the request as sent there.
// Choice.Host is empty if no eligible host serves the target.
func (r *Router) Choose(request *Request) Choice {
	var choice Choice
	p, ok := r.pools[request.Target]
	if !ok || len(p.hosts) == 0 {
		choice.Reason = ReasonNoHost
		return choice
	}
	if pick, ok := pickFuncs[r.config.Policy]; ok {
		return r.chooseByPolicy(pick, p, request)
	}
	var considered [maxCandidates]candidate
	owner := int32(-1)
	consider := func(i int32) {
		if choice.CandidateCount == maxCandidates || !r.eligible(i, request) {
			return
		}
		for k := range considered[:choice.CandidateCount] {
			if considered[k].host == i {
				return
			}
		}
		c := r.newCandidate(i, request, i == owner)
		considered[choice.CandidateCount] = c
		choice.Candidates[choice.CandidateCount] = Candidate{Host: r.hosts[i].id, Predicted: c.predicted}
		choice.CandidateCount++
	}
	if request.Prefix != 0 {
		first, second := p.owners(request.Prefix)
		owner = first
		consider(first)
		consider(second)
	}
	r.sample(r.hostsIn(p, request.Regions), consider, &choice.CandidateCount)
	if choice.CandidateCount == 0 {
		// No sampled host was eligible, for instance after the failure of a site, so all hosts are
		// considered.
		for _, i := range p.hosts {
			consider(i)
		}
	}
	if choice.CandidateCount == 0 {
		choice.Reason = ReasonNoHost
		return choice
	}
	chosen := r.best(considered[:choice.CandidateCount], request)
	best := chosen.host
	choice.Predicted, choice.WillInterrupt = chosen.predicted, chosen.willInterrupt
	choice.Reason = ReasonLeastPredicted
	if best == owner || r.prefixCached(best, request.Prefix) {
		choice.Reason = ReasonPrefixCached
	}
	choice.Host = r.hosts[best].id
	choice.QueuePosition = r.hosts[best].queuePosition()
	choice.PrefillWait = max(r.hosts[best].prefillUntil-request.Now, 0)
	r.recordSent(best, request.Prefix)
	r.addPrefill(best, request)
	return choice
}

// candidate is the prediction for one host that is considered for a request.
type candidate struct {
	host          int32
	predicted     time.Duration
	cost          time.Duration
	willInterrupt bool
}

// newCandidate predicts a request at host i. owner is true for the first owner of the prompt's prefix.
func (r *Router) newCandidate(i int32, request *Request, owner bool) candidate {
	h := &r.hosts[i]
	predicted := r.predict(i, request, owner)
	c := candidate{host: i, predicted: predicted, willInterrupt: r.willInterrupt(i, request, predicted)}
	c.cost = predicted + r.interruptCost(h, request, predicted, c.willInterrupt)
	if h.suspect {
		c.cost += r.config.SuspectCost
	}
	if h.isSlow() {
		c.cost += time.Duration(answerCostShare * (h.slowdown - 1) * float64(request.AnswerDuration))
	}
	return c
}

// best returns the candidate with the lowest cost, the first one if several have it. If a candidate is
// slow or lacks memory, only those in the lowest tier are compared.
func (r *Router) best(candidates []candidate, request *Request) candidate {
	uneven := slices.ContainsFunc(candidates, func(c candidate) bool {
		h := &r.hosts[c.host]
		return h.isSlow() || h.lacksMemory(request)
	})
	best, bestTier := candidate{}, tierQueued+1
	for _, c := range candidates {
		t := tierInTime
		if uneven {
			t = r.tier(c.host, request, c.predicted)
		}
		if t < bestTier || t == bestTier && c.cost < best.cost {
			best, bestTier = c, t
		}
	}
	return best
}

// sample considers random hosts until enough new candidates were found.
func (r *Router) sample(hosts []int32, consider func(int32), count *int) {
	want := min(*count+r.config.Samples, len(hosts))
	for attempts := 0; attempts < maxSampleAttempts && *count < want; attempts++ {
		consider(hosts[r.rng.IntN(len(hosts))])
	}
}

// hostsIn returns the hosts of a pool in some regions. Sampling the whole pool for a request of
// few regions would find too few candidates.
func (r *Router) hostsIn(p *pool, regions filbertlever.Regions) []int32 {
	if regions == nil {
		return p.hosts
	}
	r.inRegions = r.inRegions[:0]
	for _, i := range p.hosts {
		if regions.Allows(r.hosts[i].region) {
			r.inRegions = append(r.inRegions, i)
		}
	}
	return r.inRegions
}

// eligible reports whether host i may get a request.
func (r *Router) eligible(i int32, request *Request) bool {
	h := &r.hosts[i]
	return h.usable && request.Regions.Allows(h.region) && !slices.Contains(request.Avoid, h.id) && (len(request.Only) == 0 || slices.Contains(request.Only, h.id))
}

// recordSent counts a request as sent to host i and records its prefix.
func (r *Router) recordSent(i int32, prefix uint64) {
	r.hosts[i].inFlight++
	r.hosts[i].dispatched++
	if prefix != 0 {
		r.prefixHints[prefix%prefixSlots] = prefixHint{prefix: prefix, host: i}
		r.hasHints = true
	}
}
