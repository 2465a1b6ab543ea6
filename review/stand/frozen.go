package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	freezeTime = 4 * time.Second
	// stopAfter is how long after the last read the machine freezes. The agent has got the piece by then, and
	// its order follows some 60 ms after the read.
	stopAfter = 10 * time.Millisecond
	// orderSlack is how long after its machine has woken an agent may send an order that was due before.
	orderSlack = 150 * time.Millisecond
	// spoilAfter is how long after the begin of the freeze staged pieces turn bad.
	spoilAfter  = 300 * time.Millisecond
	versionTime = 8 * time.Second
)

// playFrozen plays the case of the frozen agent: one machine beside a model server freezes after its agent has read back the staged pieces for
// the last time and before it orders the server to load them. Meanwhile some of the pieces turn bad. If the
// freeze missed that moment, another machine freezes after the first one has woken.
func playFrozen(in *installation, trouble bool) (bool, error) {
	f := &freezer{in: in, frozen: -1}
	for i, m := range in.models {
		m.onPass = func(version uint64, passes int) {
			in.record.note("agent %d has read back all pieces of version %d, pass %d", i+1, version, passes)
			if trouble && version == 2 && passes >= 2 {
				time.AfterFunc(stopAfter, func() { f.freeze(i) })
			}
		}
		m.onOrder = func(_ uint64, at time.Time) { f.noteOrder(i, at) }
	}
	if err := in.startServers(1); err != nil {
		return false, err
	}
	if err := in.startSystem(true); err != nil {
		return false, err
	}
	if err := in.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(in)
	go c.run(ctx, 60)
	time.Sleep(3 * time.Second)
	in.origin.name(2)
	in.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	in.record.note("version 2 is named")
	time.Sleep(versionTime + freezeTime + 6*time.Second)
	cancel()
	time.Sleep(6500 * time.Millisecond)
	faults := 0
	for _, m := range in.models {
		faults += len(m.tokenFaults())
	}
	held := 0
	for _, m := range in.models {
		m.mu.Lock()
		if m.version == 2 {
			held++
		}
		m.mu.Unlock()
	}
	summary := fmt.Sprintf("%d of %d servers hold version 2; %d answers were begun with pieces that had been bad for over %v when they were loaded", held, len(in.models), faults, wholeGrace)
	freezes, hits := f.counts()
	if trouble {
		summary += fmt.Sprintf("; machines that froze: %d, of which between the last read and the order: %d", freezes, hits)
	}
	in.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case held == 0:
		return false, errors.New("no server took version 2")
	case trouble && hits == 0:
		return false, errors.New("no machine froze between the last read and the order")
	}
	return faults > 0, nil
}

// freezer freezes one machine beside a model server at a time.
type freezer struct {
	in *installation

	mu sync.Mutex
	// frozen is the index of the machine that froze last; -1 if another one may freeze. ordered is true once
	// its server has got an order since.
	frozen   int
	frozenAt time.Time
	ordered  bool
	// freezes and hits count the freezes, and those that began between the last read and the order.
	freezes, hits int
}

func (f *freezer) counts() (freezes, hits int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freezes, f.hits
}

// freeze stops the agent and the server of a machine for freezeTime.
func (f *freezer) freeze(i int) {
	at := time.Now()
	if !f.begin(i, at) {
		return
	}
	agent, server, record := f.in.agents[i], f.in.models[i], f.in.record
	_ = agent.command.Process.Signal(syscall.SIGSTOP)
	server.pause(at.Add(freezeTime))
	record.note("machine %s freezes", agent.name)
	time.AfterFunc(spoilAfter, func() {
		server.spoil(3, 20, 41)
		record.note("three of the pieces that lie at the server of %s turn bad", agent.name)
	})
	time.AfterFunc(freezeTime, func() {
		_ = agent.command.Process.Signal(syscall.SIGCONT)
		record.note("machine %s wakes again", agent.name)
	})
	time.AfterFunc(freezeTime+orderSlack, f.release)
}

// begin reports whether a machine may freeze now, and notes that it does.
func (f *freezer) begin(i int, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen >= 0 {
		return false
	}
	f.frozen, f.frozenAt, f.ordered = i, at, false
	f.freezes++
	return true
}

// noteOrder notes that a server has got an order.
func (f *freezer) noteOrder(i int, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i != f.frozen || f.ordered {
		return
	}
	f.ordered = true
	if after := at.Sub(f.frozenAt); after >= freezeTime && after < freezeTime+orderSlack {
		f.hits++
	}
}

// release lets another machine freeze if this one missed the moment.
func (f *freezer) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hits == 0 {
		f.frozen = -1
	}
}
