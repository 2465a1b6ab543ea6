package gateway

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of requests that may end the servers that run them.
const (
	// verdictWait is how long a request whose next end decides waits after an attempt broke
	// off: until its server's end is known and all entries have told of it.
	verdictWait = 350 * time.Millisecond
	// comeBackAlone is when a caller should return whose request is being tried at one
	// server already.
	comeBackAlone = time.Second
	// lookPause is how long after an answer broke off it is looked whether its server still
	// listens, and again; a process that ends closes its connections first.
	lookPause = 30 * time.Millisecond
	lookAgain = 300 * time.Millisecond
	// lookRest is how long a server that does listen is not looked at again: one may break
	// off part of its answers for long.
	lookRest = 3 * time.Second
	// lookedMost bounds the servers of which that is remembered.
	lookedMost = 4096
	// toldMost bounds how many messages in a second answer entries that hold other requests.
	toldMost = 8
)

// crashes is what an entry knows of requests that end servers; the gateway's lock guards it.
type crashes struct {
	*quarantine.Table
	// under has the requests under way.
	under map[*attempts]bool
	// looked is when it was last looked whether a server still listens.
	looked map[quarantine.Process]time.Duration
	// toldAt is when the last of toldMost messages was sent, and told how many were.
	toldAt time.Duration
	told   int
}

func newCrashes() *crashes {
	return &crashes{Table: quarantine.New(quarantine.DefaultConfig()), under: map[*attempts]bool{}, looked: map[quarantine.Process]time.Duration{}}
}

// identity is what the caller repeats when it sends the request again.
func (x *exchange) identity() *quarantine.Identity {
	return &quarantine.Identity{Organisation: string(x.organisation.ID), Method: x.call.Method, Host: x.call.Host,
		Target: x.call.Target, Body: x.call.Body}
}

// fingerprint names the request, whatever its attempt.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if known := x.fingerprinted.Load(); known != nil {
		return *known
	}
	f := x.identity().Fingerprint()
	x.fingerprinted.Store(&f)
	return f
}

// known reports whether the request may be suspected. Others cost no reading of their body.
func (a *attempts) known() bool {
	g := a.gateway
	g.mu.Lock()
	quiet := g.crashes.Quiet()
	g.mu.Unlock()
	if quiet {
		return false
	}
	head := a.identity().Head()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Knows(head)
}

// kept says why a request is kept from all servers; nil if it is not.
//
// Guard: the same request comes again under another ID, and its server ends with all that
// it runs. Once three have, neither a caller's attempt nor this entry's next one is sent.
func (a *attempts) kept() *problem {
	if !a.known() {
		return nil
	}
	g, f := a.gateway, a.fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	left, held := g.crashes.Held(f, boottime.Now())
	switch {
	case held:
		return busy(reasonQuarantined, left)
	case g.crashes.Suspected(f, boottime.Now()) && a.another(f):
		return busy(reasonAlone, comeBackAlone)
	}
	return nil
}

// another reports whether the same request is under way at a server; the caller holds the
// lock.
func (a *attempts) another(f quarantine.Fingerprint) bool {
	for other := range a.gateway.crashes.under {
		if other != a && other.withdraw != nil && other.is(f) {
			return true
		}
	}
	return false
}

// is reports whether this is a request with a fingerprint; its body is read only if all else
// is the same.
func (a *attempts) is(f quarantine.Fingerprint) bool {
	return a.identity().Head() == f.Head() && a.fingerprint() == f
}

// awaitVerdict lets a request whose next end decides wait until that is known.
//
// Guard: the entry sends what broke off to another server within a millisecond, before
// anybody can know that the first has ended.
func (a *attempts) awaitVerdict() {
	if !a.known() {
		return
	}
	g, f := a.gateway, a.fingerprint()
	g.mu.Lock()
	suspected := g.crashes.Suspected(f, boottime.Now())
	g.mu.Unlock()
	if !suspected {
		return
	}
	timer := time.NewTimer(verdictWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
}

var errKept = errors.New("the request is kept from all servers by now")

// processOf names the process that a request was placed at.
func processOf(b catalog.Backend) quarantine.Process {
	return quarantine.Process{Server: b.ID, Boot: b.Boot}
}

// broke notes an attempt that got no whole answer, and looks whether its server ended.
func (a *attempts) broke(err error) {
	g, f, backend := a.gateway, a.fingerprint(), a.last.Backend
	process, now := processOf(backend), boottime.Now()
	byPeer := endedByPeer(err) && !errors.Is(err, errToCaller)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Broke(f, process, byPeer, now)
	if at, ok := g.crashes.looked[process]; byPeer && (!ok || now-at > lookRest) {
		if len(g.crashes.looked) >= lookedMost {
			clear(g.crashes.looked)
		}
		g.crashes.looked[process] = now
		go g.runLook(backend)
	}
}

// trustBody is the longest body of which it is remembered that its request was answered: it is hashed
// for that.
const trustBody = 64 << 10

// survived notes that the server went on after it ran the request.
func (a *attempts) survived() {
	if len(a.call.Body) > trustBody && !a.known() {
		return
	}
	g, f := a.gateway, a.fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Answered(f, boottime.Now())
}

// track notes a request that is under way, and untrack one that has ended.
func (g *Gateway) track(a *attempts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.under[a] = true
}

func (g *Gateway) untrack(a *attempts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.crashes.under, a)
}

// endedByPeer reports whether the server's side ended a connection.
func endedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errHalfEvent} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// runLook looks whether the process of a server that broke an answer off is gone.
//
// Guard: answers are lost and connections reset while servers go on. Held against the
// requests, three of those in a row would have a sound request refused.
func (g *Gateway) runLook(backend catalog.Backend) {
	for _, pause := range []time.Duration{lookPause, lookAgain} {
		time.Sleep(pause)
		if g.sender.Gone(backend) {
			g.mu.Lock()
			g.serverEnded(backend, "ConnectionRefused")
			g.mu.Unlock()
			return
		}
	}
}

// serverEnded notes that a server's process has ended; the caller holds the lock.
func (g *Gateway) serverEnded(backend catalog.Backend, seen string) {
	now := boottime.Now()
	under := g.crashes.Ended(processOf(backend), now)
	if len(under) == 0 {
		return
	}
	names := make([]string, 0, len(under))
	for _, f := range under {
		names = append(names, f.String())
	}
	g.metrics.serverEnds.WithLabelValues(backend.Service).Inc()
	g.log.Warn("backend server ended under requests", zap.String("Backend", backend.ID), zap.Int64("Boot", int64(backend.Boot)),
		zap.String("Seen", seen), zap.Strings("Fingerprints", names))
}

// advanceCrashes makes verdicts, takes back what they concern, and returns what the other
// entries are to hear; the caller holds the lock.
func (g *Gateway) advanceCrashes(now time.Duration) []quarantine.News {
	for _, replaced := range g.fleet.Replacements() {
		g.serverEnded(replaced, "Replaced")
	}
	for _, f := range g.crashes.Advance(now) {
		g.log.Warn("request quarantined", zap.Stringer("Fingerprint", f), zap.Int("Ends", g.crashes.Ends(f)))
		g.withdraw(f)
	}
	return g.crashes.Fresh(now)
}

// withdraw takes back attempts at a request that have not begun to be answered; the caller
// holds the lock.
func (g *Gateway) withdraw(f quarantine.Fingerprint) {
	for a := range g.crashes.under {
		if a.withdraw != nil && a.is(f) && a.takenBack.take() {
			a.withdraw()
		}
	}
}

// takeCrashes takes another entry's news; the caller holds the lock.
func (g *Gateway) takeCrashes(news *quarantine.News, from net.Addr, now time.Duration) {
	for _, reply := range g.crashes.Take(news, now) {
		g.reply(Datagram{News: &reply}, from)
	}
	for _, hold := range news.Holds {
		if _, held := g.crashes.Held(hold.Request, now); held {
			g.withdraw(hold.Request)
		}
	}
}

// tellHolds returns the requests that are held if another entry holds others; the caller
// holds the lock.
//
// Guard: an entry that has just started, or was cut off, knows nothing of them, and sends
// what all others refuse.
func (g *Gateway) tellHolds(digest uint64, now time.Duration) []quarantine.News {
	c := g.crashes
	if c.Quiet() || digest == c.Digest(now) {
		return nil
	}
	if now-c.toldAt >= time.Second {
		c.toldAt, c.told = now, 0
	}
	if c.told >= toldMost {
		return nil
	}
	c.told++
	return c.Holds(now)
}
