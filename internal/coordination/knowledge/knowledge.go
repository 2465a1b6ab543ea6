// Package knowledge merges the state that processes gossip: the accepted head,
// the platform's host list and the planned stops. Each has a version that only
// grows, so messages may arrive late, twice or out of order.
package knowledge

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/membership"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	"github.com/filbertlever/filbertlever/internal/state"
)

// Stop is a planned stop of a host.
type Stop struct {
	Host filbertlever.HostID
	From time.Time
}

// Facts is a gossip message. Hosts and Stops may be omitted. The revisions are
// then those of the sender's own lists.
type Facts struct {
	Head          state.Head
	HostsRevision uint64
	Hosts         []filbertlever.Host `json:",omitempty"`
	StopsRevision uint64
	// StopsKnown is true if Stops is the complete list at StopsRevision.
	StopsKnown bool   `json:",omitempty"`
	Stops      []Stop `json:",omitempty"`
}

// Changes lists which parts of a message were newer than the local state.
type Changes struct {
	Head, Hosts, Stops bool
}

// Any reports whether any part was newer.
func (c Changes) Any() bool { return c.Head || c.Hosts || c.Stops }

// Base is the gossiped state of one process. It is not safe for concurrent use.
type Base struct {
	Tracker rollout.Tracker
	Members *membership.Table

	hosts         []filbertlever.Host
	stops         []Stop
	stopsRevision uint64
}

// New returns an empty base.
func New(members *membership.Table) *Base {
	return &Base{Members: members}
}

// Merge adds the newer parts of a message from the platform or a peer.
func (b *Base) Merge(facts Facts, now time.Time) (Changes, error) {
	var changes Changes
	head, err := b.Tracker.Observe(facts.Head)
	changes.Head = head
	if facts.StopsKnown && facts.StopsRevision > b.stopsRevision {
		b.stopsRevision = facts.StopsRevision
		b.stops = slices.Clone(facts.Stops)
		changes.Stops = true
	}
	if len(facts.Hosts) > 0 && b.Members.ApplyList(facts.HostsRevision, facts.Hosts, now) {
		b.hosts = slices.Clone(facts.Hosts)
		changes.Hosts = true
	}
	return changes, err
}

// Digest returns the head and the revisions without the lists.
func (b *Base) Digest() Facts {
	return Facts{Head: b.Tracker.Latest(), HostsRevision: b.Members.Revision(), StopsRevision: b.stopsRevision}
}

// Delta returns the digest and those lists that are newer than the ones of the
// process that sent the digest other.
func (b *Base) Delta(other Facts) Facts {
	facts := b.Digest()
	if facts.HostsRevision > other.HostsRevision {
		facts.Hosts = b.hosts
	}
	if facts.StopsRevision > other.StopsRevision {
		facts.StopsKnown = true
		facts.Stops = b.stops
	}
	return facts
}

// AheadOf reports whether any part is newer than in the digest other.
func (b *Base) AheadOf(other Facts) bool {
	own := b.Digest()
	return other.Head.Version < own.Head.Version ||
		other.HostsRevision < own.HostsRevision ||
		other.StopsRevision < own.StopsRevision
}

// HasPlannedStop reports whether a stop of the host is planned.
func (b *Base) HasPlannedStop(host filbertlever.HostID) bool {
	return slices.ContainsFunc(b.stops, func(s Stop) bool { return s.Host == host })
}

// Usable reports whether new work may be sent to the host.
func (b *Base) Usable(host filbertlever.HostID, now time.Time) bool {
	return b.Members.Usable(host, now) && !b.HasPlannedStop(host)
}

// UsableHosts returns the hosts of a role that new work may be sent to, sorted
// by ID.
func (b *Base) UsableHosts(role filbertlever.Role, now time.Time) []filbertlever.Host {
	hosts := b.Members.UsableHosts(role, now)
	return slices.DeleteFunc(hosts, func(h filbertlever.Host) bool { return b.HasPlannedStop(h.ID) })
}
