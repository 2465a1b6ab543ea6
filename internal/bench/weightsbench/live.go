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

// Live is the first token times of live requests, quiet and during a burst on
// the same links.
type Live struct {
	QuietP95, BurstP95 float64
	// Ratio is BurstP95 over QuietP95.
	Ratio float64
	// Last is the seconds of the burst's last host, paced under the requests.
	Last float64
	// Requests is how many were measured in the burst.
	Requests int
}

const (
	liveHosts     = 16
	liveInterval  = 20 * time.Millisecond
	quietDuration = time.Second
)

// MeasureLive measures live requests without and with a burst.
func MeasureLive(ctx context.Context, scale Scale) (Live, error) {
	w, err := newTestbed(scale, liveHosts, fetchConfig())
	if err != nil {
		return Live{}, err
	}
	defer w.close()
	for _, h := range w.hosts {
		h.inLimiter.SetLive(1)
		h.outLimiter.SetLive(1)
	}
	caller := &liveCaller{world: w, client: &http.Client{Transport: &http.Transport{DialContext: links.New(1 << 30).DialContext, MaxIdleConnsPerHost: 8}}}
	defer caller.client.CloseIdleConnections()
	quietCtx, cancel := context.WithTimeout(ctx, quietDuration)
	caller.run(quietCtx)
	cancel()
	quiet := caller.takeP95()
	burstCtx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { caller.run(burstCtx) })
	err = w.fetchAll(ctx, bundle.FavourOriginBytes)
	cancel()
	group.Wait()
	requests := len(caller.latencies)
	burst := caller.takeP95()
	return Live{QuietP95: quiet, BurstP95: burst, Ratio: burst / quiet, Last: w.resultRow(StrategyTrees).Last, Requests: requests}, err
}

// liveCaller sends live requests to every host.
type liveCaller struct {
	world  *testbed
	client *http.Client

	mu        sync.Mutex
	latencies []time.Duration
}

func (l *liveCaller) run(ctx context.Context) {
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
				h := l.world.hosts[(4*i+k)%len(l.world.hosts)]
				group.Go(func() { l.sendRequest(h) })
			}
		}
	}
}

func (l *liveCaller) sendRequest(h *benchHost) {
	start := time.Now()
	response, err := l.client.Get(h.url + "/live")
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, time.Since(start))
}

// takeP95 returns the 95th percentile in seconds and forgets the times.
func (l *liveCaller) takeP95() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.latencies)
	at := l.latencies[len(l.latencies)*95/100]
	l.latencies = nil
	return at.Seconds()
}
