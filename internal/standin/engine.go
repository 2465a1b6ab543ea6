package standin

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/lease"
	enginev1 "github.com/filbertlever/filbertlever/internal/protocol/engine/v1"
	"github.com/filbertlever/filbertlever/internal/protocol/engine/v1/enginev1connect"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	// ChecksFencing makes the engine reject load orders with a stale fencing token.
	ChecksFencing bool
	// Slots is the number of requests that run concurrently. Further requests queue.
	Slots int
	// PrefillTime is the time to the first token, and TokenTime the time between two tokens.
	PrefillTime time.Duration
	TokenTime   time.Duration
	// CachedPrompts is the capacity of the prefix cache, in prompts. A request
	// with a cached prefix takes a fifth of the prefill time.
	CachedPrompts int
	// Client fetches weights. Nil means http.DefaultClient.
	Client *http.Client
}

// EngineFaults holds the faults that are injected into an engine.
type EngineFaults struct {
	// RefuseLoads is the number of load orders that the engine rejects.
	RefuseLoads int
	// StallAfter is the number of tokens after which each answer stalls. 0 disables it.
	StallAfter int
	// FailShare is the share of requests that fail immediately.
	FailShare float64
	// SwitchAfter is the number of tokens after which an answer continues
	// with other weights. 0 disables it.
	SwitchAfter int
	// Slowdown multiplies all processing times. Values below 1 count as 1.
	Slowdown float64
}

// Engine is a stand-in for a model engine. Each token depends only on the
// weights, the prompt and the position, so a test can verify which weights
// produced an answer.
type Engine struct {
	config EngineConfig
	slots  chan struct{}

	mu      sync.Mutex
	fencing lease.FenceChecker
	loaded  map[string]*enginev1.LoadedWeights
	faults  EngineFaults
	// runningCount is the number of requests that run now. cancelledCount and
	// loadCount are totals.
	runningCount, cancelledCount, loadCount int
	// generateCalls counts the calls of Generate, and prefixHits those with a cached prefix.
	generateCalls, prefixHits int
	// prefixes are the cached prefixes, least recently used first.
	prefixes []string
}

// NewEngine returns an engine without loaded weights.
func NewEngine(config EngineConfig) *Engine {
	if config.Client == nil {
		config.Client = http.DefaultClient
	}
	return &Engine{config: config, slots: make(chan struct{}, max(config.Slots, 1)), loaded: map[string]*enginev1.LoadedWeights{}}
}

// AnswerToken returns token i of the answer to a prompt by the given weights.
func AnswerToken(weights filbertlever.Digest, prompt string, i int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%d", weights, prompt, i))
	return fmt.Sprintf("%x ", sum[:3])
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Counts returns the number of running requests, cancelled requests and
// completed loads.
func (e *Engine) Counts() (running, cancelled, loads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runningCount, e.cancelledCount, e.loadCount
}

// Handler returns the handler of the engine API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := enginev1connect.NewEngineServiceHandler(e, connect.WithCompressMinBytes(1<<20))
	mux.Handle(path, handler)
	return mux
}

// AdminHandler returns the handler that sets the injected faults.
func (e *Engine) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, request *http.Request) {
		var faults EngineFaults
		if decodeJSON(w, request, &faults) {
			e.SetFaults(faults)
		}
	})
	return mux
}

// Generate streams the tokens of an answer.
func (e *Engine) Generate(ctx context.Context, request *connect.Request[enginev1.GenerateRequest], stream *connect.ServerStream[enginev1.GenerateResponse]) error {
	message := request.Msg
	e.mu.Lock()
	_, ok := e.loaded[message.VersionDigest]
	faults := e.faults
	stallAfter := faults.StallAfter
	e.generateCalls++
	e.mu.Unlock()
	if faults.FailShare > 0 && rand.Float64() < faults.FailShare {
		return connect.NewError(connect.CodeUnavailable, errors.New("engine is browned out"))
	}
	if !ok {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("weights are not loaded"))
	}
	if err := e.acquireSlot(ctx); err != nil {
		return err
	}
	defer e.releaseSlot(ctx)
	slowdown := max(faults.Slowdown, 1)
	delay := time.Duration(slowdown * float64(e.prefillTime(message)))
	start := len(message.Delivered)
	for i := start; i <= int(message.MaxTokens); i++ {
		if err := sleep(ctx, delay); err != nil {
			return err
		}
		delay = time.Duration(slowdown * float64(e.config.TokenTime))
		if stallAfter > 0 && i-start >= stallAfter {
			<-ctx.Done()
			return ctx.Err()
		}
		response := e.responseAt(message, i)
		if faults.SwitchAfter > 0 && i-start >= faults.SwitchAfter {
			response.VersionDigest = string(filbertlever.DigestOf([]byte("other weights")))
			response.Pieces = []string{"other "}
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
	return nil
}

// cachePrefixBytes is the length of the prompt prefix that is the cache key.
const cachePrefixBytes = 1024

// cachedPrefillDivisor divides the prefill time of a prompt with a cached prefix.
const cachedPrefillDivisor = 5

// prefillTime returns the time to the first token and adds the prefix to the cache.
func (e *Engine) prefillTime(message *enginev1.GenerateRequest) time.Duration {
	if e.config.CachedPrompts == 0 {
		return e.config.PrefillTime
	}
	prefix := message.CacheScope + "\x00" + message.Prompt[:min(cachePrefixBytes, len(message.Prompt))]
	e.mu.Lock()
	defer e.mu.Unlock()
	index := slices.Index(e.prefixes, prefix)
	if index >= 0 {
		e.prefixHits++
		e.prefixes = append(slices.Delete(e.prefixes, index, index+1), prefix)
		return e.config.PrefillTime / cachedPrefillDivisor
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > e.config.CachedPrompts {
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	return e.config.PrefillTime
}

// GenerateCounts returns the number of calls of Generate and how many of them
// had a cached prefix.
func (e *Engine) GenerateCounts() (generates, hits int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generateCalls, e.prefixHits
}

func (e *Engine) responseAt(message *enginev1.GenerateRequest, i int) *enginev1.GenerateResponse {
	if i >= int(message.MaxTokens) {
		return &enginev1.GenerateResponse{Offset: uint32(i), VersionDigest: message.VersionDigest, Done: true}
	}
	token := AnswerToken(filbertlever.Digest(message.VersionDigest), message.Prompt, i)
	return &enginev1.GenerateResponse{Offset: uint32(i), Pieces: []string{token}, VersionDigest: message.VersionDigest}
}

func (e *Engine) acquireSlot(ctx context.Context) error {
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	e.mu.Lock()
	e.runningCount++
	e.mu.Unlock()
	return nil
}

func (e *Engine) releaseSlot(ctx context.Context) {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningCount--
	if ctx.Err() != nil {
		e.cancelledCount++
	}
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Load fetches weights and replaces the loaded weights of the same model.
func (e *Engine) Load(ctx context.Context, request *connect.Request[enginev1.LoadRequest]) (*connect.Response[enginev1.LoadResponse], error) {
	message := request.Msg
	if err := e.checkLoad(message); err != nil {
		return nil, err
	}
	sum, err := e.digest(ctx, message.Url)
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && !e.fencing.Admit(message.Fence) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("fencing number is old"))
	}
	for old, weights := range e.loaded {
		if weights.Model == message.Model {
			delete(e.loaded, old)
		}
	}
	e.loadCount++
	e.loaded[string(sum)] = &enginev1.LoadedWeights{Kind: message.Kind, Model: message.Model, Version: message.Version, Digest: string(sum)}
	return connect.NewResponse(&enginev1.LoadResponse{AttestedDigest: string(sum)}), nil
}

func (e *Engine) checkLoad(message *enginev1.LoadRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && !e.fencing.Admit(message.Fence) {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("fencing number is old"))
	}
	if e.faults.RefuseLoads > 0 {
		e.faults.RefuseLoads--
		return connect.NewError(connect.CodeResourceExhausted, errors.New("out of memory"))
	}
	return nil
}

func (e *Engine) digest(ctx context.Context, url string) (filbertlever.Digest, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := e.config.Client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("fetch weights from %s: status %s", url, response.Status)
	}
	var sum hash.Hash = sha256.New()
	if _, err := io.Copy(sum, response.Body); err != nil {
		return "", err
	}
	return filbertlever.NewDigest(sum.Sum(nil)), nil
}

// Status reports the loaded weights and the number of running requests.
func (e *Engine) Status(context.Context, *connect.Request[enginev1.StatusRequest]) (*connect.Response[enginev1.StatusResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := &enginev1.StatusResponse{Running: uint32(e.runningCount), HighestFence: e.fencing.Highest()}
	for _, weights := range e.loaded {
		response.Loaded = append(response.Loaded, weights)
	}
	return connect.NewResponse(response), nil
}

// HasLoaded reports whether a version of a model or adapter is loaded.
func (e *Engine) HasLoaded(model, version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, weights := range e.loaded {
		if weights.Model == model && weights.Version == version {
			return true
		}
	}
	return false
}

// Versions returns the versions of the loaded models.
func (e *Engine) Versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var versions []string
	for _, weights := range e.loaded {
		if weights.Kind == enginev1.WeightsKind_WEIGHTS_KIND_MODEL {
			versions = append(versions, weights.Version)
		}
	}
	return versions
}
