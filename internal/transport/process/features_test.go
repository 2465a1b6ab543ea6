package process_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/pkg/bundle"
	"github.com/filbertlever/filbertlever/pkg/client"
)

// An adapter must be fetched, verified and loaded like a model, after the model
// that it belongs to, and a new version must replace it.
func TestAdapterRolloutAndRequests(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		for _, version := range []string{"tone-1", "tone-2"} {
			b := cl.bundle("1")
			b.Models[0].Adapters = []bundle.Adapter{{Name: "tone", Version: version, Manifest: cl.addWeights(version)}}
			cl.rollOut(b)
			cl.waitFor("all engines to serve the adapter", func() bool {
				for _, engine := range cl.engines {
					if !engine.HasLoaded("drafter/tone", version) {
						return false
					}
				}
				return true
			})
			a := cl.askWith(cl.client(token), client.Question{Model: drafter, Adapter: "tone", Prompt: prompt, MaxTokens: 6})
			cl.assertAnswer(a, version, prompt, 6)
			cl.assertAnswer(cl.ask(cl.client(token), prompt, 6), "1", prompt, 6)
		}
	})
}

// The origin no longer has the model file, and no host gets the model although
// the weight store has its chunks. Some chunks arrive corrupted.
func TestWeightStoreReplacesMissingOriginFile(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		b := cl.bundle("2")
		cl.platform.RemoveFile("2")
		cl.platform.SetFaults(standin.Faults{CorruptEvery: 7})
		cl.rollOut(b)
		cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 3 })
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 10), "2", prompt, 10)
	})
}

// The logs contain prompts, answers, orders or tokens of organisations.
func TestLogsContainNoSecrets(t *testing.T) {
	config := smallCluster
	config.log = &logBuffer{}
	runInCluster(t, config, func(cl *cluster) {
		c := cl.client(token)
		a := cl.ask(c, prompt, 10)
		cl.assertAnswer(a, "1", prompt, 10)
		_, err := c.Order(cl.t.Context(), pickup)
		cl.Assert(err, qt.IsNil)
		_, err = cl.client("a guessed token").Lookup(cl.t.Context(), pickup.Key)
		cl.Assert(err, qt.IsNotNil)
		cl.kill("model-1")
		cl.assertAnswer(cl.ask(c, prompt, 10), "1", prompt, 10)
		time.Sleep(time.Second)
		lines := config.log.String()
		cl.Assert(lines, qt.Contains, "request routed")
		cl.Assert(lines, qt.Contains, "order placed")
		for _, secret := range []string{token, "guessed", prompt, string(pickup.Body), pickup.Key, a.pieces[3], "run 1"} {
			cl.Assert(strings.Contains(lines, secret), qt.IsFalse, qt.Commentf("%q is in the logs", secret))
		}
	})
}
