package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// failingOrigin is an origin that fails for one version and counts the requests for it.
type failingOrigin struct {
	sharedLinkOrigin
	version uint64
	// response and err are the result of a request for a piece of that version.
	response []byte
	err      error
	requests atomic.Int32
}

func (o *failingOrigin) Piece(_ context.Context, _ string, id catalog.ModelVersion, piece int) ([]byte, error) {
	time.Sleep(5 * time.Millisecond)
	if id.Version != o.version {
		return o.piece(id.Version, piece), nil
	}
	o.requests.Add(1)
	return o.response, o.err
}

// requestRepeatedly requests pieces of a version until ctx ends, as agents do.
func requestRepeatedly(ctx context.Context, r *Relay, id catalog.ModelVersion, pieces int) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for piece := range pieces {
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = r.Piece(ctx, id, piece, relays.RoleOriginFetcher)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return group
}

// While the origin failed for an older version, no server got a newer one that the origin
// did serve, because fetches of the older one kept both origin slots. The same holds if the
// origin sends corrupt pieces.
func TestVersionFailingAtOriginIsDeferred(t *testing.T) {
	c := qt.New(t)
	for _, origin := range []*failingOrigin{{version: 2, err: errDown}, {version: 2, response: []byte("spoilt")}} {
		r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		ctx, cancel := context.WithCancel(context.Background())
		requests := requestRepeatedly(ctx, r, drafterVersion(2), 8)
		time.Sleep(200 * time.Millisecond)
		start := time.Now()
		newer, stop := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := r.Piece(newer, drafterVersion(3), 0, relays.RoleOriginFetcher)
		c.Check(err, qt.IsNil, qt.Commentf("after %v", time.Since(start)))
		stop()
		cancel()
		requests.Wait()
	}
}

// Eight agents requesting a removed version caused a hundred requests per second to the
// origin. Each one costs money, and they compete with fetches of the current version.
func TestRemovedVersionIsRarelyRequestedFromOrigin(t *testing.T) {
	c := qt.New(t)
	origin := &failingOrigin{version: 2, err: ErrRemoved}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	requestRepeatedly(ctx, r, drafterVersion(2), 8).Wait()
	c.Assert(origin.requests.Load() <= originConcurrency, qt.IsTrue, qt.Commentf("requested %d times", origin.requests.Load()))
}

// A version was fetched one piece at a time to the end because its pieces had been requested
// while an older version took precedence, although that one became obsolete meanwhile.
func TestWaitForOlderVersionIsReevaluated(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.mu.Lock()
	r.ensureState(drafterVersion(2)).requested = true
	r.mu.Unlock()
	c.Assert(r.yieldsToOlder(drafterVersion(3), boottime.Now()), qt.IsTrue)
	r.slotsMu.Lock()
	occupied := r.newerSlots.Acquire("drafter", 3)
	r.slotsMu.Unlock()
	<-occupied.Granted
	var group sync.WaitGroup
	group.Go(func() { fetchConcurrently(c, r, drafterVersion(3), 12) })
	time.Sleep(50 * time.Millisecond)
	c.Check(origin.peak.Load(), qt.Equals, int32(0))
	r.Supersede(drafterVersion(2), boottime.Now())
	for end := time.Now().Add(2 * time.Second); origin.peak.Load() < originConcurrency && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(origin.peak.Load(), qt.Equals, int32(originConcurrency))
	r.slotsMu.Lock()
	r.newerSlots.Release()
	r.slotsMu.Unlock()
	group.Wait()
}

// singleHolderView is a view of a site with one holder of one version.
type singleHolderView struct {
	singleEntryView
	id      catalog.ModelVersion
	address string
}

func (singleHolderView) Pieces(string) (count, size int) { return 0, 0 }

func (v singleHolderView) Holders(id catalog.ModelVersion) []relays.Holder {
	if id != v.id {
		return nil
	}
	return []relays.Holder{{Backend: "b", Address: v.address}}
}

// A fetch that failed at the origin kept its origin slot while it waited for a holder, and
// the newer version waited for a slot until the holder responded.
func TestOriginSlotIsReleasedDuringHolderRequest(t *testing.T) {
	c := qt.New(t)
	reached, proceed := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	holder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			close(reached)
			<-proceed
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer holder.Close()
	origin := &failingOrigin{version: 2, err: errDown}
	view := singleHolderView{id: drafterVersion(2), address: strings.TrimPrefix(holder.URL, "http://")}
	r := New(relays.Entry{Host: "e1", Site: "a"}, view, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = r.Piece(ctx, drafterVersion(2), 0, relays.RoleOriginFetcher) }()
	<-reached
	for range originConcurrency {
		r.slotsMu.Lock()
		waiter := r.originSlots.Acquire("drafter", 3)
		r.slotsMu.Unlock()
		select {
		case <-waiter.Granted:
		case <-time.After(time.Second):
			c.Error("an origin slot is still held")
		}
	}
	close(proceed)
}

// An abandoned version that is requested again is needed by servers. It takes precedence
// over newer ones until the requests stop.
func TestAbandonedVersionIsWantedWhenRequestedAgain(t *testing.T) {
	c := qt.New(t)
	v := &versionState{requested: true, lastRequestedAt: time.Second}
	c.Assert(v.isWanted(time.Hour), qt.IsTrue)
	v.abandonedAt = 2 * time.Second
	c.Assert(v.isWanted(2*time.Second), qt.IsFalse)
	v.lastRequestedAt = 3 * time.Second
	c.Assert(v.isWanted(3*time.Second), qt.IsTrue)
	c.Assert(v.isWanted(3*time.Second+requestTTL+1), qt.IsFalse)
}

// Superseding a version must supersede older ones too, even if their switchover deadlines
// passed before it was requested, and must not postpone when they become obsolete.
func TestSupersedeAppliesToOlderVersions(t *testing.T) {
	c := qt.New(t)
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, &sharedLinkOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.mu.Lock()
	r.ensureState(drafterVersion(1)).obsoleteAt = time.Second
	r.ensureState(drafterVersion(2))
	r.ensureState(drafterVersion(4))
	r.mu.Unlock()
	r.Supersede(drafterVersion(4), time.Minute)
	r.mu.Lock()
	defer r.mu.Unlock()
	for number, want := range map[uint64]time.Duration{1: time.Second, 2: time.Minute, 4: time.Minute} {
		c.Check(r.ensureState(drafterVersion(number)).obsoleteAt, qt.Equals, want, qt.Commentf("version %d", number))
	}
}
