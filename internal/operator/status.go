package operator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/placement"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// statusTimeout bounds each status query and the notification of all entries.
const statusTimeout = 2 * time.Second

// seedAddresses looks up the addresses of the entries in Seeds.
type seedAddresses []settings.Seed

// PeerAddress returns the address of a seed.
func (s seedAddresses) PeerAddress(host filbertlever.HostID) (string, bool) {
	for _, seed := range s {
		if seed.Host == host {
			return seed.PeerAddress, true
		}
	}
	return "", false
}

// rejectCalls refuses incoming calls, as operators serve none.
type rejectCalls struct{}

// Handle rejects every call.
func (rejectCalls) Handle(context.Context, peer.Caller, string, []byte) (any, error) {
	return nil, errors.New("operators answer no calls")
}

// ReadStatus queries the entries in Seeds in order and returns the first status
// that it gets.
func ReadStatus(ctx context.Context, s *settings.Settings) (*control.Status, error) {
	return ReadStatusOver(ctx, s, network.TCP{DialTimeout: peer.DialTimeout})
}

// ReadStatusOver is ReadStatus over the given network.
func ReadStatusOver(ctx context.Context, s *settings.Settings, net network.Network) (*control.Status, error) {
	connections, closeAll, err := connect(s, net)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	failures := []error{fmt.Errorf("%w: no entry in Seeds answered", ErrNotRun)}
	for _, seed := range s.Seeds {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		var status control.Status
		err := connections.Call(callCtx, seed.Host, control.MethodStatus, struct{}{}, &status)
		cancel()
		if err == nil {
			return &status, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// connect returns a control connection with the keys of the settings and a
// function that closes it.
func connect(s *settings.Settings, net network.Network) (*peer.Control, func(), error) {
	keys, err := peer.LoadKeys(peer.Files{Authority: s.TLS.Authority, Certificate: s.TLS.Certificate, Key: s.TLS.Key})
	if err != nil {
		return nil, nil, err
	}
	clients, closeClients := peer.NewClients(keys, net)
	connections, closeControl := peer.NewControl(clients, seedAddresses(s.Seeds), rejectCalls{}, zap.NewNop())
	closeAll := func() {
		closeControl()
		closeClients()
	}
	return connections, closeAll, nil
}

// Announce notifies the entries in Seeds of an accepted bundle and returns how
// many confirmed it. The others read the head from the platform or from each
// other.
func Announce(ctx context.Context, s *settings.Settings, net network.Network, head state.Head, signed *bundle.Signed) (int, error) {
	data, err := signed.Encode()
	if err != nil {
		return 0, err
	}
	connections, closeAll, err := connect(s, net)
	if err != nil {
		return 0, err
	}
	defer closeAll()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var confirmed atomic.Int64
	var group sync.WaitGroup
	for _, seed := range s.Seeds {
		group.Go(func() {
			if connections.Call(ctx, seed.Host, control.MethodAccepted, control.Accepted{Head: head, Signed: data}, nil) == nil {
				confirmed.Add(1)
			}
		})
	}
	group.Wait()
	return int(confirmed.Load()), nil
}

// Summary is the rollout progress of the accepted bundle.
type Summary struct {
	Version uint64
	// Active is the number of agents, of Hosts usable ones, that use the bundle.
	Active, Hosts int
	// Live is the number of sets of weights that are live, of Required sets over
	// all usable hosts.
	Live, Required int
	// Failed is the number of sets of weights that wait for a retry.
	Failed int
	// Origin, Store and Peer are the bytes that all hosts fetched from each
	// source.
	Origin, Store, Peer int64
}

// Done reports whether the bundle is active on every usable agent and all its
// weights are live.
func (s Summary) Done() bool { return s.Active == s.Hosts && s.Live == s.Required }

// Summarize aggregates the status of all hosts.
func Summarize(status *control.Status) Summary {
	summary := Summary{Version: status.Head.Version}
	for _, host := range status.Hosts {
		summary.Origin += host.Fetched.Origin
		summary.Store += host.Fetched.Store
		summary.Peer += host.Fetched.Peer
		if !host.Usable {
			continue
		}
		if host.Host.Role == filbertlever.RoleAgent {
			summary.Hosts++
			if host.ActiveVersion == status.Head.Version {
				summary.Active++
			}
		}
		for _, weights := range host.Weights {
			summary.Required++
			switch weights.Stage {
			case placement.StageLive:
				summary.Live++
			case placement.StageFailed:
				summary.Failed++
			}
		}
	}
	return summary
}
