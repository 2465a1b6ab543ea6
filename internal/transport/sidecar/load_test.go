package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// newEntry serves one piece as an entry does.
func newEntry(t *testing.T, name, data string) gateway.Entry {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(data)) }))
	t.Cleanup(server.Close)
	return gateway.Entry{Host: "entry", Site: "a", Peers: strings.TrimPrefix(server.URL, "http://"), Datagrams: name}
}

// A server would answer with weights that are not whole: an entry, or the way
// from it, spoils pieces. They are asked for again elsewhere, and none is kept.
func TestASpoiltPieceOfAnEntryIsNotKept(t *testing.T) {
	c := qt.New(t)
	sum := sha256.Sum256([]byte("weights"))
	digest := hex.EncodeToString(sum[:])
	manifest := &relay.Manifest{Model: "drafter", Version: 1, Digests: []string{digest}}
	spoilt, sound := newEntry(t, "1", "spoilt!"), newEntry(t, "2", "weights")
	tests := []struct {
		entries []gateway.Entry
		want    bool
	}{
		{[]gateway.Entry{spoilt}, false},
		{[]gateway.Entry{spoilt, sound}, true},
	}
	for _, test := range tests {
		registry := prometheus.NewRegistry()
		s := &Sidecar{config: Config{Site: "a"}, client: &http.Client{}, log: zap.NewNop(), metrics: newMetrics(registry),
			entries: test.entries, pieces: map[string][]byte{}, models: map[string]*weights{}}
		f := &fetching{agent: s, weights: &weights{}, named: catalog.NamedVersion{Model: "drafter", Version: 1}, lanes: 1}
		err := f.fetch(context.Background(), manifest)
		c.Assert(err == nil, qt.Equals, test.want, qt.Commentf("%v", err))
		data, ok := s.piece(digest)
		c.Assert(ok, qt.Equals, test.want)
		if ok {
			c.Assert(string(data), qt.Equals, "weights")
		}
	}
}
