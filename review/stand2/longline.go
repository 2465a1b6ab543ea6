package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// lineBytes is the length of the line of the last event up to its last field.
const lineBytes = 4096

// streamer is a sound server whose answers are three events. The data of the last one is one long line.
type streamer struct {
	*server
	line string
}

func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.server.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, target: r.RequestURI, at: time.Now()})
	s.mu.Unlock()
	s.bed.note("server %s runs %s", s.id, id)
	w.Header().Set("X-Server-Stamp", "stamp-"+s.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range s.events() {
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *streamer) events() []string {
	return []string{"id: 1\ndata: begin\n\n", "id: 2\ndata: table\n\n", "id: 3\n" + s.line + "\n\n"}
}

// longline streams a table as text. In the last event, whose data is one line, a field of the table begins
// at the byte after lineBytes.
func longline(b *bed, trouble bool) (bool, error) {
	prefix := "data: " + strings.Repeat("sector,valid,", 400)
	if trouble {
		prefix = prefix[:lineBytes]
	} else {
		prefix = prefix[:lineBytes-1]
	}
	s := &streamer{server: &server{bed: b, id: "i-1", service: "xano55b"}, line: prefix + "id:1"}
	address, err := b.listen(s)
	if err != nil {
		return false, err
	}
	s.address = address
	s.register("ready")
	r := route("r-1", "/lepu270/", "streaming", "xano55b")
	r["streamResume"], r["gapGoalMs"], r["timeoutMs"], r["goalMs"] = true, 300, 6000, 400
	b.put("op", "config", state{Version: 7, Routes: []map[string]any{r}, Services: []map[string]any{service("xano55b")}, Limits: limits(),
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
	time.Sleep(time.Second)
	sent := strings.Join(s.events(), "")
	broken := false
	c := b.newClient()
	for _, e := range entries {
		id := "stream-" + e.name
		a := c.send(e, http.MethodPost, id, "/lepu270/2f", "key-1", 4*time.Second)
		if a.status != http.StatusOK {
			return false, fmt.Errorf("%s got %d", id, a.status)
		}
		b.note("the server sent %d bytes for %s, the client got %d, the answer looks complete: %v", len(sent), id, len(a.body), a.err == nil)
		broken = broken || a.err == nil && a.body != sent
	}
	return broken, nil
}
