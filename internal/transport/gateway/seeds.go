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

// seedsEvery is how often the seeds are asked, and seedTimeout bounds one answer.
const (
	seedInterval = 300 * time.Millisecond
	seedTimeout  = 700 * time.Millisecond
)

// PathEntries is where entries ask each other for the entries that they know.
const PathEntries = "/entries"

// runSeeds asks the seeds for other entries until the store has listed them.
//
// Guard: after a loss of power while the store, or its part with the entries, is away, each entry
// believes that it is alone and fetches every piece over the origin's thin link.
func (g *Gateway) runSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for !g.listed.Load() {
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

// runSeed asks one seed, and makes this entry known to those that it names.
func (g *Gateway) runSeed(ctx context.Context, address string) {
	entries, err := g.fetchEntries(ctx, address)
	if err != nil {
		g.log.Debug("seed does not answer", zap.String("Seed", address), zap.Error(err))
		return
	}
	g.mu.Lock()
	g.peers.addDiscovered(entries, boottime.Now())
	g.mu.Unlock()
	g.beat(boottime.Now(), true)
}

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
		return nil, fmt.Errorf("entries from %s: answered %d", address, response.StatusCode)
	}
	entries, err := decodeEntries(response.Body)
	if err != nil {
		return nil, fmt.Errorf("entries from %s: %w", address, err)
	}
	return entries, nil
}

func (g *Gateway) serveEntries(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	entries := g.peers.alive(boottime.Now())
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}
