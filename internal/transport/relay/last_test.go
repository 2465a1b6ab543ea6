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

// failingOrigin fails for one version, and counts how often that was asked for.
type failingOrigin struct {
	thinOrigin
	version uint64
	// answer is what it sends of that version; err is its answer if there is none.
	answer []byte
	err    error
	asked  atomic.Int32
}

func (o *failingOrigin) Piece(_ context.Context, _ string, named catalog.NamedVersion, piece int) ([]byte, error) {
	time.Sleep(5 * time.Millisecond)
	if named.Version != o.version {
		return o.piece(named.Version, piece), nil
	}
	o.asked.Add(1)
	return o.answer, o.err
}

// askAgain asks for pieces of a version until ctx ends, as agents do.
func askAgain(ctx context.Context, r *Relay, named catalog.NamedVersion, pieces int) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for piece := range pieces {
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = r.Piece(ctx, named, piece, relays.RoleDrawer)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return group
}

// No server got a version for as long as the origin failed for an older one that agents
// asked for, though it gave out the newer one: tries of the older one kept both places.
// Whether it fails, or sends what does not match, makes no difference.
func TestAVersionThatTheOriginFailsForIsPassed(t *testing.T) {
	c := qt.New(t)
	for _, origin := range []*failingOrigin{{version: 2, err: errDown}, {version: 2, answer: []byte("spoilt")}} {
		r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		ctx, cancel := context.WithCancel(context.Background())
		asking := askAgain(ctx, r, versionOf(2), 8)
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		newer, stop := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := r.Piece(newer, versionOf(3), 0, relays.RoleDrawer)
		c.Check(err, qt.IsNil, qt.Commentf("after %v", time.Since(began)))
		stop()
		cancel()
		asking.Wait()
	}
}

// Eight agents that wanted a version which the origin had dropped had it asked a hundred
// times a second, which is paid for, beside the pieces of the version in force.
func TestAVersionThatIsGoneIsSeldomAskedFor(t *testing.T) {
	c := qt.New(t)
	origin := &failingOrigin{version: 2, err: ErrGone}
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	askAgain(ctx, r, versionOf(2), 8).Wait()
	c.Assert(origin.asked.Load() <= originParallel, qt.IsTrue, qt.Commentf("asked %d times", origin.asked.Load()))
}

// A version was drawn one piece at a time to its end, since its pieces had been asked for
// while an older one went before it, which had become useless meanwhile.
func TestWhoWaitsBehindAnOlderVersionLooksAgain(t *testing.T) {
	c := qt.New(t)
	origin := &laneOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.mu.Lock()
	r.version(versionOf(2)).asked = true
	r.mu.Unlock()
	c.Assert(r.behindOlder(versionOf(3), boottime.Now()), qt.IsTrue)
	r.drawing.Lock()
	held := r.newer.Take("drafter", 3)
	r.drawing.Unlock()
	<-held.Granted
	var group sync.WaitGroup
	group.Go(func() { drawAll(c, r, versionOf(3), 12) })
	time.Sleep(50 * time.Millisecond)
	c.Check(origin.most.Load(), qt.Equals, int32(0))
	r.Supersede(versionOf(2), boottime.Now())
	for end := time.Now().Add(2 * time.Second); origin.most.Load() < originParallel && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(origin.most.Load(), qt.Equals, int32(originParallel))
	r.drawing.Lock()
	r.newer.Give()
	r.drawing.Unlock()
	group.Wait()
}

// holderAt is a site with one holder of one version.
type holderAt struct {
	alone
	named   catalog.NamedVersion
	address string
}

func (h holderAt) Holders(named catalog.NamedVersion) []relays.Holder {
	if named != h.named {
		return nil
	}
	return []relays.Holder{{Backend: "b", Address: h.address}}
}

// A newer version waited for a place to draw for as long as a holder of an older one took
// to answer: the try that had failed at the origin kept its place while it asked there.
func TestNoPlaceIsKeptWhileAHolderIsAsked(t *testing.T) {
	c := qt.New(t)
	asked, answer := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	holder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			close(asked)
			<-answer
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer holder.Close()
	origin := &failingOrigin{version: 2, err: errDown}
	view := holderAt{named: versionOf(2), address: strings.TrimPrefix(holder.URL, "http://")}
	r := New(relays.Entry{Host: "e1", Site: "a"}, view, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = r.Piece(ctx, versionOf(2), 0, relays.RoleDrawer) }()
	<-asked
	for range originParallel {
		r.drawing.Lock()
		waiter := r.draws.Take("drafter", 3)
		r.drawing.Unlock()
		select {
		case <-waiter.Granted:
		case <-time.After(time.Second):
			c.Error("a place is kept")
		}
	}
	close(answer)
}

// A version that was judged not worth drawing is asked for again: servers lack it, and its
// pieces go before those of the newer one, until nobody asks any more.
func TestAVersionThatIsAskedForAgainGoesBefore(t *testing.T) {
	c := qt.New(t)
	v := &version{asked: true, askedAt: time.Second}
	c.Assert(v.wanted(time.Hour), qt.IsTrue)
	v.givenUpAt = 2 * time.Second
	c.Assert(v.wanted(2*time.Second), qt.IsFalse)
	v.askedAt = 3 * time.Second
	c.Assert(v.wanted(3*time.Second), qt.IsTrue)
	c.Assert(v.wanted(3*time.Second+askedKept+1), qt.IsFalse)
}

// What is said of a version holds for those before it, also if their bounds were long ago
// when it was named, and makes none useful for longer.
func TestAllVersionsBeforeOneAreSuperseded(t *testing.T) {
	c := qt.New(t)
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, &thinOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.mu.Lock()
	r.version(versionOf(1)).uselessAt = time.Second
	r.version(versionOf(2))
	r.version(versionOf(4))
	r.mu.Unlock()
	r.Supersede(versionOf(4), time.Minute)
	r.mu.Lock()
	defer r.mu.Unlock()
	for number, want := range map[uint64]time.Duration{1: time.Second, 2: time.Minute, 4: time.Minute} {
		c.Check(r.version(versionOf(number)).uselessAt, qt.Equals, want, qt.Commentf("version %d", number))
	}
}
