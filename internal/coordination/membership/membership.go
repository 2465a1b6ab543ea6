// Package membership decides which hosts are fit for work, from the
// platform's list, which lags, and from what this process sees itself.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Config holds the times of a Table.
type Config struct {
	// Suspect is how long the first failure keeps a host out of use; it
	// doubles with each further failure up to SuspectMost.
	Suspect     time.Duration
	SuspectMost time.Duration
	// Provisional is how long a host that the list lacks stays known after it
	// last made contact.
	Provisional time.Duration
}

// DefaultConfig returns the times used in production.
func DefaultConfig() Config {
	return Config{Suspect: 500 * time.Millisecond, SuspectMost: 10 * time.Second, Provisional: time.Minute}
}

// Table is what one process believes of the other hosts. It is not safe for
// concurrent use.
type Table struct {
	config   Config
	revision uint64
	members  map[filbertlever.HostID]*member
}

type member struct {
	host   filbertlever.Host
	listed bool
	// seen is the last direct contact.
	seen time.Time
	// incarnation is the latest that the host told of itself.
	incarnation filbertlever.Incarnation
	// left is the incarnation that announced its stop. The mark is final for
	// that incarnation.
	left filbertlever.Incarnation
	// suspectUntil ends the present suspicion.
	suspectUntil time.Time
	failures     int
}

// New returns a table that knows no host.
func New(config Config) *Table {
	return &Table{config: config, members: map[filbertlever.HostID]*member{}}
}

// Revision returns the revision of the platform's list last applied.
func (t *Table) Revision() uint64 { return t.revision }

// ApplyList takes the platform's list and reports whether it was newer.
//
// Guard: lists reach a process on several ways and out of order; an older one
// would bring replaced hosts back, so only a higher revision is applied.
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
		if !m.listed && now.Sub(m.seen) > t.config.Provisional {
			delete(t.members, id)
		}
	}
	return true
}

// Contact notes that host itself made contact. A live host that the list
// lacks is known from then on, until it has been silent for a while.
func (t *Table) Contact(host filbertlever.Host, incarnation filbertlever.Incarnation, now time.Time) {
	m := t.member(host.ID)
	if !m.listed {
		m.host = host
	}
	if incarnation != "" {
		m.incarnation = incarnation
	}
	m.seen = now
	m.failures = 0
	m.suspectUntil = time.Time{}
}

// Failed notes that a connection to the host failed or went silent.
func (t *Table) Failed(id filbertlever.HostID, now time.Time) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	pause := t.config.SuspectMost
	if m.failures < 16 {
		pause = min(t.config.Suspect<<m.failures, t.config.SuspectMost)
	}
	m.failures++
	m.suspectUntil = now.Add(pause)
}

// Answered notes that the host answered a call.
func (t *Table) Answered(id filbertlever.HostID, now time.Time) {
	if m, ok := t.members[id]; ok {
		m.seen = now
		m.failures = 0
		m.suspectUntil = time.Time{}
	}
}

// Restarted notes that another process runs at the host: what the one before failed at
// tells nothing of it.
func (t *Table) Restarted(id filbertlever.HostID) {
	if m, ok := t.members[id]; ok {
		m.failures = 0
		m.suspectUntil = time.Time{}
	}
}

// Left notes that an incarnation of the host announced its stop.
func (t *Table) Left(id filbertlever.HostID, incarnation filbertlever.Incarnation) {
	m := t.member(id)
	m.left = incarnation
	m.incarnation = incarnation
}

// Usable reports whether new work may go to the host.
func (t *Table) Usable(id filbertlever.HostID, now time.Time) bool {
	m, ok := t.members[id]
	return ok && t.usable(m, now)
}

// Incarnation returns the latest incarnation the host told of itself, or "".
func (t *Table) Incarnation(id filbertlever.HostID) filbertlever.Incarnation {
	if m, ok := t.members[id]; ok {
		return m.incarnation
	}
	return ""
}

// Host returns what is known of a host.
func (t *Table) Host(id filbertlever.HostID) (filbertlever.Host, bool) {
	m, ok := t.members[id]
	if !ok || m.host.ID == "" {
		return filbertlever.Host{}, false
	}
	return m.host, true
}

// Hosts returns the hosts of a role that are known, fit or not, by name.
func (t *Table) Hosts(role filbertlever.Role) []filbertlever.Host {
	return t.pick(func(m *member) bool { return m.host.Role == role })
}

// UsableHosts returns the hosts of a role that new work may go to, by name.
func (t *Table) UsableHosts(role filbertlever.Role, now time.Time) []filbertlever.Host {
	return t.pick(func(m *member) bool { return m.host.Role == role && t.usable(m, now) })
}

// Fit reports whether the host would be usable but for a suspicion.
func (t *Table) Fit(id filbertlever.HostID, now time.Time) bool {
	m, ok := t.members[id]
	return ok && t.fit(m, now)
}

func (t *Table) usable(m *member, now time.Time) bool {
	return t.fit(m, now) && !now.Before(m.suspectUntil)
}

func (t *Table) fit(m *member, now time.Time) bool {
	if m.host.ID == "" || m.host.Leaving {
		return false
	}
	if m.left != "" && m.left == m.incarnation {
		return false
	}
	return m.listed || now.Sub(m.seen) <= t.config.Provisional
}

func (t *Table) pick(want func(*member) bool) []filbertlever.Host {
	var hosts []filbertlever.Host
	for _, m := range t.members {
		if m.host.ID != "" && want(m) {
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
