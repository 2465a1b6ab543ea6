package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// The seeds are queried at seedInterval, then at intervals that double up to maxSeedInterval: while
// hundreds of processes start, the seeds and their links are busy. seedTimeout bounds one query.
const (
	seedInterval    = 100 * time.Millisecond
	maxSeedInterval = 2400 * time.Millisecond
	seedTimeout     = 700 * time.Millisecond
)

// PathEntries is the path at which an entry lists the entries that it counts as alive.
const PathEntries = "/entries"

// runSeeds queries the seeds for other entries until the store has listed them.
//
// After a power failure the store, or its entry table, may be unreachable. Without seeds each
// entry would find no other one and fetch every piece over the origin's slow link.
func (g *Gateway) runSeeds(ctx context.Context) {
	for interval := seedInterval; !g.entriesListed.Load(); interval = min(2*interval, maxSeedInterval) {
		for _, seed := range g.config.Seeds {
			if seed != g.config.Self.Peers {
				go g.runSeed(ctx, seed)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// runSeed queries one seed, and sends a heartbeat to the entries of this region that it was the
// first to name. Entries of other regions get theirs in turn.
func (g *Gateway) runSeed(ctx context.Context, address string) {
	entries, err := g.fetchEntries(ctx, address)
	if err != nil {
		g.log.Debug("seed query failed", zap.String("Seed", address), zap.Error(err))
		return
	}
	now := boottime.Now()
	g.mu.Lock()
	var addresses []string
	for _, entry := range g.peers.addDiscovered(entries, now) {
		if entry.Region == g.config.Self.Region {
			addresses = append(addresses, entry.Datagrams)
		}
	}
	heartbeat := g.ownHeartbeat(now)
	g.mu.Unlock()
	g.sendTo(Datagram{Heartbeat: heartbeat}, append(addresses, datagramsOf(entries, address)...))
}

// datagramsOf returns the datagram address of the entry with a peer address, if it is among entries.
func datagramsOf(entries []Entry, peerAddress string) []string {
	for _, entry := range entries {
		if entry.Peers == peerAddress {
			return []string{entry.Datagrams}
		}
	}
	return nil
}

// fetchEntries returns the entries that the entry at an address counts as alive.
func (g *Gateway) fetchEntries(ctx context.Context, address string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathEntries+"?Region="+url.QueryEscape(g.config.Self.Region), nil)
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

// serveEntries responds with the entries that a process in a region needs to know, and always this
// one.
func (g *Gateway) serveEntries(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	entries := g.peers.neighbours(r.URL.Query().Get("Region"), boottime.Now())
	g.mu.Unlock()
	if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Host == g.config.Self.Host }) {
		entries = append(entries, g.config.Self)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}
