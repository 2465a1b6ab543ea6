package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// namedVersion is a version of a model that operators have named, which requests that it be served.
// Its deadline is Config.MaxStaleness after the naming. From then on older versions may not answer.
type namedVersion struct {
	version uint64
	// namedAt is when the version was named, as far as that is known.
	namedAt time.Duration
	// estimated is true until namedAt is known from a process that observed the naming. Until then it is the
	// earliest possible time. beforeStart is true if no process is known to have an estimate either: the
	// version was named before this one started.
	estimated, beforeStart bool
	// basis is why namedAt is the time from which the version counts.
	basis namingBasis
}

// namingBasis is why a version counts from a time.
type namingBasis string

// The bases.
const (
	// basisObserved: the answer of the store, to this entry or to the one that passed it on, came as soon as the
	// version was named.
	basisObserved namingBasis = "Observed"
	// basisEstimated: it may have been named at any time since the view was confirmed, and counts from there.
	basisEstimated namingBasis = "Estimated"
	// basisReported: another entry, or a row of the store that entries wrote, states the age.
	basisReported namingBasis = "Reported"
	// basisBeforeStart: it was named before this entry started.
	basisBeforeStart namingBasis = "BeforeStart"
)

// minVersion returns the oldest version of a model that may answer now, or 0 if any may.
func (g *Gateway) minVersion(model string, now time.Duration) uint64 {
	if g.config.MaxStaleness <= 0 {
		return 0
	}
	strictAfter := g.switchoverConfig(model).TargetOnlyAfter()
	minimum := uint64(0)
	for _, n := range g.versionsByModel[model] {
		if now-n.namedAt >= strictAfter {
			minimum = max(minimum, n.version)
		}
	}
	return minimum
}

// switchoverConfig returns the time limits for changes of a model's version.
func (g *Gateway) switchoverConfig(model string) switchover.Config {
	config := switchover.DefaultConfig(g.config.MaxStaleness)
	if state := g.state.Load(); state != nil {
		config = config.WithMaxPass(state.MaxPassTime(model))
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
func (g *Gateway) cancelDeadline(model string, now time.Duration, p fleet.Placement) (time.Duration, bool) {
	if g.config.MaxStaleness <= 0 || g.isPlain(p.Backend.Service) {
		return 0, true
	}
	config := g.switchoverConfig(model)
	config.MaxPass = time.Duration(float64(config.MaxPass) * max(p.Slowdown, 1))
	cancelAt := time.Duration(0)
	for _, n := range g.versionsByModel[model] {
		if n.version <= p.HeldVersion {
			continue
		}
		if !config.MayStartOnOlder(n.namedAt, now, p.PredictedLatency) {
			return 0, false
		}
		if limit := config.CancelAt(n.namedAt); cancelAt == 0 || limit < cancelAt {
			cancelAt = limit
		}
	}
	return cancelAt, true
}

// setNamed adds versions that operators have named at the time changed, according to rows from source. first is true
// if they come from the first read of the store. The caller holds the lock.
func (g *Gateway) setNamed(versions []catalog.ModelVersion, first bool, changed switchover.Naming, source filbertlever.HostID, now time.Duration) {
	for _, v := range versions {
		if v.Version <= g.newestVersion(v.Model) {
			continue
		}
		n := namedVersion{version: v.Version, namedAt: min(cmp.Or(changed.At, now), now), estimated: changed.Estimated, basis: basisObserved}
		if n.estimated {
			n.basis = basisEstimated
		}
		if first {
			// The version was named at an unknown time before this process started,
			// so its deadline may have passed already.
			n.namedAt, n.estimated, n.beforeStart, n.basis = now-g.config.MaxStaleness, true, true, basisBeforeStart
		}
		g.addNamed(v.Model, n, source, now)
		if !first {
			g.relay.AddVersion(v)
		}
		select {
		case g.namedChanged <- struct{}{}:
		default:
		}
	}
}

// logNaming logs a change of the time from which a version counts.
func (g *Gateway) logNaming(message, model string, n namedVersion, source filbertlever.HostID, now time.Duration, more ...zap.Field) {
	g.log.Info(message, append([]zap.Field{zap.String("Model", model), zap.Uint64("Version", n.version), zap.Duration("Age", now-n.namedAt),
		zap.Bool("Estimated", n.estimated), zap.Bool("BeforeStart", n.beforeStart), zap.String("Basis", string(n.basis)), zap.String("Source", string(source))}, more...)...)
}

// addNamed adds a version that is not known yet, and keeps the list in the order of versions.
func (g *Gateway) addNamed(model string, n namedVersion, source filbertlever.HostID, now time.Duration) {
	list := append(slices.Clone(g.versionsByModel[model]), n)
	slices.SortFunc(list, func(a, b namedVersion) int { return cmp.Compare(a.version, b.version) })
	g.versionsByModel[model] = pruneSuperseded(list, g.config.MaxStaleness, now)
	g.fleet.SetNamedVersions(model, g.namedVersions(model), now)
	g.logNaming("version named", model, n, source, now)
	for _, newer := range g.versionsByModel[model] {
		g.supersedeOlder(catalog.ModelVersion{Model: model, Version: newer.version}, newer.namedAt)
	}
	g.updateRelayPlan(model)
}

// updateRelayPlan passes the named versions of a model to the relay. The caller holds the lock.
func (g *Gateway) updateRelayPlan(model string) {
	plan := relay.Plan{Config: g.switchoverConfig(model), OriginRate: g.originRate()}
	for _, n := range g.versionsByModel[model] {
		plan.Versions = append(plan.Versions, switchover.TargetVersion{Version: n.version, SetAt: n.namedAt})
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
func (g *Gateway) supersedeOlder(v catalog.ModelVersion, namedAt time.Duration) {
	if g.config.MaxStaleness <= 0 {
		return
	}
	for _, older := range g.versionsByModel[v.Model] {
		if older.version < v.Version {
			g.relay.Supersede(catalog.ModelVersion{Model: v.Model, Version: older.version}, g.switchoverConfig(v.Model).OlderUsableUntil(namedAt))
		}
	}
}

// pruneSuperseded removes the versions that are older than one whose deadline has passed.
//
// A version must not be pruned because of its age alone. Versions used to be pruned twice
// MaxStaleness after their naming when the next one was named. The entry then no longer knew that
// the deadline had passed, and servers that had never loaded the version got requests again.
func pruneSuperseded(list []namedVersion, maxStaleness, now time.Duration) []namedVersion {
	for i := len(list) - 1; i > 0; i-- {
		if maxStaleness > 0 && !list[i].estimated && now-list[i].namedAt >= maxStaleness {
			return list[i:]
		}
	}
	return list
}

// newestVersion returns the newest named version of a model, or 0.
func (g *Gateway) newestVersion(model string) uint64 {
	list := g.versionsByModel[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// namedVersions returns the named versions of a model from the oldest to the newest.
func (g *Gateway) namedVersions(model string) []uint64 {
	var versions []uint64
	for _, n := range g.versionsByModel[model] {
		versions = append(versions, n.version)
	}
	return versions
}

// mergeNamedAge merges a report of when a version was named, by another entry or sourceStore. The caller holds the lock.
//
// The earliest report that is known counts. A host that was disconnected observes a version late, and a deadline
// counted from then would be too late.
//
// An entry that starts reads only the newest version from the store. Only its peers know of a version
// that was named shortly before the newest one and has an earlier deadline.
//
// An estimated report counts only for an entry that has no estimate of its own. Estimates of several entries are not
// combined: each report arrives with a delay, and the latest one would become later with each.
func (g *Gateway) mergeNamedAge(report NamedAge, source filbertlever.HostID, now time.Duration) {
	list := g.versionsByModel[report.Model]
	i := slices.IndexFunc(list, func(n namedVersion) bool { return n.version == report.Version })
	reported := namedVersion{version: report.Version, namedAt: now - report.Age, estimated: !report.Known, basis: basisReported}
	switch {
	case i < 0 && (!report.Known || g.isSuperseded(list, report.Version, now)):
	case i < 0:
		g.addNamed(report.Model, reported, source, now)
	case report.Known && (list[i].estimated || reported.namedAt < list[i].namedAt-ageTolerance), !report.Known && list[i].beforeStart && report.Age < g.config.MaxStaleness:
		before := list[i]
		list[i] = reported
		g.logNaming("naming time replaced", report.Model, reported, source, now, zap.Duration("AgeBefore", now-before.namedAt), zap.String("BasisBefore", string(before.basis)))
		g.updateRelayPlan(report.Model)
	}
}

// isSuperseded reports whether the deadline of a newer version than this one has passed.
func (g *Gateway) isSuperseded(list []namedVersion, version uint64, now time.Duration) bool {
	for _, n := range list {
		if n.version > version && !n.estimated && g.config.MaxStaleness > 0 && now-n.namedAt >= g.config.MaxStaleness {
			return true
		}
	}
	return false
}

// ageTolerance is the largest difference between two reported ages that is attributed to
// propagation delay and not reported further.
const ageTolerance = 50 * time.Millisecond
