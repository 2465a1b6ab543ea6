package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Servers of an evacuated site get requests: when the evacuation arrives after the list, before it,
// or while all other servers are suspected.
func TestEvacuatedSitesGetNoRequests(t *testing.T) {
	near, far := newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)
	far.Site = "b"
	request := Request{Service: plainService}
	list := func(f *Fleet) { f.Apply([]catalog.Backend{near, far}, nil, true, 0) }
	evacuate := func(f *Fleet) { f.SetEvacuated([]string{"a"}, nil, false, 0) }
	for _, test := range []struct {
		name  string
		steps []func(f *Fleet)
		found string
	}{
		{"list first", []func(*Fleet){list, evacuate}, "o2"},
		{"evacuation first", []func(*Fleet){evacuate, list}, "o2"},
		{"the rest suspected", []func(*Fleet){list, evacuate, func(f *Fleet) { f.RecordFailure("o1", 0); f.RecordFailure("o2", 0) }}, "o2"},
		{"all evacuated", []func(*Fleet){list, evacuate, func(f *Fleet) { f.SetEvacuated([]string{"b"}, nil, false, 0) }}, ""},
		{"reopened", []func(*Fleet){list, evacuate, func(f *Fleet) { f.SetEvacuated(nil, []string{"a"}, false, 0) }}, "o1"},
		{"reopened by the whole table", []func(*Fleet){list, evacuate, func(f *Fleet) { f.SetEvacuated(nil, nil, true, 0) }}, "o1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet()
			f.SetState(testState(), 0)
			for _, step := range test.steps {
				step(f)
			}
			for range 10 {
				placement := f.Choose(request, time.Millisecond)
				c.Assert(placement.Backend.ID, qt.Equals, test.found)
				f.Release(placement.Backend.ID)
			}
		})
	}
}
