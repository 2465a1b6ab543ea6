package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/placement"
	enginev1 "github.com/filbertlever/filbertlever/internal/protocol/engine/v1"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
)

// Reasons for refusals.
const (
	reasonStopping       = "backend server is leaving"
	reasonWeightsNotLive = "weights are not live here"
	reasonEngine         = "engine failed"
	reasonNotReady       = "no bundle in force here"
)

// unavailableRetryAfter is the retry delay for a host on which the weights are not
// live or whose engine failed.
const unavailableRetryAfter = 200 * time.Millisecond

var errWrongWeights = errors.New("engine answered from other weights")

// Run generates an answer on the backend server and streams it to the entry.
func (a *Agent) Run(ctx context.Context, request *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	message := request.Msg
	entry := peer.CallerFromContext(ctx)
	ctx, cancel := context.WithTimeout(ctx, message.Timeout.AsDuration())
	defer cancel()
	if !a.node.Accepts() {
		a.queue.recordRefused(entry)
		return a.refuse(stream, entry, message, reasonStopping, 0)
	}
	weights, ok := a.loader.liveWeights(message)
	if !ok {
		a.queue.recordRefused(entry)
		return a.refuseNotLive(stream, entry, message)
	}
	deadline, _ := ctx.Deadline()
	run, release, refusal := a.queue.admit(ctx, entry, a.queueItem(message, deadline))
	if refusal != nil {
		return a.refuse(stream, entry, message, refusal.Reason, refusal.RetryAfter)
	}
	defer release()
	g := generation{agent: a, entry: entry, message: message, weights: weights, stream: stream, startedAt: time.Now()}
	return g.run(run)
}

// queueItem returns the queue item of a request, with the weight of its
// organisation.
func (a *Agent) queueItem(message *peerv1.RunRequest, deadline time.Time) admission.Item {
	item := admission.Item{
		Organisation: filbertlever.OrganisationID(message.Organisation),
		Priority:     filbertlever.Priority(message.Priority),
		Cost:         float64(message.MaxTokens),
		Deadline:     deadline,
	}
	if current := a.node.Current(); current != nil {
		for _, organisation := range current.Bundle.Organisations {
			if organisation.Name == item.Organisation {
				item.Weight = organisation.Weight
			}
		}
	}
	return item
}

// refuseNotLive refuses a request for weights that are not live. The refusal
// lists the live weights, so that the entry can route correctly before the next
// report.
func (a *Agent) refuseNotLive(stream *connect.ServerStream[peerv1.RunResponse], entry filbertlever.HostID, message *peerv1.RunRequest) error {
	refusal := &peerv1.Refusal{Reason: reasonWeightsNotLive, RetryAfter: durationpb.New(unavailableRetryAfter), NotLive: true}
	live, _ := a.loader.report()
	for _, w := range live {
		refusal.Live = append(refusal.Live, &peerv1.LiveWeights{Model: w.Model, Version: w.Version, Manifest: string(w.Manifest), Base: string(w.Base)})
	}
	a.metrics.requests.WithLabelValues("NotLive").Inc()
	return stream.Send(&peerv1.RunResponse{Attempt: message.Attempt, Refusal: refusal, Load: a.loadFor(entry)})
}

// refuse refuses a request with a reason and a retry delay.
func (a *Agent) refuse(stream *connect.ServerStream[peerv1.RunResponse], entry filbertlever.HostID, message *peerv1.RunRequest, reason string, after time.Duration) error {
	a.metrics.requests.WithLabelValues("Refused").Inc()
	a.log.Info("request refused", zap.String("RequestID", message.RequestId), zap.String("Organisation", message.Organisation),
		zap.String("Reason", reason), zap.Duration("RetryAfter", after))
	return stream.Send(&peerv1.RunResponse{
		Attempt: message.Attempt,
		Refusal: &peerv1.Refusal{Reason: reason, RetryAfter: durationpb.New(after)},
		Load:    a.loadFor(entry),
	})
}

// loadFor returns the current load, with the number of requests received from
// this entry.
func (a *Agent) loadFor(entry filbertlever.HostID) *peerv1.Load {
	load := a.queue.loadFor(entry)
	return &peerv1.Load{
		Sequence:    load.Sequence,
		Running:     uint32(load.Running),
		Queued:      uint32(load.Queued),
		Wait:        durationpb.New(load.Wait),
		Concurrency: uint32(load.Concurrency),
		Incarnation: string(a.node.Incarnation()),
		Seen:        load.ReceivedRequests,
	}
}

// generation is one request that runs on the engine.
type generation struct {
	agent          *Agent
	entry          filbertlever.HostID
	message        *peerv1.RunRequest
	weights        placement.Progress
	stream         *connect.ServerStream[peerv1.RunResponse]
	startedAt      time.Time
	sentFirstToken bool
}

// run forwards the engine's frames to the entry. Cancelling ctx cancels the
// request on the engine.
func (g *generation) run(ctx context.Context) error {
	a := g.agent
	err := g.generate(ctx)
	switch {
	case err == nil:
		a.metrics.requests.WithLabelValues("Answered").Inc()
		return nil
	case errors.Is(context.Cause(ctx), errMoved):
		a.metrics.requests.WithLabelValues("Moved").Inc()
		return connect.NewError(connect.CodeUnavailable, errMoved)
	case ctx.Err() != nil:
		a.metrics.requests.WithLabelValues("Cancelled").Inc()
		return err
	}
	a.metrics.requests.WithLabelValues("Failed").Inc()
	a.queue.recordFailure()
	a.log.Warn("generation failed", zap.String("RequestID", g.message.RequestId), zap.Error(err))
	if !g.sentFirstToken {
		return g.stream.Send(&peerv1.RunResponse{
			Attempt: g.message.Attempt,
			Refusal: &peerv1.Refusal{Reason: reasonEngine, RetryAfter: durationpb.New(unavailableRetryAfter), Started: true},
			Load:    a.loadFor(g.entry),
		})
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// generate starts the request on the engine and forwards frames until the answer
// is complete.
func (g *generation) generate(ctx context.Context) error {
	m := g.message
	frames, err := g.agent.engine.Generate(ctx, connect.NewRequest(&enginev1.GenerateRequest{
		RequestId:     m.RequestId,
		Model:         g.weights.Weights.Model,
		VersionDigest: string(g.weights.Digest),
		Prompt:        m.Prompt,
		Delivered:     m.Delivered,
		MaxTokens:     m.MaxTokens,
		Priority:      m.Priority,
		// A prompt cache shared between organisations would reveal through
		// its latency what another organisation has asked.
		CacheScope: m.Organisation,
	}))
	if err != nil {
		return fmt.Errorf("generate at engine: %w", err)
	}
	defer frames.Close()
	for frames.Receive() {
		done, err := g.forward(frames.Msg())
		if done || err != nil {
			return err
		}
	}
	if err := frames.Err(); err != nil {
		return fmt.Errorf("generate at engine: %w", err)
	}
	return errors.New("engine ended the stream before the answer was whole")
}

// forward sends one frame of the engine to the entry.
//
// A command of a stale lease holder or a restart of the engine may replace the
// weights while an answer is generated. Frames from other weights than those
// requested are not forwarded, and the attempt fails.
func (g *generation) forward(frame *enginev1.GenerateResponse) (done bool, err error) {
	if frame.VersionDigest != string(g.weights.Digest) {
		return false, fmt.Errorf("frame at %d from %s: %w", frame.Offset, frame.VersionDigest, errWrongWeights)
	}
	response := &peerv1.RunResponse{
		Attempt:       g.message.Attempt,
		Offset:        frame.Offset,
		Pieces:        frame.Pieces,
		VersionDigest: g.message.VersionDigest,
		Done:          frame.Done,
	}
	if !g.sentFirstToken && len(frame.Pieces) > 0 {
		g.sentFirstToken = true
		g.agent.queue.recordFirstToken(time.Since(g.startedAt))
		response.Load = g.agent.loadFor(g.entry)
	}
	if frame.Done {
		response.Load = g.agent.loadFor(g.entry)
		if response.Load.Running > 0 {
			// This request still counts as running, but ends with this frame.
			response.Load.Running--
		}
	}
	if err := g.stream.Send(response); err != nil {
		return false, fmt.Errorf("send to %s: %w", g.entry, err)
	}
	return frame.Done, nil
}
