package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Intervals and timeouts of the exchange between processes.
const (
	syncInterval = 3 * time.Second
	// unreadySyncInterval applies until the node is ready.
	unreadySyncInterval = 100 * time.Millisecond
	syncTimeout         = time.Second
	adoptTimeout        = 2 * time.Second
	adoptRetryInterval  = 200 * time.Millisecond
)

// Run synchronizes the node with other processes and with the platform until ctx ends.
func (n *Node) Run(ctx context.Context) {
	loops := []interface{ run(context.Context) }{
		&syncer{node: n},
		&adopter{node: n},
	}
	if n.config.Host.Role == filbertlever.RoleEntry {
		loops = append(loops, &platformPoller{node: n})
	}
	var group sync.WaitGroup
	for _, loop := range loops {
		group.Go(func() { loop.run(ctx) })
	}
	group.Wait()
}

// syncer synchronizes facts with one entry at a time, so that facts that a push
// did not deliver arrive within about syncInterval.
type syncer struct {
	node *Node
}

func (s *syncer) run(ctx context.Context) {
	for {
		if entry, ok := s.node.pickEntry(); ok {
			_ = s.node.syncWith(entry)
		}
		interval := syncInterval/2 + rand.N(syncInterval)
		if _, ready := s.node.Head(); !ready {
			interval = unreadySyncInterval
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// pickEntry returns a random other entry. It picks among the usable entries. If there
// are none, and in one of anyEntryOneIn calls, it picks among all known entries.
func (n *Node) pickEntry() (filbertlever.HostID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var entries []filbertlever.HostID
	for _, host := range n.base.UsableHosts(filbertlever.RoleEntry, time.Now()) {
		entries = append(entries, host.ID)
	}
	const anyEntryOneIn = 8
	if len(entries) == 0 || rand.N(anyEntryOneIn) == 0 {
		for seed := range n.config.Seeds {
			entries = append(entries, seed)
		}
		for _, host := range n.base.Members.Hosts(filbertlever.RoleEntry) {
			entries = append(entries, host.ID)
		}
	}
	for range 4 {
		if len(entries) == 0 {
			break
		}
		entry := entries[rand.N(len(entries))]
		if entry != n.config.Host.ID {
			return entry, true
		}
	}
	return "", false
}

// syncWith synchronizes facts with a host. It takes one call, or two if the host lacks
// facts that this node has.
func (n *Node) syncWith(host filbertlever.HostID) error {
	n.mu.Lock()
	request := control.SyncRequest{From: n.self(), Facts: n.base.Digest()}
	n.mu.Unlock()
	response, err := n.sync(host, request)
	if err != nil {
		return err
	}
	n.MergeFacts(response.Facts, host)
	n.mu.Lock()
	behind := n.base.AheadOf(response.Facts)
	request.Facts = n.base.Delta(response.Facts)
	n.mu.Unlock()
	if behind {
		_, err = n.sync(host, request)
	}
	return err
}

// sync makes one sync call to a host and records whether the host responded.
func (n *Node) sync(host filbertlever.HostID, request control.SyncRequest) (*control.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	var response control.SyncResponse
	if err := n.control.Call(ctx, host, control.MethodSync, request, &response); err != nil {
		n.RecordFailure(host)
		return nil, err
	}
	n.RecordContact(response.From)
	return &response, nil
}

// pushToChildren sends the node's facts to its children in the distribution tree of the
// processes, and if toRoot is true also to the root of the tree. Callers set toRoot if
// the facts came from the platform or an operator.
func (n *Node) pushToChildren(toRoot bool) {
	n.mu.Lock()
	request := control.SyncRequest{From: n.self(), Facts: n.base.Delta(knowledge.Facts{HostsRevision: n.base.Members.Revision()})}
	salt := fmt.Sprint(request.Facts.Head.Version)
	children := rollout.Children(n.config.Host.ID, toRoot, salt, n.usableIDs(filbertlever.RoleEntry), n.usableIDs(filbertlever.RoleAgent))
	n.mu.Unlock()
	var group sync.WaitGroup
	for _, child := range children {
		group.Go(func() { _, _ = n.sync(child, request) })
	}
	group.Wait()
}

// usableIDs returns the IDs of the usable hosts of a role. The caller holds n.mu.
func (n *Node) usableIDs(role filbertlever.Role) []filbertlever.HostID {
	var ids []filbertlever.HostID
	for _, host := range n.base.Members.UsableHosts(role, time.Now()) {
		ids = append(ids, host.ID)
	}
	return ids
}

// platformPoller polls the platform while this entry is one of the few selected for it.
type platformPoller struct {
	node *Node
	// unreachable is true if the last read failed.
	unreachable bool
}

func (p *platformPoller) run(ctx context.Context) {
	for {
		if p.node.pollsPlatform() {
			p.logChange(p.node.readPlatform(ctx))
		}
		if !sleep(ctx, p.node.config.PollInterval) {
			return
		}
	}
}

// logChange logs when the platform becomes unreachable or reachable.
func (p *platformPoller) logChange(err error) {
	unreachable := err != nil
	if unreachable == p.unreachable {
		return
	}
	p.unreachable = unreachable
	if unreachable {
		p.node.log.Warn("platform unreachable", zap.Error(err))
		return
	}
	p.node.log.Info("platform reachable again")
}

// pollsPlatform reports whether this entry is one of those selected to poll the platform.
func (n *Node) pollsPlatform() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rollout.IsWatcher(n.config.Host.ID, n.usableIDs(filbertlever.RoleEntry))
}

// readPlatform reads the accepted head, the planned stops and the host list, and merges them.
func (n *Node) readPlatform(ctx context.Context) error {
	rows, err := n.platform.Get(ctx, platform.KeyHead, platform.KeyStops)
	if err != nil {
		return err
	}
	var facts knowledge.Facts
	var stops control.Stops
	if err := errors.Join(rows[0].Decode(&facts.Head), rows[1].Decode(&stops)); err != nil {
		return err
	}
	facts.StopsKnown = true
	facts.StopsRevision = rows[1].Revision
	facts.Stops = stops.Stops
	n.mu.Lock()
	knownRevision := n.base.Members.Revision()
	n.mu.Unlock()
	revision, hosts, err := n.platform.ListHosts(ctx, knownRevision)
	if err == nil && hosts != nil {
		facts.HostsRevision = revision
		facts.Hosts = hosts
	}
	n.MergeFacts(facts, "")
	return err
}

// adopter fetches the bundle of a new accepted head and makes it the active one.
type adopter struct {
	node *Node
}

func (a *adopter) run(ctx context.Context) {
	for {
		wait := time.Hour
		if err := a.node.adopt(ctx); err != nil {
			a.node.log.Warn("adopt bundle", zap.Error(err))
			wait = adoptRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-a.node.adoptSignal:
		case <-time.After(wait):
		}
	}
}

// adopt makes the bundle of the accepted head active if it is not active yet.
func (n *Node) adopt(ctx context.Context) error {
	n.mu.Lock()
	head, missing := n.base.Tracker.Pending()
	source := n.headSource
	current := n.announcedBundle
	n.mu.Unlock()
	if !missing {
		return nil
	}
	if current == nil || current.Head.Digest != head.Digest {
		var err error
		current, err = n.fetchBundle(ctx, head, source)
		if err != nil {
			return err
		}
	}
	n.mu.Lock()
	adopted := n.base.Tracker.Activate(head)
	if adopted {
		n.holder.Store(current)
	}
	_, more := n.base.Tracker.Pending()
	n.mu.Unlock()
	if adopted {
		n.log.Info("bundle in force", zap.Uint64("Version", head.Version), zap.String("Digest", string(head.Digest)))
		n.onAdopted(current)
		go n.pushToChildren(source == "")
	}
	if more {
		n.signalAdopt()
	}
	return nil
}

// fetchBundle fetches the bundle of an accepted head. It tries the host that sent the
// head, then another entry, then the platform.
func (n *Node) fetchBundle(ctx context.Context, head state.Head, source filbertlever.HostID) (*state.ActiveBundle, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var failures []error
	candidates := []filbertlever.HostID{source}
	if entry, ok := n.pickEntry(); ok {
		candidates = append(candidates, entry)
	}
	for _, host := range candidates {
		if host == "" {
			continue
		}
		var response control.BundleResponse
		err := n.control.Call(ctx, host, control.MethodBundle, control.BundleRequest{Digest: head.Digest}, &response)
		if err == nil && len(response.Signed) > 0 {
			current, err := n.verify(head, response.Signed)
			if err == nil {
				return current, nil
			}
			failures = append(failures, fmt.Errorf("bundle from %s: %w", host, err))
			continue
		}
		failures = append(failures, err)
	}
	signed, err := n.platform.GetObject(ctx, head.Object)
	if err != nil {
		return nil, errors.Join(append(failures, err)...)
	}
	return n.verify(head, signed)
}

// verify decodes a signed bundle and checks its digest against the accepted head and its
// signatures.
func (n *Node) verify(head state.Head, data []byte) (*state.ActiveBundle, error) {
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return nil, err
	}
	if signed.Digest() != head.Digest {
		return nil, fmt.Errorf("bundle %d: %w", head.Version, bundle.ErrDigest)
	}
	b, err := signed.Verify(n.config.Operators, n.config.SignOffs)
	if err != nil {
		return nil, err
	}
	return &state.ActiveBundle{Head: head, Bundle: b, Signed: data}, nil
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
