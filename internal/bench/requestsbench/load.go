// Package requestsbench measures the latency and goodput of requests through
// real entries and agents under load and faults.
package requestsbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/bench/cluster"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
	"github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1/filbertleverv1connect"
)

// Load is an open-loop stream of requests from one organisation.
type Load struct {
	Organisation filbertlever.OrganisationID
	// PerSecond is the mean rate of Poisson arrivals.
	PerSecond float64
	Duration  time.Duration
	// Deadline is the time limit of each request.
	Deadline time.Duration
	// Tokens is the length of each answer.
	Tokens int
	// Prompts is the number of distinct prompts.
	Prompts int
	Seed    uint64
}

// Outcome summarises the results of a load's requests.
type Outcome struct {
	Offered, Answered, NotRun, Incomplete, Failed int
	// P50, P95 and P99 are the time to the first token of answered requests, in
	// milliseconds.
	P50, P95, P99 float64
	// Goodput is the number of answers per second within the deadline.
	Goodput float64
	// RefusedP95 is the time until a refusal, in milliseconds.
	RefusedP95 float64
}

// sample is the result of one request.
type sample struct {
	outcome    filbertleverv1.Outcome
	firstToken time.Duration
	duration   time.Duration
	failed     bool
}

// callers sends requests to the entries of a cluster.
type callers struct {
	clients []filbertleverv1connect.CallerServiceClient
	http    *http.Client
}

func newCallers(c *cluster.Cluster) *callers {
	transport := &http.Transport{TLSClientConfig: c.TLS, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 256}
	out := &callers{http: &http.Client{Transport: transport}}
	for _, address := range c.Callers {
		out.clients = append(out.clients, filbertleverv1connect.NewCallerServiceClient(out.http, "https://"+address))
	}
	return out
}

// offerLoad sends the requests of a load and waits until all have ended.
func (c *callers) offerLoad(ctx context.Context, load Load) Outcome {
	rng := rand.New(rand.NewPCG(load.Seed, 7))
	var mu sync.Mutex
	var samples []sample
	var group sync.WaitGroup
	next := time.Now()
	end := next.Add(load.Duration)
	for i := 0; ctx.Err() == nil; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / load.PerSecond * float64(time.Second)))
		if next.After(end) {
			break
		}
		time.Sleep(time.Until(next))
		client := c.clients[rng.IntN(len(c.clients))]
		prompt := promptText(load, rng.IntN(load.Prompts))
		id := fmt.Sprint(load.Organisation, "-", i)
		group.Go(func() {
			s := sendRequest(ctx, client, load, id, prompt)
			mu.Lock()
			samples = append(samples, s)
			mu.Unlock()
		})
	}
	group.Wait()
	return summarize(samples, load)
}

const promptBytes = 2048

// promptText returns prompt n of a load, padded to promptBytes.
func promptText(load Load, n int) string {
	head := fmt.Sprintf("%s clause %d ", load.Organisation, n)
	return head + strings.Repeat("x", promptBytes-len(head))
}

// sendRequest sends one request and reads the answer to its end.
func sendRequest(ctx context.Context, client filbertleverv1connect.CallerServiceClient, load Load, id, prompt string) sample {
	ctx, cancel := context.WithTimeout(ctx, load.Deadline+time.Second)
	defer cancel()
	request := connect.NewRequest(&filbertleverv1.AskRequest{
		RequestId: id, Model: cluster.Model, Prompt: prompt, MaxTokens: uint32(load.Tokens), Timeout: durationpb.New(load.Deadline),
	})
	request.Header().Set("Authorization", "Bearer "+string(load.Organisation))
	start := time.Now()
	events, err := client.Ask(ctx, request)
	if err != nil {
		return sample{failed: true}
	}
	defer events.Close()
	s := sample{failed: true}
	for events.Receive() {
		if events.Msg().GetTokens() != nil && s.firstToken == 0 {
			s.firstToken = time.Since(start)
		}
		if final := events.Msg().GetFinal(); final != nil {
			s.outcome = final.Outcome
			s.failed = false
		}
	}
	s.duration = time.Since(start)
	return s
}

// summarize computes the outcome of a load from its samples.
func summarize(samples []sample, load Load) Outcome {
	out := Outcome{Offered: len(samples)}
	var firsts, refused []time.Duration
	good := 0
	for _, s := range samples {
		switch {
		case s.failed:
			out.Failed++
		case s.outcome == filbertleverv1.Outcome_OUTCOME_ANSWERED:
			out.Answered++
			firsts = append(firsts, s.firstToken)
			if s.duration <= load.Deadline {
				good++
			}
		case s.outcome == filbertleverv1.Outcome_OUTCOME_NOT_RUN:
			out.NotRun++
			refused = append(refused, s.duration)
		default:
			out.Incomplete++
		}
	}
	out.P50, out.P95, out.P99 = percentile(firsts, 50), percentile(firsts, 95), percentile(firsts, 99)
	out.RefusedP95 = percentile(refused, 95)
	out.Goodput = float64(good) / load.Duration.Seconds()
	return out
}

// percentile returns a percentile in milliseconds. It sorts its argument.
func percentile(durations []time.Duration, p int) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[min(len(durations)*p/100, len(durations)-1)].Microseconds()) / 1000
}
