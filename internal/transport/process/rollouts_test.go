package process_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/pkg/bundle"
)

// A rollout in the middle of an answer makes the answer begin with one model
// version and end with another.
func TestRolloutDuringAnswers(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		all := cl.startAnswers(c, 6, 100)
		cl.rollOut(cl.bundle("2"))
		cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 3 })
		cl.assertAnswer(cl.ask(c, prompt, 10), "2", prompt, 10)
		cl.assertAnswers(all, "1", 100)
	})
}

// The platform fails after it accepted a rollout and before any entry has read
// the new bundle, and no host adopts the bundle.
func TestPlatformOutageAfterRollout(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		head, signed := cl.rollOut(cl.bundle("2"))
		cl.platform.SetFaults(standin.Faults{Down: true})
		reached, err := operator.Announce(cl.t.Context(), cl.operatorSettings(), cl.network.iface("10.0.9.2"), head, signed)
		cl.Assert(err, qt.IsNil)
		cl.Assert(reached, qt.Equals, 2)
		elapsed := cl.waitFor("all agents to adopt the bundle", func() bool { return cl.agentsWithBundle(2) == 5 })
		cl.Assert(elapsed < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", elapsed))
	})
}

// agentsWithBundle returns how many agents have adopted at least a bundle version,
// as reported by the entries.
func (cl *cluster) agentsWithBundle(version uint64) int {
	status, err := operator.ReadStatusOver(cl.t.Context(), cl.operatorSettings(), cl.network.iface("10.0.9.2"))
	if err != nil {
		return 0
	}
	n := 0
	for _, h := range status.Hosts {
		if h.Host.Role == filbertlever.RoleAgent && h.ActiveVersion >= version {
			n++
		}
	}
	return n
}

// Two operators roll out bundles at the same time, and hosts end up with
// different bundles.
func TestConcurrentRolloutsByTwoOperators(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		a, b := cl.bundle("2"), cl.bundle("3")
		errs := make(chan error, 2)
		for _, next := range []*bundle.Bundle{a, b} {
			signed := cl.sign(next)
			cl.group.Go(func() {
				platformClient := cl.platformClient()
				defer platformClient.Close()
				_, err := operator.Roll(cl.t.Context(), platformClient, signed, cl.operators(), 1)
				errs <- err
			})
		}
		first, second := <-errs, <-errs
		cl.Assert(errors.Is(errors.Join(first, second), operator.ErrConflict), qt.IsTrue)
		cl.Assert(first == nil || second == nil, qt.IsTrue)
		cl.waitFor("all engines to serve the same version", func() bool { return cl.enginesServing("2") == 3 || cl.enginesServing("3") == 3 })
		winner := cl.enginesServing("3") == 3
		time.Sleep(30 * time.Second)
		cl.Assert(cl.enginesServing("3") == 3, qt.Equals, winner)
	})
}

// The version changes twice while weights are being transferred, and hosts serve
// the intermediate version or load a mix of versions.
func TestVersionChangesTwiceDuringTransfer(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		cl.rollOut(cl.bundle("2"))
		cl.rollOut(cl.bundle("3"))
		cl.rollOut(cl.bundle("4"))
		cl.waitFor("all engines to serve version 4", func() bool { return cl.enginesServing("4") == 3 })
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 10), "4", prompt, 10)
	})
}

// Chunks from the origin arrive corrupted, and a host serves damaged weights.
func TestCorruptChunksFromOrigin(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		cl.platform.SetFaults(standin.Faults{CorruptEvery: 5})
		cl.rollOut(cl.bundle("2"))
		cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 3 })
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 10), "2", prompt, 10)
	})
}

// The origin stalls every transfer, and hosts never get the model after it
// recovers.
func TestOriginStallsAndRecovers(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		cl.platform.SetFaults(standin.Faults{Stall: true})
		cl.rollOut(cl.bundle("2"))
		time.Sleep(20 * time.Second)
		cl.Assert(cl.enginesServing("1"), qt.Equals, 3)
		cl.platform.SetFaults(standin.Faults{})
		cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 3 })
	})
}

// An agent that fetches from the origin or relays chunks is killed or stalls
// during a transfer, and the other agents never get the model.
func TestAgentKilledAndAgentStalledDuringTransfer(t *testing.T) {
	runInCluster(t, clusterConfig{entries: 2, models: 8}, func(cl *cluster) {
		cl.platform.SetFaults(standin.Faults{Slow: 100 * time.Millisecond})
		cl.rollOut(cl.bundle("2"))
		cl.kill("model-2")
		cl.running["model-5"].iface.setStalled(true)
		cl.waitFor("the running agents to serve version 2", func() bool { return cl.enginesServing("2") >= 6 })
		cl.running["model-5"].iface.setStalled(false)
		cl.waitFor("the stalled agent to serve version 2", func() bool { return cl.enginesServing("2") >= 7 })
	})
}

// An agent that restarts without weights never loads the model, or fetches it
// from the origin again.
func TestAgentRestartsWithoutWeights(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		fetched := cl.platform.OriginBytes()
		cl.kill("model-2")
		cl.start("model-2")
		cl.waitFor("the engine to load again", func() bool {
			_, _, loads := cl.engines["model-2"].Counts()
			return loads == 2
		})
		cl.Assert(cl.platform.OriginBytes()-fetched <= weightsBytes/4, qt.IsTrue, qt.Commentf("%d bytes fetched", cl.platform.OriginBytes()-fetched))
	})
}

// An engine refuses to load the model for a while, and its host never serves the
// model.
func TestEngineRefusesLoad(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		cl.engines["model-1"].SetFaults(standin.EngineFaults{RefuseLoads: 3})
		cl.rollOut(cl.bundle("2"))
		cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 3 })
	})
}

// A bundle without signatures, or one that was changed after signing, is rolled
// out.
func TestBundleWithInvalidSignatureIsRejected(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		platformClient := cl.platformClient()
		defer platformClient.Close()
		unsigned := cl.sign(cl.bundle("2"))
		unsigned.Signatures = nil
		_, err := operator.Roll(cl.t.Context(), platformClient, unsigned, cl.operators(), 1)
		cl.Assert(errors.Is(err, operator.ErrNotRun), qt.IsTrue)
		cl.Assert(errors.Is(err, bundle.ErrSignOffs), qt.IsTrue)
		changed := cl.sign(cl.bundle("2"))
		changed.Body = append(changed.Body, '\n')
		_, err = operator.Roll(cl.t.Context(), platformClient, changed, cl.operators(), 1)
		cl.Assert(errors.Is(err, bundle.ErrSignature), qt.IsTrue)
		time.Sleep(10 * time.Second)
		cl.Assert(cl.enginesServing("1"), qt.Equals, 3)
	})
}

// An agent is paused and replaced. When it resumes, it still assumes that it
// holds the lease of the engine and makes the engine load its weights.
func TestReplacedAgentSendsNoMoreLoads(t *testing.T) {
	for _, ignoresFencing := range []bool{false, true} {
		config := smallCluster
		config.ignoresFencing = ignoresFencing
		runInCluster(t, config, func(cl *cluster) {
			replaced := cl.running["model-1"]
			defer func() {
				replaced.cancel()
				<-replaced.done
			}()
			replaced.iface.stallAndRelease()
			cl.start("model-1")
			cl.rollOut(cl.bundle("2"))
			cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 3 })
			_, _, loads := cl.engines["model-1"].Counts()
			replaced.iface.setStalled(false)
			time.Sleep(30 * time.Second)
			_, _, after := cl.engines["model-1"].Counts()
			cl.Assert(after, qt.Equals, loads)
			cl.Assert(cl.enginesServing("2"), qt.Equals, 3)
		})
	}
}
