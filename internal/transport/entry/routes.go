package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
	"github.com/filbertlever/filbertlever/internal/transport/node"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// routes holds the router and the latest reports of agents. It is safe for
// concurrent use.
type routes struct {
	mu      sync.Mutex
	router  *routing.Router
	reports map[filbertlever.HostID]control.FullReport
	loads   map[filbertlever.HostID]control.Load
}

// version identifies the weights that generate an answer.
type version struct {
	// Model is the digest of the model's manifest. Adapter is the digest of the
	// adapter's manifest, or empty.
	Model   filbertlever.Digest
	Adapter filbertlever.Digest
	Name    string
}

// target returns the key under which the router finds hosts with this version.
func (v version) target() routing.Target {
	return routing.Target(string(v.Model) + "+" + string(v.Adapter))
}

// handleReport handles an agent's report.
func (e *Entry) handleReport(_ context.Context, caller peer.Caller, params []byte) (any, error) {
	var report control.Report
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, fmt.Errorf("decode report of %s: %w", caller.Host, err)
	}
	if report.Full != nil {
		if err := node.CheckIdentity(caller, report.Full.From); err != nil {
			return nil, err
		}
		e.node.RecordContact(report.Full.From)
	} else {
		e.node.RecordResponse(caller.Host)
	}
	return e.routes.applyReport(caller.Host, report), nil
}

// applyReport stores a report, and requests a full report if none has been
// received from this incarnation.
func (r *routes) applyReport(host filbertlever.HostID, report control.Report) control.ReportResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.reports[host]
	if full := report.Full; full != nil {
		last = *full
		r.reports[host] = last
		r.router.SetHost(full.From.Host, !full.From.Leaving)
		r.router.SetTargets(host, targets(full.Live))
	} else if !ok || last.From.Incarnation != report.Incarnation {
		return control.ReportResponse{WantFull: true}
	}
	r.loads[host] = report.Load
	r.router.Report(host, routing.Load{
		Sequence:      report.Load.Sequence,
		Running:       report.Load.Running,
		Queued:        report.Load.Queued,
		Concurrency:   report.Load.Concurrency,
		PredictedWait: report.Load.Wait,
		Incarnation:   report.Incarnation,
		Received:      report.Load.ReceivedRequests,
	})
	return control.ReportResponse{}
}

// setLive replaces the live weights of a host with those listed in its refusal.
func (r *routes) setLive(host filbertlever.HostID, live []*peerv1.LiveWeights) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.reports[host]
	last.Live = nil
	for _, w := range live {
		last.Live = append(last.Live, control.LiveWeights{
			Model: w.Model, Version: w.Version, Manifest: filbertlever.Digest(w.Manifest), Base: filbertlever.Digest(w.Base),
		})
	}
	r.reports[host] = last
	r.router.SetTargets(host, targets(last.Live))
}

// targets returns the routing targets that a host with these weights can serve.
func targets(live []control.LiveWeights) []routing.Target {
	var out []routing.Target
	for _, weights := range live {
		v := version{Model: weights.Manifest}
		if weights.Base != "" {
			v = version{Model: weights.Base, Adapter: weights.Manifest}
		}
		out = append(out, v.target())
	}
	return out
}

// applyLoad updates the load of a host from a response frame.
func (r *routes) applyLoad(host filbertlever.HostID, load *peerv1.Load) {
	if load == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Report(host, routing.Load{
		Sequence:      load.Sequence,
		Running:       int(load.Running),
		Queued:        int(load.Queued),
		Concurrency:   int(load.Concurrency),
		PredictedWait: load.Wait.AsDuration(),
		Incarnation:   filbertlever.Incarnation(load.Incarnation),
		Received:      load.Seen,
	})
}

// choose selects a host for a request.
func (r *routes) choose(request *routing.Request) routing.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.router.Choose(request)
}

// cancel undoes a choice of a host that the request was not sent to.
func (r *routes) cancel(host filbertlever.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Cancel(host)
}

// release removes a failed or cancelled request from the estimated load of a host.
func (r *routes) release(host filbertlever.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Release(host)
}

// versions returns the versions that may answer for a model and adapter: the
// bundle's version, then those that hosts serve until the bundle's is live.
func (e *Entry) versions(b *bundle.Bundle, model, adapter string) ([]version, bool) {
	m, ok := b.Model(model)
	if !ok {
		return nil, false
	}
	wanted := version{Model: m.Manifest, Name: m.Version}
	if adapter != "" {
		a, ok := m.Adapter(adapter)
		if !ok {
			return nil, false
		}
		wanted.Adapter = a.Manifest
		wanted.Name += "+" + a.Version
	}
	return append([]version{wanted}, e.otherLiveVersions(wanted, model, adapter)...), true
}

// otherLiveVersions returns the other versions of the same model and adapter that
// agents report as live.
func (e *Entry) otherLiveVersions(wanted version, model, adapter string) []version {
	name := model
	if adapter != "" {
		name += "/" + adapter
	}
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	var found []version
	for _, report := range e.routes.reports {
		for _, weights := range report.Live {
			if weights.Model != name {
				continue
			}
			v := version{Model: weights.Manifest, Name: weights.Version}
			if adapter != "" {
				v = version{Model: weights.Base, Adapter: weights.Manifest, Name: weights.Version}
			}
			if v.target() != wanted.target() && !slices.Contains(found, v) {
				found = append(found, v)
			}
		}
	}
	return found
}

// handleStatus returns this entry's view of all hosts to operators and other
// entries.
func (e *Entry) handleStatus(_ context.Context, caller peer.Caller, _ []byte) (any, error) {
	if caller.Role != peer.RoleOperator && caller.Role != peer.RoleEntry {
		return nil, fmt.Errorf("status for %s: %w", caller.Host, peer.ErrRole)
	}
	head, _ := e.node.Head()
	status := control.Status{From: e.node.Self(), Head: head}
	now := time.Now()
	e.node.Read(func(base *knowledge.Base) {
		for _, role := range []filbertlever.Role{filbertlever.RoleEntry, filbertlever.RoleAgent} {
			for _, host := range base.Members.Hosts(role) {
				host.Leaving = host.Leaving || base.HasPlannedStop(host.ID)
				status.Hosts = append(status.Hosts, control.HostStatus{Host: host, Usable: base.Usable(host.ID, now)})
			}
		}
	})
	e.routes.mu.Lock()
	defer e.routes.mu.Unlock()
	for i := range status.Hosts {
		h := &status.Hosts[i]
		if h.Host.ID == e.config.Host.ID {
			h.Usable = !e.node.Leaving()
			if current := e.node.Current(); current != nil {
				h.ActiveVersion = current.Head.Version
			}
		}
		report, ok := e.routes.reports[h.Host.ID]
		if !ok {
			continue
		}
		h.ActiveVersion = report.ActiveVersion
		h.Weights = report.Weights
		h.Fetched = report.Fetched
		h.Load = e.routes.loads[h.Host.ID]
	}
	return status, nil
}
