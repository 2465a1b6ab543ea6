// Package cluster runs entries and agents in this process for measurements. They
// communicate over loopback and use the stand-ins.
package cluster

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/internal/transport/process"
	"github.com/filbertlever/filbertlever/pkg/bundle"
	"github.com/filbertlever/filbertlever/pkg/document"
)

// Config configures a cluster.
type Config struct {
	Entries, Agents int
	Engine          standin.EngineConfig
	Routing         routing.Config
	// Concurrency is the number of concurrent requests of a backend server.
	Concurrency int
	// Queue is the maximum number of queued requests at a backend server.
	Queue int
	// Network returns the network of a host. Nil means TCP.
	Network func(filbertlever.Host) network.Network
	// Organisations may send requests. Each one's token is its name.
	Organisations []filbertlever.OrganisationID
	// RunEntry runs an entry until ctx ends. Nil means in this process.
	RunEntry func(ctx context.Context, s *settings.Settings) error
}

// Model is the model that every agent serves.
const Model = "drafter"

// Cluster is a running cluster.
type Cluster struct {
	Engines []*standin.Engine
	// EngineURLs are the URLs for direct calls of the engines.
	EngineURLs []string
	// Callers are the caller addresses of the entries.
	Callers []string
	// TLS is a client configuration that trusts the certificates of the entries.
	TLS *tls.Config
	// Digest is the digest of the loaded weights.
	Digest filbertlever.Digest

	dir         operator.KeyDir
	operatorKey string
	platform    *standin.Platform
	platformURL string
	cancel      context.CancelFunc
	group       sync.WaitGroup
	servers     []*http.Server
	seeds       []settings.Seed
	firstPort   int
}

const (
	basePort     = 21000
	portsPerHost = 4
	startTimeout = 30 * time.Second
)

var (
	portsMu  sync.Mutex
	nextPort = basePort
)

// reservePorts reserves n consecutive ports and returns the first. Each cluster
// in this process gets different ports.
func reservePorts(n int) int {
	portsMu.Lock()
	defer portsMu.Unlock()
	first := nextPort
	nextPort += n
	return first
}

// New starts a cluster whose agents all serve Model. It returns the cluster and
// a function that stops it.
func New(ctx context.Context, config Config) (*Cluster, func(), error) {
	path, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{dir: operator.KeyDir{Path: path}, platform: standin.NewPlatform(), cancel: cancel, firstPort: reservePorts(portsPerHost * (config.Entries + config.Agents))}
	stop := func() {
		cancel()
		c.group.Wait()
		for _, server := range c.servers {
			_ = server.Close()
		}
		_ = os.RemoveAll(path)
	}
	if err := c.start(ctx, config); err != nil {
		stop()
		return nil, nil, err
	}
	return c, stop, nil
}

func (c *Cluster) start(ctx context.Context, config Config) error {
	var err error
	if c.operatorKey, err = c.dir.NewOperator("ana"); err != nil {
		return err
	}
	if c.platformURL, err = c.serve(c.platform.Handler()); err != nil {
		return err
	}
	var hosts []filbertlever.Host
	for i := range config.Entries + config.Agents {
		host := filbertlever.Host{ID: filbertlever.HostID(fmt.Sprintf("entry-%d", i)), Role: filbertlever.RoleEntry, Site: "site", Region: "region"}
		host.PeerAddress = c.address(i, 0)
		host.CallerAddress = c.address(i, 1)
		if i >= config.Entries {
			host.ID = filbertlever.HostID(fmt.Sprintf("model-%d", i-config.Entries))
			host.Role, host.CallerAddress, host.Pool = filbertlever.RoleAgent, "", "models"
		} else {
			c.Callers = append(c.Callers, host.CallerAddress)
			c.seeds = append(c.seeds, settings.Seed{Host: host.ID, PeerAddress: host.PeerAddress})
		}
		hosts = append(hosts, host)
	}
	c.platform.SetHosts(hosts)
	if err := c.rollBundle(ctx, config); err != nil {
		return err
	}
	for i, host := range hosts {
		if err := c.startHost(ctx, config, i, host); err != nil {
			return err
		}
	}
	authority, err := peer.LoadAuthority(c.dir.Authority())
	if err != nil {
		return err
	}
	c.TLS = &tls.Config{RootCAs: authority}
	return c.awaitReady(ctx)
}

func (c *Cluster) address(host, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.firstPort+host*portsPerHost+port)
}

// serve starts an HTTP server for a handler and returns its URL.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	c.servers = append(c.servers, server)
	s := httpServer{server: server, listener: listener}
	go s.run()
	return "http://" + listener.Addr().String(), nil
}

type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() { _ = s.server.Serve(s.listener) }

// startHost starts host i and, for an agent, its engine.
func (c *Cluster) startHost(ctx context.Context, config Config, i int, host filbertlever.Host) error {
	files, err := c.dir.NewHost(string(host.ID), string(host.Role), net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	s := settings.Defaults()
	s.Host, s.Site, s.Region = host.ID, host.Site, host.Region
	s.Peer.Address, s.Callers.Address, s.Admin.Address = host.PeerAddress, host.CallerAddress, c.address(i, 2)
	s.TLS = settings.TLS{Authority: c.dir.Authority(), Certificate: files.Certificate, Key: files.Key}
	s.Platform.URL = c.platformURL
	s.Operators = []settings.Operator{{Name: "ana", PublicKey: c.operatorKey}}
	s.Seeds = c.seeds
	s.Stop = settings.Stop{Grace: document.Duration(50 * time.Millisecond), Move: document.Duration(time.Second)}
	var hostNetwork network.Network = network.TCP{DialTimeout: peer.DialTimeout}
	if config.Network != nil {
		hostNetwork = config.Network(host)
	}
	log := zap.NewNop()
	if host.Role == filbertlever.RoleEntry && config.RunEntry != nil {
		c.group.Go(func() { _ = config.RunEntry(ctx, &s) })
		return nil
	}
	if host.Role == filbertlever.RoleEntry {
		c.group.Go(func() { _ = process.RunEntryWithRouting(ctx, &s, config.Routing, hostNetwork, log) })
		return nil
	}
	engine := standin.NewEngine(config.Engine)
	url, err := c.serve(engine.Handler())
	if err != nil {
		return err
	}
	c.Engines = append(c.Engines, engine)
	c.EngineURLs = append(c.EngineURLs, url)
	s.Agent = settings.Agent{Pool: "models", Engine: url, Weights: settings.Listener{Address: c.address(i, 3)}, Origin: c.platformURL + "/origin"}
	c.group.Go(func() { _ = process.RunAgent(ctx, &s, hostNetwork, log) })
	return nil
}

// rollBundle rolls out a bundle with a small model.
func (c *Cluster) rollBundle(ctx context.Context, config Config) error {
	data := bytes.Repeat([]byte("weights "), 1<<13)
	c.platform.AddFile(Model, data)
	c.Digest = filbertlever.DigestOf(data)
	manifest, err := bundle.NewManifest(Model, bytes.NewReader(data), 1<<14)
	if err != nil {
		return err
	}
	client := platform.New(c.platformURL, time.Second, network.TCP{DialTimeout: peer.DialTimeout})
	defer client.Close()
	digest, err := operator.StoreManifest(ctx, client, manifest)
	if err != nil {
		return err
	}
	b := bundle.Example()
	b.Pools = []bundle.Pool{{Name: "models", Kind: bundle.KindModelEngine, ChecksFencing: true, Concurrency: config.Concurrency, Queue: config.Queue}}
	b.Models = []bundle.Model{{Name: Model, Version: "1", Pool: "models", Manifest: digest}}
	b.Services, b.Organisations = nil, nil
	for _, name := range config.Organisations {
		b.Organisations = append(b.Organisations, bundle.Organisation{
			Name: name, TokenDigests: []filbertlever.Digest{filbertlever.DigestOf([]byte(name))}, Weight: 1, MaxConcurrent: 1 << 14,
		})
	}
	body, err := b.Encode()
	if err != nil {
		return err
	}
	key, err := operator.ReadSigningKey(c.dir.SigningKey("ana"))
	if err != nil {
		return err
	}
	public, err := bundle.ParsePublicKey(c.operatorKey)
	if err != nil {
		return err
	}
	signed := &bundle.Signed{Body: body}
	signed.Sign("ana", key)
	_, err = operator.Roll(ctx, client, signed, bundle.Operators{"ana": public}, 1)
	return err
}

// PlatformCalls returns the number of reads and writes of the platform.
func (c *Cluster) PlatformCalls() (reads, writes int) { return c.platform.Calls() }

// awaitReady waits until every engine has loaded its weights and the entries have
// received the agents' reports.
func (c *Cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for i, engine := range c.Engines {
		for len(engine.Versions()) == 0 {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("engine %s did not load weights within %s", c.EngineURLs[i], startTimeout)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	// Reports reach the entries within about one second.
	time.Sleep(2 * time.Second)
	return nil
}
