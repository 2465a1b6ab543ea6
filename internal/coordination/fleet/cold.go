package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// A cold server crashes if it gets more requests a second than it can take, from all entries
// together. Entries cannot agree on each request, so each cold server is used by a few entries only,
// and each of these sends its share of the rate. The entries are those of the server's region with
// the highest rendezvous hashes. They are taken from the registered entries, not from those that
// seem alive: views of who is alive differ during a partition, and the shares would add up to more
// than the rate.

// coldSenders is the number of entries that use one cold server. Each of them may be one request
// ahead of its share, which limits how many there can be.
const coldSenders = 3

// SetEntries sets the registered entries, including this one.
func (f *Fleet) SetEntries(entries []filbertlever.Host, now time.Duration) {
	f.entries = entries
	f.updateCold(now)
	f.updateRateShares(now)
}

// updateCold recomputes this entry's share of all cold servers.
func (f *Fleet) updateCold(now time.Duration) {
	for _, s := range f.servers {
		if now < s.coldUntil {
			f.setColdInterval(s)
			f.refreshUsable(s, now)
		}
	}
}

// markCold records that a server is cold for some time from now on.
func (f *Fleet) markCold(s *server, left, now time.Duration) {
	if left > 0 {
		s.coldUntil = max(s.coldUntil, now+left)
		f.setColdInterval(s)
	}
}

// markStarted records that a server has just started, or has had no requests for long, and may be
// cold.
func (f *Fleet) markStarted(s *server, now time.Duration) {
	if f.state != nil {
		f.markCold(s, f.state.Services[s.backend.Service].ColdStart, now)
	}
}

// coldRate returns the number of requests a second that a cold server can take; 0 if cold servers of
// its service need no limit.
func (f *Fleet) coldRate(s *server) float64 {
	if f.state == nil {
		return 0
	}
	return f.state.Services[s.backend.Service].ColdRate
}

// setColdInterval sets the interval at which this entry may send requests to a cold server.
func (f *Fleet) setColdInterval(s *server) {
	s.coldInterval = 0
	delete(f.cold, s.backend.ID)
	rate := f.coldRate(s)
	if rate <= 0 {
		return
	}
	// While the other entries are not known yet, there are no senders.
	senders := f.coldSendersOf(s)
	if !slices.Contains(senders, f.config.Host) {
		return
	}
	s.coldInterval = time.Duration(float64(len(senders)) / rate * float64(time.Second))
	f.cold[s.backend.ID] = s
}

// coldSendersOf returns the entries that may use a cold server.
func (f *Fleet) coldSendersOf(s *server) []filbertlever.HostID {
	region := f.config.Regions[s.backend.Site]
	var hosts []filbertlever.HostID
	for _, entry := range f.entries {
		if entry.Region == region {
			hosts = append(hosts, entry.ID)
		}
	}
	if len(hosts) == 0 {
		for _, entry := range f.entries {
			hosts = append(hosts, entry.ID)
		}
	}
	score := func(host filbertlever.HostID) uint64 { return xxhash.Sum64String(string(host) + "\x00" + s.backend.ID) }
	slices.SortFunc(hosts, func(a, b filbertlever.HostID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return hosts[:min(len(hosts), coldSenders)]
}

// coldLimited reports whether a server is cold and must not get a request of this entry now.
func (f *Fleet) coldLimited(s *server, now time.Duration) bool {
	return now < s.coldUntil && f.coldRate(s) > 0 && (s.coldInterval == 0 || now < s.coldNextAt)
}

// coldReadyAt returns when a cold server may get the next request of this entry; 0 if it is not cold.
func (f *Fleet) coldReadyAt(s *server, now time.Duration) time.Duration {
	switch {
	case now >= s.coldUntil || f.coldRate(s) <= 0:
		return 0
	case s.coldInterval == 0:
		return s.coldUntil
	}
	return min(s.coldNextAt, s.coldUntil)
}

// recordSentCold counts a request against this entry's share of a cold server.
func (f *Fleet) recordSentCold(s *server, now time.Duration) {
	if now < s.coldUntil && s.coldInterval > 0 {
		s.coldNextAt = now + s.coldInterval
		f.refreshUsable(s, now)
	}
}

// refundCold takes back a request that was not sent. The next refresh makes the server usable.
func (f *Fleet) refundCold(s *server) { s.coldNextAt -= s.coldInterval }

// refreshCold re-evaluates the cold servers that this entry uses. Each of its other cold servers is
// unusable and therefore part of checkHealth.
func (f *Fleet) refreshCold(now time.Duration) {
	for id, s := range f.cold {
		if now >= s.coldUntil {
			delete(f.cold, id)
		}
		f.refreshUsable(s, now)
	}
}
