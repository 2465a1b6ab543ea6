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

// named is the version of a model that operators want.
type named struct {
	version uint64
	// namedAt is when it was named, as far as known.
	namedAt time.Duration
	// estimated is true while since is not known from a process that saw it named.
	estimated bool
}

// least returns the oldest version of a model that may answer now; 0 means any.
func (g *Gateway) least(model string, now time.Duration) uint64 {
	if g.config.Bound <= 0 {
		return 0
	}
	strict := g.switchoverConfig(model).Strict()
	least := uint64(0)
	for _, n := range g.named[model] {
		if now-n.namedAt >= strict {
			least = max(least, n.version)
		}
	}
	return least
}

// switchoverConfig returns the times of a model's changes of version.
func (g *Gateway) switchoverConfig(model string) switchover.Config {
	config := switchover.DefaultConfig(g.config.Bound)
	if state := g.state.Load(); state != nil {
		config = config.WithPass(state.LongestPass(model))
	}
	return config
}

// takeBackAt reports whether a request that is placed so begins in time at a server
// whose version may soon be too old, and when it is taken back if it has not; 0 if its
// version has no such bound.
//
// Guard: whatever goes to older weights has such a time, also what is sent long before the bound and
// what resumes an answer; it may wait in the server's queue past the bound.
func (g *Gateway) takeBackAt(model string, now time.Duration, p fleet.Placement) (time.Duration, bool) {
	if g.config.Bound <= 0 || g.plain(p.Backend.Service) {
		return 0, true
	}
	config := g.switchoverConfig(model)
	config.Pass = time.Duration(float64(config.Pass) * max(p.Pace, 1))
	at := time.Duration(0)
	for _, n := range g.named[model] {
		if n.version <= p.Holds {
			continue
		}
		if !config.MayBegin(n.namedAt, now, p.Predicted) {
			return 0, false
		}
		if by := config.TakeBackAt(n.namedAt); at == 0 || by < at {
			at = by
		}
	}
	return at, true
}

// setNamed takes versions that operators have named.
func (g *Gateway) setNamed(versions []catalog.NamedVersion, first bool, now time.Duration) {
	for _, v := range versions {
		if v.Version <= g.newestVersion(v.Model) {
			continue
		}
		n := named{version: v.Version, namedAt: now}
		if first {
			// Named before this process started, it is not known when: the bound
			// may have passed already.
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

// addNamed takes a version that is not known yet, in the order of versions.
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

// updateRelayPlan tells the relay which versions of a model are wanted; the caller holds the lock.
func (g *Gateway) updateRelayPlan(model string) {
	plan := relay.Plan{Bounds: g.switchoverConfig(model), OriginRate: g.originRate()}
	for _, n := range g.named[model] {
		plan.Named = append(plan.Named, switchover.Named{Version: n.version, Since: n.namedAt})
	}
	g.relay.SetPlan(model, plan)
}

// originRate is the rate of the origin's link in bytes a second; 0 if unknown.
func (g *Gateway) originRate() float64 {
	state := g.state.Load()
	if state == nil {
		return 0
	}
	origin, _ := state.Origin()
	return origin.OriginRate
}

// supersedeOlder tells the relay when the versions before one are of no more use.
func (g *Gateway) supersedeOlder(v catalog.NamedVersion, since time.Duration) {
	if g.config.Bound <= 0 {
		return
	}
	for _, older := range g.named[v.Model] {
		if older.version < v.Version {
			g.relay.Supersede(catalog.NamedVersion{Model: v.Model, Version: older.version}, g.switchoverConfig(v.Model).AnswersUntil(since))
		}
	}
}

// pruneSuperseded returns the named versions that still matter: all but those that a newer one,
// which is the only one to answer by now, stands for.
//
// Guard: a version was forgotten two bounds after its naming when the next one was named,
// and with it that its bound had passed; servers that had never taken it got requests again.
func pruneSuperseded(list []named, bound, now time.Duration) []named {
	for i := len(list) - 1; i > 0; i-- {
		if bound > 0 && !list[i].estimated && now-list[i].namedAt >= bound {
			return list[i:]
		}
	}
	return list
}

func (g *Gateway) newestVersion(model string) uint64 {
	list := g.named[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

func (g *Gateway) namedVersions(model string) []uint64 {
	var versions []uint64
	for _, n := range g.named[model] {
		versions = append(versions, n.version)
	}
	return versions
}

// heardNamed takes a peer's report on when a version was named.
//
// Guard: a host that was cut off hears of a version late; counted from then, the bound would be kept
// late. The earliest report counts.
//
// Guard: an entry that starts reads only the newest version from the store. Of one that was named
// shortly before it, whose bound comes first, only its peers know.
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

// isSuperseded reports whether a newer version than one is the only one to answer by now.
func (g *Gateway) isSuperseded(list []named, version uint64, now time.Duration) bool {
	for _, n := range list {
		if n.version > version && !n.estimated && g.config.Bound > 0 && now-n.namedAt >= g.config.Bound {
			return true
		}
	}
	return false
}

// ageTolerance is the difference between two processes' words that is only the time
// on their way, and not worth telling anybody of.
const ageTolerance = 50 * time.Millisecond
