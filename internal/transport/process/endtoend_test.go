package process_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/pkg/client"
)

var smallCluster = clusterConfig{entries: 2, models: 3, services: 2, tokenTime: 50 * time.Millisecond}

// A model request or an order fails without any fault, an order runs more than
// once, or the weights are fetched from the origin more than once.
func TestModelRequestAndOrderEndToEnd(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		cl.assertAnswer(cl.ask(c, "draft a clause", 20), "1", "draft a clause", 20)
		answer, err := c.Order(cl.t.Context(), client.Order{Key: "pickup-1", Service: "billing", Call: "OrderPickup", Body: []byte("skip 7")})
		cl.Assert(err, qt.IsNil)
		cl.Assert(string(answer), qt.Equals, "OrderPickup of hauler-1: skip 7 (run 1)")
		cl.Assert(cl.orderRuns("pickup-1"), qt.Equals, 1)
		cl.Assert(cl.platform.OriginBytes(), qt.Equals, int64(weightsBytes))
	})
}
