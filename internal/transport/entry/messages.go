package entry

import (
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/transport/inbound"
	"github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1/filbertleverv1connect"
)

const (
	// maxLocateBytes is the maximum size of a message that needs no token.
	maxLocateBytes = 4 << 10
	// noMemoryRetryAfter is when a caller should return whose message did not fit into the memory, in
	// seconds.
	noMemoryRetryAfter = "0.5"
)

// allowMessage returns what message a request may carry. A caller without a token gets its error before its
// message is read.
func (e *Entry) allowMessage(r *http.Request) (inbound.Allowance, error) {
	if r.URL.Path == filbertleverv1connect.CallerServiceLocateProcedure {
		return inbound.Allowance{Group: inbound.CallerGroup(r), Bytes: maxLocateBytes}, nil
	}
	current := e.node.Current()
	if current == nil {
		return inbound.Allowance{}, connect.NewError(connect.CodeUnavailable, errNoBundle)
	}
	organisation, err := authenticate(current.Bundle, r.Header)
	if err != nil {
		return inbound.Allowance{}, err
	}
	return inbound.Allowance{Group: intake.Group(organisation.Name), Bytes: maxMessageBytes}, nil
}

// refuseMessage responds to a request whose message was not read. Nothing of it has run.
func refuseMessage(w http.ResponseWriter, r *http.Request, err error) {
	var refusal *connect.Error
	switch {
	case errors.As(err, &refusal):
	case errors.Is(err, inbound.ErrTooLarge):
		refusal = connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, inbound.ErrNoMemory):
		refusal = connect.NewError(connect.CodeResourceExhausted, err)
		refusal.Meta().Set("Retry-After", noMemoryRetryAfter)
	default:
		refusal = connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	// An error means that the caller is gone.
	_ = connect.NewErrorWriter().Write(w, r, refusal)
}
