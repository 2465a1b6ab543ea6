package process_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/pkg/client"
)

const prompt = "draft a clause on late pickups"

// busiestAgent returns the model host whose engine runs the most requests.
func (cl *cluster) busiestAgent() filbertlever.HostID {
	var best filbertlever.HostID
	mostRunning := -1
	for id, engine := range cl.engines {
		if running, _, _ := engine.Counts(); running > mostRunning {
			best, mostRunning = id, running
		}
	}
	return best
}

// startAnswers sends n model requests and waits until each has five tokens.
func (cl *cluster) startAnswers(c *client.Client, n, tokens int) []*pendingAnswer {
	var all []*pendingAnswer
	for range n {
		all = append(all, cl.ask(c, prompt, tokens))
	}
	cl.waitFor("the first tokens of all answers", func() bool {
		for _, a := range all {
			if a.count() < 5 {
				return false
			}
		}
		return true
	})
	return all
}

// assertAnswers asserts that each answer is complete and from one version.
func (cl *cluster) assertAnswers(all []*pendingAnswer, version string, tokens int) {
	cl.t.Helper()
	for _, a := range all {
		cl.assertAnswer(a, version, prompt, tokens)
	}
}

// The client gets part of an answer because the agent that streamed it was
// killed.
func TestAgentKilledMidAnswer(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 60)
		cl.kill(cl.busiestAgent())
		cl.assertAnswers(all, "1", 60)
	})
}

// The link to an agent stalls without a connection error, the entry waits
// indefinitely, and the client gets part of an answer.
func TestAgentLinkStallsMidAnswer(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 60)
		cl.running[cl.busiestAgent()].iface.setStalled(true)
		cl.assertAnswers(all, "1", 60)
	})
}

// An engine hangs while its agent keeps running, and the client gets part of an
// answer.
func TestEngineHangsMidAnswer(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		for id, engine := range cl.engines {
			if id != "model-3" {
				engine.SetFaults(standin.EngineFaults{StallAfter: 7})
			}
		}
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 30), "1", prompt, 30)
	})
}

// slowEngines makes each token of answers that start from now on take the given time. The cluster's token
// time must be enginePrefillTime.
func (cl *cluster) slowEngines(tokenTime time.Duration) {
	for _, engine := range cl.engines {
		engine.SetFaults(standin.EngineFaults{Slowdown: float64(tokenTime) / float64(enginePrefillTime)})
	}
}

// generateCalls returns how many attempts have reached the engines.
func (cl *cluster) generateCalls() int {
	total := 0
	for _, engine := range cl.engines {
		calls, _ := engine.GenerateCounts()
		total += calls
	}
	return total
}

// The entry ends an answer at a silent agent that would have gone on, although no other host has the model.
func TestSilentAgentWithoutAnotherHost(t *testing.T) {
	for _, test := range []struct {
		name      string
		tokenTime time.Duration
		tokens    int
	}{{"MidAnswer", 4 * time.Second, 6}, {"BeforeFirstToken", 11 * time.Second, 2}} {
		t.Run(test.name, func(t *testing.T) {
			config := smallCluster
			config.models, config.tokenTime = 1, enginePrefillTime
			runInCluster(t, config, func(cl *cluster) {
				cl.slowEngines(test.tokenTime)
				cl.assertAnswer(cl.ask(cl.client(token), prompt, test.tokens), "1", prompt, test.tokens)
				cl.Assert(cl.generateCalls(), qt.Equals, 1)
			})
		})
	}
}

// spendRetryBudget cuts off answers until the only entry refuses to retry them.
func (cl *cluster) spendRetryBudget(c *client.Client) {
	for range 40 {
		all := cl.startAnswers(c, 16, 60)
		for id := range cl.engines {
			cl.running[id].iface.resetConns()
			time.Sleep(100 * time.Millisecond)
		}
		spent := false
		for _, a := range all {
			<-a.done
			spent = spent || a.err != nil && strings.Contains(a.err.Error(), "backend server was lost")
		}
		time.Sleep(10 * time.Second)
		if spent {
			return
		}
	}
	cl.Fatalf("the retry budget is not spent")
}

// The entry ends answers at silent agents that would have gone on, although the retry budget is spent.
func TestSilentAgentWithoutRetryBudget(t *testing.T) {
	config := smallCluster
	config.entries, config.models, config.tokenTime = 1, 2, enginePrefillTime
	runInCluster(t, config, func(cl *cluster) {
		c := cl.client(token)
		cl.spendRetryBudget(c)
		before := cl.generateCalls()
		cl.slowEngines(4 * time.Second)
		var all []*pendingAnswer
		for range 4 {
			all = append(all, cl.ask(c, prompt, 6))
		}
		cl.assertAnswers(all, "1", 6)
		// The new requests add to both parts of the budget, which may then allow one attempt each.
		cl.Assert(cl.generateCalls()-before <= len(all)+2, qt.IsTrue)
	})
}

// Both hosts are silent for longer than the entry waits, and the second attempt ends the first one before
// either has gone on.
func TestSecondAttemptAtASilentAgent(t *testing.T) {
	config := smallCluster
	config.models, config.tokenTime, config.log = 2, enginePrefillTime, &logBuffer{}
	runInCluster(t, config, func(cl *cluster) {
		cl.slowEngines(4 * time.Second)
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 6), "1", prompt, 6)
		cl.Assert(cl.generateCalls() > 1, qt.IsTrue)
		cl.Assert(cl.log.String(), qt.Not(qt.Contains), "attempt failed")
	})
}

// A silent agent would have gone on, but the answer ends because all attempts beside it fail.
func TestSecondAttemptFails(t *testing.T) {
	config := smallCluster
	config.models, config.tokenTime = 5, enginePrefillTime
	runInCluster(t, config, func(cl *cluster) {
		cl.slowEngines(4 * time.Second)
		answer := cl.ask(cl.client(token), prompt, 6)
		time.Sleep(time.Second)
		for _, engine := range cl.engines {
			engine.SetFaults(standin.EngineFaults{FailShare: 1})
		}
		cl.assertAnswer(answer, "1", prompt, 6)
		cl.Assert(cl.generateCalls(), qt.Equals, retry.MaxAttempts)
	})
}

// Answers that have not begun are sent to a second agent that has no free slot, and delay those that run there.
func TestSecondAttemptNeedsAFreeSlot(t *testing.T) {
	config := smallCluster
	config.entries, config.models, config.tokenTime, config.log = 1, 2, enginePrefillTime, &logBuffer{}
	runInCluster(t, config, func(cl *cluster) {
		cl.slowEngines(11 * time.Second)
		c := cl.client(token)
		var all []*pendingAnswer
		for range 16 {
			all = append(all, cl.ask(c, prompt, 1))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10700 * time.Millisecond)
		cl.Assert(cl.generateCalls(), qt.Equals, 16)
		cl.Assert(cl.log.String(), qt.Not(qt.Contains), "second attempt started")
		cl.assertAnswers(all, "1", 1)
	})
}

// The client ends its answer at an entry that was silent for longer than the client's idle timeout and then
// went on.
func TestSilentEntry(t *testing.T) {
	for entries, maxCalls := range map[int]int{1: 1, 2: 4} {
		config := smallCluster
		config.entries, config.models, config.tokenTime = entries, 1, enginePrefillTime
		runInCluster(t, config, func(cl *cluster) {
			cl.slowEngines(16 * time.Second)
			answer := cl.ask(cl.client(token), prompt, 2)
			cl.assertAnswer(answer, "1", prompt, 2)
			cl.Assert(answer.answer.ModelVersion, qt.Equals, "1")
			cl.Assert(cl.generateCalls() <= maxCalls, qt.IsTrue)
		})
	}
}

// The client gets part of an answer because the entry that it was connected to
// was killed.
func TestEntryKilledMidAnswer(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 60)
		cl.kill("entry-1")
		cl.assertAnswers(all, "1", 60)
	})
}

// An agent and an entry are killed at the same time, and half of the answers
// break off.
func TestAgentAndEntryKilledTogether(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 60)
		cl.kill("entry-2")
		cl.kill(cl.busiestAgent())
		cl.assertAnswers(all, "1", 60)
	})
}

// A planned stop cuts off running answers, or the agent keeps accepting
// requests. Answers that outlast the stop must resume on another agent, and the
// stopping agent must exit.
func TestPlannedStopOfAnAgent(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 400)
		stopping := cl.busiestAgent()
		platformClient := cl.platformClient()
		defer platformClient.Close()
		cl.Assert(operator.PlanStop(cl.t.Context(), platformClient, stopping, false), qt.IsNil)
		time.Sleep(4 * time.Second)
		before, _, _ := cl.engines[stopping].Counts()
		newAnswers := cl.startAnswers(cl.client(token), 6, 20)
		after, _, _ := cl.engines[stopping].Counts()
		cl.Assert(after <= before, qt.IsTrue)
		cl.assertAnswers(newAnswers, "1", 20)
		cl.Assert(cl.waitExit(stopping) < 10*time.Second, qt.IsTrue)
		cl.assertAnswers(all, "1", 400)
	})
}

// SIGTERM on an entry cuts off the answers that it relays, or callers that still
// use its address wait for an entry that has exited.
func TestPlannedStopOfAnEntry(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		all := cl.startAnswers(c, 6, 100)
		cl.terminate("entry-1")
		time.Sleep(3 * time.Second)
		cl.assertAnswer(cl.ask(c, prompt, 10), "1", prompt, 10)
		located, err := cl.client(token).Locate(cl.t.Context())
		cl.Assert(err, qt.IsNil)
		cl.Assert(located.Entries, qt.HasLen, 1)
		cl.assertAnswers(all, "1", 100)
		cl.waitExit("entry-1")
		cl.assertAnswer(cl.ask(c, prompt, 10), "1", prompt, 10)
	})
}

// An agent and an entry drain at the same time, and each waits for the other.
func TestPlannedStopOfAgentAndEntryTogether(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 100)
		cl.terminate("entry-1")
		cl.terminate("model-1")
		cl.assertAnswers(all, "1", 100)
		cl.Assert(cl.waitExit("model-1") < 10*time.Second, qt.IsTrue)
		cl.Assert(cl.waitExit("entry-1") < 10*time.Second, qt.IsTrue)
	})
}

// An agent is killed while it drains, and its answers break off.
func TestAgentKilledDuringPlannedStop(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		all := cl.startAnswers(cl.client(token), 6, 100)
		stopping := cl.busiestAgent()
		cl.terminate(stopping)
		time.Sleep(time.Second)
		cl.kill(stopping)
		cl.assertAnswers(all, "1", 100)
	})
}

// A site is partitioned without connection errors, so that half of the hosts and
// half of the entries are unreachable, and becomes reachable again later.
func TestSitePartitionAndRecovery(t *testing.T) {
	runInCluster(t, clusterConfig{entries: 4, models: 6, services: 2, tokenTime: 50 * time.Millisecond}, func(cl *cluster) {
		c := cl.client(token)
		all := cl.startAnswers(c, 8, 60)
		var partitioned []filbertlever.HostID
		for _, h := range cl.hosts {
			if h.Site == "site-1" {
				partitioned = append(partitioned, h.ID)
				cl.running[h.ID].iface.setStalled(true)
			}
		}
		cl.assertAnswers(all, "1", 60)
		cl.assertAnswer(cl.ask(c, prompt, 10), "1", prompt, 10)
		for _, id := range partitioned {
			cl.running[id].iface.setStalled(false)
		}
		cl.rollOut(cl.bundle("2"))
		cl.waitFor("all engines to serve version 2", func() bool { return cl.enginesServing("2") == 6 })
		cl.assertAnswer(cl.ask(c, prompt, 10), "2", prompt, 10)
	})
}

// The caller disconnects, and the engine keeps generating the answer.
func TestEngineStopsWhenCallerDisconnects(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		_, err := cl.client(token).Ask(ctx, client.Question{Model: drafter, Prompt: prompt, MaxTokens: 1000}, func([]string) error {
			cancel()
			return nil
		})
		cl.Assert(errors.Is(err, client.ErrIncomplete), qt.IsTrue)
		cl.waitFor("engines to have no running requests", func() bool {
			total := 0
			for _, engine := range cl.engines {
				running, _, _ := engine.Counts()
				total += running
			}
			return total == 0
		})
	})
}

// A caller disconnects in the middle of an answer, and no log line says how its request ended.
func TestDisconnectOfCallerIsLogged(t *testing.T) {
	config := smallCluster
	config.log = &logBuffer{}
	runInCluster(t, config, func(cl *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		_, err := cl.client(token).Ask(ctx, client.Question{Model: drafter, Prompt: prompt, MaxTokens: 1000}, func([]string) error {
			cancel()
			return nil
		})
		cl.Assert(errors.Is(err, client.ErrIncomplete), qt.IsTrue)
		cl.waitFor("the end in the log", func() bool {
			lines := config.log.String()
			return strings.Contains(lines, `"msg":"request ended"`) && strings.Contains(lines, `"Outcome":"CallerLeft"`)
		})
	})
}

// An organisation reads the order of another one by its key, or a caller without
// a valid token is served.
func TestOrganisationsAreIsolated(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		first, second := cl.client(token), cl.client(otherToken)
		ctx := cl.t.Context()
		order := client.Order{Key: "pickup-1", Service: "billing", Call: "OrderPickup", Body: []byte("skip 7")}
		_, err := first.Order(ctx, order)
		cl.Assert(err, qt.IsNil)
		_, err = second.Lookup(ctx, "pickup-1")
		cl.Assert(err, qt.ErrorMatches, ".*no order with this key")
		answer, err := second.Order(ctx, order)
		cl.Assert(err, qt.IsNil)
		cl.Assert(string(answer), qt.Contains, "hauler-2")
		_, err = cl.client("guess").Ask(ctx, client.Question{Model: drafter, Prompt: prompt, MaxTokens: 3}, nil)
		cl.Assert(err, qt.ErrorMatches, ".*token is not that of an organisation")
	})
}

// During an outage of the platform, model requests fail, or an order is reported
// as of unknown outcome although it was never claimed.
func TestPlatformOutage(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		c := cl.client(token)
		cl.platform.SetFaults(standin.Faults{Down: true})
		time.Sleep(time.Minute)
		cl.assertAnswer(cl.ask(c, prompt, 10), "1", prompt, 10)
		ctx, cancel := context.WithTimeout(cl.t.Context(), 800*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := c.Order(ctx, client.Order{Key: "pickup-1", Service: "billing", Call: "OrderPickup"})
		cl.Assert(errors.Is(err, client.ErrNotRun), qt.IsTrue, qt.Commentf("%v", err))
		cl.Assert(time.Since(start) < time.Second, qt.IsTrue)
		cl.Assert(cl.orderRuns("pickup-1"), qt.Equals, 0)
		cl.platform.SetFaults(standin.Faults{})
		_, err = c.Order(cl.t.Context(), client.Order{Key: "pickup-1", Service: "billing", Call: "OrderPickup"})
		cl.Assert(err, qt.IsNil)
		cl.Assert(cl.orderRuns("pickup-1"), qt.Equals, 1)
	})
}

// The engine switches weights during a request, and the rest of the answer comes
// from the other weights.
func TestEngineSwitchesWeightsMidAnswer(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		for id, engine := range cl.engines {
			if id != "model-3" {
				engine.SetFaults(standin.EngineFaults{SwitchAfter: 4})
			}
		}
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 12), "1", prompt, 12)
	})
}

// An organisation learns from the latency of an answer which prompts another
// organisation has sent.
func TestPromptCachesAreIsolated(t *testing.T) {
	config := smallCluster
	config.models, config.cachedPrompts = 1, 8
	runInCluster(t, config, func(cl *cluster) {
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 5), "1", prompt, 5)
		cl.assertAnswer(cl.ask(cl.client(otherToken), prompt, 5), "1", prompt, 5)
		_, hits := cl.engines["model-1"].GenerateCounts()
		cl.Assert(hits, qt.Equals, 0)
		cl.assertAnswer(cl.ask(cl.client(token), prompt, 5), "1", prompt, 5)
		_, hits = cl.engines["model-1"].GenerateCounts()
		cl.Assert(hits, qt.Equals, 1)
	})
}

// An agent that has just started reports ready and gets requests before it has
// a bundle.
func TestNotReadyBeforeFirstBundle(t *testing.T) {
	runInCluster(t, smallCluster, func(cl *cluster) {
		cl.Assert(cl.readyz("10.0.2.1"), qt.Equals, http.StatusOK)
		cl.kill("model-1")
		for id, p := range cl.running {
			p.iface.setStalled(id != "model-1")
		}
		cl.platform.SetFaults(standin.Faults{Down: true})
		cl.start("model-1")
		time.Sleep(10 * time.Second)
		cl.Assert(cl.readyz("10.0.2.1"), qt.Equals, http.StatusServiceUnavailable)
	})
}

// readyz returns the status code of /readyz of the process at an IP address.
func (cl *cluster) readyz(ip string) int {
	ifc := cl.network.iface("10.0.9.3")
	c := &http.Client{Transport: &http.Transport{DialContext: ifc.DialContext, DisableKeepAlives: true}}
	response, err := c.Get("http://" + ip + ":9/readyz")
	cl.Assert(err, qt.IsNil)
	defer response.Body.Close()
	return response.StatusCode
}
