package routing

import "slices"

// Policy names a load balancing policy.
type Policy string

// The policies. All but PolicyPredicted only serve as baselines in benchmarks.
const (
	// PolicyPredicted picks the host with the shortest predicted time to first token.
	PolicyPredicted Policy = ""
	// PolicyRoundRobin picks the hosts in turn.
	PolicyRoundRobin Policy = "RoundRobin"
	// PolicyLeastReported picks the host that reported the least load.
	PolicyLeastReported Policy = "LeastReported"
	// PolicyTwoRandom picks the host with the lower reported load of two random ones.
	PolicyTwoRandom Policy = "TwoRandom"
	// PolicyTwoChoices picks the host with fewer known requests of two random ones.
	PolicyTwoChoices Policy = "TwoChoices"
	// PolicyQueueBySpeed picks the host where the number of known requests times the slowdown is smallest.
	PolicyQueueBySpeed Policy = "QueueBySpeed"
)

// pickFunc returns one of the hosts. All of them are eligible.
type pickFunc func(r *Router, hosts []int32) int32

var pickFuncs = map[Policy]pickFunc{
	PolicyRoundRobin:    pickRoundRobin,
	PolicyLeastReported: pickLeastReported,
	PolicyTwoRandom:     pickTwoRandom,
	PolicyTwoChoices:    pickTwoChoices,
	PolicyQueueBySpeed:  pickQueueBySpeed,
}

// chooseByPolicy chooses a host for a request with a policy other than PolicyPredicted.
func (r *Router) chooseByPolicy(pick pickFunc, p *pool, request *Request) Choice {
	eligible := slices.DeleteFunc(slices.Clone(p.hosts), func(i int32) bool { return !r.eligible(i, request) })
	if len(eligible) == 0 {
		return Choice{Reason: ReasonNoHost}
	}
	i := pick(r, eligible)
	choice := Choice{Host: r.hosts[i].id, Reason: Reason(r.config.Policy), QueuePosition: r.hosts[i].queuePosition()}
	r.recordSent(i, 0)
	return choice
}

func pickRoundRobin(r *Router, hosts []int32) int32 {
	r.roundRobin++
	return hosts[r.roundRobin%len(hosts)]
}

func pickLeastReported(r *Router, hosts []int32) int32 {
	return slices.MinFunc(hosts, func(a, b int32) int { return r.reportedLoad(a) - r.reportedLoad(b) })
}

func pickTwoRandom(r *Router, hosts []int32) int32 {
	a, b := hosts[r.rng.IntN(len(hosts))], hosts[r.rng.IntN(len(hosts))]
	if r.reportedLoad(b) < r.reportedLoad(a) {
		return b
	}
	return a
}

func pickTwoChoices(r *Router, hosts []int32) int32 {
	a, b := hosts[r.rng.IntN(len(hosts))], hosts[r.rng.IntN(len(hosts))]
	if r.hosts[b].requests() < r.hosts[a].requests() {
		return b
	}
	return a
}

// pickQueueBySpeed starts at a random host, so that routers pick different ones of equal hosts.
func pickQueueBySpeed(r *Router, hosts []int32) int32 {
	cost := func(i int32) float64 { return float64(r.hosts[i].requests()+1) * max(r.hosts[i].slowdown, 1) }
	best, start := hosts[r.rng.IntN(len(hosts))], r.rng.IntN(len(hosts))
	for k := range hosts {
		if i := hosts[(start+k)%len(hosts)]; cost(i) < cost(best) {
			best = i
		}
	}
	return best
}

// reportedLoad returns the number of requests that a host last reported.
func (r *Router) reportedLoad(i int32) int { return r.hosts[i].load.Running + r.hosts[i].load.Queued }
