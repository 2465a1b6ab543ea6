package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// Errors that determine the exit code of a command.
var (
	// ErrConflict means that a concurrent change by somebody else took effect
	// instead.
	ErrConflict = errors.New("conflict")
	// ErrNotRun means that nothing was changed.
	ErrNotRun = errors.New("not run")
	// ErrUnknown means that a change may have taken effect. Running the same
	// command again resolves it.
	ErrUnknown = errors.New("outcome unknown; run the same command again")
)

// Platform is the access to the platform that operator commands need.
type Platform interface {
	Get(ctx context.Context, keys ...string) ([]platform.Row, error)
	List(ctx context.Context, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, writes ...platform.Write) (bool, []uint64, []platform.Row, error)
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// ReadHead returns the accepted head. Its version is 0 if no bundle was
// accepted yet.
func ReadHead(ctx context.Context, client Platform) (state.Head, error) {
	rows, err := client.Get(ctx, platform.KeyHead)
	if err != nil {
		return state.Head{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	var head state.Head
	return head, rows[0].Decode(&head)
}

// ReadBundle returns the accepted bundle and its head. The bundle is nil if
// none was accepted yet.
func ReadBundle(ctx context.Context, client Platform) (*bundle.Signed, state.Head, error) {
	head, err := ReadHead(ctx, client)
	if err != nil || head.Version == 0 {
		return nil, head, err
	}
	data, err := client.GetObject(ctx, head.Object)
	if err != nil {
		return nil, head, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	signed, err := bundle.DecodeSigned(data)
	return signed, head, err
}

// History returns the accepted heads, oldest first.
func History(ctx context.Context, client Platform) ([]state.Head, error) {
	rows, err := client.List(ctx, platform.PrefixHistory)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	var heads []state.Head
	for _, row := range rows {
		var head state.Head
		if err := row.Decode(&head); err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	slices.SortFunc(heads, func(a, b state.Head) int { return int(a.Version) - int(b.Version) })
	return heads, nil
}

// Roll makes a signed bundle the accepted one. It is idempotent: running it
// again with the same bundle resolves an unknown outcome.
func Roll(ctx context.Context, client Platform, signed *bundle.Signed, operators bundle.Operators, signOffs int) (state.Head, error) {
	b, err := signed.Verify(operators, signOffs)
	if err != nil {
		return state.Head{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if err := checkManifests(ctx, client, b); err != nil {
		return state.Head{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	data, err := signed.Encode()
	if err != nil {
		return state.Head{}, err
	}
	var id [8]byte
	_, _ = rand.Read(id[:])
	head := state.Head{Version: b.Version, Digest: signed.Digest(), Parent: b.Parent.Digest, RollID: hex.EncodeToString(id[:])}
	head.Object = platform.KeyBundle(head, data)
	r := rollExecutor{client: client, head: head, data: data, roll: rollout.New(head)}
	return head, r.run(ctx)
}

// checkManifests checks that the platform stores every manifest that the bundle
// refers to.
func checkManifests(ctx context.Context, client Platform, b *bundle.Bundle) error {
	var digests []filbertlever.Digest
	for _, model := range b.Models {
		digests = append(digests, model.Manifest)
		for _, adapter := range model.Adapters {
			digests = append(digests, adapter.Manifest)
		}
	}
	for _, digest := range digests {
		data, err := client.GetObject(ctx, platform.KeyManifest(digest))
		if err != nil {
			return fmt.Errorf("manifest %s is not stored: %w", digest.Short(), err)
		}
		if _, err := bundle.DecodeManifest(data, digest); err != nil {
			return err
		}
	}
	return nil
}

// rollExecutor executes the actions that a rollout.Roll decides on.
type rollExecutor struct {
	client Platform
	head   state.Head
	data   []byte
	roll   *rollout.Roll
}

func (r *rollExecutor) run(ctx context.Context) error {
	action := r.roll.Start()
	for action.Kind != rollout.ActionFinish {
		time.Sleep(action.Wait)
		action = r.execute(ctx, action)
	}
	result := action.Result
	switch result.Outcome {
	case rollout.OutcomeAccepted:
		return nil
	case rollout.OutcomeConflict:
		return fmt.Errorf("%w: bundle %d %s was accepted instead of this one", ErrConflict, result.Head.Version, result.Head.Digest.Short())
	case rollout.OutcomeNotAccepted:
		return fmt.Errorf("%w: %w", ErrNotRun, result.Err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, result.Err)
}

func (r *rollExecutor) execute(ctx context.Context, action rollout.Action) rollout.Action {
	history := platform.KeyHistory(r.head.Version)
	switch action.Kind {
	case rollout.ActionRead:
		read, err := r.read(ctx, history)
		return r.roll.Read(read, err)
	case rollout.ActionPut:
		return r.roll.Put(r.client.PutObject(ctx, r.head.Object, r.data))
	default:
		applied, _, _, err := r.client.Commit(ctx,
			platform.Write{Key: platform.KeyHead, Value: r.head, ExpectedRevision: action.Revision},
			platform.Write{Key: history, Value: r.head})
		return r.roll.Swapped(applied, err)
	}
}

func (r *rollExecutor) read(ctx context.Context, history string) (rollout.HeadRead, error) {
	rows, err := r.client.Get(ctx, platform.KeyHead, history)
	if err != nil {
		return rollout.HeadRead{}, err
	}
	read := rollout.HeadRead{Revision: rows[0].Revision}
	return read, errors.Join(rows[0].Decode(&read.Head), rows[1].Decode(&read.Recorded))
}

// StoreManifest stores a manifest on the platform and returns its digest.
func StoreManifest(ctx context.Context, client Platform, manifest *bundle.Manifest) (filbertlever.Digest, error) {
	data, err := manifest.Encode()
	if err != nil {
		return "", err
	}
	digest := filbertlever.DigestOf(data)
	if err := client.PutObject(ctx, platform.KeyManifest(digest), data); err != nil {
		return "", fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return digest, nil
}

// maxStopAttempts bounds the attempts of PlanStop while other operators change
// the planned stops at the same time.
const maxStopAttempts = 5

// PlanStop plans the stop of a host, or cancels the planned stop if undo is
// true.
func PlanStop(ctx context.Context, client Platform, host filbertlever.HostID, undo bool) error {
	for range maxStopAttempts {
		rows, err := client.Get(ctx, platform.KeyStops)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		var stops control.Stops
		if err := rows[0].Decode(&stops); err != nil {
			return err
		}
		planned := slices.ContainsFunc(stops.Stops, func(s knowledge.Stop) bool { return s.Host == host })
		if planned != undo {
			return nil
		}
		stops.Stops = slices.DeleteFunc(stops.Stops, func(s knowledge.Stop) bool { return s.Host == host })
		if !undo {
			stops.Stops = append(stops.Stops, knowledge.Stop{Host: host, From: time.Now().UTC()})
		}
		applied, _, _, err := client.Commit(ctx, platform.Write{Key: platform.KeyStops, Value: stops, ExpectedRevision: rows[0].Revision})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		if applied {
			return nil
		}
	}
	return fmt.Errorf("%w: planned stops changed %d times in a row", ErrConflict, maxStopAttempts)
}
