package distribution

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// SourceKind is the kind of a source of chunks.
type SourceKind int

// The kinds of sources.
const (
	SourcePeer SourceKind = iota + 1
	SourceOrigin
	// SourceStore is the rate-limited weight store.
	SourceStore
)

// String returns the name of the kind.
func (k SourceKind) String() string {
	return [...]string{"None", "Peer", "Origin", "Store"}[k]
}

// Source is where a chunk is fetched from.
type Source struct {
	Kind SourceKind
	// Host is set for SourcePeer.
	Host filbertlever.HostID
}

// Fetch is one chunk to fetch from one source.
type Fetch struct {
	Chunk  int
	Source Source
	// Descendants is the approximate number of hosts below this one in the
	// chunk's tree. A host that serves several peers serves those with more
	// descendants first.
	Descendants int
	// Probe is true if the peer must answer immediately whether it has the
	// chunk.
	Probe bool
	// Reason is why this source was chosen. It is logged.
	Reason Reason
}

// Reason is why a source was chosen.
type Reason string

// The reasons for choosing a source.
const (
	ReasonRoot              Reason = "RootOfChunk"
	ReasonParent            Reason = "ParentInTree"
	ReasonParentUnavailable Reason = "ParentUnfit"
	ReasonTakeover          Reason = "Takeover"
	ReasonOriginUnavailable Reason = "OriginUnfit"
)

// Failure is the way in which a fetch failed.
type Failure int

// The kinds of failures.
const (
	// FailureNotAvailable means that a live peer does not have the chunk yet.
	FailureNotAvailable Failure = iota + 1
	// FailureError is a refused or broken connection or an error response.
	FailureError
	// FailureStalled means that no byte arrived within the stall timeout.
	FailureStalled
	// FailureCorrupt means that the bytes do not match the digest.
	FailureCorrupt
)

// Config holds the limits of a Planner.
type Config struct {
	// Shape is the form of the trees. The zero value is used in production.
	Shape Shape
	// Window limits fetches from peers: none starts while this many fetches are
	// in flight.
	Window int
	// OriginWindow is how many chunks all hosts together fetch from the origin
	// at about the same time: the root of chunk c waits until chunk
	// c-OriginWindow is known to exist outside the origin. Splitting the
	// origin's link among all roots would delay the first complete chunk.
	OriginWindow int
	// TakeoverTimeout is the minimum time for which a requested chunk may make
	// no progress before the next host in its tree fetches it from the origin
	// too.
	TakeoverTimeout time.Duration
	// Backoff is the initial backoff of a failed source. The backoff of a peer
	// that sent a corrupt chunk is CorruptBackoff.
	Backoff        time.Duration
	CorruptBackoff time.Duration
	// FetchStragglersFromOrigin lets a host fetch the last few chunks from the
	// origin if they make no progress. It saves time at the cost of more bytes
	// from the origin.
	FetchStragglersFromOrigin bool
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		Window:          24,
		OriginWindow:    16,
		TakeoverTimeout: 2 * time.Second,
		Backoff:         time.Second,
		CorruptBackoff:  time.Minute,
	}
}

// Planner decides the fetches that complete one host's copy of one set of
// weights. It is not safe for concurrent use.
type Planner struct {
	config Config
	self   filbertlever.HostID
	tree   *tree
	chunks []chunk
	// missingCount is the number of chunks not held yet. The lowest of them is
	// firstMissing.
	missingCount int
	firstMissing int
	inFlight     int
	// originInFlight is the number of fetches in flight from the origin or the
	// store.
	originInFlight int
	// roots are the chunks for which this host is the root, in order. Those
	// before nextRoot are held.
	roots    []int
	nextRoot int
	// highest is the highest chunk known to exist outside the origin. It last
	// increased at highestAt.
	highest   int
	highestAt time.Time
	// highestAtStart is the value of highest when the planner was created.
	highestAtStart int
	// arrivalInterval is the smoothed interval between the arrivals of two
	// chunks.
	arrivalInterval time.Duration
	lastArrival     time.Time
	sources         map[Source]*sourceState
}

type chunk struct {
	held     bool
	inFlight bool
	source   Source
	// lastProgress is when the chunk was first requested or last made progress.
	// It is zero before the first request.
	lastProgress time.Time
	// probePeer is true if this host is the chunk's root and must probe a peer
	// before it fetches from the origin, since others may have taken the chunk
	// over.
	probePeer bool
	// retryAt is the earliest time of the next request for the chunk.
	retryAt time.Time
}

// sourceState is the backoff state of a source.
type sourceState struct {
	failures int
	retryAt  time.Time
}

// New returns the planner of host self for a set of chunks that all hosts in
// order need. The order should be the same on every host. Differences cost time
// but do not affect correctness. The parameter highest is the highest chunk
// already known to exist outside the origin, or -1 if there is none.
func New(config Config, self Peer, chunks int, order []Peer, highest int, now time.Time) *Planner {
	t := newTree(config.Shape, append(slices.Clone(order), self))
	p := &Planner{
		config:         config,
		self:           self.ID,
		tree:           t,
		chunks:         make([]chunk, chunks),
		missingCount:   chunks,
		highestAtStart: highest,
		highest:        highest,
		highestAt:      now,
		lastArrival:    now,
		sources:        map[Source]*sourceState{},
	}
	for i := range p.chunks {
		if t.nodeOf(self.ID, i).isRoot() {
			p.roots = append(p.roots, i)
			p.chunks[i].probePeer = p.mayBeOnPeers(i)
		}
	}
	return p
}

// Complete reports whether every chunk is held.
func (p *Planner) Complete() bool { return p.missingCount == 0 }

// HeldCount returns the number of chunks held.
func (p *Planner) HeldCount() int { return len(p.chunks) - p.missingCount }

// MarkHeld records a chunk that is already available locally, such as one
// shared by two versions.
func (p *Planner) MarkHeld(i int) {
	c := &p.chunks[i]
	if c.held {
		return
	}
	c.held = true
	p.missingCount--
	for p.firstMissing < len(p.chunks) && p.chunks[p.firstMissing].held {
		p.firstMissing++
	}
}

// ObserveHighest records that chunk i exists outside the origin, as reported by
// a peer.
func (p *Planner) ObserveHighest(i int, now time.Time) {
	if i > p.highest {
		p.highest = min(i, len(p.chunks)-1)
		p.highestAt = now
	}
}

// Highest returns the highest chunk known to exist outside the origin, which is
// reported to peers. It returns -1 if there is none.
func (p *Planner) Highest() int { return p.highest }

// Next returns a fetch to start now, or how long to wait before the next call.
func (p *Planner) Next(now time.Time) (fetch Fetch, ok bool, wait time.Duration) {
	wait = p.config.TakeoverTimeout / idlePollsPerTimeout
	if p.missingCount == 0 {
		return Fetch{}, false, wait
	}
	if fetch, ok := p.nextRootFetch(now); ok {
		return fetch, true, 0
	}
	for i := p.firstMissing; i < len(p.chunks) && p.inFlight < p.config.Window; i++ {
		c := &p.chunks[i]
		if c.held || c.inFlight {
			continue
		}
		if now.Before(c.retryAt) {
			wait = min(wait, c.retryAt.Sub(now))
			continue
		}
		if c.lastProgress.IsZero() {
			c.lastProgress = now
		}
		if source, reason, ok := p.chooseSource(i, now); ok {
			return p.start(i, source, reason), true, 0
		}
	}
	return Fetch{}, false, wait
}

// idlePollsPerTimeout is how often an idle planner looks for work within one
// takeover timeout.
const idlePollsPerTimeout = 8

// nextRootFetch returns the next chunk that this host, as its root, must fetch
// from the origin, if that fetch is due.
//
// While the origin is very slow, no new chunk is observed for a long time and
// the origin limit advances. Without a limit on its own fetches each host would
// then open a connection for every chunk of which it is the root, and slow the
// origin down further.
func (p *Planner) nextRootFetch(now time.Time) (Fetch, bool) {
	if p.originInFlight >= p.config.OriginWindow {
		return Fetch{}, false
	}
	for p.nextRoot < len(p.roots) && p.chunks[p.roots[p.nextRoot]].held {
		p.nextRoot++
	}
	for _, i := range p.roots[p.nextRoot:] {
		if i > p.originLimit(now) {
			return Fetch{}, false
		}
		c := &p.chunks[i]
		if c.probePeer {
			continue
		}
		if c.held || c.inFlight || now.Before(c.retryAt) {
			continue
		}
		source, reason := p.originSource(ReasonRoot)
		return p.start(i, source, reason), true
	}
	return Fetch{}, false
}

// originLimit returns the highest chunk that may be fetched from the origin
// now. If the highest observed chunk has not increased for a long time, the
// roots of earlier chunks may have failed, and the limit advances without them.
func (p *Planner) originLimit(now time.Time) int {
	timeouts := int(now.Sub(p.highestAt) / p.progressTimeout())
	return p.highest + p.config.OriginWindow*(1+timeouts)
}

// start marks a chunk as in flight and returns its fetch.
func (p *Planner) start(i int, source Source, reason Reason) Fetch {
	c := &p.chunks[i]
	c.inFlight = true
	c.source = source
	p.inFlight++
	if source.Kind != SourcePeer {
		p.originInFlight++
	}
	return Fetch{
		Chunk:       i,
		Source:      source,
		Descendants: p.tree.descendants(p.self, i),
		Probe:       source.Kind == SourcePeer && p.tree.nodeOf(p.self, i).isRoot(),
		Reason:      reason,
	}
}

// Progress records that bytes of a chunk arrived.
func (p *Planner) Progress(i int, now time.Time) { p.chunks[i].lastProgress = now }

// Done records that a chunk arrived and was verified.
func (p *Planner) Done(i int, now time.Time) {
	p.finish(i)
	delete(p.sources, p.chunks[i].source)
	// The wait for one lost chunk does not reflect the speed of the links.
	// Counted in full, it would lengthen the progress timeout and with it the
	// wait for the next chunk.
	sample := min(now.Sub(p.lastArrival), max(p.config.TakeoverTimeout/time.Duration(p.config.Window), 2*p.arrivalInterval))
	p.arrivalInterval += (sample - p.arrivalInterval) / intervalSmoothingFactor
	p.lastArrival = now
	p.MarkHeld(i)
	p.ObserveHighest(i, now)
}

// intervalSmoothingFactor divides the weight of a new sample in the smoothed
// interval.
const intervalSmoothingFactor = 8

// Failed records that the fetch of a chunk failed.
func (p *Planner) Failed(i int, failure Failure, now time.Time) {
	source := p.chunks[i].source
	p.finish(i)
	c := &p.chunks[i]
	if failure == FailureNotAvailable {
		return
	}
	state, ok := p.sources[source]
	if !ok {
		state = &sourceState{}
		p.sources[source] = state
	}
	backoff := p.config.Backoff << min(state.failures, 4)
	if failure == FailureCorrupt && source.Kind == SourcePeer {
		// A peer that sends corrupt chunks costs one transfer each time. The
		// backoff covers the rest of a typical transfer of a set.
		backoff = p.config.CorruptBackoff
	}
	state.failures++
	state.retryAt = now.Add(backoff)
	if source.Kind != SourcePeer {
		// All hosts share the origin's link, so fetches from it are delayed and
		// not redirected. A root that cannot reach the origin probes a peer
		// next, since other hosts take over its chunks.
		c.retryAt = now.Add(min(backoff, p.config.TakeoverTimeout/4))
		c.probePeer = p.tree.nodeOf(p.self, i).isRoot()
	}
}

// finish marks a chunk as no longer in flight.
func (p *Planner) finish(i int) {
	if p.chunks[i].inFlight {
		p.chunks[i].inFlight = false
		p.inFlight--
		if p.chunks[i].source.Kind != SourcePeer {
			p.originInFlight--
		}
	}
}
