// Package membership decides which hosts may get new work. It combines the
// platform's host list, which is updated with a delay, with the contacts and
// failures that this process observes itself.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Config holds the timing settings of a Table.
type Config struct {
	// SuspectDuration is how long the first failure keeps a host out of use. It
	// doubles with each failure after that time, up to MaxSuspectDuration.
	SuspectDuration    time.Duration
	MaxSuspectDuration time.Duration
	// UnlistedTTL is how long a host that is not on the list remains a member
	// after its last contact.
	UnlistedTTL time.Duration
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{SuspectDuration: 500 * time.Millisecond, MaxSuspectDuration: 10 * time.Second, UnlistedTTL: time.Minute}
}

// Table holds the state of the other hosts as one process observes it. It is
// not safe for concurrent use.
type Table struct {
	config   Config
	revision uint64
	members  map[filbertlever.HostID]*member
}

type member struct {
	host   filbertlever.Host
	listed bool
	// lastContact is the time of the last direct contact.
	lastContact time.Time
	// incarnation is the latest that the host reported.
	incarnation filbertlever.Incarnation
	// stopped is the incarnation that announced its stop. The announcement is
	// final for that incarnation.
	stopped      filbertlever.Incarnation
	suspectUntil time.Time
	failures     int
}

// New returns a table without hosts.
func New(config Config) *Table {
	return &Table{config: config, members: map[filbertlever.HostID]*member{}}
}

// Revision returns the revision of the platform's host list last applied.
func (t *Table) Revision() uint64 { return t.revision }

// ApplyList applies the platform's host list and reports whether it was newer
// than the last one applied.
//
// Lists reach a process by several paths and out of order. An older list would
// restore hosts that have been replaced, so only a higher revision is applied.
func (t *Table) ApplyList(revision uint64, hosts []filbertlever.Host, now time.Time) bool {
	if revision <= t.revision {
		return false
	}
	t.revision = revision
	for _, m := range t.members {
		m.listed = false
	}
	for _, host := range hosts {
		m := t.member(host.ID)
		m.host = host
		m.listed = true
	}
	for id, m := range t.members {
		if !m.listed && now.Sub(m.lastContact) > t.config.UnlistedTTL {
			delete(t.members, id)
		}
	}
	return true
}

// RecordContact records that the host itself contacted this process. A live
// host that is not on the list becomes a member until UnlistedTTL passes without
// contact.
func (t *Table) RecordContact(host filbertlever.Host, incarnation filbertlever.Incarnation, now time.Time) {
	m := t.member(host.ID)
	if !m.listed {
		m.host = host
	}
	if incarnation != "" {
		m.incarnation = incarnation
	}
	m.lastContact = now
	m.failures = 0
	m.suspectUntil = time.Time{}
}

// RecordFailure records that a connection to the host failed or timed out. Further failures until the
// host is usable again, such as those of other requests in flight, do not double the time until then.
func (t *Table) RecordFailure(id filbertlever.HostID, now time.Time) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	if !now.Before(m.suspectUntil) {
		m.failures++
	}
	backoff := t.config.MaxSuspectDuration
	if m.failures <= 16 {
		backoff = min(t.config.SuspectDuration<<(m.failures-1), t.config.MaxSuspectDuration)
	}
	m.suspectUntil = now.Add(backoff)
}

// RecordAnswer records that the host answered a call.
func (t *Table) RecordAnswer(id filbertlever.HostID, now time.Time) {
	if m, ok := t.members[id]; ok {
		m.lastContact = now
		m.failures = 0
		m.suspectUntil = time.Time{}
	}
}

// RecordRestart records that a new process runs on the host. Failures of the
// previous process do not apply to it.
func (t *Table) RecordRestart(id filbertlever.HostID) {
	if m, ok := t.members[id]; ok {
		m.failures = 0
		m.suspectUntil = time.Time{}
	}
}

// RecordStop records that an incarnation of the host announced its stop.
func (t *Table) RecordStop(id filbertlever.HostID, incarnation filbertlever.Incarnation) {
	m := t.member(id)
	m.stopped = incarnation
	m.incarnation = incarnation
}

// Usable reports whether new work may be sent to the host.
func (t *Table) Usable(id filbertlever.HostID, now time.Time) bool {
	m, ok := t.members[id]
	return ok && t.usable(m, now)
}

// Incarnation returns the latest incarnation that the host reported, or "".
func (t *Table) Incarnation(id filbertlever.HostID) filbertlever.Incarnation {
	if m, ok := t.members[id]; ok {
		return m.incarnation
	}
	return ""
}

// Host returns a host's record. It returns false if there is none.
func (t *Table) Host(id filbertlever.HostID) (filbertlever.Host, bool) {
	m, ok := t.members[id]
	if !ok || m.host.ID == "" {
		return filbertlever.Host{}, false
	}
	return m.host, true
}

// Hosts returns all hosts of a role, usable or not, sorted by ID.
func (t *Table) Hosts(role filbertlever.Role) []filbertlever.Host {
	return t.filter(func(m *member) bool { return m.host.Role == role })
}

// UsableHosts returns the hosts of a role that new work may be sent to, sorted
// by ID.
func (t *Table) UsableHosts(role filbertlever.Role, now time.Time) []filbertlever.Host {
	return t.filter(func(m *member) bool { return m.host.Role == role && t.usable(m, now) })
}

// Eligible reports whether the host is usable when suspicion is ignored.
func (t *Table) Eligible(id filbertlever.HostID, now time.Time) bool {
	m, ok := t.members[id]
	return ok && t.eligible(m, now)
}

func (t *Table) usable(m *member, now time.Time) bool {
	return t.eligible(m, now) && !now.Before(m.suspectUntil)
}

func (t *Table) eligible(m *member, now time.Time) bool {
	if m.host.ID == "" || m.host.Leaving {
		return false
	}
	if m.stopped != "" && m.stopped == m.incarnation {
		return false
	}
	return m.listed || now.Sub(m.lastContact) <= t.config.UnlistedTTL
}

func (t *Table) filter(match func(*member) bool) []filbertlever.Host {
	var hosts []filbertlever.Host
	for _, m := range t.members {
		if m.host.ID != "" && match(m) {
			hosts = append(hosts, m.host)
		}
	}
	slices.SortFunc(hosts, func(a, b filbertlever.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

func (t *Table) member(id filbertlever.HostID) *member {
	m, ok := t.members[id]
	if !ok {
		m = &member{}
		t.members[id] = m
	}
	return m
}
