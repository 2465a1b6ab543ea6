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

// Times of reading views.
const (
	// viewEvery is how often the view is read without being told of a change.
	viewEvery = 3 * time.Second
	// viewTimeout bounds the reading of a view.
	viewTimeout = time.Second
	// hedgePause is how long one entry is given before the next is asked too. One
	// without power answers nothing, and waiting for it would put off a load.
	hedgePause = 60 * time.Millisecond
	// lastPause is how long the last one is given before all are asked anew.
	lastPause = 150 * time.Millisecond
	// storeAfter is how long no entry may have answered before the store is asked for
	// others.
	storeAfter = 300 * time.Millisecond
	// askPause is the pause before all are asked anew.
	askPause = 100 * time.Millisecond
	// storeEvery bounds how often the store is asked for entries.
	storeEvery = 2 * time.Second
)

// runViews keeps the view of what is wanted current.
func (s *Sidecar) runViews(ctx context.Context) {
	lost := false
	for {
		err := s.refreshView(ctx)
		pause := viewEvery
		if err != nil {
			pause = askPause
			if !lost && ctx.Err() == nil {
				s.log.Warn("entries lost", zap.Error(err))
			}
		} else if lost {
			s.log.Info("entries regained")
		}
		if err == nil {
			s.stepNow()
		}
		lost = err != nil
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(pause):
		}
	}
}

var (
	errNoEntry = errors.New("no entry answers")
	// errNoView means that an entry lives and cannot tell what is wanted yet.
	errNoView = errors.New("no view yet")
)

// fetched is an entry's answer.
type fetched struct {
	address string
	view    gateway.View
	err     error
}

// refreshView reads the view from the first entry that answers: those that are known are
// asked one after the other, the next one if one takes long, then those that the store lists.
//
// Guard: after a loss of power the first call may go to a host that is not up yet, and its connection
// is retried late; all are soon asked anew.
func (s *Sidecar) refreshView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	a := &asking{agent: s, addresses: s.viewAddresses(), answers: make(chan fetched)}
	defer func() { s.noteAnswers(a.answered) }()
	next := time.NewTimer(0)
	defer next.Stop()
	for !a.listed || a.ended < len(a.addresses) {
		select {
		case <-ctx.Done():
			return errNoEntry
		case <-next.C:
			pause, more := a.more(ctx)
			if !more {
				return errNoEntry
			}
			next.Reset(pause)
		case answer := <-a.answers:
			a.ended++
			a.answered = a.answered || answer.err == nil || errors.Is(answer.err, errNoView)
			if answer.err == nil {
				s.setView(answer)
				return nil
			}
			s.log.Debug("view not read", zap.String("Entry", answer.address), zap.Error(answer.err))
			next.Reset(0)
		}
	}
	return errNoEntry
}

// asking is one round of asking entries for the view.
type asking struct {
	agent     *Sidecar
	addresses []string
	answers   chan fetched
	// asked and ended are how many of addresses were asked, and have ended.
	asked, ended int
	// listed is true once the store's entries are among addresses.
	listed bool
	// answered is true once any entry has answered.
	answered bool
}

// more asks the next entry, or looks for more; it returns how long that is given, and
// false if there is none left to ask.
func (a *asking) more(ctx context.Context) (time.Duration, bool) {
	if a.asked == len(a.addresses) && !a.listed {
		a.addresses, a.listed = append(a.addresses, a.agent.listedAddresses(ctx, a.ended == 0)...), true
		if a.asked == len(a.addresses) {
			return lastPause, true
		}
	}
	if a.asked == len(a.addresses) {
		return 0, false
	}
	go a.agent.runFetch(ctx, a.addresses[a.asked], a.answers)
	a.asked++
	if a.listed && a.asked == len(a.addresses) {
		return lastPause, true
	}
	return hedgePause, true
}

func (s *Sidecar) runFetch(ctx context.Context, address string, answers chan<- fetched) {
	view, err := s.fetchView(ctx, address)
	select {
	case answers <- fetched{address: address, view: view, err: err}:
	case <-ctx.Done():
	}
}

func (s *Sidecar) setView(answer fetched) {
	now := boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewed, s.viewedAt, s.hasView = answer.view, now, true
	if len(answer.view.Entries) > 0 {
		s.entries = answer.view.Entries
	}
}

// viewAddresses returns the peer addresses to ask, in order: who told of news, the
// entries of the own site, all others, and the seeds.
//
// Guard: agents of a site must not all ask its first entry; each begins at another one.
func (s *Sidecar) viewAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var told, near, far []string
	for _, entry := range s.entries {
		switch {
		case entry.Datagrams == s.teller:
			told = append(told, entry.Peers)
		case entry.Site == s.config.Site:
			near = append(near, entry.Peers)
		default:
			far = append(far, entry.Peers)
		}
	}
	s.teller = ""
	if len(near) > 0 {
		first := int(xxhash.Sum64String(s.config.Address) % uint64(len(near)))
		near = slices.Concat(near[first:], near[:first])
	}
	return slices.Concat(told, near, far, s.config.Seeds)
}

// listedAddresses returns the peer addresses of the entries that the store lists, if none
// that is known has answered for a while, or all are silent: seeds may be gone for long.
// A host that refuses connections is up, and its entry soon is.
//
// An agent that starts does not ask the store as long as its seeds may answer.
func (s *Sidecar) listedAddresses(ctx context.Context, silent bool) []string {
	now := boottime.Now()
	s.mu.Lock()
	unanswered := silent || s.unansweredSince != 0 && now-s.unansweredSince >= storeAfter
	wait := !unanswered || s.listedAt != 0 && now-s.listedAt < storeEvery
	if !wait {
		s.listedAt = now
	}
	s.mu.Unlock()
	if wait || s.lister == nil {
		return nil
	}
	entries, err := s.lister.ReadEntries(ctx)
	if err != nil {
		s.log.Warn("entries not read from the store", zap.Error(err))
		return nil
	}
	var addresses []string
	for _, entry := range entries.Present {
		addresses = append(addresses, entry.Peers)
	}
	return addresses
}

// noteAnswers notes whether any entry has answered, if only that it has no view yet.
func (s *Sidecar) noteAnswers(any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case any:
		s.unansweredSince = 0
	case s.unansweredSince == 0:
		s.unansweredSince = boottime.Now()
	}
}

// viewBytes bounds an entry's view.
const viewBytes = 4 << 20

func (s *Sidecar) fetchView(ctx context.Context, address string) (gateway.View, error) {
	values := url.Values{"Service": {s.config.Service}, "Address": {s.config.Address}}
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
	if err := json.NewDecoder(io.LimitReader(response.Body, viewBytes)).Decode(&view); err != nil {
		return gateway.View{}, fmt.Errorf("view from %s: %w", address, err)
	}
	return view, nil
}
