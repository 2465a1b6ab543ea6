// Package routing decides which backend server gets a model request: the one
// with the least predicted time to the first token among a few candidates.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Config holds the costs of a Router's predictions.
type Config struct {
	// Policy picks among fit hosts; the zero value is the one in use.
	Policy Policy
	// Service is how long a request occupies a slot, until reports tell.
	Service time.Duration
	// FirstToken is what an idle host takes to the first token of an empty prompt.
	FirstToken time.Duration
	// PrefillToken is the time to prefill one prompt token.
	PrefillToken time.Duration
	// UsualPrompt is the time to prefill a usual prompt, by which requests of other
	// routers are counted.
	UsualPrompt time.Duration
	// OtherSite and OtherRegion are what a host there costs more.
	OtherSite   time.Duration
	OtherRegion time.Duration
	// Samples is how many hosts are drawn at random for each request, besides
	// the two that the prompt's prefix belongs to.
	Samples int
	// HitShare is the part of a prompt that a seen prefix covers.
	HitShare float64
	// Cut is what it costs to begin an answer at a host that leaves before its
	// end; it then goes on elsewhere, where its prompt is read again.
	Cut time.Duration
	// Doubtful is what a host that may be gone must be better by.
	Doubtful time.Duration
}

// DefaultConfig returns the costs used in production.
func DefaultConfig() Config {
	return Config{
		Service:      time.Second,
		PrefillToken: 100 * time.Microsecond,
		OtherSite:    time.Millisecond,
		OtherRegion:  2 * time.Millisecond,
		Samples:      3,
		HitShare:     0.8,
	}
}

// Load is a backend server's load as its agent reported it.
type Load struct {
	// Sequence orders the reports of one incarnation.
	Sequence uint64
	Running  int
	Queued   int
	// Concurrency is how many requests the server runs at once.
	Concurrency int
	// Wait is the agent's prediction for a new request.
	Wait time.Duration
	// Incarnation is the life of the agent that counted.
	Incarnation filbertlever.Incarnation
	// Seen is how many requests of this router the agent had received when it
	// counted, so that those still on their way can be added.
	Seen uint64
}

// Target is one kind of work: a set of weights that hosts have loaded.
type Target string

// Request is a model request to route.
type Request struct {
	Target Target
	// Prefix is the hash of organisation and the prompt's beginning, so that
	// no hint crosses organisations. 0 means none.
	Prefix uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Avoid are hosts that the request has already failed at.
	Avoid []filbertlever.HostID
	// Lasts is how long the answer is predicted to take; 0 if that is not known.
	Lasts time.Duration
	// Final is true if the answer cannot go on elsewhere once more.
	Final bool
	// Now is the time on any steady clock. Without it, prompts that are still
	// being read and hosts that were late are not counted.
	Now time.Duration
}

// Candidate is a host that was weighed.
type Candidate struct {
	Host      filbertlever.HostID
	Predicted time.Duration
}

// maxCandidates bounds how many hosts are weighed for a request.
const maxCandidates = 8

// Choice is the decision on one request. It holds no pointers into the
// router, so it can be logged later.
type Choice struct {
	Host      filbertlever.HostID
	Predicted time.Duration
	// Reading is how long the host still reads prompts that were sent before.
	Reading time.Duration
	// Cut is true if the host is predicted to leave before the answer's end.
	Cut bool
	// Ahead is how many requests the host has beyond what it runs at once, this
	// one included; negative if places are free.
	Ahead  int
	Reason Reason
	// Weighed is how many of Candidates are set.
	Weighed    int
	Candidates [maxCandidates]Candidate
}

// Reason says why a host was chosen.
type Reason string

// The reasons.
const (
	ReasonLeast  Reason = "LeastPredicted"
	ReasonPrefix Reason = "PrefixCached"
	ReasonNone   Reason = "NoHost"
)

// host is what the router knows of one backend server.
type host struct {
	id     filbertlever.HostID
	site   string
	region string
	usable bool
	load   Load
	// dispatched is how many requests this router sent to the incarnation.
	dispatched uint64
	// inFlight is how many of them the last report had not seen, or, where others'
	// requests are counted, how many have not ended.
	inFlight int
	// prefillUntil is when the host is predicted to have read the prompts that were
	// sent to it lately.
	prefillUntil time.Duration
	// bias is how much later than predicted the host's first tokens came, as of
	// biasAt.
	bias   time.Duration
	biasAt time.Duration
	// interruptAt is when the host breaks off what it does, as for a change of its
	// weights; 0 if it does not.
	interruptAt time.Duration
	// suspect is true while the host may be gone.
	suspect bool
	// targets are the targets that the host serves.
	targets []Target
}

const (
	ringPointsPerHost = 8
	prefixSlots       = 1 << 14
	maxSampleAttempts = 12
)

// Router keeps what one entry believes of the backend servers. It is not safe
// for concurrent use.
type Router struct {
	config Config
	site   string
	region string
	rng    *rand.Rand
	hosts  []host
	index  map[filbertlever.HostID]int32
	pools  map[Target]*pool
	// prefixHints remembers, by slot, which prefix was last sent to which host: a
	// hint about caches, never a truth.
	prefixHints [prefixSlots]prefixHint
	// hasHints is true once there is a hint.
	hasHints bool
	// roundRobin counts choices, for policies that take turns.
	roundRobin int
}

type prefixHint struct {
	prefix uint64
	host   int32
}

// New returns a router for an entry at a site, with its own source of random
// numbers so that entries do not choose alike.
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

// SetHost adds a host or changes what is known of it.
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

// SetLoaded says which targets a host serves.
func (r *Router) SetLoaded(id filbertlever.HostID, targets []Target) {
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

// Report takes a load report, from the host's own answers or through others.
//
// Guard: reports arrive late and out of order; one that is older than the
// last taken, of the same incarnation, would bring back a load long past.
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
		h.dispatched = load.Seen
	}
	h.load = load
	h.inFlight = int(h.dispatched - min(load.Seen, h.dispatched))
}

// SetOthers says how many requests of other routers a host has now. It takes
// the place of reports where all routers tell each other what they have sent. Each
// one more has a prompt that the host has to read.
func (r *Router) SetOthers(id filbertlever.HostID, count, concurrency int, now time.Duration) {
	i, ok := r.index[id]
	if !ok {
		return
	}
	h := &r.hosts[i]
	if more := count - h.load.Running; more > 0 && now > 0 {
		h.prefillUntil = max(h.prefillUntil, now) + time.Duration(more)*r.config.UsualPrompt
	}
	h.load = Load{Running: count, Concurrency: concurrency}
}

// SetLeaves says when a host breaks off what it does, as for a change of its
// weights; 0 if it does not.
func (r *Router) SetLeaves(id filbertlever.HostID, at time.Duration) {
	if i, ok := r.index[id]; ok {
		r.hosts[i].interruptAt = at
	}
}

// SetDoubtful says whether a host may be gone.
func (r *Router) SetDoubtful(id filbertlever.HostID, doubtful bool) {
	if i, ok := r.index[id]; ok {
		r.hosts[i].suspect = doubtful
	}
}

// Ended notes that a request sent to a host ended without a report of the
// host's load, as when the host died.
func (r *Router) Ended(id filbertlever.HostID) {
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

// Choose picks a host for a request and counts it as sent there. Choice.Host
// is empty if no host serves the target.
func (r *Router) Choose(request *Request) Choice {
	var choice Choice
	p, ok := r.pools[request.Target]
	if !ok || len(p.hosts) == 0 {
		choice.Reason = ReasonNone
		return choice
	}
	if pick, ok := pickFuncs[r.config.Policy]; ok {
		return r.chooseByPolicy(pick, p, request)
	}
	var weighed [maxCandidates]int32
	best, owner := int32(-1), int32(-1)
	bestCost := time.Duration(0)
	consider := func(i int32) {
		if choice.Weighed == maxCandidates || !r.eligible(i, request.Avoid) {
			return
		}
		if slices.Contains(weighed[:choice.Weighed], i) {
			return
		}
		predicted := r.predict(i, request, i == owner)
		weighed[choice.Weighed] = i
		choice.Candidates[choice.Weighed] = Candidate{Host: r.hosts[i].id, Predicted: predicted}
		choice.Weighed++
		cut := r.willInterrupt(i, request, predicted)
		cost := predicted + r.interruptCost(cut, request)
		if r.hosts[i].suspect {
			cost += r.config.Doubtful
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
			choice.Predicted, choice.Cut = predicted, cut
		}
	}
	if request.Prefix != 0 {
		first, second := p.owners(request.Prefix)
		owner = first
		consider(first)
		consider(second)
	}
	r.sample(p, consider, &choice.Weighed)
	if choice.Weighed == 0 {
		// Every draw was unfit, as after the loss of a site: look at all.
		for _, i := range p.hosts {
			consider(i)
		}
	}
	if best < 0 {
		choice.Reason = ReasonNone
		return choice
	}
	choice.Reason = ReasonLeast
	if best == owner || r.prefixCached(best, request.Prefix) {
		choice.Reason = ReasonPrefix
	}
	choice.Host = r.hosts[best].id
	choice.Ahead = r.hosts[best].queuePosition()
	choice.Reading = max(r.hosts[best].prefillUntil-request.Now, 0)
	r.recordSent(best, request.Prefix)
	r.addPrefill(best, request)
	return choice
}

// sample draws hosts at random until enough new ones were weighed.
func (r *Router) sample(p *pool, consider func(int32), weighed *int) {
	want := min(*weighed+r.config.Samples, len(p.hosts))
	for draws := 0; draws < maxSampleAttempts && *weighed < want; draws++ {
		consider(p.hosts[r.rng.IntN(len(p.hosts))])
	}
}

func (r *Router) eligible(i int32, avoid []filbertlever.HostID) bool {
	return r.hosts[i].usable && !slices.Contains(avoid, r.hosts[i].id)
}

func (r *Router) recordSent(i int32, prefix uint64) {
	r.hosts[i].inFlight++
	r.hosts[i].dispatched++
	if prefix != 0 {
		r.prefixHints[prefix%prefixSlots] = prefixHint{prefix: prefix, host: i}
		r.hasHints = true
	}
}
