package distribution

import "time"

// maxOriginFailures is the number of consecutive failures after which the store
// is used instead of the origin.
const maxOriginFailures = 2

// stragglerDivisor defines the fraction of the chunks, 1/16, that counts as the
// last few.
const stragglerDivisor = 16

// chooseSource picks the source of chunk i. It returns false if the chunk must
// not be fetched yet.
func (p *Planner) chooseSource(i int, now time.Time) (Source, Reason, bool) {
	at := p.tree.nodeOf(p.self, i)
	if at.isRoot() {
		if p.chunks[i].probePeer {
			p.chunks[i].probePeer = false
			return p.anyPeerSource(i, now)
		}
		// nextRootFetch fetches this chunk from the origin.
		return Source{}, "", false
	}
	// The root or a relay of this chunk may be partitioned or hung although it
	// seems available. The next host in rank takes over after one progress
	// timeout, the one after it after two. A failed root then costs one more
	// copy of the chunk and not one for every host.
	stalled := p.isStalled(i, min(at.takeoverRank(), maxTakeoverRank)+1, now)
	stalled = stalled || p.isStraggling() && p.isStalled(i, 1, now)
	if stalled && p.originInFlight < p.config.OriginWindow {
		source, reason := p.originSource(ReasonTakeover)
		return source, reason, true
	}
	if source, reason, ok := p.peerSource(i, at, now); ok {
		return source, reason, true
	}
	// All hosts of a lower rank are unavailable, so this host acts as the root.
	if i > p.originLimit(now) || p.originInFlight >= p.config.OriginWindow {
		return Source{}, "", false
	}
	source, reason := p.originSource(ReasonTakeover)
	return source, reason, true
}

// mayBeOnPeers reports whether the fetch of chunk i from the origin was already
// due when this host started. Other hosts may then have taken the chunk over,
// for example if the root joined late or restarted empty, so the root asks a
// peer first. A root that is only slow fetches its chunks from the origin at
// once, since no other host does.
func (p *Planner) mayBeOnPeers(i int) bool { return i <= p.highestAtStart }

// maxTakeoverRank limits the number of progress timeouts after which any host
// may fetch a chunk from the origin.
const maxTakeoverRank = 8

// isStalled reports whether chunk i made no progress for the given number of
// progress timeouts.
func (p *Planner) isStalled(i, timeouts int, now time.Time) bool {
	lastProgress := p.chunks[i].lastProgress
	return !lastProgress.IsZero() && now.Sub(lastProgress) > p.progressTimeout()*time.Duration(timeouts)
}

// progressTimeout returns how long a requested chunk may make no progress.
// Chunks of a full window arrive one after the other, so the timeout grows with
// the interval between them.
func (p *Planner) progressTimeout() time.Duration {
	return max(p.config.TakeoverTimeout, 2*time.Duration(p.config.Window)*p.arrivalInterval)
}

// isStraggling reports whether only the last few chunks are missing and may be
// fetched from the origin.
func (p *Planner) isStraggling() bool {
	return p.config.FetchStragglersFromOrigin && p.missingCount <= max(1, len(p.chunks)/stragglerDivisor)
}

// originSource returns the origin or, after repeated failures, the store.
func (p *Planner) originSource(reason Reason) (Source, Reason) {
	origin := Source{Kind: SourceOrigin}
	store := Source{Kind: SourceStore}
	state, ok := p.sources[origin]
	if !ok || state.failures < maxOriginFailures {
		return origin, reason
	}
	// Alternate between the two to detect the recovery of the origin.
	if s, ok := p.sources[store]; ok && s.failures >= state.failures {
		return origin, reason
	}
	return store, ReasonOriginUnavailable
}

// peerSource picks the nearest available ancestor in the chunk's tree, or else
// an available host of a lower rank, which may have taken over for the root.
func (p *Planner) peerSource(i int, at node, now time.Time) (Source, Reason, bool) {
	reason := ReasonParent
	for ancestor := at; !ancestor.isRoot(); {
		ancestor = p.tree.parent(ancestor)
		if source, ok := p.peerAt(ancestor, i, now); ok {
			return source, reason, true
		}
		reason = ReasonParentUnavailable
	}
	for local := 1; local < min(at.local, maxTakeoverRank); local++ {
		if source, ok := p.peerAt(node{site: at.site, local: local}, i, now); ok {
			return source, ReasonParentUnavailable, true
		}
	}
	for site := 1; site < at.site; site++ {
		if source, ok := p.peerAt(node{site: site}, i, now); ok {
			return source, ReasonParentUnavailable, true
		}
	}
	return Source{}, "", false
}

// anyPeerSource picks an available host for the root of a chunk that other
// hosts may have fetched. The root probes that host.
func (p *Planner) anyPeerSource(i int, now time.Time) (Source, Reason, bool) {
	siteSize := len(p.tree.sites[p.tree.indexes[p.self].site])
	for local := 1; local < min(siteSize, maxTakeoverRank); local++ {
		if source, ok := p.peerAt(node{local: local}, i, now); ok {
			return source, ReasonParentUnavailable, true
		}
	}
	for site := 1; site < len(p.tree.sites); site++ {
		if source, ok := p.peerAt(node{site: site}, i, now); ok {
			return source, ReasonParentUnavailable, true
		}
	}
	return Source{}, "", false
}

// peerAt returns the host at a node as the source of chunk i, and whether it is
// an available peer.
func (p *Planner) peerAt(at node, i int, now time.Time) (Source, bool) {
	source := Source{Kind: SourcePeer, Host: p.tree.hostAt(at, i)}
	return source, source.Host != p.self && p.isAvailable(source, now)
}

// isAvailable reports whether a source is not in backoff.
func (p *Planner) isAvailable(source Source, now time.Time) bool {
	state, ok := p.sources[source]
	return !ok || !now.Before(state.retryAt)
}
