// Package weightsbench measures the distribution of weights to many hosts over
// rate-limited links, with the fetch and serve code of the agents.
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

// Scale holds the sizes and rates of a scaled-down burst. The link of the origin
// has twice the rate of a host's link.
type Scale struct {
	// Size is the size of the model in bytes.
	Size int
	// Chunk is the size of a chunk in bytes.
	Chunk int
	// HostRate is the rate of a host's link in bytes per second, in each direction.
	HostRate float64
}

// DefaultScale returns a scale in which one copy over a host's link takes two
// seconds. At this rate the links and not the CPU, which all hosts share, are the
// bottleneck.
func DefaultScale() Scale {
	return Scale{Size: 8 << 20, Chunk: 32 << 10, HostRate: 4 << 20}
}

// withDoubleRate returns the scale with twice the link rate.
func (s Scale) withDoubleRate() Scale {
	s.HostRate *= 2
	return s
}

// originRateFactor is the rate of the origin's link divided by that of a host.
const originRateFactor = 2

// Bound returns the lower bound of the fetch time for any number of hosts: the
// time for one copy over a host's link.
func (s Scale) Bound() time.Duration {
	return time.Duration(float64(s.Size) / s.HostRate * float64(time.Second))
}

// testbed holds the hosts and the origin of one burst.
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
	// corruptShare is the share of responses from peers that are corrupted.
	corruptShare float64
	originBytes  atomic.Int64
}

// benchHost fetches and serves weights like one agent.
type benchHost struct {
	id                    filbertlever.HostID
	site                  string
	link                  *links.Link
	url                   string
	chunkLibrary          *weights.Library
	fetcher               *weights.Fetcher
	client                *http.Client
	inLimiter, outLimiter *weights.Limiter
	crossSiteRequests     atomic.Int64
	fetchTime             time.Duration
	expectFailure         bool
}

const siteCount = 3

// newTestbed starts the origin and the hosts of a burst.
func newTestbed(scale Scale, hosts int, config weights.FetchConfig) (*testbed, error) {
	t := &testbed{scale: scale, data: make([]byte, scale.Size), byID: map[filbertlever.HostID]*benchHost{}}
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(t.data)
	manifest, err := bundle.NewManifest("model", bytes.NewReader(t.data), int64(scale.Chunk))
	if err != nil {
		return nil, err
	}
	t.manifest = manifest
	if t.encodedManifest, err = manifest.Encode(); err != nil {
		return nil, err
	}
	t.digest = filbertlever.DigestOf(t.encodedManifest)
	t.origin = links.New(originRateFactor * scale.HostRate)
	if t.originURL, err = t.startServer(t.origin, http.HandlerFunc(t.serveOrigin)); err != nil {
		return nil, err
	}
	for i := range hosts {
		if err := t.addHost(i, config); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// addHost starts host i.
func (t *testbed) addHost(i int, config weights.FetchConfig) error {
	h := &benchHost{id: filbertlever.HostID(fmt.Sprint("model-", i)), site: fmt.Sprint("site-", i%siteCount), link: links.New(t.scale.HostRate)}
	h.chunkLibrary = weights.NewLibrary(state.NewChunkStore())
	h.chunkLibrary.Add(t.digest, t.manifest, t.encodedManifest)
	h.client = &http.Client{Transport: &http.Transport{DialContext: h.link.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}
	mux := http.NewServeMux()
	bandwidth := distribution.BandwidthLimit{Capacity: t.scale.HostRate, Share: distribution.DefaultBandwidthShare}
	h.inLimiter, h.outLimiter = weights.NewLimiter(bandwidth), weights.NewLimiter(bandwidth)
	server := weights.NewServer(h.chunkLibrary, h.outLimiter)
	server.Routes(mux, func(next http.Handler) http.Handler { return t.corruptResponses(next) })
	mux.HandleFunc("GET /live", serveLive)
	url, err := t.startServer(h.link, mux)
	if err != nil {
		return err
	}
	h.url = url
	sources := &weights.HTTPSources{Peers: &peerResolver{testbed: t, host: h}, Origin: t.originURL, Client: h.client, Pacer: h.inLimiter}
	self := distribution.Peer{ID: h.id, Site: h.site}
	h.fetcher = weights.NewFetcher(config, self, h.chunkLibrary, sources, zap.NewNop())
	t.hosts = append(t.hosts, h)
	t.peers = append(t.peers, self)
	t.byID[h.id] = h
	return nil
}

// peerResolver resolves the addresses of peers for one host.
type peerResolver struct {
	testbed *testbed
	host    *benchHost
}

// Peer returns the HTTP client of this host and the URL of the peer.
func (r *peerResolver) Peer(id filbertlever.HostID) (*http.Client, string, bool) {
	peer, ok := r.testbed.byID[id]
	if !ok {
		return nil, "", false
	}
	if peer.site != r.host.site {
		r.host.crossSiteRequests.Add(1)
	}
	return r.host.client, peer.url, true
}

// startServer starts an HTTP server behind a link and returns its URL.
func (t *testbed) startServer(link *links.Link, handler http.Handler) (string, error) {
	listener, err := link.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	t.servers = append(t.servers, server)
	s := httpServer{server: server, listener: listener}
	go s.run()
	return "http://" + listener.Addr().String(), nil
}

type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() { _ = s.server.Serve(s.listener) }

// serveOrigin serves byte ranges of the model.
func (t *testbed) serveOrigin(out http.ResponseWriter, request *http.Request) {
	var from, to int
	if _, err := fmt.Sscanf(request.Header.Get("Range"), "bytes=%d-%d", &from, &to); err != nil || to >= len(t.data) {
		out.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	out.Header().Set("Content-Length", fmt.Sprint(to-from+1))
	n, _ := out.Write(t.data[from : to+1])
	t.originBytes.Add(int64(n))
}

// serveLive simulates a live request: a short answer after a delay.
func serveLive(out http.ResponseWriter, _ *http.Request) {
	time.Sleep(liveDelay)
	_, _ = out.Write(make([]byte, liveBytes))
}

const (
	liveDelay = 50 * time.Millisecond
	liveBytes = 512
)

// corruptResponses corrupts a share of the responses of a host.
func (t *testbed) corruptResponses(next http.Handler) http.Handler {
	if t.corruptShare == 0 {
		return next
	}
	return http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
		if rand.Float64() < t.corruptShare {
			out = &corruptWriter{ResponseWriter: out}
		}
		next.ServeHTTP(out, request)
	})
}

// corruptWriter flips one bit of the body.
type corruptWriter struct {
	http.ResponseWriter
	corrupted bool
}

// Write writes b and flips a bit of the first block.
func (c *corruptWriter) Write(b []byte) (int, error) {
	if !c.corrupted && len(b) > 0 {
		c.corrupted = true
		b = slices.Clone(b)
		b[0] ^= 1
	}
	return c.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (c *corruptWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// stop stops all servers and links.
func (t *testbed) stop() {
	for _, server := range t.servers {
		_ = server.Close()
	}
	for _, h := range t.hosts {
		h.client.CloseIdleConnections()
		h.link.Cut()
	}
}

// fetchAll fetches on every host. It returns once all hosts that are not expected
// to fail have finished.
func (t *testbed) fetchAll(ctx context.Context, favour bundle.Favour) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var expected, all sync.WaitGroup
	errs := make([]error, len(t.hosts))
	for i, h := range t.hosts {
		if !h.expectFailure {
			expected.Add(1)
		}
		all.Go(func() {
			errs[i] = h.fetcher.Fetch(ctx, t.digest, t.peers, favour)
			h.fetchTime = time.Since(start)
			if !h.expectFailure {
				expected.Done()
			}
		})
	}
	expected.Wait()
	cancel()
	for i, h := range t.hosts {
		if h.expectFailure {
			errs[i] = nil
		}
	}
	return errors.Join(errs...)
}
