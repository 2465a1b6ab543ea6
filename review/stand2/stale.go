package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

const (
	// applyBound is configApplyMs of the small sites.
	applyBound = 2 * time.Second
	// secondFreeze is how long after the first machine the second one freezes, and freezeTime how long both
	// stand still.
	secondFreeze = 950 * time.Millisecond
	freezeTime   = 4 * time.Second
	staleRounds  = 6
)

// stale plays rounds on fresh installations of three entries in one zone. In each, a route moves to another
// service while two of the machines freeze one after the other. The third one is calm all the time.
func stale(b *bed, trouble bool) (bool, error) {
	for n := range staleRounds {
		late, err := staleRound(b, n, trouble)
		if err != nil || late {
			return late, err
		}
	}
	return false, nil
}

func staleRound(b *bed, n int, trouble bool) (bool, error) {
	before, moved := fmt.Sprintf("xano%d", n), fmt.Sprintf("gowu%d", n)
	old, err := b.newServer(fmt.Sprintf("i-old-%d", n), before)
	if err != nil {
		return false, err
	}
	if _, err := b.newServer(fmt.Sprintf("i-new-%d", n), moved); err != nil {
		return false, err
	}
	s := state{Version: 10*n + 7, Routes: []map[string]any{route("r-1", "/lepu270/", "idempotent", before)},
		Services: []map[string]any{service(before), service(moved)}, Limits: limits(), Tenants: []map[string]any{tenant("bozi300", "key-1")}}
	b.put("op", "config", s)
	entries, err := b.entries(3)
	if err != nil {
		return false, err
	}
	defer func() {
		for _, e := range entries {
			e.kill()
		}
	}()
	for _, e := range entries {
		if !await(15*time.Second, e.isReady) {
			return false, errors.New("an entry is not ready")
		}
	}
	// All have been running for longer than contactMs. The rounds differ in the phases of the heartbeats.
	time.Sleep(4*time.Second + time.Duration(n)*70*time.Millisecond)
	s.Version++
	b.put("op", "config", s)
	time.Sleep(time.Second)
	first, second, calm := staleRoles(b, entries)
	if first == nil {
		return false, errors.New("no entry reads the store")
	}
	s.Version++
	s.Routes = append(s.Routes, route("r-2", "/filo73/", "idempotent", before))
	b.put("op", "config", s)
	time.Sleep(100 * time.Millisecond)
	s.Version++
	s.Routes = []map[string]any{route("r-1", "/lepu270/", "idempotent", moved), route("r-2", "/filo73/", "idempotent", before)}
	b.note("round %d: %s reads the store, %s is calm", n+1, first.name, calm.name)
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
	ack := b.put("op", "config", s)
	b.note("desired state %d is acknowledged: the route moves from %s to %s", s.Version, before, moved)
	latest := time.Duration(0)
	c := b.newClient()
	for i := 0; time.Since(ack) < 4*time.Second; i++ {
		id, sent := fmt.Sprintf("r%d-%d", n+1, i), time.Since(ack)
		c.send(calm, "GET", id, "/lepu270/x", "key-1", time.Second)
		if old.ran(id) {
			latest = sent
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.note("round %d: the last request that %s had the old service run was sent %.3f s after the ack, the bound is %.0f s", n+1, calm.name,
		latest.Seconds(), applyBound.Seconds())
	return latest > applyBound, nil
}

// staleRoles returns the entry that reads the store, the one that takes its place if it fails, and the third
// one.
func staleRoles(b *bed, entries []*process) (first, second, third *process) {
	for _, e := range entries {
		lines := e.logged("table changed")
		if len(lines) > 0 && lines[len(lines)-1]["Source"] == "Store" {
			first = e
		}
	}
	if first == nil {
		return nil, nil, nil
	}
	var others []relays.Reader
	for _, e := range entries {
		if e != first {
			others = append(others, relays.Reader{Host: filbertlever.HostID(e.name)})
		}
	}
	next := relays.PickReader("volta", others)
	for _, e := range entries {
		switch {
		case e == first:
		case e.name == string(next):
			second = e
		default:
			third = e
		}
	}
	return first, second, third
}
