package gateway

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/speed"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

const (
	// gapsPerRecord is how many gaps of a stream are recorded at once. The streams of a slow server have
	// so few events that they are recorded after gapRecordInterval.
	gapsPerRecord     = 8
	gapRecordInterval = 500 * time.Millisecond
	// maxForwardTime is the time to forward an event above which the next gap is not counted: it then
	// depends on the caller.
	maxForwardTime = 10 * time.Millisecond
	// speedsInterval is the shortest time between two sets of observations to the region.
	speedsInterval = 500 * time.Millisecond
	// speedsPerInterval limits the observations of one server each that are sent in one interval to all
	// entries together. At 24 bytes each they take 6 KB/s.
	speedsPerInterval = 128
	// maxObservedGaps bounds the number of gaps of an observation of another entry.
	maxObservedGaps = 1 << 20
	// maxObservedSlowdown bounds its slowdown, in thousandths.
	maxObservedSlowdown = 1000 * maxSlowdown
)

var errSpeeds = errors.New("invalid observation of a server's speed")

// checkSpeeds validates observations of the speed of servers.
func checkSpeeds(speeds map[string]speed.Observation) error {
	if len(speeds) > speed.MaxObservations {
		return fmt.Errorf("speeds: %d servers: %w", len(speeds), errSpeeds)
	}
	for id, o := range speeds {
		if id == "" || len(id) > maxNameBytes {
			return fmt.Errorf("speeds: %w", errName)
		}
		if o.Slowdown == 0 || o.Slowdown > maxObservedSlowdown || o.Gaps == 0 || o.Gaps > maxObservedGaps {
			return fmt.Errorf("speeds: %d thousandths by %d gaps at %.200q: %w", o.Slowdown, o.Gaps, id, errSpeeds)
		}
	}
	return nil
}

// gapCollector collects the gaps between the events of a stream. The gaps of thousands of events a
// second would otherwise each be evaluated under the gateway's lock.
type gapCollector struct {
	// lastAt is when the last event arrived; 0 if the next gap does not count.
	lastAt time.Duration
	gaps   [gapsPerRecord]fleet.EventGap
	count  int
}

// add adds an event. It returns true if the gaps should be taken.
func (c *gapCollector) add(now time.Duration) bool {
	if c.lastAt != 0 {
		c.gaps[c.count] = fleet.EventGap{Gap: now - c.lastAt, At: now}
		c.count++
	}
	c.lastAt = now
	return c.count == gapsPerRecord || c.count > 0 && now-c.gaps[0].At >= gapRecordInterval
}

// take returns the collected gaps. They are valid until the next call of add.
func (c *gapCollector) take() []fleet.EventGap {
	gaps := c.gaps[:c.count]
	c.count = 0
	return gaps
}

// recordGap records the arrival of an event. The caller holds the gateway's lock.
func (t *attempt) recordGap(now time.Duration) {
	if t.gaps.add(now) {
		t.gateway.fleet.RecordGaps(t.Backend, t.gaps.take(), now)
		t.gateway.logSpeedChanges()
	}
}

// recordLastGaps records the gaps at the end of a stream.
func (t *attempt) recordLastGaps() {
	if t.gaps.count == 0 {
		return
	}
	g := t.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.RecordGaps(t.Backend, t.gaps.take(), boottime.Now())
	g.logSpeedChanges()
}

// forwardTimed forwards one event. If the caller reads it late, the next gap is not counted.
func (t *attempt) forwardTimed(reply *Reply, event event) error {
	startedAt := time.Now()
	err := t.forwardEvent(reply, event)
	if time.Since(startedAt) > maxForwardTime {
		t.gaps.lastAt = 0
	}
	return err
}

// withSpeeds adds observations of the servers' speeds to the counts for a region of some other
// entries. It returns false if none are due.
func (g *Gateway) withSpeeds(counts Counts, entries int, now time.Duration) (Counts, bool) {
	if entries == 0 || now-g.speedsSentAt < speedsInterval {
		return counts, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speedsSentAt = now
	counts.Speeds = g.fleet.SpeedObservations(min(max(speedsPerInterval/entries, 1), speed.MaxObservations), now)
	if len(counts.Speeds) == 0 {
		return counts, false
	}
	if boots := g.fleet.RecentBoots(slices.Collect(maps.Keys(counts.Speeds)), now); boots != nil {
		maps.Copy(boots, counts.Boots)
		counts.Boots = boots
	}
	return counts, true
}

// applySpeeds applies the observations of another entry of the region. Those of other regions are
// ignored, as are those of processes that were replaced. The caller holds the lock.
func (g *Gateway) applySpeeds(counts *Counts, now time.Duration) {
	if len(counts.Speeds) == 0 || !g.peers.inRegion(counts.From) {
		return
	}
	maps.DeleteFunc(counts.Speeds, func(id string, _ speed.Observation) bool {
		return !g.fleet.IsCurrentBoot(id, counts.Boots[id], now)
	})
	g.fleet.ApplySpeeds(counts.From, counts.Speeds, now)
	g.logSpeedChanges()
}

// logSpeedChanges logs servers that became slow or normal. The caller holds the lock.
func (g *Gateway) logSpeedChanges() {
	for _, change := range g.fleet.TakeSpeedChanges() {
		g.log.Info("server speed changed", zap.String("Backend", change.Backend), zap.Float64("Slowdown", change.Slowdown),
			zap.Float64("Before", change.Before), zap.String("Source", string(change.Source)), zap.Duration("Age", change.Age))
	}
}

// slowdownFields returns a log field with the slowdown of the chosen server, if it is considered slow.
func slowdownFields(placement fleet.Placement) []zap.Field {
	if !placement.Found || placement.EstimatedSlowdown == 1 {
		return nil
	}
	return []zap.Field{zap.Float64("Slowdown", placement.EstimatedSlowdown)}
}

// countSlowdown counts a placement by the slowdown of its server.
func (g *Gateway) countSlowdown(service string, placement fleet.Placement) {
	if !g.isPlain(service) {
		g.metrics.placedSlowdown.WithLabelValues(service).Observe(placement.EstimatedSlowdown)
	}
}
