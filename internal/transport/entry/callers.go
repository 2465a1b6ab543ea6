package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Errors returned to callers.
var (
	errUnknownToken = errors.New("token is not that of an organisation")
	errNoBundle     = errors.New("no bundle in force at this entry yet; try another one")
	errBadRequest   = errors.New("bad request")
)

// Limits of a caller's request.
const (
	maxIDBytes = 256
	maxTokens  = 1 << 16
	maxTimeout = 10 * time.Minute
)

const bearerPrefix = "Bearer "

// authenticate returns the organisation of a token.
//
// A comparison that stops at the first difference would let a caller guess a
// token byte by byte. All digests are therefore compared, each in constant time.
func authenticate(b *bundle.Bundle, header http.Header) (*bundle.Organisation, error) {
	token, ok := strings.CutPrefix(header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return nil, connect.NewError(connect.CodeUnauthenticated, errUnknownToken)
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte("sha256:" + hex.EncodeToString(sum[:]))
	var found *bundle.Organisation
	for i := range b.Organisations {
		for _, stored := range b.Organisations[i].TokenDigests {
			if subtle.ConstantTimeCompare(digest, []byte(stored)) == 1 {
				found = &b.Organisations[i]
			}
		}
	}
	if found == nil {
		return nil, connect.NewError(connect.CodeUnauthenticated, errUnknownToken)
	}
	return found, nil
}

// Locate returns the entry hosts that a caller should use, in order of
// preference.
func (e *Entry) Locate(_ context.Context, request *connect.Request[filbertleverv1.LocateRequest]) (*connect.Response[filbertleverv1.LocateResponse], error) {
	response := &filbertleverv1.LocateResponse{
		Entries: e.entryAddresses(request.Msg.Site),
		Keep:    durationpb.New(e.config.LocateTTL),
	}
	if current := e.node.Current(); current != nil {
		response.BundleVersion = current.Head.Version
	}
	e.node.Read(func(base *knowledge.Base) { response.HostsRevision = base.Members.Revision() })
	return connect.NewResponse(response), nil
}

// entryAddresses returns the entries that callers may use, those at the caller's
// site first. The order within a site differs between calls, so that callers
// spread over the entries.
func (e *Entry) entryAddresses(site string) []*filbertleverv1.EntryAddress {
	hosts := map[filbertlever.HostID]filbertlever.Host{}
	var ids []filbertlever.HostID
	e.node.Read(func(base *knowledge.Base) {
		for _, host := range base.UsableHosts(filbertlever.RoleEntry, time.Now()) {
			if host.ID != e.config.Host.ID {
				hosts[host.ID] = host
				ids = append(ids, host.ID)
			}
		}
	})
	if !e.node.Leaving() {
		hosts[e.config.Host.ID] = e.config.Host
		ids = append(ids, e.config.Host.ID)
	}
	salt := time.Now().Format(time.RFC3339Nano)
	var sameSite, otherSites []*filbertleverv1.EntryAddress
	for _, id := range rollout.Rank(salt, ids) {
		host := hosts[id]
		address := &filbertleverv1.EntryAddress{Host: string(id), Address: host.CallerAddress, Site: host.Site}
		if host.CallerAddress == "" {
			continue
		}
		if host.Site == site {
			sameSite = append(sameSite, address)
		} else {
			otherSites = append(otherSites, address)
		}
	}
	return append(sameSite, otherSites...)
}

// admittedRequest is a caller's request that has passed authentication and the
// concurrency limit. Its release must be called when the request has ended.
type admittedRequest struct {
	organisation *bundle.Organisation
	bundle       *bundle.Bundle
	release      func()
}

// Reasons for which an entry refuses or ends a request.
const (
	reasonStopping         = "this entry is leaving"
	reasonConcurrencyLimit = "organisation has too many requests under way"
	reasonNoHost           = "no backend server has the model live"
	reasonDeadline         = "deadline passed"
)

// concurrencyRetryAfter is the retry delay for an organisation that has reached
// its concurrency limit.
const concurrencyRetryAfter = 100 * time.Millisecond

// admit admits a caller's request or returns a refusal. No part of a refused
// request has run.
func (e *Entry) admit(header http.Header) (*admittedRequest, *filbertleverv1.Final, error) {
	current := e.node.Current()
	if current == nil {
		return nil, nil, connect.NewError(connect.CodeUnavailable, errNoBundle)
	}
	organisation, err := authenticate(current.Bundle, header)
	if err != nil {
		return nil, nil, err
	}
	// The request is counted before the check for a planned stop, so that the
	// stop cannot complete in between.
	e.inFlight.Add(1)
	if !e.node.Accepts() {
		e.inFlight.Add(-1)
		final := refusal(reasonStopping, 0)
		final.Elsewhere = e.entryAddresses(e.config.Host.Site)
		return nil, final, nil
	}
	if !e.perOrganisation.acquire(organisation.Name, organisation.MaxConcurrent) {
		e.inFlight.Add(-1)
		return nil, refusal(reasonConcurrencyLimit, concurrencyRetryAfter), nil
	}
	release := func() {
		e.perOrganisation.release(organisation.Name)
		e.inFlight.Add(-1)
	}
	return &admittedRequest{organisation: organisation, bundle: current.Bundle, release: release}, nil, nil
}

// refusal returns the final outcome of a request that is refused before it runs.
func refusal(reason string, retryAfter time.Duration) *filbertleverv1.Final {
	return &filbertleverv1.Final{
		Outcome:    filbertleverv1.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: durationpb.New(retryAfter),
	}
}

// deadline returns the deadline of a request, based on the caller's timeout or
// else the default.
func (e *Entry) deadline(timeout *durationpb.Duration) time.Time {
	wanted := timeout.AsDuration()
	if wanted <= 0 {
		wanted = e.config.DefaultTimeout
	}
	return time.Now().Add(min(wanted, maxTimeout))
}

// badRequest returns an error for an invalid argument.
func badRequest(problem string) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.Join(errBadRequest, errors.New(problem)))
}

// outcomeCallerLeft is logged for a request whose caller disconnected.
const outcomeCallerLeft = "CallerLeft"

// logOutcome counts and logs the outcome of a request.
func (e *Entry) logOutcome(kind, id string, organisation filbertlever.OrganisationID, outcome, reason string) {
	e.metrics.outcomes.WithLabelValues(kind, outcome).Inc()
	e.log.Info("request ended", zap.String("Kind", kind), zap.String("RequestID", id),
		zap.String("Organisation", string(organisation)), zap.String("Outcome", outcome), zap.String("Reason", reason))
}
