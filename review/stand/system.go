package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/filbertlever/filbertlever/platform/standin"
)

// operator writes to the platform's store as the operator and the servers do.
type operator struct {
	store  *standin.Store
	origin string
	record *record

	mu     sync.Mutex
	config uint64
	// rows are the servers' rows in the store, and beatAt when each server last wrote.
	rows   map[string]string
	beatAt map[string]time.Time
	// lateFrom and lateTo are the period in which the model servers' writes are performed lateBy later.
	// writesFrom is since when writes and lateWrites are counted, until lateTo.
	lateFrom, lateTo, writesFrom time.Time
	lateBy                       time.Duration
	writes, lateWrites           int
}

func (o *operator) put(table, key string, value any) { _ = o.store.Put(table, key, value) }

// beat is a server's write of its row. A write that gets no answer may be performed seconds later.
func (o *operator) beat(id string, row map[string]any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if now.After(o.writesFrom) && now.Before(o.lateTo) {
		o.writes++
	}
	if row["service"] != serviceModels || now.Before(o.lateFrom) || now.After(o.lateTo) {
		o.writeLocked(id, row)
		return
	}
	o.lateWrites++
	o.record.note("the write of server %s is not answered, and performed %v later", id, o.lateBy)
	time.AfterFunc(o.lateBy, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.record.note("the late write of server %s is performed", id)
		o.writeLocked(id, row)
	})
}

// writeLocked writes a server's row. The row changes only if its content does.
func (o *operator) writeLocked(id string, row map[string]any) {
	o.beatAt[id] = time.Now()
	text, _ := json.Marshal(row)
	if o.rows[id] != string(text) {
		o.rows[id] = string(text)
		o.put("servers", id, row)
	}
}

// expire removes the rows of servers that have been silent for three heartbeats.
func (o *operator) expire() {
	for range time.Tick(100 * time.Millisecond) {
		o.mu.Lock()
		for id := range o.rows {
			if time.Since(o.beatAt[id]) > 3*heartbeat {
				o.record.note("the row of server %s expires", id)
				delete(o.rows, id)
				o.store.Remove("servers", id)
			}
		}
		o.mu.Unlock()
	}
}

// Names in the desired state.
const (
	host   = "review.example"
	key    = "key-of-tenant-1"
	tenant = "tenant-1"
)

// putConfig writes the next desired state and returns its version.
func (o *operator) putConfig() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.config += 3
	engine := map[string]any{"slots": slots, "kvCapacity": 1640000, "kvTokenBytes": 163840, "linkMbps": 400000, "stride": 6,
		"models": []map[string]any{{"name": modelName, "pace": 1, "loadS": 4, "warmS": 0.3}}, "mb": 282000, "step_ms": 6.73, "per_seq_ms": 0.0219,
		"context_per_k": 0.0068, "read_per_s": 30600, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200, "usual": map[string]any{"prompt": 964, "answer": 119},
		"layers": 16, "layer_mb": 4540, "act_bytes": 16384, "chunks": pieceCount, "chunkBytes": pieceBytes}
	o.put("op", "config", map[string]any{
		"version": o.config,
		"routes": []map[string]any{
			{"name": "plan", "host": host, "prefix": "/plan/", "kind": "streaming", "timeoutMs": 6000, "goalMs": 400, "priority": 1, "service": serviceModels,
				"maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "streamResume": true, "gapGoalMs": 300},
			{"name": "order", "host": host, "prefix": "/order/", "kind": "non_idempotent", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": serviceOrders,
				"maxAttempts": 1, "anonymous": false},
		},
		"services": []map[string]any{
			{"name": serviceModels, "healthPath": "/health", "maxConns": 274, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "portal", "origin": o.origin, "zone": "kumasi-a", "linkMbps": 9.9, "maxConns": 48},
			{"name": serviceOrders, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	})
	return o.config
}

// process is one process of the system, on a machine of its own.
type process struct {
	name, role string
	settings   string
	log        string
	command    *exec.Cmd
	exited     chan struct{}
	// callers, ready and locate are an entry's addresses.
	callers, ready, locate string
}

// installation is the system with its platform.
type installation struct {
	record    *record
	binary    string
	dir       string
	store     *operator
	origin    *origin
	entries   []*process
	agents    []*process
	models    []*modelServer
	orders    *modelServer
	listeners []net.Listener
	boots     int
}

var zones = []string{"kumasi-a", "ho-a", "tamale-a"}

var regions = map[string]string{"kumasi-a": "ashanti", "ho-a": "volta", "tamale-a": "northern"}

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

func freeAddresses(n int) ([]string, error) {
	var list []string
	for len(list) < n {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		duplicate := false
		for _, other := range list {
			duplicate = duplicate || other == address
		}
		if !duplicate {
			list = append(list, address)
		}
	}
	return list, nil
}

// newInstallation starts the platform, with model servers that hold version 1, and writes the settings of
// the system's processes.
func newInstallation(r *record, binary, dir string, entries, models int) (*installation, error) {
	list, err := freeAddresses(2 + 6*entries + 3*models + 1)
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := list[0]
		list = list[1:]
		return address
	}
	in := &installation{record: r, binary: binary, dir: dir, origin: newOrigin(r)}
	storeAddress, originAddress := next(), next()
	in.store = &operator{store: standin.NewStore(), origin: originAddress, record: r, rows: map[string]string{}, beatAt: map[string]time.Time{}}
	go in.store.expire()
	if err := in.serve(storeAddress, in.store.store); err != nil {
		return nil, err
	}
	if err := in.serve(originAddress, in.origin); err != nil {
		return nil, err
	}
	in.store.putConfig()
	var seeds []string
	for i := range entries {
		zone := zones[i%len(zones)]
		p := &process{name: fmt.Sprintf("edge-%d", i+1), role: "entry", callers: next(), ready: next(), locate: next()}
		peers, datagrams, metrics := next(), next(), next()
		if len(seeds) < 3 {
			seeds = append(seeds, peers)
		}
		p.settings = fmt.Sprintf(`Host: %q
Site: %q
Region: %q
Regions: {kumasi-a: ashanti, ho-a: volta, tamale-a: northern}
Store: %q
Seeds: SEEDS
BOOTSTRAP
Listen:
  Callers: %q
  Ready: %q
  Locate: %q
  Peers: %q
  Datagrams: %q
  Metrics: %q
Bounds:
  Apply: 2000ms
  Revoke: 5000ms
  Version: 8000ms
  RetryRatio: 0.2
  RetrySlack: 104
  RetryWindow: 10s
  Keep: 2s
  Stop: 8s
Machine:
  Cores: 1
  Memory: 284MiB
`, p.name, zone, regions[zone], storeAddress, p.callers, p.ready, p.locate, peers, datagrams, metrics)
		in.entries = append(in.entries, p)
	}
	for i := range models {
		zone := zones[i%len(zones)]
		m := &modelServer{record: r, origin: in.origin, address: next(), service: serviceModels, zone: zone}
		in.models = append(in.models, m)
		p := &process{name: fmt.Sprintf("side-%d", i+1), role: "agent"}
		p.settings = fmt.Sprintf(`Host: %q
Site: %q
Region: %q
Regions: {kumasi-a: ashanti, ho-a: volta, tamale-a: northern}
Store: %q
Seeds: SEEDS
BOOTSTRAP
ModelServer:
  Address: %q
  Service: %q
Listen:
  Datagrams: %q
  Metrics: %q
Bounds:
  Version: 8000ms
  Stop: 8s
Machine:
  Cores: 1
  Memory: 152MiB
`, p.name, zone, regions[zone], storeAddress, m.address, serviceModels, next(), next())
		in.agents = append(in.agents, p)
	}
	in.orders = &modelServer{record: r, origin: in.origin, address: next(), service: serviceOrders, zone: zones[0]}
	for _, p := range append(append([]*process{}, in.entries...), in.agents...) {
		p.settings = strings.Replace(p.settings, "SEEDS", fmt.Sprintf("[%q]", strings.Join(seeds, `","`)), 1)
		p.settings = strings.ReplaceAll(p.settings, `\"`, `"`)
		p.log = filepath.Join(dir, p.name+".log")
	}
	return in, nil
}

func (in *installation) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	in.listeners = append(in.listeners, l)
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return nil
}

// startServers starts all servers; the model servers hold version.
func (in *installation) startServers(version uint64) error {
	in.boots++
	for i, m := range in.models {
		if err := m.start(fmt.Sprintf("i-%d-%d", in.boots, i+1), in.store, version); err != nil {
			return err
		}
	}
	return in.orders.start(fmt.Sprintf("i-%d-orders", in.boots), in.store, 0)
}

func (in *installation) stopServers() {
	for _, m := range append(append([]*modelServer{}, in.models...), in.orders) {
		m.powerOff()
	}
}

func (in *installation) processes() []*process {
	return append(append([]*process{}, in.entries...), in.agents...)
}

// startSystem starts all processes of the system with the commands of the deploy file.
func (in *installation) startSystem(bootstrap bool) error {
	for _, p := range in.processes() {
		if err := in.startProcess(p, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

func (in *installation) startProcess(p *process, bootstrap bool) error {
	first := ""
	if bootstrap {
		first = "FirstStart: true"
	}
	path := filepath.Join(in.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(p.settings, "BOOTSTRAP", first, 1)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(in.binary, "installation", p.role)
	p.command.Env = append(os.Environ(), "FILBERTLEVER_SETTINGS="+path)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill kills all processes of the system and waits until they have ended.
func (in *installation) kill() {
	for _, p := range in.processes() {
		if p.command != nil {
			_ = p.command.Process.Kill()
		}
	}
	for _, p := range in.processes() {
		if p.command != nil {
			<-p.exited
		}
	}
}

// awaitReady waits until all entries are ready.
func (in *installation) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range in.entries {
			if response, err := client.Get("http://" + p.ready + "/api/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(in.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %v", limit)
}
