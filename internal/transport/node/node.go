// Package node is the common part of entries and agents. It holds the identity of the
// process and the facts about the system, and exchanges both with other processes.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/membership"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Errors of calls between processes.
var (
	ErrIdentity = errors.New("message is not from the host it names")
	ErrMethod   = errors.New("no such method")
)

// Platform reads from the platform.
type Platform interface {
	Get(ctx context.Context, keys ...string) ([]platform.Row, error)
	ListHosts(ctx context.Context, known uint64) (uint64, []filbertlever.Host, error)
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Config holds the identity of a process, the keys that it trusts and its initial peers.
type Config struct {
	Host        filbertlever.Host
	Incarnation filbertlever.Incarnation
	Operators   bundle.Operators
	// SignOffs is the minimum number of sign-offs of a bundle.
	SignOffs int
	// PollInterval is how often an entry that polls the platform reads it.
	PollInterval time.Duration
	// Seeds are the configured peer addresses of entries.
	Seeds map[filbertlever.HostID]string
	Stop  drain.Config
}

// Node is the common part of a process. It is safe for concurrent use.
type Node struct {
	config   Config
	platform Platform
	control  *peer.Control
	clients  *peer.Clients
	log      *zap.Logger
	holder   state.BundleHolder
	// methods are the methods that the process adds. They are set before Run.
	methods map[string]Method
	// onAdopted is called after a bundle became active. It is set before Run.
	onAdopted func(*state.ActiveBundle)

	mu   sync.Mutex
	base *knowledge.Base
	stop *drain.Stop
	// headSource is the host that sent the newest head. It is empty if the head came from
	// the platform or an operator. The bundle is fetched from this host first.
	headSource filbertlever.HostID
	// announcedBundle is the bundle of the newest head that an operator announced.
	announcedBundle *state.ActiveBundle

	// adoptSignal wakes the adopter.
	adoptSignal chan struct{}
	// stopRequested is closed by RequestStop.
	stopRequested chan struct{}
	stopOnce      sync.Once
}

// Method handles a call from a peer.
type Method func(ctx context.Context, caller peer.Caller, params []byte) (any, error)

// NewIncarnation returns a random identifier for one process lifetime on a host.
func NewIncarnation(host filbertlever.HostID) filbertlever.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return filbertlever.Incarnation(string(host) + "-" + hex.EncodeToString(random[:]))
}

// New returns a node and the function that closes its connections.
func New(config Config, client Platform, keys *peer.Keys, links network.Network, log *zap.Logger) (*Node, func()) {
	n := &Node{
		config:        config,
		platform:      client,
		log:           log,
		methods:       map[string]Method{},
		onAdopted:     func(*state.ActiveBundle) {},
		base:          knowledge.New(membership.New(membership.DefaultConfig())),
		stop:          drain.New(config.Stop),
		adoptSignal:   make(chan struct{}, 1),
		stopRequested: make(chan struct{}),
	}
	clients, closeClients := peer.NewClients(keys, links)
	n.clients = clients
	connections, closeControl := peer.NewControl(clients, n, n, log)
	n.control = connections
	return n, func() {
		closeControl()
		closeClients()
	}
}

// AddMethod adds a method that peers may call.
func (n *Node) AddMethod(name string, method Method) { n.methods[name] = method }

// OnAdopted sets the function that is called after a bundle became active.
func (n *Node) OnAdopted(f func(*state.ActiveBundle)) { n.onAdopted = f }

// Self returns the identity of this process.
func (n *Node) Self() control.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self()
}

// self returns the identity of this process. The caller holds n.mu.
func (n *Node) self() control.Identity {
	return control.Identity{Host: n.config.Host, Incarnation: n.config.Incarnation, Leaving: n.stop.Announced()}
}

// Incarnation returns the identifier of this process lifetime.
func (n *Node) Incarnation() filbertlever.Incarnation { return n.config.Incarnation }

// Control returns the connections to other processes.
func (n *Node) Control() *peer.Control { return n.control }

// Clients returns the HTTP clients for other processes.
func (n *Node) Clients() *peer.Clients { return n.clients }

// Current returns the active bundle of this process, or nil.
func (n *Node) Current() *state.ActiveBundle { return n.holder.Load() }

// PeerAddress returns the address of a host, from the host list or the seeds.
func (n *Node) PeerAddress(id filbertlever.HostID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, ok := n.base.Members.Host(id); ok && host.PeerAddress != "" {
		return host.PeerAddress, true
	}
	address, ok := n.config.Seeds[id]
	return address, ok
}

// Read calls read with the node's facts while it holds the lock. The function must not
// retain the base.
func (n *Node) Read(read func(*knowledge.Base)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	read(n.base)
}

// RecordFailure records that a host did not respond.
func (n *Node) RecordFailure(id filbertlever.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.base.Members.RecordFailure(id, time.Now())
}

// RecordResponse records that a host responded.
func (n *Node) RecordResponse(id filbertlever.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.base.Members.RecordAnswer(id, time.Now())
}

// RecordContact records a message from a process and whether the process is leaving.
func (n *Node) RecordContact(from control.Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.base.Members.RecordContact(from.Host, from.Incarnation, time.Now())
	if from.Leaving {
		n.base.Members.RecordStop(from.Host.ID, from.Incarnation)
	}
}

// Head returns the highest known accepted head and whether its bundle is active in this
// process.
func (n *Node) Head() (state.Head, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.base.Tracker.Latest(), n.base.Tracker.Ready()
}

// ErrNotReady means that a process cannot serve requests.
var ErrNotReady = errors.New("not ready")

// Ready returns nil if the accepted head is known and its bundle is active.
//
// A process that has just started may have no bundle, or may receive an old one. It
// becomes ready only once it has received the head from the platform or a peer and the
// bundle of that head is active.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stop.Announced() {
		return fmt.Errorf("leaving: %w", ErrNotReady)
	}
	if !n.base.Tracker.Ready() {
		return fmt.Errorf("bundle in force is %d, accepted is %d: %w",
			n.base.Tracker.Active().Version, n.base.Tracker.Latest().Version, ErrNotReady)
	}
	return nil
}

// Handle handles a call from a peer.
func (n *Node) Handle(ctx context.Context, caller peer.Caller, method string, params []byte) (any, error) {
	switch method {
	case control.MethodSync:
		return n.handleSync(caller, params)
	case control.MethodBundle:
		return n.handleBundle(params)
	case control.MethodAccepted:
		return n.handleAccepted(caller, params)
	}
	if handler, ok := n.methods[method]; ok {
		return handler(ctx, caller, params)
	}
	return nil, fmt.Errorf("%s: %w", method, ErrMethod)
}

// CheckIdentity returns an error unless the sender that a message names matches the caller's
// certificate.
func CheckIdentity(caller peer.Caller, from control.Identity) error {
	if caller.Host != from.Host.ID || (caller.Role != "" && caller.Role != string(from.Host.Role)) {
		return fmt.Errorf("certificate of %s, message of %s: %w", caller.Host, from.Host.ID, ErrIdentity)
	}
	return nil
}

func (n *Node) handleSync(caller peer.Caller, params []byte) (any, error) {
	var request control.SyncRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fmt.Errorf("decode sync of %s: %w", caller.Host, err)
	}
	if err := CheckIdentity(caller, request.From); err != nil {
		return nil, err
	}
	n.RecordContact(request.From)
	n.MergeFacts(request.Facts, caller.Host)
	n.mu.Lock()
	defer n.mu.Unlock()
	return control.SyncResponse{From: n.self(), Facts: n.base.Delta(request.Facts)}, nil
}

func (n *Node) handleBundle(params []byte) (any, error) {
	var request control.BundleRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fmt.Errorf("decode bundle request: %w", err)
	}
	current := n.holder.Load()
	if current == nil || current.Head.Digest != request.Digest {
		return control.BundleResponse{}, nil
	}
	return control.BundleResponse{Signed: current.Signed}, nil
}

// handleAccepted handles the announcement of an accepted roll by the operator's command,
// so that the bundle becomes active even if the platform becomes unavailable before any
// entry has read the head.
func (n *Node) handleAccepted(caller peer.Caller, params []byte) (any, error) {
	if caller.Role != peer.RoleOperator {
		return nil, fmt.Errorf("accepted head from %s: %w", caller.Host, peer.ErrRole)
	}
	var message control.Accepted
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fmt.Errorf("decode accepted head of %s: %w", caller.Host, err)
	}
	current, err := n.verify(message.Head, message.Signed)
	if err != nil {
		return nil, fmt.Errorf("accepted head of %s: %w", caller.Host, err)
	}
	n.mu.Lock()
	if n.announcedBundle == nil || n.announcedBundle.Head.Version < message.Head.Version {
		n.announcedBundle = current
	}
	n.mu.Unlock()
	n.MergeFacts(knowledge.Facts{Head: message.Head}, "")
	return nil, nil
}

// MergeFacts merges received facts. The source is the peer that sent them. It is empty if
// the facts came from the platform or an operator.
func (n *Node) MergeFacts(facts knowledge.Facts, source filbertlever.HostID) {
	n.mu.Lock()
	changes, err := n.base.Merge(facts, time.Now())
	if changes.Head {
		n.headSource = source
	}
	stopping := n.base.HasPlannedStop(n.config.Host.ID)
	n.mu.Unlock()
	if err != nil {
		n.log.Error("accepted head rejected", zap.String("Teller", string(source)), zap.Error(err))
	}
	if changes.Head {
		n.log.Info("accepted head received", zap.Uint64("Version", facts.Head.Version), zap.String("Teller", string(source)))
		n.signalAdopt()
	}
	if stopping {
		n.RequestStop("planned stop")
	}
	if changes.Stops {
		go n.pushToChildren(source == "")
	}
}

// signalAdopt wakes the adopter without blocking.
func (n *Node) signalAdopt() {
	select {
	case n.adoptSignal <- struct{}{}:
	default:
	}
}

// RequestStop requests a graceful shutdown of the process. Only the first call has an effect.
func (n *Node) RequestStop(reason string) {
	n.stopOnce.Do(func() {
		n.log.Info("stop requested", zap.String("Reason", reason))
		close(n.stopRequested)
	})
}

// StopRequested returns a channel that is closed once a shutdown was requested.
func (n *Node) StopRequested() <-chan struct{} { return n.stopRequested }

// AnnounceStop begins the shutdown and announces it to all entries.
func (n *Node) AnnounceStop() {
	n.mu.Lock()
	n.stop.Announce(time.Now())
	entries := n.base.Members.Hosts(filbertlever.RoleEntry)
	n.mu.Unlock()
	var group sync.WaitGroup
	for _, entry := range entries {
		if entry.ID == n.config.Host.ID {
			continue
		}
		group.Go(func() { _ = n.syncWith(entry.ID) })
	}
	group.Wait()
}

// AdvanceStop advances the shutdown, given the number of requests in flight, and returns
// its phase.
func (n *Node) AdvanceStop(inFlight int) drain.Phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.Advance(time.Now(), inFlight)
}

// Accepts reports whether the process accepts new requests.
func (n *Node) Accepts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.Accepts()
}

// Leaving reports whether the shutdown has been announced.
func (n *Node) Leaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.Announced()
}
