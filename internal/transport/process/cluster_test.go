package process_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/internal/transport/process"
	"github.com/filbertlever/filbertlever/pkg/bundle"
	"github.com/filbertlever/filbertlever/pkg/client"
)

const (
	platformIP = "10.0.0.1"
	token      = "token of hauler-1"
	otherToken = "token of hauler-2"
	drafter    = "drafter"
	// enginePrefillTime is the time to the first token of the engines.
	enginePrefillTime = 20 * time.Millisecond
)

// cluster runs entries and agents in one synctest bubble. They use an in-memory
// network and stand-ins for the platform, the engines and the services.
type cluster struct {
	*qt.C
	t         *testing.T
	network   *memNetwork
	keyDir    operator.KeyDir
	publicKey string
	platform  *standin.Platform
	services  map[filbertlever.HostID]*standin.Service
	engines   map[filbertlever.HostID]*standin.Engine
	// running holds the latest process of each host.
	running  map[filbertlever.HostID]*runningProcess
	hosts    []filbertlever.Host
	cleanups []func()
	// head is the bundle that was rolled out last.
	head    bundle.Parent
	weights map[string][]byte
	// group holds the goroutines that must end before the test does.
	group sync.WaitGroup
	log   *logBuffer
	// ignoresFencing is true if the engines ignore fencing tokens.
	ignoresFencing bool
}

// logBuffer collects the log lines of all processes.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends a log line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// runningProcess is an entry or agent that was started.
type runningProcess struct {
	iface  *iface
	cancel context.CancelFunc
	done   chan error
}

// clusterConfig sets the size of a cluster and the behaviour of its engines.
type clusterConfig struct {
	entries, models, services int
	ignoresFencing            bool
	cachedPrompts             int
	tokenTime                 time.Duration
	// log receives all log lines if it is not nil.
	log *logBuffer
}

// runInCluster runs a test in a new cluster, after all engines serve the models
// of the first bundle.
func runInCluster(t *testing.T, config clusterConfig, test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, config)
		defer cl.shutdown()
		cl.rollOut(cl.bundle("1"))
		cl.waitFor("all engines to serve the first bundle", func() bool { return cl.enginesServing("1") == config.models })
		test(cl)
	})
}

// newCluster issues certificates, starts the stand-ins and starts all processes.
func newCluster(t *testing.T, config clusterConfig) *cluster {
	cl := &cluster{
		C: qt.New(t), t: t, network: newMemNetwork(), keyDir: operator.KeyDir{Path: t.TempDir()},
		platform: standin.NewPlatform(),
		services: map[filbertlever.HostID]*standin.Service{}, engines: map[filbertlever.HostID]*standin.Engine{},
		running: map[filbertlever.HostID]*runningProcess{}, weights: map[string][]byte{}, ignoresFencing: config.ignoresFencing, log: config.log,
	}
	_, err := cl.keyDir.NewHost("ana", peer.RoleOperator, nil)
	cl.Assert(err, qt.IsNil)
	public, err := cl.keyDir.NewOperator("ana")
	cl.Assert(err, qt.IsNil)
	cl.publicKey = public
	cl.serve(cl.network.iface(platformIP), platformIP+":80", cl.platform.Handler())
	for i := range config.entries {
		ip := fmt.Sprintf("10.0.1.%d", i+1)
		cl.addHost(filbertlever.Host{ID: hostID("entry", i), Role: filbertlever.RoleEntry, PeerAddress: ip + ":1", CallerAddress: ip + ":2"}, i)
	}
	for i := range config.models {
		ip := fmt.Sprintf("10.0.2.%d", i+1)
		h := filbertlever.Host{ID: hostID("model", i), Role: filbertlever.RoleAgent, PeerAddress: ip + ":1", Pool: "models"}
		ifc := cl.network.iface(ip)
		engine := standin.NewEngine(standin.EngineConfig{
			ChecksFencing: !config.ignoresFencing, Slots: 8, PrefillTime: enginePrefillTime, TokenTime: config.tokenTime, CachedPrompts: config.cachedPrompts,
			Client: &http.Client{Transport: &http.Transport{DialContext: ifc.DialContext, DisableKeepAlives: true}},
		})
		cl.engines[h.ID] = engine
		cl.serve(ifc, ip+":5", engine.Handler())
		cl.addHost(h, i)
	}
	for i := range config.services {
		ip := fmt.Sprintf("10.0.3.%d", i+1)
		h := filbertlever.Host{ID: hostID("billing", i), Role: filbertlever.RoleAgent, PeerAddress: ip + ":1", Pool: "billing"}
		service := standin.NewService(100 * time.Millisecond)
		cl.services[h.ID] = service
		cl.serve(cl.network.iface(ip), ip+":6", service.Handler())
		cl.addHost(h, i)
	}
	cl.platform.SetHosts(cl.hosts)
	for _, h := range cl.hosts {
		cl.start(h.ID)
	}
	return cl
}

// hostID returns the ID of the i-th host of a kind, counted from 0.
func hostID(kind string, i int) filbertlever.HostID {
	return filbertlever.HostID(fmt.Sprintf("%s-%d", kind, i+1))
}

// addHost assigns a host to a site and issues its certificate.
func (cl *cluster) addHost(h filbertlever.Host, i int) {
	h.Site = fmt.Sprint("site-", i%2)
	h.Region = "region-" + h.Site
	host, _, err := net.SplitHostPort(h.PeerAddress)
	cl.Assert(err, qt.IsNil)
	_, err = cl.keyDir.NewHost(string(h.ID), string(h.Role), net.ParseIP(host))
	cl.Assert(err, qt.IsNil)
	cl.hosts = append(cl.hosts, h)
}

func (cl *cluster) host(id filbertlever.HostID) filbertlever.Host {
	for _, h := range cl.hosts {
		if h.ID == id {
			return h
		}
	}
	cl.Fatalf("no host %s", id)
	return filbertlever.Host{}
}

// serve starts an HTTP server for a stand-in.
func (cl *cluster) serve(ifc *iface, address string, handler http.Handler) {
	l, err := ifc.Listen(address)
	cl.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	cl.group.Go(func() { _ = server.Serve(l) })
	cl.cleanups = append(cl.cleanups, func() { _ = server.Close() })
}

// start starts the process of a host.
func (cl *cluster) start(id filbertlever.HostID) {
	h := cl.host(id)
	ip, _, _ := net.SplitHostPort(h.PeerAddress)
	config := fmt.Sprintf(`
Host: %s
Site: %s
Region: %s
Peer: {Address: "%s:1"}
Admin: {Address: "%s:9"}
TLS: {Authority: %s, Certificate: %s/%s.pem, Key: %s/%s.key}
Platform: {URL: "http://%s:80", Timeout: 1s}
Operators: [{Name: ana, PublicKey: "%s"}]
Seeds: [{Host: entry-1, PeerAddress: "10.0.1.1:1"}, {Host: entry-2, PeerAddress: "10.0.1.2:1"}]
Stop: {Grace: 2s, Move: 5s}
`, id, h.Site, h.Region, ip, ip, cl.keyDir.Authority(), cl.keyDir.Path, id, cl.keyDir.Path, id, platformIP, cl.publicKey)
	use := settings.UseAgent
	switch {
	case h.Role == filbertlever.RoleEntry:
		use = settings.UseEntry
		config += fmt.Sprintf("Callers: {Address: %q}\n", h.CallerAddress)
	case h.Pool == "models":
		config += fmt.Sprintf("Agent: {Pool: models, Engine: \"http://%s:5\", Weights: {Address: \"%s:4\"}, Origin: \"http://%s:80/origin\", Store: \"http://%s:80/store\"}\n", ip, ip, platformIP, platformIP)
	default:
		config += fmt.Sprintf("Agent: {Pool: billing, Service: \"http://%s:6\"}\n", ip)
	}
	s, err := settings.Parse([]byte(config), use)
	cl.Assert(err, qt.IsNil)
	log := zap.NewNop()
	if cl.log != nil {
		encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
		log = zap.New(zapcore.NewCore(encoder, zapcore.AddSync(cl.log), zap.DebugLevel))
	}
	if os.Getenv("RIG_LOG") != "" {
		log, _ = process.NewLogger(settings.Log{Level: os.Getenv("RIG_LOG"), Format: "Console"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &runningProcess{iface: cl.network.iface(ip), cancel: cancel, done: make(chan error, 1)}
	cl.running[id] = p
	cl.group.Go(func() {
		if use == settings.UseEntry {
			p.done <- process.RunEntry(ctx, s, p.iface, log)
			return
		}
		p.done <- process.RunAgent(ctx, s, p.iface, log)
	})
}

// kill ends a process abruptly, as SIGKILL does. Nothing that it still sends
// reaches another process.
func (cl *cluster) kill(id filbertlever.HostID) {
	cl.running[id].iface.kill()
	cl.running[id].cancel()
}

// terminate starts a planned stop of a process, as SIGTERM does.
func (cl *cluster) terminate(id filbertlever.HostID) { cl.running[id].cancel() }

// waitExit waits until a process has exited and returns the time that it waited.
func (cl *cluster) waitExit(id filbertlever.HostID) time.Duration {
	start := time.Now()
	cl.Assert(<-cl.running[id].done, qt.IsNil)
	cl.running[id].done <- nil
	return time.Since(start)
}

// shutdown stops all processes and stand-ins.
func (cl *cluster) shutdown() {
	for _, p := range cl.running {
		p.iface.setStalled(false)
		p.cancel()
	}
	for _, p := range cl.running {
		<-p.done
	}
	for _, c := range cl.cleanups {
		c()
	}
	cl.group.Wait()
	time.Sleep(time.Minute)
}

// waitFor lets virtual time pass until a condition holds, at most two minutes.
func (cl *cluster) waitFor(what string, condition func() bool) time.Duration {
	cl.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > 2*time.Minute {
			cl.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// enginesServing returns how many engines serve the given version and no other.
func (cl *cluster) enginesServing(version string) int {
	n := 0
	for _, engine := range cl.engines {
		if versions := engine.Versions(); len(versions) == 1 && versions[0] == version {
			n++
		}
	}
	return n
}

// platformClient returns a client of the platform for operator calls.
func (cl *cluster) platformClient() *platform.Client {
	return platform.New("http://"+platformIP+":80", time.Second, cl.network.iface("10.0.9.9"))
}

// bundle returns the bundle that follows the current one, with the weights of a
// model version.
func (cl *cluster) bundle(version string) *bundle.Bundle {
	b := bundle.Example()
	b.Version = cl.head.Version + 1
	b.Parent = cl.head
	b.Pools = []bundle.Pool{
		{Name: "models", Kind: bundle.KindModelEngine, ChecksFencing: !cl.ignoresFencing, Concurrency: 8, Queue: 32},
		{Name: "billing", Kind: bundle.KindPlainService, Concurrency: 8, Queue: 32},
	}
	b.Services[0].Pool = "billing"
	b.Models = []bundle.Model{{Name: drafter, Version: version, Pool: "models", Manifest: cl.addWeights(version)}}
	b.Organisations = []bundle.Organisation{
		{Name: "hauler-1", TokenDigests: []filbertlever.Digest{filbertlever.DigestOf([]byte(token))}, Weight: 1, MaxConcurrent: 64},
		{Name: "hauler-2", TokenDigests: []filbertlever.Digest{filbertlever.DigestOf([]byte(otherToken))}, Weight: 1, MaxConcurrent: 64},
	}
	return b
}

const (
	weightsBytes = 256 << 10
	chunkBytes   = 8 << 10
)

// addWeights stores the weights of a version at the origin, their chunks in the
// weight store and their manifest in the object store.
func (cl *cluster) addWeights(version string) filbertlever.Digest {
	data, ok := cl.weights[version]
	if !ok {
		data = make([]byte, weightsBytes)
		source := rand.NewChaCha8([32]byte([]byte(fmt.Sprintf("%32s", version))))
		_, _ = source.Read(data)
		cl.weights[version] = data
	}
	cl.platform.AddFile(version, data)
	for offset := 0; offset < len(data); offset += chunkBytes {
		cl.platform.AddChunk(data[offset:min(offset+chunkBytes, len(data))])
	}
	manifest, err := bundle.NewManifest(version, bytes.NewReader(data), chunkBytes)
	cl.Assert(err, qt.IsNil)
	platformClient := cl.platformClient()
	defer platformClient.Close()
	digest, err := operator.StoreManifest(cl.t.Context(), platformClient, manifest)
	cl.Assert(err, qt.IsNil)
	return digest
}

// sign encodes a bundle and signs it as the operator ana.
func (cl *cluster) sign(b *bundle.Bundle) *bundle.Signed {
	body, err := b.Encode()
	cl.Assert(err, qt.IsNil)
	key, err := operator.ReadSigningKey(cl.keyDir.SigningKey("ana"))
	cl.Assert(err, qt.IsNil)
	signed := &bundle.Signed{Body: body}
	signed.Sign("ana", key)
	return signed
}

// operators returns the operators' public keys.
func (cl *cluster) operators() bundle.Operators {
	key, err := bundle.ParsePublicKey(cl.publicKey)
	cl.Assert(err, qt.IsNil)
	return bundle.Operators{"ana": key}
}

// rollOut stores a bundle on the platform as the next version. It does not
// announce the bundle to the entries.
func (cl *cluster) rollOut(b *bundle.Bundle) (state.Head, *bundle.Signed) {
	platformClient := cl.platformClient()
	defer platformClient.Close()
	signed := cl.sign(b)
	head, err := operator.Roll(cl.t.Context(), platformClient, signed, cl.operators(), 1)
	cl.Assert(err, qt.IsNil)
	cl.head = bundle.Parent{Version: head.Version, Digest: head.Digest}
	return head, signed
}

// client returns a client that authenticates with a token.
func (cl *cluster) client(token string) *client.Client {
	authority, err := peer.LoadAuthority(cl.keyDir.Authority())
	cl.Assert(err, qt.IsNil)
	var entries []string
	for _, h := range cl.hosts {
		if h.Role == filbertlever.RoleEntry {
			entries = append(entries, h.CallerAddress)
		}
	}
	ifc := cl.network.iface("10.0.9.1")
	c, closeClient := client.New(client.Config{Entries: entries, Token: token, TLS: &tls.Config{RootCAs: authority}, Dial: ifc.DialContext})
	cl.cleanups = append(cl.cleanups, closeClient)
	return c
}

// pendingAnswer is a model request in flight.
type pendingAnswer struct {
	answer *client.Answer
	err    error
	done   chan struct{}
	pieces []string
	mu     sync.Mutex
}

// count returns the number of pieces received so far.
func (a *pendingAnswer) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pieces)
}

// ask sends a model request in the background.
func (cl *cluster) ask(c *client.Client, prompt string, tokens int) *pendingAnswer {
	return cl.askWith(c, client.Question{Model: drafter, Prompt: prompt, MaxTokens: tokens})
}

// askWith sends the model request in question in the background.
func (cl *cluster) askWith(c *client.Client, question client.Question) *pendingAnswer {
	a := &pendingAnswer{done: make(chan struct{})}
	cl.group.Go(func() {
		defer close(a.done)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		a.answer, a.err = c.Ask(ctx, question, func(pieces []string) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.pieces = append(a.pieces, pieces...)
			return nil
		})
	})
	return a
}

// assertAnswer waits for an answer and asserts that it is complete and from one
// version.
func (cl *cluster) assertAnswer(a *pendingAnswer, version, prompt string, tokens int) {
	cl.t.Helper()
	<-a.done
	cl.Assert(a.err, qt.IsNil)
	digest := filbertlever.DigestOf(cl.weights[version])
	want := make([]string, tokens)
	for i := range want {
		want[i] = standin.AnswerToken(digest, prompt, i)
	}
	cl.Assert(a.pieces, qt.DeepEquals, want)
}

func (cl *cluster) operatorSettings() *settings.Settings {
	s := settings.Defaults()
	s.TLS = settings.TLS{Authority: cl.keyDir.Authority(), Certificate: cl.keyDir.Path + "/ana.pem", Key: cl.keyDir.Path + "/ana.key"}
	s.Seeds = []settings.Seed{{Host: "entry-1", PeerAddress: "10.0.1.1:1"}, {Host: "entry-2", PeerAddress: "10.0.1.2:1"}}
	return &s
}

// orderRuns returns how many times an order of hauler-1 has run.
func (cl *cluster) orderRuns(key string) int {
	runs := 0
	for _, service := range cl.services {
		runs += service.Runs("hauler-1", key)
	}
	return runs
}
