// Package weightsbench measures how weights reach many hosts over shaped
// links, with the agents' own fetching and serving code.
package weightsbench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/bench/links"
	"github.com/filbertlever/filbertlever/internal/coordination/distribution"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/weights"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Scale is the scaled-down burst: the origin's link carries four copies in
// the time in which a host's carries two.
type Scale struct {
	// Size is the bytes of the model.
	Size int
	// Chunk is the bytes of a chunk.
	Chunk int
	// HostRate is what a host's link carries in a second, each way.
	HostRate float64
}

// DefaultScale takes two seconds for one copy over a host's link, so that this
// machine's processors, which all hosts share, are not what is measured.
func DefaultScale() Scale {
	return Scale{Size: 8 << 20, Chunk: 32 << 10, HostRate: 4 << 20}
}

// withDoubleRate returns the scale with links of twice the rate.
func (s Scale) withDoubleRate() Scale {
	s.HostRate *= 2
	return s
}

// originRateFactor is the origin's rate in host rates.
const originRateFactor = 2

// Bound is the least time for any number of hosts: one copy over a link.
func (s Scale) Bound() time.Duration {
	return time.Duration(float64(s.Size) / s.HostRate * float64(time.Second))
}

// testbed is one burst's hosts and origin.
type testbed struct {
	scale           Scale
	data            []byte
	manifest        *bundle.Manifest
	encodedManifest []byte
	digest          filbertlever.Digest
	origin          *links.Link
	originURL       string
	hosts           []*benchHost
	peers           []distribution.Peer
	byID            map[filbertlever.HostID]*benchHost
	servers         []*http.Server
	// corruptShare is the share of chunks that peers send corrupted.
	corruptShare float64
	originBytes  atomic.Int64
}

// benchHost is one agent's weights part.
type benchHost struct {
	id                    filbertlever.HostID
	site                  string
	link                  *links.Link
	url                   string
	sets                  *weights.Library
	fetcher               *weights.Fetcher
	client                *http.Client
	inLimiter, outLimiter *weights.Limiter
	crossSiteRequests     atomic.Int64
	fetchTime             time.Duration
	expectFailure         bool
}

const siteCount = 3

func newTestbed(scale Scale, hosts int, strategy weights.FetchConfig) (*testbed, error) {
	w := &testbed{scale: scale, data: make([]byte, scale.Size), byID: map[filbertlever.HostID]*benchHost{}}
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(w.data)
	manifest, err := bundle.NewManifest("model", bytes.NewReader(w.data), int64(scale.Chunk))
	if err != nil {
		return nil, err
	}
	w.manifest = manifest
	if w.encodedManifest, err = manifest.Encode(); err != nil {
		return nil, err
	}
	w.digest = filbertlever.DigestOf(w.encodedManifest)
	w.origin = links.New(originRateFactor * scale.HostRate)
	if w.originURL, err = w.startServer(w.origin, http.HandlerFunc(w.serveOrigin)); err != nil {
		return nil, err
	}
	for i := range hosts {
		if err := w.addHost(i, strategy); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *testbed) addHost(i int, config weights.FetchConfig) error {
	h := &benchHost{id: filbertlever.HostID(fmt.Sprint("model-", i)), site: fmt.Sprint("site-", i%siteCount), link: links.New(w.scale.HostRate)}
	h.sets = weights.NewLibrary(state.NewChunks())
	h.sets.Add(w.digest, w.manifest, w.encodedManifest)
	h.client = &http.Client{Transport: &http.Transport{DialContext: h.link.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}
	mux := http.NewServeMux()
	pace := distribution.Pace{Link: w.scale.HostRate, Share: distribution.DefaultShare}
	h.inLimiter, h.outLimiter = weights.NewLimiter(pace), weights.NewLimiter(pace)
	server := weights.NewServer(h.sets, h.outLimiter)
	server.Routes(mux, func(next http.Handler) http.Handler { return w.corruptResponses(next) })
	mux.HandleFunc("GET /live", serveLive)
	url, err := w.startServer(h.link, mux)
	if err != nil {
		return err
	}
	h.url = url
	sources := &weights.HTTPSources{Peers: &peerResolver{world: w, host: h}, Origin: w.originURL, Client: h.client, Pacer: h.inLimiter}
	self := distribution.Peer{ID: h.id, Site: h.site}
	h.fetcher = weights.NewFetcher(config, self, h.sets, sources, zap.NewNop())
	w.hosts = append(w.hosts, h)
	w.peers = append(w.peers, self)
	w.byID[h.id] = h
	return nil
}

// peerResolver finds the address of a peer.
type peerResolver struct {
	world *testbed
	host  *benchHost
}

// Peer returns the client of this host and the peer's address.
func (c *peerResolver) Peer(id filbertlever.HostID) (*http.Client, string, bool) {
	peer, ok := c.world.byID[id]
	if !ok {
		return nil, "", false
	}
	if peer.site != c.host.site {
		c.host.crossSiteRequests.Add(1)
	}
	return c.host.client, peer.url, true
}

func (w *testbed) startServer(link *links.Link, handler http.Handler) (string, error) {
	listener, err := link.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	s := httpServer{server: server, listener: listener}
	go s.run()
	return "http://" + listener.Addr().String(), nil
}

type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() { _ = s.server.Serve(s.listener) }

// serveOrigin serves ranges of the model.
func (w *testbed) serveOrigin(out http.ResponseWriter, request *http.Request) {
	var from, to int
	if _, err := fmt.Sscanf(request.Header.Get("Range"), "bytes=%d-%d", &from, &to); err != nil || to >= len(w.data) {
		out.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	out.Header().Set("Content-Length", fmt.Sprint(to-from+1))
	n, _ := out.Write(w.data[from : to+1])
	w.originBytes.Add(int64(n))
}

// serveLive stands for a live request: a short answer after a pause.
func serveLive(out http.ResponseWriter, _ *http.Request) {
	time.Sleep(liveDelay)
	_, _ = out.Write(make([]byte, liveBytes))
}

const (
	liveDelay = 50 * time.Millisecond
	liveBytes = 512
)

// corruptResponses corrupts a share of the chunks that a host sends.
func (w *testbed) corruptResponses(next http.Handler) http.Handler {
	if w.corruptShare == 0 {
		return next
	}
	return http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
		if rand.Float64() < w.corruptShare {
			out = &corruptWriter{ResponseWriter: out}
		}
		next.ServeHTTP(out, request)
	})
}

// corruptWriter turns one bit of the body.
type corruptWriter struct {
	http.ResponseWriter
	corrupted bool
}

// Write writes the spoiled bytes.
func (s *corruptWriter) Write(b []byte) (int, error) {
	if !s.corrupted && len(b) > 0 {
		s.corrupted = true
		b = slices.Clone(b)
		b[0] ^= 1
	}
	return s.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the writer below.
func (s *corruptWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

func (w *testbed) close() {
	for _, server := range w.servers {
		_ = server.Close()
	}
	for _, h := range w.hosts {
		h.client.CloseIdleConnections()
		h.link.Cut()
	}
}

// fetchAll fetches on every host and returns once those not lost are done.
func (w *testbed) fetchAll(ctx context.Context, favour bundle.Favour) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var live, all sync.WaitGroup
	errs := make([]error, len(w.hosts))
	for i, h := range w.hosts {
		if !h.expectFailure {
			live.Add(1)
		}
		all.Go(func() {
			errs[i] = h.fetcher.Fetch(ctx, w.digest, w.peers, favour)
			h.fetchTime = time.Since(start)
			if !h.expectFailure {
				live.Done()
			}
		})
	}
	live.Wait()
	cancel()
	for i, h := range w.hosts {
		if h.expectFailure {
			errs[i] = nil
		}
	}
	return errors.Join(errs...)
}
