package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/placement"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

var (
	epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	v1    = placement.Weights{Kind: placement.KindModel, Model: "drafter", Version: "1", Manifest: "m1"}
	v2    = placement.Weights{Kind: placement.KindModel, Model: "drafter", Version: "2", Manifest: "m2"}
	tone  = placement.Weights{Kind: placement.KindAdapter, Model: "drafter/tone", Version: "1", Manifest: "a1", Base: "m1"}
)

func digest(w placement.Weights) filbertlever.Digest { return "whole-" + w.Manifest }

func makeLive(c *qt.C, l *placement.Loader, w placement.Weights) {
	l.MarkVerified(w, digest(w))
	p, ok := l.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.Weights, qt.Equals, w)
	c.Assert(l.MarkLoaded(w, digest(w), epoch), qt.IsTrue)
}

// The wanted sets of a pool are the models and adapters that the bundle assigns
// to it.
func TestWantedFollowsTheBundle(t *testing.T) {
	c := qt.New(t)
	b := bundle.Example()
	b.Models[0].Adapters = []bundle.Adapter{{Name: "tone", Version: "3", Manifest: "a3"}}
	wanted := placement.Wanted(b, "model-servers")
	c.Assert(wanted, qt.HasLen, 2)
	c.Assert(wanted[1].Base, qt.Equals, wanted[0].Manifest)
	c.Assert(wanted[1].Model, qt.Equals, "drafter/tone")
	c.Assert(placement.Wanted(b, "billing"), qt.HasLen, 0)
}

// An engine that loads a set with missing chunks would serve partial weights.
func TestOnlyAVerifiedSetIsLoaded(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	_, ok := l.Next(epoch)
	c.Assert(ok, qt.IsFalse)
	l.MarkVerified(v1, digest(v1))
	_, ok = l.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	_, ok = l.Next(epoch)
	c.Assert(ok, qt.IsFalse)
}

// The engine read bytes that differ from the verified ones. It must not serve them.
func TestDigestMismatchIsAFailedLoad(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	l.MarkVerified(v1, digest(v1))
	l.Next(epoch)
	c.Assert(l.MarkLoaded(v1, "other", epoch), qt.IsFalse)
	c.Assert(l.Live(), qt.HasLen, 0)
	c.Assert(l.All()[0].Stage, qt.Equals, placement.StageFailed)
	c.Assert(l.All()[0].Reason, qt.Contains, "engine attested")
}

// A load that failed once, for example for lack of memory, must be retried, but
// not in a tight loop.
func TestFailedLoadIsRetriedWithBackoff(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	l.MarkVerified(v1, digest(v1))
	l.Next(epoch)
	l.MarkFailed(v1, "out of memory", epoch)
	_, ok := l.Next(epoch.Add(100 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	p, ok := l.Next(epoch.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.Failures, qt.Equals, 1)
	c.Assert(l.MarkLoaded(v1, digest(v1), epoch), qt.IsTrue)
}

// If the old version were dropped at the roll, no host would serve the model
// until the transfer of the new version ends.
func TestOldVersionServesUntilTheNewOneIsLive(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	makeLive(c, &l, v1)
	l.SetWanted([]placement.Weights{v2})
	c.Assert(l.Live()[0].Weights, qt.Equals, v1)
	makeLive(c, &l, v2)
	c.Assert(l.Live(), qt.HasLen, 1)
	c.Assert(l.Live()[0].Weights, qt.Equals, v2)
}

// The version changes twice while a transfer is in flight. The host must not load
// the intermediate version, which is no longer wanted.
func TestVersionChangesTwiceInFlight(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	l.SetWanted([]placement.Weights{v2})
	l.SetWanted([]placement.Weights{v1})
	l.MarkVerified(v2, digest(v2))
	_, ok := l.Next(epoch)
	c.Assert(ok, qt.IsFalse)
	makeLive(c, &l, v1)
}

// A load of the old version ends after the roll of a new one. It must not count
// as a load of the new version.
func TestLateLoadOfASupersededVersionIsIgnored(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	l.MarkVerified(v1, digest(v1))
	l.Next(epoch)
	l.SetWanted([]placement.Weights{v2})
	c.Assert(l.MarkLoaded(v1, digest(v1), epoch), qt.IsFalse)
	c.Assert(l.Live(), qt.HasLen, 0)
}

// A model that was removed from the bundle must not be served any more.
func TestRemovedModelIsNotServed(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	makeLive(c, &l, v1)
	l.SetWanted(nil)
	c.Assert(l.Live(), qt.HasLen, 0)
}

// An engine restarts with nothing loaded. The agent must not send it requests
// until it has loaded the weights again.
func TestRestartedEngineLoadsAgain(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1})
	makeLive(c, &l, v1)
	c.Assert(l.Reconcile([]filbertlever.Digest{digest(v1)}), qt.IsFalse)
	c.Assert(l.Reconcile(nil), qt.IsTrue)
	c.Assert(l.Live(), qt.HasLen, 0)
	makeLive(c, &l, v1)
}

// An adapter must not be loaded before its base model is live.
func TestAdapterWaitsForItsBaseModel(t *testing.T) {
	c := qt.New(t)
	var l placement.Loader
	l.SetWanted([]placement.Weights{v1, tone})
	l.MarkVerified(tone, digest(tone))
	_, ok := l.Next(epoch)
	c.Assert(ok, qt.IsFalse)
	makeLive(c, &l, v1)
	p, ok := l.Next(epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.Weights, qt.Equals, tone)
}
