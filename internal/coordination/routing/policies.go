package routing

import "slices"

// Policy is a way to pick a host.
type Policy string

// The policies. Those but PolicyPredicted are there to be measured against it.
const (
	// PolicyPredicted takes the least predicted time to the first token.
	PolicyPredicted Policy = ""
	// PolicyRoundRobin takes one host after the other.
	PolicyRoundRobin Policy = "RoundRobin"
	// PolicyLeastReported takes the host that reported the least load.
	PolicyLeastReported Policy = "LeastReported"
	// PolicyTwoRandom takes the less loaded of two random hosts, by report.
	PolicyTwoRandom Policy = "TwoRandom"
)

// pickFunc returns one of hosts, which are fit.
type pickFunc func(r *Router, hosts []int32) int32

var pickFuncs = map[Policy]pickFunc{
	PolicyRoundRobin:    pickRoundRobin,
	PolicyLeastReported: pickLeastReported,
	PolicyTwoRandom:     pickTwoRandom,
}

func (r *Router) chooseByPolicy(pick pickFunc, p *pool, request *Request) Choice {
	fit := slices.DeleteFunc(slices.Clone(p.hosts), func(i int32) bool { return !r.eligible(i, request.Avoid) })
	if len(fit) == 0 {
		return Choice{Reason: ReasonNone}
	}
	i := pick(r, fit)
	r.recordSent(i, 0)
	return Choice{Host: r.hosts[i].id, Reason: Reason(r.config.Policy)}
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

func (r *Router) reportedLoad(i int32) int { return r.hosts[i].load.Running + r.hosts[i].load.Queued }
