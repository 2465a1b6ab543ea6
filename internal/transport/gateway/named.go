package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// namedVersion is a version of a model that operators have named, which requests that it be served.
// Its deadline is Config.Bound after the naming. From then on older versions may not answer.
type named struct {
	version uint64
	// namedAt is when the version was named, as far as that is known.
	namedAt time.Duration
	// estimated is true until namedAt is known from a process that observed the naming.
	estimated bool
}

// minVersion returns the oldest version of a model that may answer now, or 0 if any may.
func (g *Gateway) least(model string, now time.Duration) uint64 {
	if g.config.Bound <= 0 {
		return 0
	}
	strict := g.switchoverConfig(model).Strict()
	minimum := uint64(0)
	for _, n := range g.named[model] {
		if now-n.namedAt >= strict {
			minimum = max(minimum, n.version)
		}
	}
	return minimum
}

// switchoverConfig returns the time limits for changes of a model's version.
func (g *Gateway) switchoverConfig(model string) switchover.Config {
	config := switchover.DefaultConfig(g.config.Bound)
	if state := g.state.Load(); state != nil {
		config = config.WithPass(state.LongestPass(model))
	}
	return config
}

// cancelDeadline returns when a request with this placement is cancelled if it has not started by
// then, or 0 if no newer version limits it. It returns false if the request is not expected to
// start in time.
//
// Every request to older weights has such a time, including those that are sent long before the
// deadline of the newer version and those that resume an answer, because they may wait in the
// server's queue past that deadline.
func (g *Gateway) takeBackAt(model string, now time.Duration, p fleet.Placement) (time.Duration, bool) {
	if g.config.Bound <= 0 || g.plain(p.Backend.Service) {
		return 0, true
	}
	config := g.switchoverConfig(model)
	config.Pass = time.Duration(float64(config.Pass) * max(p.Pace, 1))
	cancelAt := time.Duration(0)
	for _, n := range g.named[model] {
		if n.version <= p.Holds {
			continue
		}
		if !config.MayBegin(n.namedAt, now, p.Predicted) {
			return 0, false
		}
		if limit := config.TakeBackAt(n.namedAt); cancelAt == 0 || limit < cancelAt {
			cancelAt = limit
		}
	}
	return cancelAt, true
}

// setNamed adds versions that operators have named. first is true if they come from the first read
// of the store. The caller holds the lock.
func (g *Gateway) setNamed(versions []catalog.NamedVersion, first bool, now time.Duration) {
	for _, v := range versions {
		if v.Version <= g.newestVersion(v.Model) {
			continue
		}
		n := named{version: v.Version, namedAt: now}
		if first {
			// The version was named at an unknown time before this process started,
			// so its deadline may have passed already.
			n.namedAt, n.estimated = now-g.config.Bound, true
		}
		g.addNamed(v.Model, n, now)
		if !first {
			g.relay.Announce(v)
		}
		select {
		case g.namedNews <- struct{}{}:
		default:
		}
	}
}

// addNamed adds a version that is not known yet, and keeps the list in the order of versions.
func (g *Gateway) addNamed(model string, n named, now time.Duration) {
	list := append(slices.Clone(g.named[model]), n)
	slices.SortFunc(list, func(a, b named) int { return cmp.Compare(a.version, b.version) })
	g.named[model] = pruneSuperseded(list, g.config.Bound, now)
	g.fleet.SetNamed(model, g.namedVersions(model), now)
	g.log.Info("version named", zap.String("Model", model), zap.Uint64("Version", n.version), zap.Duration("Age", now-n.namedAt), zap.Bool("BeforeStart", n.estimated))
	for _, newer := range g.named[model] {
		g.supersedeOlder(catalog.NamedVersion{Model: model, Version: newer.version}, newer.namedAt)
	}
	g.updateRelayPlan(model)
}

// updateRelayPlan passes the named versions of a model to the relay. The caller holds the lock.
func (g *Gateway) updateRelayPlan(model string) {
	plan := relay.Plan{Bounds: g.switchoverConfig(model), OriginRate: g.originRate()}
	for _, n := range g.named[model] {
		plan.Named = append(plan.Named, switchover.Named{Version: n.version, Since: n.namedAt})
	}
	g.relay.SetPlan(model, plan)
}

// originRate returns the rate of the origin's link in bytes per second, or 0 if it is unknown.
func (g *Gateway) originRate() float64 {
	state := g.state.Load()
	if state == nil {
		return 0
	}
	origin, _ := state.Origin()
	return origin.OriginRate
}

// supersedeOlder passes to the relay when the versions before a named version become useless.
func (g *Gateway) supersedeOlder(v catalog.NamedVersion, namedAt time.Duration) {
	if g.config.Bound <= 0 {
		return
	}
	for _, older := range g.named[v.Model] {
		if older.version < v.Version {
			g.relay.Supersede(catalog.NamedVersion{Model: v.Model, Version: older.version}, g.switchoverConfig(v.Model).AnswersUntil(namedAt))
		}
	}
}

// pruneSuperseded removes the versions that are older than one whose deadline has passed.
//
// A version must not be pruned because of its age alone. Versions used to be pruned twice Config.Bound
// after their naming when the next one was named. The entry then no longer knew that the deadline
// had passed, and servers that had never loaded the version got requests again.
func pruneSuperseded(list []named, bound, now time.Duration) []named {
	for i := len(list) - 1; i > 0; i-- {
		if bound > 0 && !list[i].estimated && now-list[i].namedAt >= bound {
			return list[i:]
		}
	}
	return list
}

// newestVersion returns the newest named version of a model, or 0.
func (g *Gateway) newestVersion(model string) uint64 {
	list := g.named[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// namedVersions returns the named versions of a model from the oldest to the newest.
func (g *Gateway) namedVersions(model string) []uint64 {
	var versions []uint64
	for _, n := range g.named[model] {
		versions = append(versions, n.version)
	}
	return versions
}

// mergeNamedAge merges a peer's report of when a version was named. The caller holds the lock.
//
// The earliest report counts. A host that was disconnected observes a version late, and a deadline
// counted from then would be too late.
//
// An entry that starts reads only the newest version from the store. Only its peers know of a version
// that was named shortly before the newest one and has an earlier deadline.
func (g *Gateway) heardNamed(model string, version uint64, age, now time.Duration) {
	list := g.named[model]
	i := slices.IndexFunc(list, func(n named) bool { return n.version == version })
	switch {
	case i < 0 && g.isSuperseded(list, version, now):
	case i < 0:
		g.addNamed(model, named{version: version, namedAt: now - age}, now)
	case list[i].estimated || now-age < list[i].namedAt-ageTolerance:
		list[i] = named{version: version, namedAt: now - age}
		g.updateRelayPlan(model)
	}
}

// isSuperseded reports whether the deadline of a newer version than this one has passed.
func (g *Gateway) isSuperseded(list []named, version uint64, now time.Duration) bool {
	for _, n := range list {
		if n.version > version && !n.estimated && g.config.Bound > 0 && now-n.namedAt >= g.config.Bound {
			return true
		}
	}
	return false
}

// ageTolerance is the largest difference between two reported ages that is attributed to
// propagation delay and not reported further.
const ageTolerance = 50 * time.Millisecond
