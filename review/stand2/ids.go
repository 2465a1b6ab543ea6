package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// tokensPerEvent is how many tokens an event holds on the small sites.
	tokensPerEvent = 6
	// lostBound is how often a machine may close a kept channel without an answer.
	lostBound = 3
	idStreams = 8
)

// counter is a sound server whose answers are eight events with increasing ids: the number of the last token
// that the answer has so far, or the number of the event.
type counter struct {
	*server
	step int
}

func (s *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.Method == http.MethodGet {
		s.server.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	var after int
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &after); err != nil {
		after = 0
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, target: r.RequestURI, at: time.Now()})
	s.mu.Unlock()
	s.bed.note("server %s runs %s, Last-Event-Id %q", s.id, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Server-Stamp", "stamp-"+s.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 8; n++ {
		if n*s.step <= after {
			continue
		}
		_, _ = io.WriteString(w, s.event(n))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *counter) event(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n*s.step, n)
}

// ids streams answers of sound servers whose ids increase by more than one.
func ids(b *bed, trouble bool) (bool, error) {
	step := 1
	if trouble {
		step = tokensPerEvent
	}
	var whole strings.Builder
	for n := range 2 {
		s := &counter{&server{bed: b, id: fmt.Sprintf("i-%d", n+1), service: "xano55b"}, step}
		address, err := b.listen(s)
		if err != nil {
			return false, err
		}
		s.address = address
		s.register("ready")
		for i := 1; n == 0 && i <= 8; i++ {
			whole.WriteString(s.event(i))
		}
	}
	stream, plain := route("r-1", "/lepu270/", "streaming", "xano55b"), route("r-2", "/filo73/", "idempotent", "xano55b")
	stream["streamResume"], stream["gapGoalMs"], stream["timeoutMs"], stream["goalMs"] = true, 300, 6000, 400
	b.put("op", "config", state{Version: 7, Routes: []map[string]any{stream, plain}, Services: []map[string]any{service("xano55b")}, Limits: limits(),
		Tenants: []map[string]any{tenant("bozi300", "key-1")}})
	entries, err := b.entries(2)
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		if !await(15*time.Second, e.isReady) {
			return false, errors.New("an entry is not ready")
		}
	}
	time.Sleep(4 * time.Second)
	e, c, closed := entries[0], b.newClient(), 0
	for n := range idStreams {
		// The channel is one that has carried a request before.
		if a := c.send(e, http.MethodGet, fmt.Sprintf("first-%d", n), "/filo73/2f", "key-1", 2*time.Second); a.err != nil || a.status != http.StatusOK {
			return false, fmt.Errorf("a plain request got %d, %v", a.status, a.err)
		}
		a := c.send(e, http.MethodPost, fmt.Sprintf("stream-%d", n), "/lepu270/2f", "key-1", 6*time.Second)
		if a.err != nil {
			b.note("the channel of stream-%d was closed without the whole answer: %v", n, a.err)
			closed++
			continue
		}
		if a.status == http.StatusOK && a.body != whole.String() {
			b.note("stream-%d looks complete and is not", n)
			return true, nil
		}
	}
	b.note("%d of %d streams were closed without the whole answer, the bound is %d", closed, idStreams, lostBound)
	return closed > lostBound, nil
}
