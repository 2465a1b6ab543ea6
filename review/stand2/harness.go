// Command stand2 plays the cases of the second review: it starts the project's processes with the
// commands of the deploy file before stand-ins of the platform's store and servers.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// bed is an installation on loopback addresses.
type bed struct {
	dir     string
	started time.Time
	store   *standin.Store
	address string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	all    []*process
}

// process is one process of the project.
type process struct {
	name, settings, role string
	// ready, callers are the addresses of an entry.
	ready, callers string
	// peers is the address at which an entry serves other processes.
	peers   string
	log     string
	command *exec.Cmd
	exited  chan struct{}
}

// newBed starts the store. The record is written to path.
func newBed(path string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, started: time.Now(), store: standin.NewStore(), record: bufio.NewWriter(file), file: file}
	b.address, err = b.listen(plainStore{b.store})
	return b, err
}

// listen serves a handler on a free loopback port.
func (b *bed) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// close ends all processes that the bed started.
func (b *bed) close() {
	for _, p := range b.all {
		p.kill()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	_ = b.file.Close()
	_ = os.RemoveAll(b.dir)
}

// note writes a line to the record.
func (b *bed) note(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, values...))
}

// put writes a row as the operator or a server does.
func (b *bed) put(table, key string, value any) time.Time {
	if err := b.store.Put(table, key, value); err != nil {
		panic(err)
	}
	return time.Now()
}

// freePorts returns free loopback ports of TCP and UDP.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = tcp.Close() }()
		udp, err := net.ListenPacket("udp4", tcp.Addr().String())
		if err != nil {
			continue
		}
		defer func() { _ = udp.Close() }()
		addresses = append(addresses, tcp.Addr().String())
	}
	return addresses, nil
}

// entries starts entries of one zone, which is a region, with settings as deploy/entry.yaml has them for a
// small installation.
func (b *bed) entries(n int) ([]*process, error) {
	ports, err := freePorts(6 * n)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, ports[6*i+3])
	}
	var started []*process
	for i := range n {
		at := ports[6*i : 6*i+6]
		p := &process{name: fmt.Sprintf("entry-%d", i+1), role: "entry", callers: at[0], ready: at[1], peers: at[3]}
		text := fmt.Sprintf(`Host: %s
Site: ho-a
Region: volta
Regions: {ho-a: volta}
Store: %q
Seeds: [%s]
Listen: {Callers: %q, Ready: %q, Locate: %q, Peers: %q, Datagrams: %q, Metrics: %q}
Bounds: {Apply: 2000ms, Revoke: 5000ms, Version: 8000ms, RetryRatio: 0.2, RetrySlack: 104, RetryWindow: 10s, Keep: 2s, Stop: 8s}
Machine: {Cores: 1, Memory: 284MiB, Descriptors: 4100}
`, p.name, b.address, `"`+strings.Join(seeds, `", "`)+`"`, at[0], at[1], at[2], at[3], at[4], at[5])
		if err := b.start(p, text); err != nil {
			return nil, err
		}
		started = append(started, p)
	}
	return started, nil
}

// agent starts an agent beside the model server at an address.
func (b *bed) agent(name, server, service string, seeds []string) (*process, error) {
	ports, err := freePorts(2)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: "agent"}
	text := fmt.Sprintf(`Host: %s
Site: ho-a
Region: volta
Regions: {ho-a: volta}
Store: %q
Seeds: [%s]
ModelServer: {Address: %q, Service: %s}
Listen: {Datagrams: %q, Metrics: %q}
Bounds: {Version: 8000ms, Stop: 8s}
Machine: {Cores: 1, Memory: 152MiB, Descriptors: 2048}
`, p.name, b.address, `"`+strings.Join(seeds, `", "`)+`"`, server, service, ports[0], ports[1])
	return p, b.start(p, text)
}

// start starts a process with the command of the deploy file.
func (b *bed) start(p *process, text string) error {
	p.settings = filepath.Join(b.dir, p.name+".yaml")
	if text != "" {
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	p.log = filepath.Join(b.dir, p.name+".log")
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command("target/filbertlever", "installation", p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "FILBERTLEVER_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
	b.mu.Lock()
	b.all = append(b.all, p)
	b.mu.Unlock()
	b.note("%s starts", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// isReady reports whether the platform's question is answered with 200.
func (p *process) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// plainStore is the store without the header that the pages do not name.
type plainStore struct{ *standin.Store }

func (s plainStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Store.ServeHTTP(&plainWriter{ResponseWriter: w}, r)
}

type plainWriter struct{ http.ResponseWriter }

func (w *plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *plainWriter) Write(data []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(data)
}

// run is a request that a server ran.
type run struct {
	id, tenant, target, key string
	at                      time.Time
}

// server is a sound plain server.
type server struct {
	bed         *bed
	id, address string
	service     string

	mu   sync.Mutex
	runs []run
}

// newServer starts a plain server and registers it.
func (b *bed) newServer(id, service string) (*server, error) {
	s := &server{bed: b, id: id, service: service}
	address, err := b.listen(s)
	if err != nil {
		return nil, err
	}
	s.address = address
	s.register("ready")
	return s, nil
}

// register writes the server's row.
func (s *server) register(state string) {
	s.bed.put("servers", s.id, map[string]any{"service": s.service, "address": s.address, "zone": "ho-a", "version": "1", "slots": 6, "state": state, "coldLeftMs": 0, "seqNo": 0})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, tenant: r.Header.Get("X-Tenant"), target: r.RequestURI, key: r.Header.Get("X-Credential"), at: time.Now()})
	s.mu.Unlock()
	s.bed.note("server %s of %s runs %s %s %s, X-Tenant %q", s.id, s.service, id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
	w.Header().Set("X-Server-Stamp", "stamp-"+s.id+"-"+id)
	_, _ = io.WriteString(w, "answer of "+s.id+" to "+id)
}

// ran reports whether the server ran a request.
func (s *server) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.id == id {
			return true
		}
	}
	return false
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// client sends requests on channels of its own.
type client struct {
	bed  *bed
	http http.Client
}

func (b *bed) newClient() *client {
	return &client{bed: b, http: http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}}
}

// send sends a request to an entry. An empty key is not sent.
func (c *client) send(entry *process, method, id, path, key string, budget time.Duration) answer {
	return c.sendWith(entry, method, id, path, key, budget, nil)
}

// sendWith is send with further headers.
func (c *client) sendWith(entry *process, method, id, path, key string, budget time.Duration, header http.Header) answer {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("one order"))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.callers+path, body)
	if err != nil {
		return answer{err: err}
	}
	request.Host = "jepu9.example"
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if key != "" {
		request.Header.Set("X-Credential", key)
	}
	c.bed.note("client sends %s %s %s to %s, key %q", id, method, path, entry.name, key)
	response, err := c.http.Do(request)
	if err != nil {
		c.bed.note("client gets nothing for %s: %v", id, errors.Unwrap(err))
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a := answer{response.StatusCode, response.Header.Get("X-Server-Stamp"), string(data), err}
	c.bed.note("client gets %d for %s, stamp %q, body %q", a.status, id, a.stamp, strings.TrimSpace(a.body))
	return a
}

// state is a desired state.
type state struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": "jepu9.example", "prefix": prefix, "kind": kind, "timeoutMs": 2500, "goalMs": 150, "priority": 2,
		"service": service, "maxAttempts": 2, "anonymous": false}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys}
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// logged returns the decoded lines of a process's log with a message.
func (p *process) logged(message string) []map[string]any {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	var lines []map[string]any
	for _, line := range bytes.Split(data, []byte("\n")) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["Message"] == message {
			lines = append(lines, fields)
		}
	}
	return lines
}
