package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/filbertlever/filbertlever/platform/standin"
)

const (
	// sideMachines is how many machines with a model server and its agent there are.
	sideMachines = 9
	spoilAfter   = 300 * time.Millisecond
	spoiltPieces = 3
)

// fleet is the machines with model servers. One of them stands still for a while.
type fleet struct {
	bed    *bed
	spoils bool

	mu     sync.Mutex
	victim *machine
	woken  chan struct{}
}

// machine is one machine with a model server and its agent.
type machine struct {
	*standin.Server
	fleet *fleet
	agent *process

	mu sync.Mutex
	// stillUntil is closed when the machine goes on; nil if it does not stand still.
	stillUntil chan struct{}
	// spoilt is true once the server has taken spoilt pieces, since loadedAt.
	spoilt   bool
	loadedAt time.Time
}

// wait waits while the machine stands still.
func (m *machine) wait() {
	m.mu.Lock()
	still := m.stillUntil
	m.mu.Unlock()
	if still != nil {
		<-still
	}
}

func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.wait()
	if r.URL.Path == "/api/order" {
		order, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.fleet.standStill(m)
		m.wait()
		m.fleet.bed.note("%s takes the order %s", m.InstanceID(), order)
		before := m.InvalidLoads()
		r.Body = io.NopCloser(bytes.NewReader(order))
		m.Server.ServeHTTP(w, r)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.spoilt, m.loadedAt = m.InvalidLoads() > before, time.Now()
		return
	}
	m.Server.ServeHTTP(w, r)
}

// standStill makes the machine of the first order stand still for freezeTime. Pieces that lie there turn bad
// soon after.
func (f *fleet) standStill(m *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.spoils || f.victim != nil {
		return
	}
	f.victim = m
	m.mu.Lock()
	defer m.mu.Unlock()
	still := make(chan struct{})
	m.stillUntil = still
	m.agent.signal(syscall.SIGSTOP)
	f.bed.note("the machine of %s freezes as the order has arrived", m.InstanceID())
	time.AfterFunc(spoilAfter, func() {
		for piece := 1; piece <= spoiltPieces; piece++ {
			m.CorruptStaged("daka510000", piece)
		}
		f.bed.note("%d pieces at %s turn bad", spoiltPieces, m.InstanceID())
	})
	time.AfterFunc(freezeTime, func() {
		f.bed.note("the machine of %s goes on", m.InstanceID())
		m.mu.Lock()
		m.stillUntil = nil
		m.mu.Unlock()
		m.agent.signal(syscall.SIGCONT)
		close(still)
		close(f.woken)
	})
}

// forgotten plays a load whose order arrives late, as its machine stands still, so that its pieces have turned bad.
// The agent notices and keeps requests away. Later the agent starts again.
func forgotten(b *bed, trouble bool) (bool, error) {
	origin := standin.NewOrigin(64, 32<<10)
	originAddress, err := b.listen(origin)
	if err != nil {
		return false, err
	}
	f := &fleet{bed: b, spoils: trouble, woken: make(chan struct{})}
	var machines []*machine
	var addresses []string
	for n := range sideMachines {
		m := &machine{Server: standin.NewServer(fmt.Sprintf("i-model-%d", n+1), standin.Model{Name: "daka510000", Version: 1}), fleet: f}
		m.EventCount, m.EventInterval, m.LoadDuration = 4, 20*time.Millisecond, 300*time.Millisecond
		m.ExpectDigests("daka510000", 2, origin.Digests("daka510000", 2))
		address, err := b.listen(m)
		if err != nil {
			return false, err
		}
		machines, addresses = append(machines, m), append(addresses, address)
		go b.beat(m.Server, address)
	}
	stream := route("r-1", "/lepu270/", "streaming", "huvo11a")
	stream["streamResume"], stream["gapGoalMs"], stream["timeoutMs"], stream["goalMs"] = true, 300, 6000, 400
	b.put("op", "config", state{Version: 7, Routes: []map[string]any{stream}, Services: []map[string]any{modelService(), {"name": "kafi81c", "origin": originAddress, "zone": "ho-a", "linkMbps": 9.9, "maxConns": 48}},
		Limits: limits(), Tenants: []map[string]any{tenant("bozi300", "key-1")}})
	entries, err := b.entries(3)
	if err != nil {
		return false, err
	}
	var seeds []string
	for _, e := range entries {
		if !await(15*time.Second, e.isReady) {
			return false, errors.New("an entry is not ready")
		}
		seeds = append(seeds, e.peers)
	}
	for n, m := range machines {
		if m.agent, err = b.agent(fmt.Sprintf("agent-%d", n+1), addresses[n], "huvo11a", seeds); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go b.streams(entries, stop)
	b.put("op", "version/daka510000", map[string]any{"model": "daka510000", "version": 2})
	b.note("version 2 is named")
	restart := machines[0]
	if trouble {
		select {
		case <-f.woken:
		case <-time.After(12 * time.Second):
			return false, errors.New("no server got an order")
		}
		restart = f.victim
	}
	holds := func() bool { models := restart.Models(); return len(models) == 1 && models[0].Version == 2 }
	if !await(15*time.Second, holds) {
		return false, errors.New("the server does not hold version 2")
	}
	time.Sleep(4 * time.Second)
	before := restart.begun()
	b.note("%s has begun %d answers with version 2 before its agent starts again", restart.InstanceID(), before)
	restart.agent.signal(syscall.SIGTERM)
	<-restart.agent.exited
	b.note("the agent of %s was stopped with SIGTERM and starts again", restart.InstanceID())
	time.Sleep(500 * time.Millisecond)
	if err := b.start(restart.agent, ""); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	restart.mu.Lock()
	spoilt := restart.spoilt
	restart.mu.Unlock()
	after := restart.begun()
	b.note("%s has begun %d answers with version 2, its pieces were spoilt when they were taken: %v", restart.InstanceID(), after, spoilt)
	if trouble && !spoilt {
		return false, errors.New("the pieces were sound when they were taken")
	}
	return spoilt && after > 0, nil
}

// begun returns how many answers the server has begun with version 2.
func (m *machine) begun() int {
	begun := 0
	for _, r := range m.Runs() {
		if r.Version == 2 && r.Events > 0 {
			begun++
		}
	}
	return begun
}

// streams sends requests for streams to entries in turn until stop is closed.
func (b *bed) streams(entries []*process, stop chan struct{}) {
	c := b.newClient()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
			go c.stream(entries[n%len(entries)], fmt.Sprintf("s%d", n))
		}
	}
}
