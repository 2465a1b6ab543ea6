package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/filbertlever/filbertlever/platform/standin"
)

const (
	// versionBound is version_ms of the small sites.
	versionBound = 8 * time.Second
	modelServers = 3
	// originDown is how long the origin is down, and pieceTime what its link of 9.9 Mbit/s needs for a piece of
	// 32,768 bytes.
	originDown = 6 * time.Second
	pieceTime  = 26500 * time.Microsecond
)

// named plays an installation of one zone in which two machines freeze one after the other while a version of
// the weights is named. The origin of the weights is down from shortly before until six seconds later.
func named(b *bed, trouble bool) (bool, error) {
	weights := &linked{origin: standin.NewOrigin(64, 32<<10)}
	origin, err := b.listen(weights)
	if err != nil {
		return false, err
	}
	var servers []*standin.Server
	var addresses []string
	for n := range modelServers {
		s := standin.NewServer(fmt.Sprintf("i-model-%d", n+1), standin.Model{Name: "daka510000", Version: 1})
		s.EventCount, s.EventInterval = 6, 20*time.Millisecond
		address, err := b.listen(s)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		addresses = append(addresses, address)
		go b.beat(s, address)
	}
	stream := route("r-1", "/lepu270/", "streaming", "huvo11a")
	stream["streamResume"], stream["gapGoalMs"], stream["timeoutMs"], stream["goalMs"] = true, 300, 6000, 400
	s := state{Version: 7, Routes: []map[string]any{stream}, Services: []map[string]any{modelService(), {"name": "kafi81c", "origin": origin, "zone": "ho-a", "linkMbps": 9.9, "maxConns": 48}},
		Limits: limits(), Tenants: []map[string]any{tenant("bozi300", "key-1")}}
	b.put("op", "config", s)
	entries, err := b.entries(3)
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		if !await(15*time.Second, e.isReady) {
			return false, errors.New("an entry is not ready")
		}
	}
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.peers)
	}
	for n, address := range addresses {
		if _, err := b.agent(fmt.Sprintf("agent-%d", n+1), address, "huvo11a", seeds); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	s.Version++
	b.put("op", "config", s)
	time.Sleep(time.Second)
	first, second, calm := staleRoles(b, entries)
	if first == nil {
		return false, errors.New("no entry reads the store")
	}
	b.note("%s reads the store, %s is calm", first.name, calm.name)
	s.Version++
	s.Routes = append(s.Routes, route("r-2", "/filo73/", "idempotent", "huvo11a"))
	b.put("op", "config", s)
	time.Sleep(100 * time.Millisecond)
	weights.setDown(true)
	b.note("the origin of the weights is down")
	time.AfterFunc(originDown, func() {
		weights.setDown(false)
		b.note("the origin is up again")
	})
	if trouble {
		first.signal(syscall.SIGSTOP)
		b.note("%s freezes", first.name)
		time.AfterFunc(secondFreeze, func() {
			second.signal(syscall.SIGSTOP)
			b.note("%s freezes", second.name)
		})
		time.AfterFunc(freezeTime, func() { first.signal(syscall.SIGCONT) })
		time.AfterFunc(secondFreeze+freezeTime, func() { second.signal(syscall.SIGCONT) })
		time.Sleep(20 * time.Millisecond)
	}
	ack := b.put("op", "version/daka510000", map[string]any{"model": "daka510000", "version": 2})
	b.note("version 2 is named and acknowledged")
	c := b.newClient()
	for n := 0; time.Since(ack) < versionBound+2*time.Second; n++ {
		go c.stream(calm, fmt.Sprintf("s%d", n))
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	late, latest := 0, time.Duration(0)
	for _, server := range servers {
		for _, r := range server.Runs() {
			at := r.At.Sub(ack)
			if r.Version == 1 {
				latest = max(latest, at)
			}
			if r.Version == 1 && at > versionBound {
				late++
				b.note("%s began on version 1 at %s %.3f s after the ack of version 2", r.ID, r.InstanceID, at.Seconds())
			}
		}
	}
	for _, line := range calm.logged("version named") {
		b.note("%s learned of version %v at %v", calm.name, line["Version"], line["Time"])
	}
	b.note("the last request began on version 1 %.3f s after the ack of version 2, the bound is %.0f s; %d began later", latest.Seconds(), versionBound.Seconds(), late)
	return late > 0, nil
}

// stream sends a request for a stream to an entry.
func (c *client) stream(entry *process, id string) {
	header := http.Header{}
	header.Set("X-Model", "daka510000")
	header.Set("X-Token-Usage", "964,119")
	c.sendWith(entry, http.MethodPost, id, "/lepu270/2f", "key-1", 4*time.Second, header)
}

// beat keeps the row of a model server current.
func (b *bed) beat(s *standin.Server, address string) {
	for last := ""; ; time.Sleep(300 * time.Millisecond) {
		if models := fmt.Sprint(s.Models()); models != last {
			last = models
			b.note("server %s holds %s", s.InstanceID(), models)
			b.put("servers", s.InstanceID(), map[string]any{"service": "huvo11a", "address": address, "zone": "ho-a", "version": "v1", "slots": 16, "state": "ready",
				"coldLeftMs": 0, "stage": "colocated", "models": s.Models(), "seqNo": s.OrderCount()})
		}
	}
}

// linked is the origin behind its link. While it is down, it breaks off every channel.
type linked struct {
	origin http.Handler

	mu   sync.Mutex
	down bool
	link sync.Mutex
}

func (l *linked) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *linked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/api/piece/") {
		l.link.Lock()
		time.Sleep(pieceTime)
		l.link.Unlock()
	}
	l.origin.ServeHTTP(w, r)
}

// modelService is the service of the model servers.
func modelService() map[string]any {
	engine := map[string]any{"slots": 16, "kvCapacity": 1640000, "kvTokenBytes": 163840, "stride": 6, "models": []map[string]any{{"name": "daka510000", "pace": 1.0, "warmS": 0.3}},
		"mb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0,
		"usual": map[string]int{"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0, "chunks": 64, "chunkBytes": 32768}
	models := service("huvo11a")
	models["maxConns"], models["engine"] = 274, engine
	return models
}
