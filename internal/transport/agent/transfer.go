package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/placement"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// transfer is the fetch of one set of weights.
type transfer struct {
	loader  *loader
	weights placement.Weights
	favour  bundle.Favour
}

// run fetches the weights and records them as verified.
func (t *transfer) run(ctx context.Context) {
	l := t.loader
	digest, err := t.fetch(ctx)
	if err != nil && ctx.Err() == nil {
		l.agent.log.Warn("fetching weights failed", zap.String("Model", t.weights.Model), zap.String("Version", t.weights.Version), zap.Error(err))
		t.waitBeforeRetry(ctx)
	}
	l.mu.Lock()
	l.fetching[t.weights]()
	delete(l.fetching, t.weights)
	if err == nil {
		l.placements.MarkVerified(t.weights, digest)
	}
	l.mu.Unlock()
	if err == nil {
		l.agent.log.Info("weights verified", zap.String("Model", t.weights.Model), zap.String("Version", t.weights.Version))
	}
	l.trigger()
	l.agent.reporter.trigger()
}

// waitBeforeRetry delays the next attempt of a failed transfer.
//
// While the platform is down, possibly no host has the manifest. Without a delay
// during which the transfer still counts as in flight, every host would request
// the manifest from its peers in a tight loop.
func (t *transfer) waitBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(transferRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fetch fetches the manifest and the chunks, and returns the digest of the
// weights.
func (t *transfer) fetch(ctx context.Context) (filbertlever.Digest, error) {
	a := t.loader.agent
	peers := a.poolPeers()
	if err := a.fetchManifest(ctx, t.weights.Manifest, peers); err != nil {
		return "", err
	}
	if err := a.fetcher.Fetch(ctx, t.weights.Manifest, peers, t.favour); err != nil {
		return "", err
	}
	return a.chunkLibrary.Manifest(t.weights.Manifest).Digest, nil
}

// poolPeers returns the usable agents of this agent's pool, ranked in the same
// order on all agents that have the same host list.
func (a *Agent) poolPeers() []distribution.Peer {
	sites := map[filbertlever.HostID]string{}
	var ids []filbertlever.HostID
	a.node.Read(func(base *knowledge.Base) {
		for _, host := range base.UsableHosts(filbertlever.RoleAgent, time.Now()) {
			if host.Pool == a.config.Host.Pool {
				sites[host.ID] = host.Site
				ids = append(ids, host.ID)
			}
		}
	})
	var peers []distribution.Peer
	for _, id := range rollout.Rank("weights", ids) {
		peers = append(peers, distribution.Peer{ID: id, Site: sites[id]})
	}
	return peers
}

// hasHostList reports whether the platform's host list has been received.
func (a *Agent) hasHostList() bool {
	received := false
	a.node.Read(func(base *knowledge.Base) { received = base.Members.Revision() > 0 })
	return received
}

// fetchManifest fetches a manifest from another agent of the pool, or from the
// platform if none of up to maxManifestPeers agents has it.
func (a *Agent) fetchManifest(ctx context.Context, digest filbertlever.Digest, peers []distribution.Peer) error {
	if a.chunkLibrary.Manifest(digest) != nil {
		return nil
	}
	failures := []error{errNoManifest}
	for _, host := range rollout.Rank(string(a.config.Host.ID), hostIDs(peers))[:min(maxManifestPeers, len(peers))] {
		if host == a.config.Host.ID {
			continue
		}
		peerCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		err := a.chunkLibrary.FetchManifest(peerCtx, a, host, digest)
		cancel()
		if err == nil {
			return nil
		}
		failures = append(failures, err)
	}
	data, err := a.platform.GetObject(ctx, platform.KeyManifest(digest))
	if err != nil {
		return errors.Join(append(failures, err)...)
	}
	manifest, err := bundle.DecodeManifest(data, digest)
	if err != nil {
		return err
	}
	a.chunkLibrary.Add(digest, manifest, data)
	return nil
}

func hostIDs(peers []distribution.Peer) []filbertlever.HostID {
	out := make([]filbertlever.HostID, len(peers))
	for i, p := range peers {
		out[i] = p.ID
	}
	return out
}
