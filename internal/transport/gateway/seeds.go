package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// seedInterval is the interval between two queries of the seeds, and seedTimeout bounds one
// query.
const (
	seedInterval = 300 * time.Millisecond
	seedTimeout  = 700 * time.Millisecond
)

// PathEntries is the path at which an entry lists the entries that it counts as alive.
const PathEntries = "/entries"

// runSeeds queries the seeds for other entries until the store has listed them.
//
// After a power failure the store, or its entry table, may be unreachable. Without seeds each
// entry would find no other one and fetch every piece over the origin's slow link.
func (g *Gateway) runSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for !g.entriesListed.Load() {
		for _, seed := range g.config.Seeds {
			if seed != g.config.Self.Peers {
				go g.runSeed(ctx, seed)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runSeed queries one seed, and sends a heartbeat to the entries that it returns.
func (g *Gateway) runSeed(ctx context.Context, address string) {
	entries, err := g.fetchEntries(ctx, address)
	if err != nil {
		g.log.Debug("seed query failed", zap.String("Seed", address), zap.Error(err))
		return
	}
	g.mu.Lock()
	g.peers.addDiscovered(entries, boottime.Now())
	g.mu.Unlock()
	g.sendHeartbeat(boottime.Now(), true)
}

// fetchEntries returns the entries that the entry at an address counts as alive.
func (g *Gateway) fetchEntries(ctx context.Context, address string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathEntries, nil)
	if err != nil {
		return nil, err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entries from %s: status %d", address, response.StatusCode)
	}
	entries, err := decodeEntries(response.Body)
	if err != nil {
		return nil, fmt.Errorf("entries from %s: %w", address, err)
	}
	return entries, nil
}

// serveEntries responds with the entries that count as alive here, including this one.
func (g *Gateway) serveEntries(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	entries := g.peers.alive(boottime.Now())
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}
