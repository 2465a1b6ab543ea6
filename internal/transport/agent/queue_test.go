package agent

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
)

// An entry sends requests to a full host, as a report counts one as received that its load does not contain.
func TestReportedLoadContainsReceivedRequests(t *testing.T) {
	c := qt.New(t)
	queue := newRequestQueue()
	var group sync.WaitGroup
	for range defaultConcurrency + defaultQueueSize {
		group.Go(func() {
			go queue.admit(t.Context(), "entry-1", admission.Item{Cost: 1, Deadline: time.Now().Add(time.Minute)})
			load := queue.loadFor("entry-1")
			c.Check(load.Running+load.Queued, qt.Equals, int(load.ReceivedRequests))
		})
	}
	group.Wait()
}
