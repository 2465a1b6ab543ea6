package requestsbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/bench/cluster"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	enginev1 "github.com/filbertlever/filbertlever/internal/protocol/engine/v1"
	"github.com/filbertlever/filbertlever/internal/protocol/engine/v1/enginev1connect"
	"github.com/filbertlever/filbertlever/internal/standin"
)

// Decision holds the cost of one routing decision.
type Decision struct {
	// Micros is the time in microseconds, keyed by the number of hosts.
	Micros map[int]float64
	// Allocations is the largest number of allocations for any number of hosts.
	Allocations float64
}

// MeasureDecision measures routing decisions without network or engines.
func MeasureDecision() Decision {
	d := Decision{Micros: map[int]float64{}}
	for _, hosts := range []int{16, 256, 2700} {
		r := routing.New(routing.DefaultConfig(), "site", "region", rand.New(rand.NewPCG(1, 1)))
		for i := range hosts {
			id := filbertlever.HostID(fmt.Sprint("model-", i))
			r.SetHost(filbertlever.Host{ID: id, Site: "site", Region: "region"}, true)
			r.SetTargets(id, []routing.Target{"drafter"})
			r.Report(id, routing.Load{Sequence: 1, Concurrency: 8, Incarnation: "life"})
		}
		request := &routing.Request{Target: "drafter", PromptTokens: 500}
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				request.Prefix++
				r.Choose(request)
			}
		})
		d.Micros[hosts] = float64(result.NsPerOp()) / 1000
		d.Allocations = max(d.Allocations, float64(result.AllocsPerOp()))
	}
	return d
}

// Overhead is the cost that entry and agent add to a direct call of the engine.
type Overhead struct {
	// P50Micros and P99Micros are the added latency in microseconds, with
	// sequential requests.
	P50Micros, P99Micros float64
	// CPUMicros is the added CPU time of a request in microseconds, with
	// concurrent requests. It covers the caller's TLS, the entry and the agent.
	CPUMicros float64
	// PerCore is the number of requests per second that entry and agent can
	// process on one core.
	PerCore float64
}

const (
	sequentialCalls = 1500
	parallelCallers = 64
	parallelCalls   = 12000
)

// MeasureOverhead compares requests through entry and agent with direct calls of
// the engine.
func MeasureOverhead(ctx context.Context) (Overhead, error) {
	c, stop, err := cluster.New(ctx, cluster.Config{
		Entries: 1, Agents: 1, Concurrency: 256, Queue: 1024, Routing: routing.DefaultConfig(),
		Engine:        standin.EngineConfig{ChecksFencing: true, Slots: 256},
		Organisations: []filbertlever.OrganisationID{largeOrganisation},
	})
	if err != nil {
		return Overhead{}, err
	}
	defer stop()
	callers := newCallers(c)
	defer callers.http.CloseIdleConnections()
	load := Load{Organisation: largeOrganisation, Deadline: requestDeadline, Tokens: 1, Prompts: 1}
	viaEntry := func() error {
		if s := sendRequest(ctx, callers.clients[0], load, "overhead", "hello"); s.failed {
			return fmt.Errorf("request through entry %s failed", c.Callers[0])
		}
		return nil
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * parallelCallers}}
	defer client.CloseIdleConnections()
	engine := enginev1connect.NewEngineServiceClient(client, c.EngineURLs[0])
	direct := func() error { return generate(ctx, engine, c.Digest) }
	entryLatencies, err := measureLatencies(viaEntry)
	if err != nil {
		return Overhead{}, err
	}
	directLatencies, err := measureLatencies(direct)
	if err != nil {
		return Overhead{}, err
	}
	entryCPU, err := cpuMicrosPerCall(viaEntry)
	if err != nil {
		return Overhead{}, err
	}
	directCPU, err := cpuMicrosPerCall(direct)
	if err != nil {
		return Overhead{}, err
	}
	o := Overhead{
		P50Micros: 1000 * (percentile(entryLatencies, 50) - percentile(directLatencies, 50)),
		P99Micros: 1000 * (percentile(entryLatencies, 99) - percentile(directLatencies, 99)),
		CPUMicros: entryCPU - directCPU,
	}
	o.PerCore = 1e6 / o.CPUMicros
	return o, nil
}

// generate sends a request directly to an engine and reads the whole answer.
func generate(ctx context.Context, engine enginev1connect.EngineServiceClient, digest filbertlever.Digest) error {
	frames, err := engine.Generate(ctx, connect.NewRequest(&enginev1.GenerateRequest{Model: cluster.Model, VersionDigest: string(digest), Prompt: "hello", MaxTokens: 1}))
	if err != nil {
		return err
	}
	defer frames.Close()
	for frames.Receive() {
		continue
	}
	return frames.Err()
}

// measureLatencies runs sequential calls and returns their sorted latencies.
func measureLatencies(call func() error) ([]time.Duration, error) {
	var latencies []time.Duration
	for range sequentialCalls {
		start := time.Now()
		if err := call(); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	return latencies, nil
}

// cpuMicrosPerCall runs concurrent calls and returns the CPU time of a call in
// microseconds.
func cpuMicrosPerCall(call func() error) (float64, error) {
	before := cpuTime()
	var group sync.WaitGroup
	errs := make([]error, parallelCallers)
	for i := range parallelCallers {
		group.Go(func() {
			for range parallelCalls / parallelCallers {
				if err := call(); err != nil {
					errs[i] = err
					return
				}
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, err
		}
	}
	return float64((cpuTime() - before).Microseconds()) / parallelCalls, nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}
