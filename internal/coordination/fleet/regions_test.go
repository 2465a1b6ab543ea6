package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Guards against entries of a region whose site is evacuated that are refused by a margin wherever the
// entries of other regions are served, and against a margin that is missing in calm.
func TestRegionWithoutServersHasNoMargin(t *testing.T) {
	c := qt.New(t)
	f, now := newFleet(), time.Second
	f.SetState(testState(), 0)
	near, far := newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)
	far.Site = "b"
	f.Apply([]catalog.Backend{near, far}, nil, true, now)
	position := func() int {
		placement := f.Choose(Request{Service: modelService, Model: model}, now)
		f.Release(placement.Backend.ID)
		return placement.QueuePosition
	}
	c.Check(f.RefreshRegions(modelService), qt.IsFalse)
	c.Check(position(), qt.Equals, 1-near.Slots)
	f.SetEvacuated([]string{"a"}, nil, false, now)
	c.Check(position(), qt.Equals, 1-far.Slots+f.config.OtherRegionMargin)
	c.Check(f.RefreshRegions(modelService), qt.IsTrue)
	c.Check(position(), qt.Equals, 1-far.Slots)
	f.SetEvacuated(nil, []string{"a"}, false, now)
	c.Check(f.RefreshRegions(modelService), qt.IsFalse)
}
