package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// beatTime is heartbeatMs, drainBound drainMs and contactTime contactMs of the small sites.
	beatTime    = 1200 * time.Millisecond
	drainBound  = 2 * time.Second
	contactTime = 3 * time.Second
	// lateBy is how much later the store performs the write whose answer is lost.
	lateBy = 5000 * time.Millisecond
)

// writer writes the row of a server every beatTime, as the server does.
type writer struct {
	server  *server
	leaving atomic.Bool
	seq     atomic.Int64
	// lose makes the next write a lost one, which the store performs lateBy later.
	lose atomic.Bool
	lost chan time.Time
}

func (w *writer) row() map[string]any {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	return map[string]any{"service": w.server.service, "address": w.server.address, "zone": "ho-a", "version": "1", "slots": 6, "state": state, "coldLeftMs": 0, "seqNo": w.seq.Add(1)}
}

func (w *writer) write() {
	row := w.row()
	if w.lose.Swap(false) {
		w.server.bed.note("a write of %s (%v) gets no answer", w.server.id, row["state"])
		w.lost <- time.Now()
		time.AfterFunc(lateBy, func() {
			w.server.bed.put("servers", w.server.id, row)
			w.server.bed.note("the store performs the late write of %s (%v)", w.server.id, row["state"])
		})
		return
	}
	w.server.bed.put("servers", w.server.id, row)
}

func (w *writer) run() {
	for ; ; time.Sleep(beatTime) {
		w.write()
	}
}

// laterow plays a server that leaves in a planned way. One of its writes from before gets no answer, and the store
// performs it after the server has reported that it leaves.
func laterow(b *bed, trouble bool) (bool, error) {
	var writers []*writer
	for n := range 3 {
		s := &server{bed: b, id: fmt.Sprintf("i-%d", n+1), service: "xano55b"}
		address, err := b.listen(s)
		if err != nil {
			return false, err
		}
		s.address = address
		writers = append(writers, &writer{server: s, lost: make(chan time.Time, 1)})
		go writers[n].run()
	}
	b.put("op", "config", state{Version: 7, Routes: []map[string]any{route("r-1", "/lepu270/", "non_idempotent", "xano55b")}, Services: []map[string]any{service("xano55b")},
		Limits: limits(), Tenants: []map[string]any{tenant("bozi300", "key-1")}})
	entries, err := b.entries(2)
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		if !await(15*time.Second, e.isReady) {
			return false, errors.New("an entry is not ready")
		}
	}
	time.Sleep(contactTime + time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for _, e := range entries {
		go b.load(e, stop)
	}
	leaver := writers[0]
	if trouble {
		leaver.lose.Store(true)
	} else {
		leaver.lost <- time.Now()
	}
	lost := <-leaver.lost
	// The disturbance of the store ends with the lost write, and the store counts as stable contactMs later.
	time.Sleep(contactTime + 400*time.Millisecond - time.Since(lost))
	leaver.leaving.Store(true)
	leaver.write()
	ack := time.Now()
	b.note("%s reports draining, the store has accepted it", leaver.server.id)
	time.Sleep(drainBound + 4*time.Second)
	late := 0
	leaver.server.mu.Lock()
	defer leaver.server.mu.Unlock()
	for _, r := range leaver.server.runs {
		if after := r.at.Sub(ack); after > drainBound {
			late++
			b.note("%s reached %s %.3f s after the ack that it leaves", r.id, leaver.server.id, after.Seconds())
		}
	}
	b.note("%d requests reached %s later than %.0f s after the ack that it leaves", late, leaver.server.id, drainBound.Seconds())
	return late > 0, nil
}

// load sends requests to an entry until stop is closed.
func (b *bed) load(e *process, stop chan struct{}) {
	c := b.newClient()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		c.send(e, http.MethodPost, fmt.Sprintf("%s-%d", e.name, n), "/lepu270/2f", "key-1", 2*time.Second)
	}
}
