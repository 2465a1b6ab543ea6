package process_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/pkg/client"
)

var pickup = client.Order{Key: "pickup-1", Service: "billing", Call: "OrderPickup", Body: []byte("skip 7")}

type pendingOrder struct {
	err  error
	done chan struct{}
}

// placeOrder sends an order in the background.
func (cl *cluster) placeOrder(c *client.Client, order client.Order) *pendingOrder {
	o := &pendingOrder{done: make(chan struct{})}
	cl.group.Go(func() {
		defer close(o.done)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, o.err = c.Order(ctx, order)
	})
	return o
}

// hostOfOrder returns the billing host that has run an order, or "" if none has.
func (cl *cluster) hostOfOrder(key string) filbertlever.HostID {
	for id, service := range cl.services {
		if service.Runs("hauler-1", key) > 0 {
			return id
		}
	}
	return ""
}

// The same order arrives at every entry at the same time and is billed twice.
func TestSameOrderAtAllEntriesRunsOnce(t *testing.T) {
	runInCluster(t, clusterConfig{entries: 8, models: 1, services: 3}, func(cl *cluster) {
		var all []*pendingOrder
		for range 16 {
			all = append(all, cl.placeOrder(cl.client(token), pickup))
		}
		for _, o := range all {
			<-o.done
			cl.Assert(o.err, qt.IsNil)
		}
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// An agent is killed while its service runs an order, and the caller's retry
// runs the order again on another host.
func TestAgentKilledDuringOrder(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		o := cl.placeOrder(c, pickup)
		cl.waitFor("the order to run", func() bool { return cl.orderRuns(pickup.Key) == 1 })
		cl.kill(cl.hostOfOrder(pickup.Key))
		<-o.done
		cl.Assert(errors.Is(o.err, client.ErrUnknown), qt.IsTrue, qt.Commentf("%v", o.err))
		again := cl.placeOrder(c, pickup)
		<-again.done
		cl.Assert(errors.Is(again.err, client.ErrUnknown), qt.IsTrue, qt.Commentf("%v", again.err))
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// A restarted agent is asked about an order that it received before the restart,
// and the order runs again or stays open indefinitely.
func TestAgentRestartedDuringOrder(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		o := cl.placeOrder(c, pickup)
		cl.waitFor("the order to run", func() bool { return cl.orderRuns(pickup.Key) == 1 })
		host := cl.hostOfOrder(pickup.Key)
		cl.kill(host)
		cl.start(host)
		<-o.done
		cl.Assert(errors.Is(o.err, client.ErrUnknown), qt.IsTrue, qt.Commentf("%v", o.err))
		_, err := c.Lookup(cl.t.Context(), pickup.Key)
		cl.Assert(errors.Is(err, client.ErrUnknown), qt.IsTrue)
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// An entry is killed while an order runs, and the caller's retry at another entry
// runs the order again or gets no answer.
func TestEntryKilledDuringOrder(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		var all []*pendingOrder
		for range 4 {
			all = append(all, cl.placeOrder(cl.client(token), pickup))
		}
		cl.waitFor("the order to run", func() bool { return cl.orderRuns(pickup.Key) == 1 })
		cl.kill("entry-1")
		for _, o := range all {
			<-o.done
			cl.Assert(o.err, qt.IsNil)
		}
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// The link to the agent stalls while the order runs and recovers later.
func TestLinkStallsDuringOrder(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		o := cl.placeOrder(cl.client(token), pickup)
		cl.waitFor("the order to run", func() bool { return cl.orderRuns(pickup.Key) == 1 })
		host := cl.hostOfOrder(pickup.Key)
		cl.running[host].iface.setStalled(true)
		time.Sleep(5 * time.Second)
		cl.running[host].iface.setStalled(false)
		<-o.done
		cl.Assert(o.err, qt.IsNil)
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// Writes of an order to the platform take effect, but their acknowledgements are
// lost.
func TestLostOrderAcknowledgements(t *testing.T) {
	for _, lostAcks := range []int{1, 2, 3} {
		runInCluster(t, smallCluster, func(cl *cluster) {
			cl.platform.SetFaults(standin.Faults{LoseAcks: lostAcks})
			o := cl.placeOrder(cl.client(token), pickup)
			<-o.done
			cl.Assert(o.err, qt.IsNil)
			cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
		})
	}
}

// The platform fails after an order was claimed, the result cannot be recorded,
// and a later lookup of the order finds nothing.
func TestPlatformOutageDuringOrder(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		o := cl.placeOrder(c, pickup)
		cl.waitFor("the order to run", func() bool { return cl.orderRuns(pickup.Key) == 1 })
		cl.platform.SetFaults(standin.Faults{Down: true})
		<-o.done
		cl.Assert(o.err, qt.IsNil)
		cl.platform.SetFaults(standin.Faults{})
		time.Sleep(2 * time.Second)
		_, err := c.Lookup(cl.t.Context(), pickup.Key)
		cl.Assert(err, qt.IsNil)
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// A planned stop of an agent cuts off the order that runs there.
func TestPlannedStopDuringOrder(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		for _, service := range cl.services {
			service.CallDuration = 8 * time.Second
		}
		o := cl.placeOrder(cl.client(token), pickup)
		cl.waitFor("the order to run", func() bool { return cl.orderRuns(pickup.Key) == 1 })
		host := cl.hostOfOrder(pickup.Key)
		cl.terminate(host)
		<-o.done
		cl.Assert(o.err, qt.IsNil)
		cl.Assert(cl.waitExit(host) < 10*time.Second, qt.IsTrue)
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	})
}

// Orders are placedOrder while hosts and the platform fail and recover. No order may
// run twice, and no order that was reported as not run may have run.
func TestOrdersUnderFaults(t *testing.T) {
	runInCluster(t, clusterConfig{entries: 3, models: 1, services: 3}, func(cl *cluster) {
		type placedOrder struct {
			*pendingOrder
			key string
		}
		var all []placedOrder
		var mu sync.Mutex
		for i := range 40 {
			order := pickup
			order.Key = client.NewKey()
			mu.Lock()
			all = append(all, placedOrder{cl.placeOrder(cl.client(token), order), order.Key})
			mu.Unlock()
			switch i {
			case 8:
				cl.platform.SetFaults(standin.Faults{LoseAcks: 5})
			case 15:
				cl.kill("billing-1")
			case 20:
				cl.platform.SetFaults(standin.Faults{Down: true})
			case 25:
				cl.platform.SetFaults(standin.Faults{Slow: 700 * time.Millisecond})
				cl.kill("entry-2")
			case 30:
				cl.platform.SetFaults(standin.Faults{})
				cl.start("billing-1")
			}
			time.Sleep(30 * time.Millisecond)
		}
		for _, o := range all {
			<-o.done
			runs := cl.orderRuns(o.key)
			cl.Assert(runs <= 1, qt.IsTrue, qt.Commentf("order ran %d times", runs))
			switch {
			case o.err == nil:
				cl.Assert(runs, qt.Equals, 1)
			case errors.Is(o.err, client.ErrNotRun):
				cl.Assert(runs, qt.Equals, 0, qt.Commentf("%v", o.err))
			}
		}
	})
}
