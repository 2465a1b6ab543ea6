package agent

import (
	"context"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/order"
)

// orderGates is the order gate divided into shards, each with its own lock to
// reduce contention.
type orderGates struct {
	shards [gateShards]gateShard
}

type gateShard struct {
	mu   sync.Mutex
	gate *order.Gate
}

const (
	gateShards         = 16
	gateRetention      = 10 * time.Minute
	gateExpireInterval = time.Minute
)

func newGates(incarnation filbertlever.Incarnation) *orderGates {
	g := &orderGates{}
	for i := range g.shards {
		g.shards[i].gate = order.NewGate(incarnation, gateRetention)
	}
	return g
}

// withGate calls use with the gate that is responsible for a key, while holding
// the lock of its shard.
func (g *orderGates) withGate(key order.Key, use func(*order.Gate)) {
	hash := uint32(2166136261)
	for _, c := range []byte(string(key.Organisation) + "\x00" + key.Key) {
		hash = (hash ^ uint32(c)) * 16777619
	}
	shard := &g.shards[hash%gateShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	use(shard.gate)
}

// running returns the number of orders that have started and not ended.
func (g *orderGates) running() int {
	total := 0
	for i := range g.shards {
		g.shards[i].mu.Lock()
		total += g.shards[i].gate.Running()
		g.shards[i].mu.Unlock()
	}
	return total
}

// run periodically removes expired orders until ctx is done.
func (g *orderGates) run(ctx context.Context) {
	ticker := time.NewTicker(gateExpireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for i := range g.shards {
				g.shards[i].mu.Lock()
				g.shards[i].gate.Expire(time.Now())
				g.shards[i].mu.Unlock()
			}
		}
	}
}
