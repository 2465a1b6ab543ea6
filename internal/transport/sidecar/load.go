package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// loadTask makes the server load one version whose pieces are all cached.
type loadTask struct {
	sidecar  *Sidecar
	state    *modelState
	target   catalog.ModelVersion
	manifest *relay.Manifest
	// boot is the boot of the server that should load the version; 0 if unknown.
	boot catalog.Boot
	// idle is true if the server receives no requests for the model, so that no quiet
	// period is needed.
	idle bool
	// orderAt is when the load order is sent.
	orderAt time.Duration
	// quietPeriod is how long before orderAt the server receives no new requests.
	quietPeriod time.Duration
}

func (l *loadTask) run(ctx context.Context) {
	s := l.sidecar
	err := l.execute(ctx)
	result := "Done"
	if err != nil {
		result = "Failed"
		s.log.Warn("load failed", zap.String("Model", l.target.Model), zap.Uint64("Version", l.target.Version), zap.Error(err))
		sleep(ctx, retryDelay)
	}
	s.metrics.loads.WithLabelValues(result).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	l.state.loading, l.state.switchAt, s.switching = false, 0, false
	l.state.cancelLoad(nil)
	s.prune(l.target.Model, l.state)
}

// execute stages and verifies the pieces, stops new requests, sends the order and waits
// for the result.
func (l *loadTask) execute(ctx context.Context) error {
	s := l.sidecar
	l.state.stagingMu.Lock()
	defer l.state.stagingMu.Unlock()
	check, err := l.stageAndVerify(ctx)
	if err != nil {
		return err
	}
	if !l.idle {
		sleep(ctx, l.orderAt-l.quietPeriod-boottime.Now())
		if err := context.Cause(ctx); err != nil {
			return err
		}
		s.setSwitching(true)
		sleep(ctx, l.quietPeriod-verifyTime)
		// Staged pieces may become corrupt during the quiet period, so they are read back
		// again right before the order.
		if check, err = l.stageAndVerify(ctx); err != nil {
			return err
		}
		sleep(ctx, l.orderAt-boottime.Now())
	}
	if check, err = l.order(ctx, check); err != nil {
		return err
	}
	s.log.Info("load ordered", zap.String("Model", l.target.Model), zap.Uint64("Version", l.target.Version), zap.Bool("Idle", l.idle))
	l.proveLoad(ctx, check)
	return l.awaitVersion(ctx)
}

// maxOrderRounds limits how often the pieces are verified again because the host was suspended
// before the order was sent.
const maxOrderRounds = 3

// order sends the load order and returns the check that it relied on. If the check expires
// before the order is sent, for example because the host was suspended, the pieces are
// verified again.
func (l *loadTask) order(ctx context.Context, check freshness.Check) (freshness.Check, error) {
	for round := 1; ; round++ {
		if err := context.Cause(ctx); err != nil {
			return check, err
		}
		err := l.sendOrder(ctx, check)
		var expired *freshness.ExpiredError
		if !errors.As(err, &expired) || round == maxOrderRounds {
			return check, err
		}
		l.sidecar.log.Warn("staged pieces were verified too long before the order", zap.String("Model", l.target.Model),
			zap.Uint64("Version", l.target.Version), zap.Duration("Age", expired.Age), zap.Duration("MaxAge", expired.MaxAge))
		if check, err = l.stageAndVerify(ctx); err != nil {
			return check, err
		}
	}
}

// corruptionGrace is how long before a load a staged piece may become corrupt without making
// the load wrong.
const corruptionGrace = 3 * time.Second

// proveLoad verifies the staged pieces again if the server may have accepted the order later
// than corruptionGrace after they were verified. Until they are known to have been intact the
// version counts as not loaded.
//
// The host may be suspended between the comparison of the check's age and the arrival of the
// order. A piece does not become intact again by itself and nothing is staged during a load, so
// pieces that are intact now were intact when the server read them.
func (l *loadTask) proveLoad(ctx context.Context, check freshness.Check) {
	s := l.sidecar
	age := check.Age(boottime.Now())
	if age < corruptionGrace {
		return
	}
	s.setUnproven(l.state, l.target.Version)
	s.sendReport(true)
	corrupt, err := l.findCorrupt(ctx)
	fields := []zap.Field{zap.String("Model", l.target.Model), zap.Uint64("Version", l.target.Version), zap.Duration("Age", age), zap.Ints("Corrupt", corrupt), zap.Error(err)}
	if err != nil || len(corrupt) > 0 {
		s.metrics.unprovenLoads.Inc()
		s.log.Error("loaded pieces may be corrupt, the version gets no requests at this server", fields...)
		return
	}
	s.log.Warn("load order arrived late, its pieces were intact", fields...)
	s.setUnproven(l.state, 0)
	s.sendReport(true)
}

// findCorrupt returns the staged pieces that are missing or corrupt.
func (l *loadTask) findCorrupt(ctx context.Context) ([]int, error) {
	var corrupt []int
	for piece := range l.manifest.Digests {
		staged, err := l.sidecar.engine.ReadStaged(ctx, l.target.Model, piece)
		if err != nil {
			return corrupt, err
		}
		if staged == nil || !l.manifest.Verify(piece, staged) {
			corrupt = append(corrupt, piece)
		}
	}
	return corrupt, nil
}

// sendOrder sends the load order and returns nil if the server accepted it.
//
// A server that was suspended can accept an order after its agent's request timed out.
// In one case the agent had already staged the next version, and the server answered with
// weights of two versions. After a request without a response, nothing is staged until the
// server's reports have shown for lateOrderWindow that it did not accept the order.
//
// If the check has expired, sendOrder sends nothing and returns a *freshness.ExpiredError.
func (l *loadTask) sendOrder(ctx context.Context, check freshness.Check) error {
	err := l.sidecar.engine.Load(ctx, l.target.Model, l.target.Version, check)
	var expired *freshness.ExpiredError
	if err == nil || errors.Is(err, ErrOrderRejected) || errors.As(err, &expired) {
		return err
	}
	l.sidecar.log.Warn("no response to load order", zap.String("Model", l.target.Model), zap.Uint64("Version", l.target.Version), zap.Error(err))
	if l.resolveOrder(ctx) {
		return nil
	}
	return err
}

// lateOrderWindow is how long a server that responds again may still accept a pending
// order. Its reports are some hundred milliseconds old, and it reads the pending data of
// one connection at the same time as that of another.
const lateOrderWindow = time.Second

// resolveOrder waits until the outcome of an order without a response is certain, and
// reports whether the server accepted it. A suspended server returns no reports, and a
// restarted server does not execute the orders of its previous boot.
func (l *loadTask) resolveOrder(ctx context.Context) bool {
	noLoadSince := time.Duration(0)
	for ; ctx.Err() == nil; sleep(ctx, loadPollInterval) {
		requestedAt := boottime.Now()
		report, err := l.sidecar.engine.Report(ctx)
		switch {
		case err != nil:
			noLoadSince = 0
		case l.boot != 0 && report.Boot != l.boot:
			l.sidecar.applyReport(report, requestedAt)
			return false
		case report.Loading || loadedVersion(report.Models, l.target.Model) >= l.target.Version:
			return true
		case noLoadSince == 0:
			noLoadSince = requestedAt
		case requestedAt-noLoadSince >= lateOrderWindow:
			return false
		}
	}
	return false
}

// maxStageRounds limits the rounds of staging and verification.
const maxStageRounds = 3

// verifyTime is the time reserved before an order to read the staged pieces back.
const verifyTime = 80 * time.Millisecond

// maxVerificationAge is how long before an order the verification of its pieces may have begun.
// The rest of corruptionGrace is left for the order to arrive.
const maxVerificationAge = 2 * time.Second

// stageAndVerify stages the pieces at the server, reads each one back and returns the check that
// a load order may rely on.
//
// The server does not verify staged pieces. One that became corrupt before the load would
// make the server answer with corrupt weights, so a piece that does not match its digest
// is staged again.
func (l *loadTask) stageAndVerify(ctx context.Context) (freshness.Check, error) {
	s := l.sidecar
	for range maxStageRounds {
		check := freshness.Check{BegunAt: boottime.Now(), MaxAge: maxVerificationAge}
		corrupt, err := l.findCorrupt(ctx)
		if err != nil {
			return freshness.Check{}, err
		}
		if len(corrupt) == 0 {
			return check, nil
		}
		for _, piece := range corrupt {
			data, ok := s.cachedPiece(l.manifest.Digests[piece])
			if !ok {
				return freshness.Check{}, fmt.Errorf("piece %d of %s is no longer cached", piece, l.target.Model)
			}
			if err := s.engine.Stage(ctx, l.target.Model, piece, data); err != nil {
				return freshness.Check{}, err
			}
		}
	}
	return freshness.Check{}, fmt.Errorf("staged pieces of %s are still corrupt after %d rounds", l.target.Model, maxStageRounds)
}

// awaitVersion waits until the server reports that it holds the version.
func (l *loadTask) awaitVersion(ctx context.Context) error {
	s := l.sidecar
	for end := boottime.Now() + loadTimeout; boottime.Now() < end; {
		sleep(ctx, loadPollInterval)
		requestedAt := boottime.Now()
		report, err := s.engine.Report(ctx)
		if err != nil {
			return err
		}
		if l.boot != 0 && report.Boot != l.boot {
			s.applyReport(report, requestedAt)
			return errServerRestarted
		}
		if loadedVersion(report.Models, l.target.Model) >= l.target.Version {
			s.applyReport(report, requestedAt)
			s.mu.Lock()
			s.switching = false
			s.mu.Unlock()
			s.sendReport(true)
			s.log.Info("version served", zap.String("Model", l.target.Model), zap.Uint64("Version", l.target.Version))
			return nil
		}
		if !report.Loading {
			return fmt.Errorf("server neither loads nor serves version %d", l.target.Version)
		}
	}
	return fmt.Errorf("version %d not served after %v", l.target.Version, loadTimeout)
}
