package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// load makes the server serve one version whose pieces are here.
type load struct {
	agent    *Sidecar
	weights  *weights
	named    catalog.NamedVersion
	manifest *relay.Manifest
	// boot is the process that is to load it; 0 if that is not known.
	boot catalog.Boot
	// idle is true if the server gets no requests for the model, so that nothing
	// has to be kept from it.
	idle bool
	// begin is when the order is to be given.
	begin time.Duration
	// quiet is how long before that the server gets no new requests.
	quiet time.Duration
}

func (l *load) run(ctx context.Context) {
	s := l.agent
	err := l.carry(ctx)
	result := "Done"
	if err != nil {
		result = "Failed"
		s.log.Warn("load failed", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Error(err))
		sleep(ctx, retryPause)
	}
	s.metrics.loads.WithLabelValues(result).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.weights.loading, l.weights.leavesAt, s.switching = false, 0, false
	l.weights.giveUp(nil)
	s.prune(l.named.Model, l.weights)
}

// carry stages and checks the pieces, keeps requests away and gives the order.
func (l *load) carry(ctx context.Context) error {
	s := l.agent
	l.weights.staging.Lock()
	defer l.weights.staging.Unlock()
	if err := l.stage(ctx, l.manifest); err != nil {
		return err
	}
	if !l.idle {
		sleep(ctx, l.begin-l.quiet-boottime.Now())
		if err := context.Cause(ctx); err != nil {
			return err
		}
		s.setSwitching(true)
		sleep(ctx, l.quiet-checkTime)
		// Guard: pieces may turn bad while the server is kept free of requests; they are
		// read back right before the order.
		if err := l.stage(ctx, l.manifest); err != nil {
			return err
		}
		sleep(ctx, l.begin-boottime.Now())
	}
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if err := l.order(ctx); err != nil {
		return err
	}
	s.log.Info("load ordered", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Bool("Idle", l.idle))
	return l.await(ctx)
}

// order gives the order; without an error the server has taken it.
//
// Guard: a server that stood still accepts an order after its agent gave up waiting for
// the answer. The agent laid the next version over it meanwhile, and the server answered
// with weights of two versions; nothing is laid until its own reports show, for as long
// as an order may lie there, that it has not taken it.
func (l *load) order(ctx context.Context) error {
	err := l.agent.engine.Load(ctx, l.named.Model, l.named.Version)
	if err == nil || errors.Is(err, ErrNotTaken) {
		return err
	}
	l.agent.log.Warn("order without an answer", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version), zap.Error(err))
	if l.settle(ctx) {
		return nil
	}
	return err
}

// orderLies is for how long a server that answers again may still accept an order that
// has lain there: its reports are some hundred milliseconds old, and it reads what lies
// on one connection as it reads another one.
const orderLies = time.Second

// settle waits until it is known what became of an order without an answer, and reports
// whether the server has taken it. A server that stands still reports nothing, and its
// next process knows no orders of this one.
func (l *load) settle(ctx context.Context) bool {
	calm := time.Duration(0)
	for ; ctx.Err() == nil; sleep(ctx, awaitPause) {
		asked := boottime.Now()
		report, err := l.agent.engine.Report(ctx)
		switch {
		case err != nil:
			calm = 0
		case l.boot != 0 && report.Boot != l.boot:
			l.agent.takeReport(report, asked)
			return false
		case report.Loading || held(report.Models, l.named.Model) >= l.named.Version:
			return true
		case calm == 0:
			calm = asked
		case asked-calm >= orderLies:
			return false
		}
	}
	return false
}

// stageTries bounds the rounds of staging and checking.
const stageTries = 3

// checkTime is kept before an order to read the staged pieces back.
const checkTime = 80 * time.Millisecond

// stage lays the pieces beside the server and reads each back.
//
// Guard: what is staged is not checked by the server and may rot before the
// load, and the server would then answer with weights that are not whole; a
// piece that does not read back as it should is laid again.
func (l *load) stage(ctx context.Context, manifest *relay.Manifest) error {
	s := l.agent
	for range stageTries {
		spoilt := 0
		for piece, digest := range manifest.Digests {
			staged, err := s.engine.Staged(ctx, l.named.Model, piece)
			if err != nil {
				return err
			}
			if staged != nil && manifest.Verify(piece, staged) {
				continue
			}
			spoilt++
			data, ok := s.piece(digest)
			if !ok {
				return fmt.Errorf("piece %d of %s is no longer held", piece, l.named.Model)
			}
			if err := s.engine.Stage(ctx, l.named.Model, piece, data); err != nil {
				return err
			}
		}
		if spoilt == 0 {
			return nil
		}
	}
	return fmt.Errorf("staged pieces of %s do not stay whole", l.named.Model)
}

// await waits until the server reports the version.
func (l *load) await(ctx context.Context) error {
	s := l.agent
	for end := boottime.Now() + loadMost; boottime.Now() < end; {
		sleep(ctx, awaitPause)
		asked := boottime.Now()
		report, err := s.engine.Report(ctx)
		if err != nil {
			return err
		}
		if l.boot != 0 && report.Boot != l.boot {
			s.takeReport(report, asked)
			return errRestarted
		}
		if held(report.Models, l.named.Model) >= l.named.Version {
			s.takeReport(report, asked)
			s.mu.Lock()
			s.switching = false
			s.mu.Unlock()
			s.tell(true)
			s.log.Info("version served", zap.String("Model", l.named.Model), zap.Uint64("Version", l.named.Version))
			return nil
		}
		if !report.Loading {
			return fmt.Errorf("server neither loads nor holds version %d", l.named.Version)
		}
	}
	return fmt.Errorf("version %d not served after %v", l.named.Version, loadMost)
}
