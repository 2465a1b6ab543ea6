package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/contention"
	"github.com/filbertlever/filbertlever/internal/coordination/shares"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// ServiceDemand is the demand for one service at an entry.
type ServiceDemand struct {
	Service string `cbor:"1,keyasint"`
	// Admitted and Refused count requests by level since the process started.
	Admitted []uint64 `cbor:"2,keyasint,omitempty"`
	Refused  []uint64 `cbor:"3,keyasint,omitempty"`
	// NoRoom counts those of Refused for which no slot was free at all.
	NoRoom []uint64 `cbor:"7,keyasint,omitempty"`
	// Returned counts the requests whose callers were seen to return. Entries of earlier versions send none.
	Returned []uint64 `cbor:"8,keyasint,omitempty"`
	// Organisations are those that asked for the most work. Asked and Served are their work in
	// milliseconds of slot time a second.
	Organisations []filbertlever.OrganisationID `cbor:"4,keyasint,omitempty"`
	Asked         []uint32                      `cbor:"5,keyasint,omitempty"`
	Served        []uint32                      `cbor:"6,keyasint,omitempty"`
}

// Intervals and limits of demand sent to the region.
const (
	// minDemandInterval and maxDemandInterval bound the time between two messages with the demand for
	// a service. Within them it grows with the entries of the region, so that the bytes that an entry
	// sends do not grow with their number: demandPeersPerInterval other entries add one
	// minDemandInterval. Several messages fit into the time for which the counts of a
	// peer are used, in case one is lost.
	minDemandInterval      = 200 * time.Millisecond
	maxDemandInterval      = 450 * time.Millisecond
	demandPeersPerInterval = 6
	// sharedDemandInterval is the longest time between two messages with shared demand to other regions.
	// Two fit into the time for which the counts of a peer are used.
	sharedDemandInterval = 900 * time.Millisecond
	// usagesInterval is the time between two messages with the usages of organisations, of which the
	// maxUsages largest are sent.
	usagesInterval = time.Second
	maxUsages      = 8
	// maxDemandServices bounds the services of one message, and maxDemandBytes its approximate size,
	// as a datagram has at most 8 KiB. Other services follow in the next message.
	maxDemandServices = 16
	maxDemandBytes    = 4 << 10
	// maxWorkRate bounds the work of an organisation, in milliseconds of slot time a second.
	maxWorkRate = 1 << 30
	// maxDecisions bounds the counts of a process, so that sums over entries do not overflow.
	maxDecisions = 1 << 53
)

// errDemand means that a demand is out of range or its lists differ in length.
var errDemand = errors.New("invalid demand")

// checkDemand validates the demand in counts.
func checkDemand(demand []ServiceDemand) error {
	if len(demand) > maxDemandServices {
		return fmt.Errorf("%d services: %w", len(demand), errDemand)
	}
	for i := range demand {
		if err := demand[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (d *ServiceDemand) check() error {
	if d.Service == "" || len(d.Service) > maxNameBytes {
		return fmt.Errorf("demand: service: %w", errName)
	}
	if len(d.Admitted) != len(d.Refused) || len(d.Admitted) != len(d.NoRoom) || len(d.Returned) > 0 && len(d.Returned) != len(d.Admitted) || len(d.Admitted) > catalog.MaxLevels {
		return fmt.Errorf("demand for %.200q: %d, %d, %d and %d levels: %w", d.Service, len(d.Admitted), len(d.Refused), len(d.NoRoom), len(d.Returned), errDemand)
	}
	if len(d.Organisations) > maxUsages || len(d.Asked) != len(d.Organisations) || len(d.Served) != len(d.Organisations) {
		return fmt.Errorf("demand for %.200q: %d organisations: %w", d.Service, len(d.Organisations), errDemand)
	}
	for _, n := range slices.Concat(d.Admitted, d.Refused, d.NoRoom, d.Returned) {
		if n > maxDecisions {
			return fmt.Errorf("demand for %.200q: %d requests: %w", d.Service, n, errDemand)
		}
	}
	for level, n := range d.Returned {
		if n > d.Admitted[level]+d.Refused[level] {
			return fmt.Errorf("demand for %.200q: %d of fewer requests returned: %w", d.Service, n, errDemand)
		}
	}
	for _, work := range slices.Concat(d.Asked, d.Served) {
		if work > maxWorkRate {
			return fmt.Errorf("demand for %.200q: work %d: %w", d.Service, work, errDemand)
		}
	}
	for _, id := range d.Organisations {
		if len(id) > maxNameBytes {
			return fmt.Errorf("demand for %.200q: organisation: %w", d.Service, errName)
		}
	}
	return nil
}

// setUsages sets the usages, without organisations whose names are too long to be sent.
func (d *ServiceDemand) setUsages(usages []shares.Usage) {
	for _, u := range usages[:min(len(usages), maxUsages)] {
		if len(u.Organisation) <= maxNameBytes {
			d.Organisations = append(d.Organisations, u.Organisation)
			d.Asked = append(d.Asked, workRate(u.Asked))
			d.Served = append(d.Served, workRate(u.Served))
		}
	}
}

// maxSize returns an upper bound of the encoded size.
func (d *ServiceDemand) maxSize() int {
	// Each integer takes up to 9 bytes, each list or string up to 3 bytes and a key.
	size := len(d.Service) + 9*(len(d.Admitted)+len(d.Refused)+len(d.NoRoom)+len(d.Returned)+len(d.Asked)+len(d.Served)) + 30
	for _, id := range d.Organisations {
		size += len(id) + 3
	}
	return size
}

// workRate rounds work to the unit in which it is sent.
func workRate(work float64) uint32 {
	if !(work > 0) {
		return 0
	}
	return uint32(math.Round(min(work, maxWorkRate)))
}

// usages returns the usages that were sent.
func (d *ServiceDemand) usages() []shares.Usage {
	usages := make([]shares.Usage, 0, len(d.Organisations))
	for i, id := range d.Organisations {
		usages = append(usages, shares.Usage{Organisation: id, Asked: float64(d.Asked[i]), Served: float64(d.Served[i])})
	}
	return usages
}

// demandSchedule records when the demand for a service was last sent. The zero value has sent none.
type demandSchedule struct {
	sentAt, usagesSentAt time.Duration
}

// demandInterval returns the interval at which demand is sent to a number of other entries.
func demandInterval(peers int) time.Duration {
	return min(max(minDemandInterval*time.Duration(peers)/demandPeersPerInterval, minDemandInterval), maxDemandInterval)
}

// dueDemand returns the demand for contended services that is to be sent now to a number of other
// entries of the region.
func (g *Gateway) dueDemand(peers int, now time.Duration) []ServiceDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []ServiceDemand
	size := 0
	for _, name := range slices.Sorted(maps.Keys(g.levelled)) {
		s := g.levelled[name]
		if peers == 0 || len(name) > maxNameBytes || len(due) == maxDemandServices || size > maxDemandBytes || now-s.demand.sentAt < demandInterval(peers) || !s.controller.Contended(now) {
			continue
		}
		s.demand.sentAt = now
		d := s.ownDemand()
		if now-s.demand.usagesSentAt >= usagesInterval {
			s.demand.usagesSentAt = now
			d.setUsages(s.shares.Top(maxUsages, now))
		}
		due = append(due, d)
		size += d.maxSize()
	}
	return due
}

// ownDemand returns the demand at this entry.
func (s *levelledService) ownDemand() ServiceDemand {
	counts := s.controller.Demand()
	return ServiceDemand{Service: s.name, Admitted: counts.Admitted, Refused: counts.Refused, NoRoom: counts.NoRoom, Returned: counts.Returned}
}

// sharedDemand returns the demand for contended services whose servers serve several regions, which is
// sent to the entries of the other regions. Without it, entries of a region without servers of its own
// would compete with entries that see no contention.
func (g *Gateway) sharedDemand(now time.Duration) []ServiceDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var shared []ServiceDemand
	size := 0
	for _, name := range slices.Sorted(maps.Keys(g.levelled)) {
		s := g.levelled[name]
		if !s.sharedRegions || len(name) > maxNameBytes || len(shared) == maxDemandServices || size > maxDemandBytes || !s.controller.Contended(now) {
			continue
		}
		d := s.ownDemand()
		shared = append(shared, d)
		size += d.maxSize()
	}
	return shared
}

// sendRegionCounts sends counts with demand to the entries of the region.
func (g *Gateway) sendRegionCounts(counts Counts, demand []ServiceDemand) {
	counts.Demand = demand
	g.sendCounts(&counts, scopeRegion)
}

// applyDemand applies the demand at another entry. Demand of other regions is ignored unless the servers
// of the service serve several regions, and so is demand for services that have other levels here: that
// entry has another desired state. The caller holds g.mu.
func (g *Gateway) applyDemand(host filbertlever.HostID, demand []ServiceDemand, now time.Duration) {
	local := g.peers.inRegion(host)
	for i := range demand {
		d := &demand[i]
		s := g.levelled[d.Service]
		if s == nil || len(d.Admitted) != s.levels || !local && !s.sharedRegions {
			continue
		}
		s.peers[host] = true
		s.controller.ApplyPeer(host, contention.Demand{Admitted: d.Admitted, Refused: d.Refused, NoRoom: d.NoRoom, Returned: d.Returned}, now)
		if len(d.Organisations) > 0 {
			s.shares.ApplyPeer(host, d.usages(), now)
		}
	}
}

// removeDemand removes the demand of an entry that has timed out or left. The caller holds g.mu.
func (g *Gateway) removeDemand(host filbertlever.HostID) {
	for _, s := range g.levelled {
		delete(s.peers, host)
		s.controller.RemovePeer(host)
		s.shares.RemovePeer(host)
	}
}

// removeAbsentDemand removes the demand of entries that are no longer registered. The caller holds
// g.mu.
func (g *Gateway) removeAbsentDemand() {
	for _, s := range g.levelled {
		for host := range s.peers {
			if _, known := g.peers.byHost[host]; !known {
				g.removeDemand(host)
			}
		}
	}
}

// runLevels reports the pressure of services with urgency levels.
func (g *Gateway) runLevels(ctx context.Context) {
	ticker := time.NewTicker(levelsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		g.reportPressure(boottime.Now())
		g.mu.Unlock()
	}
}
