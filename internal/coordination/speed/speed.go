// Package speed estimates by which factor each backend server is slower than its engine's description.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Observation is what an entry observed of one server.
type Observation struct {
	// Slowdown is in thousandths.
	Slowdown uint32 `cbor:"1,keyasint"`
	// Gaps is the number of gaps between events that it rests on.
	Gaps uint32 `cbor:"2,keyasint"`
}

// Source is what an estimate rests on.
type Source string

// The sources. An estimate without a source is 1.
const (
	SourceReport Source = "Report"
	SourceGaps   Source = "Gaps"
	SourcePeers  Source = "Peers"
)

// Estimate is the estimated slowdown of a server.
type Estimate struct {
	// Slowdown is from minSlowdown to maxSlowdown; 1 if it is unknown.
	Slowdown float64
	Source   Source
	// Age is the time since the last report or gap that the estimate rests on.
	Age time.Duration
}

const (
	minSlowdown = 0.5
	maxSlowdown = 16

	// window is the time within which gaps count. It is divided into buckets.
	window       = 2 * time.Second
	bucketCount  = 16
	bucketLength = window / bucketCount
	// minGaps and minBuckets are the least gaps, and the least buckets with gaps, from which a value is
	// estimated. All streams of one server pause together, so the number of gaps alone is no evidence.
	// A server whose gaps exceed window/minBuckets is recognised by its report only.
	minGaps    = 24
	minBuckets = 6
	// maxBucketWeight is the largest weight of one bucket, relative to the mean number of gaps in a
	// bucket. An entry that was blocked reads many events at once.
	maxBucketWeight = 2
	// maxEntryGaps limits the weight of what one entry observed.
	maxEntryGaps = 64
	// outlier is the factor from the median beyond which a value counts as that limit. Half of the
	// samples can then be arbitrary, and chance varies the mean less than a median.
	outlier = 2

	// contradiction is the factor from which gaps of a whole window contradict a report, or the value 1
	// without a report. Fewer buckets need a larger factor: prompts that are read between two events
	// make the means of few buckets vary by half. endOfContradiction is the factor at which the
	// contradiction ends.
	contradiction      = 1.4
	endOfContradiction = 1.25
	// contradictionHold is how long a contradiction must last before it applies. By chance, so many
	// prompts are read within one window that gaps are 1.4 times longer than expected, at each server
	// once in a few hours.
	contradictionHold = time.Second
	reportTTL         = 6 * time.Second
	// A report changes if its value changes by reportChange. Gaps from before the change then no longer
	// contradict it. After maxReportChanges, with less than window between them, they do again: the
	// report of a faulty server may change all the time.
	reportChange     = 0.1
	maxReportChanges = 4
	// peerLag is the time after a change of speed until the observations of peers show it.
	peerLag = 1500 * time.Millisecond
	// From recoveryDelay after the last information the distance to 1 halves in each recoveryStep.
	recoveryDelay = 6 * time.Second
	recoveryStep  = 2 * time.Second
	// resumeMargin is the time after the process resumes in which it reads the events that arrived while
	// it was suspended.
	resumeMargin = 250 * time.Millisecond

	// MaxObservations limits the servers that Observations returns at once.
	MaxObservations = 16
	// maxServers and maxPeers limit the memory.
	maxServers = 8192
	maxPeers   = 64
)

// bucket holds the gaps that ended within one period of bucketLength.
type bucket struct {
	// index is the number of the period.
	index int64
	// sum is the sum of the ratios of the gaps to what was expected.
	sum  float32
	gaps uint32
}

type peerObservation struct {
	host filbertlever.HostID
	Observation
	at time.Duration
}

type server struct {
	// report is the last reported slowdown; 0 if there is none. It last changed at changedAt, the
	// last of a series of changes.
	report     float64
	reportedAt time.Duration
	changedAt  time.Duration
	changes    int
	// evidenceFrom is the time from which gaps can contradict the report.
	evidenceFrom time.Duration
	// contradicted is true if gaps contradict the report, or the value 1 without a report. observed
	// then applies. They have done so since contradictedSince; 0 if they do not.
	contradicted      bool
	contradictedSince time.Duration
	observed          information
	// last is the information that applied last.
	last    information
	buckets [bucketCount]bucket
	// newest is the index of the newest bucket with gaps.
	newest int64
	// newGaps is the number of gaps since the server's last observation was sent.
	newGaps uint32
	peers   []peerObservation
}

// information is a slowdown as a source showed it.
type information struct {
	slowdown float64
	// source is empty if there is no information.
	source Source
	at     time.Duration
}

// Estimator estimates slowdowns. It is not safe for concurrent use.
type Estimator struct {
	servers map[string]*server
	// unsent are the servers with gaps that no observation was sent of.
	unsent map[string]*server
	// validFrom is the time from which observations are valid.
	validFrom time.Duration
}

// New returns an estimator that knows no server.
func New() *Estimator { return &Estimator{servers: map[string]*server{}, unsent: map[string]*server{}} }

// server returns the state of a server, which it adds if needed.
func (e *Estimator) server(id string) *server {
	s, ok := e.servers[id]
	if !ok {
		if len(e.servers) >= maxServers {
			e.forgetOldest()
		}
		s = &server{}
		e.servers[id] = s
	}
	return s
}

// forgetOldest drops the server with the oldest information.
func (e *Estimator) forgetOldest() {
	oldest, oldestAt := "", time.Duration(math.MaxInt64)
	for id, s := range e.servers {
		if at := max(s.reportedAt, s.last.at, time.Duration(s.newest)*bucketLength); at < oldestAt || at == oldestAt && id < oldest {
			oldest, oldestAt = id, at
		}
	}
	e.Forget(oldest)
}

func valid(slowdown float64) bool { return slowdown > 0 && !math.IsInf(slowdown, 1) }

func clamp(slowdown float64) float64 { return min(max(slowdown, minSlowdown), maxSlowdown) }

// differ reports whether two slowdowns differ by more than a factor.
func differ(a, b, factor float64) bool { return a > b*factor || b > a*factor }

// Report records the slowdown that a server reports of itself. A value that is no positive number is
// ignored.
func (e *Estimator) Report(id string, slowdown float64, now time.Duration) {
	if !valid(slowdown) {
		return
	}
	slowdown = clamp(slowdown)
	s := e.server(id)
	if s.report == 0 || differ(slowdown, s.report, 1+reportChange) {
		if now-s.changedAt >= window {
			s.changes = 0
		}
		s.changes++
		s.changedAt = now
		if s.changes <= maxReportChanges {
			s.evidenceFrom, s.contradicted, s.contradictedSince = now, false, 0
		}
	}
	s.report, s.reportedAt = slowdown, now
	e.update(s, now)
}

// ObserveGap records the gap between two events of a stream and the gap that was expected. It ended
// at now, which may be earlier than the last call.
func (e *Estimator) ObserveGap(id string, gap, expected, now time.Duration) {
	if gap < 0 || expected <= 0 || now < e.validFrom || gap > now-e.validFrom {
		return
	}
	s := e.server(id)
	index := int64(now / bucketLength)
	b := &s.buckets[index%bucketCount]
	if index < b.index {
		return
	}
	if index > b.index {
		*b = bucket{index: index}
		e.update(s, now)
	}
	b.sum += float32(min(float64(gap)/float64(expected), 2*maxSlowdown))
	b.gaps++
	s.newest = max(s.newest, index)
	s.newGaps++
	e.unsent[id] = s
}

// ApplyPeer applies the observations of another entry.
func (e *Estimator) ApplyPeer(host filbertlever.HostID, observations map[string]Observation, now time.Duration) {
	for id, o := range observations {
		if o.Slowdown == 0 || o.Gaps == 0 {
			continue
		}
		s := e.server(id)
		s.peers = slices.DeleteFunc(s.peers, func(p peerObservation) bool { return p.host == host || now-p.at >= window })
		if len(s.peers) < maxPeers {
			s.peers = append(s.peers, peerObservation{host: host, Observation: o, at: now})
		}
		e.update(s, now)
	}
}

// Observations returns this entry's own observations of the servers with the most gaps since their
// last observation was returned, at most MaxObservations.
func (e *Estimator) Observations(now time.Duration) map[string]Observation {
	return e.NewObservations(MaxObservations, now)
}

// NewObservations is Observations for at most limit servers.
func (e *Estimator) NewObservations(limit int, now time.Duration) map[string]Observation {
	type candidate struct {
		id      string
		newGaps uint32
		Observation
	}
	var candidates []candidate
	var samples [bucketCount]sample
	for id, s := range e.unsent {
		if s.newest <= oldestBucket(now) {
			delete(e.unsent, id)
			continue
		}
		own, gaps := s.ownSamples(samples[:0], e.validFrom, now)
		if len(own) < minBuckets {
			continue
		}
		mean := clamp(robustMean(own))
		candidates = append(candidates, candidate{id, s.newGaps, Observation{Slowdown: uint32(math.Round(1000 * mean)), Gaps: gaps}})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.newGaps, a.newGaps), cmp.Compare(a.id, b.id))
	})
	var observations map[string]Observation
	for _, c := range candidates[:min(len(candidates), limit)] {
		if observations == nil {
			observations = map[string]Observation{}
		}
		observations[c.id] = c.Observation
		e.servers[c.id].newGaps = 0
		delete(e.unsent, c.id)
	}
	return observations
}

// Slowdown returns the estimated slowdown of a server; 1 if it is unknown.
func (e *Estimator) Slowdown(id string, now time.Duration) float64 {
	return e.Estimate(id, now).Slowdown
}

// Estimate returns the estimated slowdown of a server and what it rests on.
func (e *Estimator) Estimate(id string, now time.Duration) Estimate {
	s, ok := e.servers[id]
	if !ok {
		return Estimate{Slowdown: 1}
	}
	e.update(s, now)
	if s.last.source == "" {
		return Estimate{Slowdown: 1}
	}
	age := max(now-s.last.at, 0)
	slowdown := s.last.slowdown
	if age >= recoveryDelay {
		steps := 1 + (age-recoveryDelay)/recoveryStep
		slowdown = 1 + (slowdown-1)*math.Pow(0.5, float64(steps))
	}
	return Estimate{Slowdown: slowdown, Source: s.last.source, Age: age}
}

// Forget drops what is known of a server.
func (e *Estimator) Forget(id string) {
	delete(e.servers, id)
	delete(e.unsent, id)
}

// Invalidate discards what this entry and its peers observed before now, for use after the process
// was suspended. Events that arrived meanwhile are read at once, after one long gap.
func (e *Estimator) Invalidate(now time.Duration) { e.validFrom = max(e.validFrom, now+resumeMargin) }

// update determines which information about a server applies.
//
// Gaps that contradict a report apply until gaps confirm it, the report changes or there were no gaps
// for recoveryDelay. Otherwise a server that falsely reports 1 would get requests again as soon as
// the lack of requests ends the contradiction.
func (e *Estimator) update(s *server, now time.Duration) {
	if s.observed.source != "" && s.observed.at < e.validFrom {
		s.observed, s.contradicted, s.contradictedSince = information{}, false, 0
		if s.last.source != SourceReport {
			s.last = information{}
		}
	}
	expected, from, peersFrom := 1.0, e.validFrom, e.validFrom
	reported := s.report != 0 && now-s.reportedAt < reportTTL
	if reported {
		expected, from, peersFrom = s.report, max(from, s.evidenceFrom), max(from, s.evidenceFrom+peerLag)
	}
	o, buckets, ok := s.observe(from, peersFrom, now)
	if ok {
		s.observed = o
	}
	s.compare(o.slowdown, expected, buckets, now)
	if now-s.observed.at >= recoveryDelay {
		s.contradicted, s.contradictedSince = false, 0
	}
	switch {
	case s.contradicted:
		s.last = s.observed
	case reported:
		s.last = information{slowdown: s.report, source: SourceReport, at: s.reportedAt}
	case ok && s.contradictedSince == 0:
		s.last = information{slowdown: 1, source: o.source, at: o.at}
	}
}

// compare determines whether an observed slowdown contradicts the expected one. It is 0, and rests on
// no buckets, if there are too few gaps.
func (s *server) compare(observed, expected float64, buckets int, now time.Duration) {
	factor := 1 + (contradiction-1)*math.Sqrt(bucketCount/float64(buckets))
	if s.contradicted {
		factor = endOfContradiction
	}
	switch {
	case buckets == 0:
		if !s.contradicted {
			s.contradictedSince = 0
		}
	case !differ(observed, expected, factor):
		s.contradicted, s.contradictedSince = false, 0
	case s.contradictedSince == 0:
		s.contradictedSince = now
	case now-s.contradictedSince >= contradictionHold:
		s.contradicted = true
	}
}

// sample is a mean slowdown and the number of gaps that it rests on.
type sample struct {
	slowdown float64
	weight   float64
}

// oldestBucket returns the index of the newest bucket that is outside of the window.
func oldestBucket(now time.Duration) int64 { return int64(now/bucketLength) - bucketCount }

// ownSamples appends the buckets of the window that begin at from or later. It also returns the
// number of their gaps.
func (s *server) ownSamples(samples []sample, from, now time.Duration) ([]sample, uint32) {
	gaps, first := uint32(0), len(samples)
	for i := range s.buckets {
		b := &s.buckets[i]
		if b.gaps == 0 || b.index <= oldestBucket(now) || time.Duration(b.index)*bucketLength < from {
			continue
		}
		samples = append(samples, sample{float64(b.sum) / float64(b.gaps), float64(b.gaps)})
		gaps += b.gaps
	}
	own := samples[first:]
	limit := maxBucketWeight * float64(gaps) / float64(len(own))
	scale := min(1, maxEntryGaps/float64(gaps))
	for i := range own {
		own[i].weight = scale * min(own[i].weight, limit)
	}
	return samples, gaps
}

// observe returns the observed slowdown of a server, from own gaps since a time and observations that
// peers sent since another, and the number of buckets that it rests on. It returns false if there are
// too few.
func (s *server) observe(from, peersFrom, now time.Duration) (_ information, buckets int, ok bool) {
	var buffer [bucketCount + maxPeers]sample
	samples, own := s.ownSamples(buffer[:0], from, now)
	buckets = len(samples)
	gaps, peerGaps := own, uint32(0)
	at := time.Duration(0)
	if own > 0 {
		at = min(time.Duration(s.newest+1)*bucketLength, now)
	}
	for _, p := range s.peers {
		if now-p.at >= window || p.at < peersFrom {
			continue
		}
		weight := min(p.Gaps, maxEntryGaps)
		samples = append(samples, sample{clamp(float64(p.Slowdown) / 1000), float64(weight)})
		buckets += minBuckets
		peerGaps += weight
		at = max(at, p.at)
	}
	gaps += peerGaps
	if gaps < minGaps || buckets < minBuckets {
		return information{}, 0, false
	}
	source := SourceGaps
	if peerGaps > own {
		source = SourcePeers
	}
	return information{slowdown: clamp(robustMean(samples)), source: source, at: at}, min(buckets, bucketCount), true
}

// robustMean returns the weighted mean of some samples, with outliers limited. It sorts them.
func robustMean(samples []sample) float64 {
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.slowdown, b.slowdown) })
	total := 0.0
	for _, s := range samples {
		total += s.weight
	}
	median, below := 0.0, 0.0
	for _, s := range samples {
		if below += s.weight; below >= total/2 {
			median = s.slowdown
			break
		}
	}
	sum := 0.0
	for _, s := range samples {
		sum += min(max(s.slowdown, median/outlier), median*outlier) * s.weight
	}
	return sum / total
}
