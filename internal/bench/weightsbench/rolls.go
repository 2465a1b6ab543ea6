package weightsbench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/drain"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/node"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Rolls holds the times from the start of a roll until the bundle is active on
// every process.
type Rolls struct {
	Processes, Rolls int
	// P50 and P99 are in milliseconds.
	P50, P99 float64
	// DownP50 and DownP99 are measured with a platform outage immediately after the
	// platform has accepted the bundle.
	DownP50, DownP99 float64
	// WatchersOnlyP99 is the P99 when the operator's command does not announce the
	// bundle to the entries, so that they depend on the watchers.
	WatchersOnlyP99 float64 `json:"UnheardP99"`
}

// fleet runs the control part of many hosts in this process.
type fleet struct {
	keyDir         operator.KeyDir
	operatorKey    string
	platform       *standin.Platform
	platformClient *platform.Client
	settings       *settings.Settings
	parent         bundle.Parent
	nodes          []*node.Node
	servers        []*http.Server
	cleanups       []func()
	// adopted receives the version of each bundle that a node activates.
	adopted chan uint64
}

const fleetBasePort = 17400

// loopback is the network of the fleet.
var loopback = network.TCP{DialTimeout: time.Second}

// MeasureRolls measures the given number of rolls of each kind on 8 entries and
// 24 agents.
func MeasureRolls(ctx context.Context, rolls int) (Rolls, error) {
	const entries, agents = 8, 24
	f, err := newFleet(ctx, entries, agents)
	if err != nil {
		return Rolls{}, err
	}
	defer f.close()
	result := Rolls{Processes: entries + agents, Rolls: rolls}
	if _, err := f.measureRoll(ctx, true, false); err != nil {
		return Rolls{}, err
	}
	kinds := []struct {
		announce, platformDown bool
		p50, p99               *float64
	}{
		{true, false, &result.P50, &result.P99},
		{true, true, &result.DownP50, &result.DownP99},
		{false, false, new(float64), &result.WatchersOnlyP99},
	}
	for _, kind := range kinds {
		var durations []time.Duration
		for range rolls {
			d, err := f.measureRoll(ctx, kind.announce, kind.platformDown)
			if err != nil {
				return Rolls{}, err
			}
			durations = append(durations, d)
		}
		slices.Sort(durations)
		*kind.p50 = milliseconds(durations[len(durations)/2])
		*kind.p99 = milliseconds(durations[len(durations)*99/100])
	}
	return result, nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// newFleet starts the stand-in platform and a node for each host.
func newFleet(ctx context.Context, entries, agents int) (*fleet, error) {
	path, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{keyDir: operator.KeyDir{Path: path}, platform: standin.NewPlatform(), adopted: make(chan uint64, 4096)}
	f.cleanups = append(f.cleanups, func() { _ = os.RemoveAll(path) })
	if _, err := f.keyDir.NewHost("ana", peer.RoleOperator, nil); err != nil {
		return nil, err
	}
	if f.operatorKey, err = f.keyDir.NewOperator("ana"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.platform.Handler()}
	f.servers = append(f.servers, server)
	s := httpServer{server: server, listener: listener}
	go s.run()
	f.platformClient = platform.New("http://"+listener.Addr().String(), time.Second, loopback)
	f.settings = &settings.Settings{TLS: settings.TLS{Authority: f.keyDir.Authority(), Certificate: path + "/ana.pem", Key: path + "/ana.key"}}
	var hosts []filbertlever.Host
	for i := range entries + agents {
		h := filbertlever.Host{ID: filbertlever.HostID(fmt.Sprint("process-", i)), Role: filbertlever.RoleAgent, PeerAddress: fmt.Sprintf("127.0.0.1:%d", fleetBasePort+i)}
		if i < entries {
			h.Role = filbertlever.RoleEntry
			f.settings.Seeds = append(f.settings.Seeds, settings.Seed{Host: h.ID, PeerAddress: h.PeerAddress})
		}
		hosts = append(hosts, h)
	}
	f.platform.SetHosts(hosts)
	for _, h := range hosts {
		if err := f.startNode(ctx, h); err != nil {
			return nil, err
		}
	}
	return f, f.awaitMembership(hosts)
}

// awaitMembership waits until every node has discovered all hosts.
func (f *fleet) awaitMembership(hosts []filbertlever.Host) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range f.nodes {
		for discovered := 0; discovered < len(hosts); {
			n.Read(func(base *knowledge.Base) {
				discovered = len(base.Members.Hosts(filbertlever.RoleEntry)) + len(base.Members.Hosts(filbertlever.RoleAgent))
			})
			if time.Now().After(deadline) {
				return fmt.Errorf("nodes did not discover each other within 20s: %d of %d hosts discovered", discovered, len(hosts))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// startNode starts the node and the control server of a host.
func (f *fleet) startNode(ctx context.Context, h filbertlever.Host) error {
	files, err := f.keyDir.NewHost(string(h.ID), string(h.Role), net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	keys, err := peer.LoadKeys(peer.Files{Authority: f.keyDir.Authority(), Certificate: files.Certificate, Key: files.Key})
	if err != nil {
		return err
	}
	public, err := bundle.ParsePublicKey(f.operatorKey)
	if err != nil {
		return err
	}
	seeds := map[filbertlever.HostID]string{}
	for _, seed := range f.settings.Seeds {
		seeds[seed.Host] = seed.PeerAddress
	}
	n, cleanup := node.New(node.Config{
		Host: h, Incarnation: node.NewIncarnation(h.ID), Operators: bundle.Operators{"ana": public}, SignOffs: 1,
		PollInterval: 500 * time.Millisecond, Seeds: seeds, Stop: drain.DefaultConfig(),
	}, f.platformClient, keys, loopback, zap.NewNop())
	n.OnAdopted(func(current *state.ActiveBundle) { f.adopted <- current.Head.Version })
	mux := http.NewServeMux()
	mux.Handle(peer.ControlPath, n.Control())
	listener, err := loopback.Listen(h.PeerAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux, TLSConfig: keys.ServerConfig()}
	s := tlsServer{server: server, listener: listener}
	go s.run()
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { n.Run(ctx) })
	f.nodes = append(f.nodes, n)
	f.servers = append(f.servers, server)
	f.cleanups = append(f.cleanups, func() {
		cancel()
		cleanup()
		group.Wait()
	})
	return nil
}

type tlsServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *tlsServer) run() { _ = s.server.ServeTLS(s.listener, "", "") }

// measureRoll rolls out the next bundle and returns the time until it is active on
// the last process.
func (f *fleet) measureRoll(ctx context.Context, announce, platformDown bool) (time.Duration, error) {
	b := bundle.Example()
	b.Models = nil
	b.Version = f.parent.Version + 1
	b.Parent = f.parent
	body, err := b.Encode()
	if err != nil {
		return 0, err
	}
	key, err := operator.ReadSigningKey(f.keyDir.SigningKey("ana"))
	if err != nil {
		return 0, err
	}
	signed := &bundle.Signed{Body: body}
	signed.Sign("ana", key)
	public, err := bundle.ParsePublicKey(f.operatorKey)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	head, err := operator.Roll(ctx, f.platformClient, signed, bundle.Operators{"ana": public}, 1)
	if err != nil {
		return 0, err
	}
	f.platform.SetFaults(standin.Faults{Down: platformDown})
	defer f.platform.SetFaults(standin.Faults{})
	f.parent = bundle.Parent{Version: head.Version, Digest: head.Digest}
	if announce {
		if _, err := operator.Announce(ctx, f.settings, loopback, head, signed); err != nil {
			return 0, err
		}
	}
	timeout := time.After(10 * time.Second)
	for pending := len(f.nodes); pending > 0; {
		select {
		case version := <-f.adopted:
			if version == head.Version {
				pending--
			}
		case <-timeout:
			return 0, fmt.Errorf("bundle %d is not active on %d of %d processes after 10s", head.Version, pending, len(f.nodes))
		}
	}
	return time.Since(start), nil
}

// close stops all nodes and servers.
func (f *fleet) close() {
	for _, cleanup := range f.cleanups {
		cleanup()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.platformClient.Close()
}
