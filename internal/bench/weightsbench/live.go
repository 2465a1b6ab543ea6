package weightsbench

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever/internal/bench/links"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Live holds the latencies of live requests, measured without and during a burst
// of weight transfers on the same links.
type Live struct {
	// QuietP95 and BurstP95 are the 95th percentiles in seconds, without and during
	// a burst.
	QuietP95, BurstP95 float64
	// Ratio is BurstP95 divided by QuietP95.
	Ratio float64
	// Last is the fetch time of the slowest host in seconds. Fetches are paced to
	// leave bandwidth for the requests.
	Last float64
	// Requests is the number of requests during the burst.
	Requests int
}

const (
	liveHosts     = 16
	liveInterval  = 20 * time.Millisecond
	quietDuration = time.Second
)

// MeasureLive measures live requests without and during a burst.
func MeasureLive(ctx context.Context, scale Scale) (Live, error) {
	t, err := newTestbed(scale, liveHosts, fetchConfig())
	if err != nil {
		return Live{}, err
	}
	defer t.stop()
	for _, h := range t.hosts {
		h.inLimiter.SetLiveRequests(1)
		h.outLimiter.SetLiveRequests(1)
	}
	caller := &liveCaller{testbed: t, client: &http.Client{Transport: &http.Transport{DialContext: links.New(1 << 30).DialContext, MaxIdleConnsPerHost: 8}}}
	defer caller.client.CloseIdleConnections()
	quietCtx, cancel := context.WithTimeout(ctx, quietDuration)
	caller.run(quietCtx)
	cancel()
	quiet := caller.takeP95()
	burstCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { caller.run(burstCtx) })
	err = t.fetchAll(ctx, bundle.FavourOriginBytes)
	cancel()
	group.Wait()
	requests := len(caller.latencies)
	burst := caller.takeP95()
	return Live{QuietP95: quiet, BurstP95: burst, Ratio: burst / quiet, Last: t.resultRow(StrategyTrees).Last, Requests: requests}, err
}

// liveCaller sends live requests to every host.
type liveCaller struct {
	testbed *testbed
	client  *http.Client

	mu        sync.Mutex
	latencies []time.Duration
}

func (c *liveCaller) run(ctx context.Context) {
	var group sync.WaitGroup
	ticker := time.NewTicker(liveInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
			for k := range 4 {
				h := c.testbed.hosts[(4*i+k)%len(c.testbed.hosts)]
				group.Go(func() { c.sendRequest(h) })
			}
		}
	}
}

func (c *liveCaller) sendRequest(h *benchHost) {
	start := time.Now()
	response, err := c.client.Get(h.url + "/live")
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencies = append(c.latencies, time.Since(start))
}

// takeP95 returns the 95th percentile in seconds and clears the latencies.
func (c *liveCaller) takeP95() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(c.latencies)
	percentile := c.latencies[len(c.latencies)*95/100]
	c.latencies = nil
	return percentile.Seconds()
}
