package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
)

// Intervals and timeouts of view requests.
const (
	// viewInterval is the interval between reads of the view if no change is announced.
	viewInterval = 3 * time.Second
	// viewTimeout limits one attempt to read the view.
	viewTimeout = time.Second
	// hedgeDelay is the time after which the next entry is asked as well. An entry without
	// power does not respond, and waiting for it would delay a load.
	hedgeDelay = 60 * time.Millisecond
	// lastEntryTimeout is the time for the last entry to respond before all are retried.
	lastEntryTimeout = 150 * time.Millisecond
	// storeFallbackDelay is the time without an answer from any entry after which the
	// entries are read from the store.
	storeFallbackDelay = 300 * time.Millisecond
	// viewRetryDelay is the pause before all entries are retried. It doubles up to
	// maxViewRetryDelay: while an installation starts, all agents ask the same few seeds.
	viewRetryDelay    = 100 * time.Millisecond
	maxViewRetryDelay = 400 * time.Millisecond
	// storeReadInterval is the minimum interval between reads of the entries from the store.
	storeReadInterval = 2 * time.Second
)

// runViews keeps the view up to date.
func (s *Sidecar) runViews(ctx context.Context) {
	unreachable := false
	retryDelay := viewRetryDelay
	for {
		err := s.refreshView(ctx)
		pause := viewInterval
		if err != nil {
			pause = retryDelay
			retryDelay = min(2*retryDelay, maxViewRetryDelay)
			if !unreachable && ctx.Err() == nil {
				s.log.Warn("no entry reachable", zap.Error(err))
			}
		} else if unreachable {
			s.log.Info("entry reachable again")
		}
		if err == nil {
			retryDelay = viewRetryDelay
			s.requestStep()
		}
		unreachable = err != nil
		select {
		case <-ctx.Done():
			return
		case <-s.viewChanged:
		case <-time.After(pause):
		}
	}
}

var (
	errNoEntry = errors.New("no entry answers")
	// errNoView means that an entry is running but has no view yet.
	errNoView = errors.New("no view yet")
)

// viewAnswer is an entry's answer to a request for the view.
type viewAnswer struct {
	address string
	askedAt time.Duration
	view    gateway.View
	err     error
}

// refreshView reads the view from the first entry that answers. It asks the known entries
// in turn, moving on to the next one after hedgeDelay, and then the entries in the store.
//
// After a power failure the first request may go to a host that has not booted yet, and
// TCP retries the connection late. The attempt therefore ends early and all entries are
// retried.
func (s *Sidecar) refreshView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	q := &viewQuery{sidecar: s, addresses: s.entryAddresses(), answers: make(chan viewAnswer)}
	defer func() { s.recordReachability(q.answered) }()
	next := time.NewTimer(0)
	defer next.Stop()
	for !q.storeRead || q.finished < len(q.addresses) {
		select {
		case <-ctx.Done():
			return errNoEntry
		case <-next.C:
			timeout, more := q.askNext(ctx)
			if !more {
				return errNoEntry
			}
			next.Reset(timeout)
		case answer := <-q.answers:
			q.finished++
			q.answered = q.answered || answer.err == nil || errors.Is(answer.err, errNoView)
			if answer.err == nil {
				s.setView(answer)
				return nil
			}
			s.log.Debug("failed to read view", zap.String("Entry", answer.address), zap.Error(answer.err))
			if errors.Is(answer.err, errNoView) && !s.knowsEntries() {
				// A seed that has just started has no view. The others have probably started with it.
				return errNoEntry
			}
			next.Reset(0)
		}
	}
	return errNoEntry
}

// viewQuery is one round of requests for the view.
type viewQuery struct {
	sidecar   *Sidecar
	addresses []string
	answers   chan viewAnswer
	// started and finished count the requests to addresses.
	started, finished int
	// storeRead is true once the store's entries are among addresses.
	storeRead bool
	// answered is true once any entry has answered.
	answered bool
}

// askNext sends a request to the next entry, reading more entries from the store if
// necessary. It returns the time to wait before the next call, and false if there is no
// entry left to ask.
func (q *viewQuery) askNext(ctx context.Context) (time.Duration, bool) {
	if q.started == len(q.addresses) && !q.storeRead {
		q.addresses, q.storeRead = append(q.addresses, q.sidecar.storeEntryAddresses(ctx, q.finished == 0)...), true
		if q.started == len(q.addresses) {
			return lastEntryTimeout, true
		}
	}
	if q.started == len(q.addresses) {
		return 0, false
	}
	go q.sidecar.askEntry(ctx, q.addresses[q.started], q.answers)
	q.started++
	if q.storeRead && q.started == len(q.addresses) {
		return lastEntryTimeout, true
	}
	return hedgeDelay, true
}

// knowsEntries reports whether the agent knows more entries than its seeds.
func (s *Sidecar) knowsEntries() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries) > 0
}

func (s *Sidecar) askEntry(ctx context.Context, address string, answers chan<- viewAnswer) {
	askedAt := boottime.Now()
	view, err := s.fetchView(ctx, address)
	select {
	case answers <- viewAnswer{address: address, askedAt: askedAt, view: view, err: err}:
	case <-ctx.Done():
	}
}

// setView sets the view. Its ages count from the request, as those of an answer that took long would
// otherwise be too low, and the server would change its version after the deadline.
func (s *Sidecar) setView(answer viewAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view, s.viewReadAt, s.hasView = answer.view, answer.askedAt, true
	if len(answer.view.Entries) > 0 {
		s.entries = answer.view.Entries
	}
}

// entryAddresses returns the peer addresses to ask, in this order: the entry that
// announced a change, the entries of the agent's own site, all others, and the seeds.
//
// Each agent starts at a different entry of its site, so that the first one does not get
// the requests of all agents.
func (s *Sidecar) entryAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var notifier, sameSite, otherSites []string
	for _, entry := range s.entries {
		switch {
		case entry.Datagrams == s.notifier:
			notifier = append(notifier, entry.Peers)
		case entry.Site == s.config.Site:
			sameSite = append(sameSite, entry.Peers)
		default:
			otherSites = append(otherSites, entry.Peers)
		}
	}
	s.notifier = ""
	if len(sameSite) > 0 {
		first := int(xxhash.Sum64String(s.config.Address) % uint64(len(sameSite)))
		sameSite = slices.Concat(sameSite[first:], sameSite[:first])
	}
	return slices.Concat(notifier, sameSite, otherSites, s.seeds())
}

// seeds returns the seeds in an order that differs between agents and between calls, so that no
// seed gets the first request of all agents. The caller holds the lock.
func (s *Sidecar) seeds() []string {
	if len(s.config.Seeds) == 0 {
		return nil
	}
	s.seedRounds++
	first := int((xxhash.Sum64String(s.config.Address) + s.seedRounds) % uint64(len(s.config.Seeds)))
	return slices.Concat(s.config.Seeds[first:], s.config.Seeds[:first])
}

// storeEntryAddresses returns the peer addresses of the entries in the store. It reads the
// store only if no known entry has answered for storeFallbackDelay, or if noResponse is
// true because not even an error came back from any of them. The seeds may have been
// removed long ago. A host that refuses connections is up, and its entry will start soon.
//
// An agent that has just started does not read the store while its seeds may still answer.
func (s *Sidecar) storeEntryAddresses(ctx context.Context, noResponse bool) []string {
	now := boottime.Now()
	s.mu.Lock()
	unreachable := noResponse || s.unreachableSince != 0 && now-s.unreachableSince >= storeFallbackDelay
	skip := !unreachable || s.storeReadAt != 0 && now-s.storeReadAt < storeReadInterval
	if !skip {
		s.storeReadAt = now
	}
	s.mu.Unlock()
	if skip || s.lister == nil {
		return nil
	}
	entries, err := s.lister.ReadEntries(ctx)
	if err != nil {
		s.log.Warn("failed to read entries from the store", zap.Error(err))
		return nil
	}
	var addresses []string
	for _, entry := range entries.Present {
		addresses = append(addresses, entry.Peers)
	}
	return addresses
}

// recordReachability records whether any entry has answered, even without a view.
func (s *Sidecar) recordReachability(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case answered:
		s.unreachableSince = 0
	case s.unreachableSince == 0:
		s.unreachableSince = boottime.Now()
	}
}

const maxViewBytes = 4 << 20

func (s *Sidecar) fetchView(ctx context.Context, address string) (gateway.View, error) {
	values := url.Values{"Service": {s.config.Service}, "Address": {s.config.Address}, "Region": {s.config.Region}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+gateway.PathView+"?"+values.Encode(), nil)
	if err != nil {
		return gateway.View{}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return gateway.View{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return gateway.View{}, fmt.Errorf("view from %s: answered %d: %w", address, response.StatusCode, errNoView)
	}
	var view gateway.View
	if err := json.NewDecoder(io.LimitReader(response.Body, maxViewBytes)).Decode(&view); err != nil {
		return gateway.View{}, fmt.Errorf("view from %s: %w", address, err)
	}
	return view, nil
}
