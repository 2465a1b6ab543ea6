package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	servicev1 "github.com/filbertlever/filbertlever/internal/protocol/service/v1"
	"github.com/filbertlever/filbertlever/internal/protocol/service/v1/servicev1connect"
)

// Service is a stand-in for a plain service. It counts the runs of each order.
type Service struct {
	// CallDuration is the duration of a call.
	CallDuration time.Duration

	mu        sync.Mutex
	runCounts map[string]int
}

// NewService returns a service whose calls take the given time.
func NewService(callDuration time.Duration) *Service {
	return &Service{CallDuration: callDuration, runCounts: map[string]int{}}
}

// Call runs a call. It ignores cancellation, like a service that does not
// notice that its caller left.
func (s *Service) Call(_ context.Context, request *connect.Request[servicev1.CallRequest]) (*connect.Response[servicev1.CallResponse], error) {
	message := request.Msg
	s.mu.Lock()
	s.runCounts[message.Organisation+"/"+message.OrderKey]++
	run := s.runCounts[message.Organisation+"/"+message.OrderKey]
	s.mu.Unlock()
	time.Sleep(s.CallDuration)
	answer := fmt.Sprintf("%s of %s: %s (run %d)", message.Call, message.Organisation, message.Body, run)
	return connect.NewResponse(&servicev1.CallResponse{Answer: []byte(answer)}), nil
}

// Runs returns the number of runs of an order.
func (s *Service) Runs(organisation, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[organisation+"/"+key]
}

// Handler returns the handler of the service API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := servicev1connect.NewPlainServiceHandler(s)
	mux.Handle(path, handler)
	return mux
}

// AdminHandler returns the handler that reports the run counts.
func (s *Service) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.runCounts)
	})
	return mux
}
