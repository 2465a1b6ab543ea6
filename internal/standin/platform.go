// Package standin provides stand-ins for the external dependencies of the
// system: the platform, a model engine and a plain service. They are for tests
// and the demo only.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever"
	platformv1 "github.com/filbertlever/filbertlever/internal/protocol/platform/v1"
	"github.com/filbertlever/filbertlever/internal/protocol/platform/v1/platformv1connect"
)

// Faults holds the faults that are injected into a stand-in platform.
type Faults struct {
	// Down fails every call of the table, object and host list services.
	Down bool
	// Slow is a delay that is added to every such call.
	Slow time.Duration
	// LoseAcks is the number of commits that are applied but answered with an error.
	LoseAcks int
	// CorruptEvery corrupts every nth transfer of weights. 0 disables it.
	CorruptEvery int
	// Stall makes each transfer stop half way and keeps its connection open.
	Stall bool
}

// Platform is a stand-in for the platform: table, object store, host list,
// origin and weight store. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	rows     map[string]*platformv1.Row
	objects  map[string][]byte
	hosts    []*platformv1.Host
	revision uint64
	faults   Faults
	// files are the weights at the origin, by path. chunks is the content of the
	// weight store.
	files       map[string][]byte
	chunks      map[filbertlever.Digest][]byte
	originBytes int64
	transfers   int
	// reads and writes count the calls of the table, host list and object services.
	reads, writes int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows:    map[string]*platformv1.Row{},
		objects: map[string][]byte{},
		files:   map[string][]byte{},
		chunks:  map[filbertlever.Digest][]byte{},
	}
}

var errPlatformDown = connect.NewError(connect.CodeUnavailable, errors.New("platform is down"))

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []filbertlever.Host) {
	roles := map[filbertlever.Role]platformv1.HostRole{
		filbertlever.RoleEntry: platformv1.HostRole_HOST_ROLE_ENTRY,
		filbertlever.RoleAgent: platformv1.HostRole_HOST_ROLE_AGENT,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.hosts = nil
	for _, host := range hosts {
		p.hosts = append(p.hosts, &platformv1.Host{
			Id: string(host.ID), Role: roles[host.Role], Site: host.Site, Region: host.Region,
			PeerAddress: host.PeerAddress, CallerAddress: host.CallerAddress, Pool: host.Pool, Leaving: host.Leaving,
		})
	}
}

// AddFile adds weights to the origin.
func (p *Platform) AddFile(path string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.files[path] = data
}

// RemoveFile removes weights from the origin.
func (p *Platform) RemoveFile(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.files, path)
}

// AddChunk adds a chunk to the weight store.
func (p *Platform) AddChunk(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chunks[filbertlever.DigestOf(data)] = data
}

// OriginBytes returns the number of bytes that the origin has sent.
func (p *Platform) OriginBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.originBytes
}

// Calls returns the number of reads and writes.
func (p *Platform) Calls() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// injectFaults applies the Slow and Down faults before a call.
func (p *Platform) injectFaults(ctx context.Context) error {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.Slow > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(faults.Slow):
		}
	}
	if faults.Down {
		return errPlatformDown
	}
	return nil
}

// Get returns the rows with the given keys or prefix.
func (p *Platform) Get(ctx context.Context, request *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	if err := p.injectFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	response := &platformv1.GetResponse{}
	for _, key := range request.Msg.Keys {
		response.Rows = append(response.Rows, p.row(key))
	}
	if prefix := request.Msg.Prefix; prefix != "" {
		for key := range p.rows {
			if strings.HasPrefix(key, prefix) {
				response.Rows = append(response.Rows, p.row(key))
			}
		}
	}
	return connect.NewResponse(response), nil
}

func (p *Platform) row(key string) *platformv1.Row {
	if row, ok := p.rows[key]; ok {
		return &platformv1.Row{Key: key, Value: row.Value, Revision: row.Revision}
	}
	return &platformv1.Row{Key: key}
}

// Commit applies all writes or none.
func (p *Platform) Commit(ctx context.Context, request *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	if err := p.injectFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	response := &platformv1.CommitResponse{}
	for _, write := range request.Msg.Writes {
		if row := p.row(write.Key); row.Revision != write.ExpectedRevision {
			response.Conflicts = append(response.Conflicts, row)
		}
	}
	if len(response.Conflicts) > 0 {
		return connect.NewResponse(response), nil
	}
	response.Applied = true
	for _, write := range request.Msg.Writes {
		response.Revisions = append(response.Revisions, p.write(write))
	}
	if p.faults.LoseAcks > 0 {
		p.faults.LoseAcks--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection lost"))
	}
	return connect.NewResponse(response), nil
}

func (p *Platform) write(write *platformv1.Write) uint64 {
	if write.Delete {
		delete(p.rows, write.Key)
		return 0
	}
	row := &platformv1.Row{Key: write.Key, Value: write.Value, Revision: write.ExpectedRevision + 1}
	p.rows[write.Key] = row
	return row.Revision
}

// ListHosts returns the host list.
func (p *Platform) ListHosts(ctx context.Context, request *connect.Request[platformv1.ListHostsRequest]) (*connect.Response[platformv1.ListHostsResponse], error) {
	if err := p.injectFaults(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	response := &platformv1.ListHostsResponse{Revision: p.revision}
	if request.Msg.KnownRevision != p.revision {
		response.Hosts = p.hosts
	}
	return connect.NewResponse(response), nil
}

// Handler returns the handler of the platform APIs.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := platformv1connect.NewTableServiceHandler(p)
	mux.Handle(path, handler)
	mux.HandleFunc("GET /objects/{key...}", p.getObject)
	mux.HandleFunc("PUT /objects/{key...}", p.putObject)
	mux.HandleFunc("GET /origin/{path...}", p.getOrigin)
	mux.HandleFunc("GET /store/{digest}", p.getChunk)
	return mux
}

func (p *Platform) getObject(w http.ResponseWriter, request *http.Request) {
	if err := p.injectFaults(request.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	data, ok := p.objects[request.PathValue("key")]
	p.reads++
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, request)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, request *http.Request) {
	if err := p.injectFaults(request.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	key := request.PathValue("key")
	if _, ok := p.objects[key]; ok && request.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.objects[key] = data
	w.WriteHeader(http.StatusCreated)
}

func (p *Platform) getOrigin(w http.ResponseWriter, request *http.Request) {
	p.mu.Lock()
	data, ok := p.files[request.PathValue("path")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, request)
		return
	}
	var from, to int
	if _, err := fmt.Sscanf(request.Header.Get("Range"), "bytes=%d-%d", &from, &to); err != nil {
		from, to = 0, len(data)-1
	}
	if from < 0 || to >= len(data) || from > to {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	n := p.sendData(w, request, data[from:to+1])
	p.mu.Lock()
	p.originBytes += int64(n)
	p.mu.Unlock()
}

func (p *Platform) getChunk(w http.ResponseWriter, request *http.Request) {
	p.mu.Lock()
	data, ok := p.chunks[filbertlever.Digest(request.PathValue("digest"))]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, request)
		return
	}
	p.sendData(w, request, data)
}

// sendData writes data with the injected faults and returns the bytes written.
func (p *Platform) sendData(w http.ResponseWriter, request *http.Request, data []byte) int {
	p.mu.Lock()
	faults := p.faults
	p.transfers++
	corrupt := faults.CorruptEvery > 0 && p.transfers%faults.CorruptEvery == 0
	p.mu.Unlock()
	if corrupt {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if faults.Stall {
		n, _ := w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		<-request.Context().Done()
		return n
	}
	n, _ := w.Write(data)
	return n
}

// AdminHandler returns the handler that sets faults and hosts and reports call
// counts, for tests and the demo.
func (p *Platform) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, request *http.Request) {
		var faults Faults
		if decodeJSON(w, request, &faults) {
			p.SetFaults(faults)
		}
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, request *http.Request) {
		var hosts []filbertlever.Host
		if decodeJSON(w, request, &hosts) {
			p.SetHosts(hosts)
		}
	})
	mux.HandleFunc("GET /figures", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := p.Calls()
		_ = json.NewEncoder(w).Encode(map[string]int64{"OriginBytes": p.OriginBytes(), "Reads": int64(reads), "Writes": int64(writes)})
	})
	return mux
}

func decodeJSON(w http.ResponseWriter, request *http.Request, out any) bool {
	if err := json.NewDecoder(request.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// LoadFiles reads weights from files into the origin. The keys are paths at the
// origin, and the values file names.
func (p *Platform) LoadFiles(files map[string]string) error {
	for path, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("load weights %s: %w", path, err)
		}
		p.AddFile(path, data)
	}
	return nil
}
