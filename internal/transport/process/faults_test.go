package process_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/standin"
	"github.com/filbertlever/filbertlever/pkg/client"
)

// faults are the faults that can occur at any step. The host passed to inject is
// one that the step depends on.
var faults = []struct {
	name   string
	inject func(cl *cluster, host filbertlever.HostID)
}{
	{"Kill", func(cl *cluster, host filbertlever.HostID) { cl.kill(host) }},
	{"Pause", func(cl *cluster, host filbertlever.HostID) {
		cl.running[host].iface.setStalled(true)
		time.AfterFunc(8*time.Second, func() { cl.running[host].iface.setStalled(false) })
	}},
	{"Cut", func(cl *cluster, host filbertlever.HostID) { cl.running[host].iface.resetConns() }},
	{"Stall", func(cl *cluster, host filbertlever.HostID) { cl.running[host].iface.setStalled(true) }},
	{"PlatformDown", func(cl *cluster, _ filbertlever.HostID) { cl.platform.SetFaults(standin.Faults{Down: true}) }},
	{"PlannedStop", func(cl *cluster, host filbertlever.HostID) { cl.terminate(host) }},
	{"VersionChange", func(cl *cluster, _ filbertlever.HostID) { cl.rollOut(cl.bundle("2")) }},
	{"TwoAtOnce", func(cl *cluster, host filbertlever.HostID) {
		cl.kill(host)
		cl.kill("entry-2")
	}},
}

// A fault before the first token, in the middle of an answer or just before its
// end truncates the answer, duplicates tokens or mixes two versions.
func TestAnswerAtEachStepUnderEachFault(t *testing.T) {
	const tokens = 30
	for _, step := range []struct {
		name  string
		after int
	}{{"FirstToken", 0}, {"MidStream", tokens / 2}, {"Finish", tokens - 1}} {
		for _, fault := range faults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				runInCluster(t, smallCluster, func(cl *cluster) {
					c := cl.client(token)
					all := []*pendingAnswer{cl.ask(c, prompt, tokens), cl.ask(c, prompt, tokens), cl.ask(c, prompt, tokens)}
					cl.waitFor("the step under test", func() bool {
						for _, a := range all {
							if a.count() < step.after {
								return false
							}
						}
						return true
					})
					fault.inject(cl, cl.busiestAgent())
					for _, a := range all {
						<-a.done
						cl.Assert(a.err, qt.IsNil)
						version := "1"
						if a.answer.ModelVersion == "2" {
							version = "2"
						}
						cl.assertAnswer(a, version, prompt, tokens)
					}
				})
			})
		}
	}
}

// A fault when an order arrives, while it runs or when its result is recorded
// makes it run twice, or run although the caller got "not run".
func TestOrderAtEachStepUnderEachFault(t *testing.T) {
	for _, step := range []struct {
		name  string
		after time.Duration
	}{{"Claim", 0}, {"Dispatch", 50 * time.Millisecond}, {"Record", 99 * time.Millisecond}} {
		for _, fault := range faults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				runInCluster(t, smallCluster, func(cl *cluster) {
					o := cl.placeOrder(cl.client(token), pickup)
					time.Sleep(step.after)
					host := cl.hostOfOrder(pickup.Key)
					if host == "" {
						host = "billing-1"
					}
					fault.inject(cl, host)
					<-o.done
					cl.platform.SetFaults(standin.Faults{})
					cl.assertOrderOutcome(o.err)
				})
			})
		}
	}
}

// assertOrderOutcome asserts that the error that the caller got agrees with what
// has run, and that a retry does not run the order again.
func (cl *cluster) assertOrderOutcome(err error) {
	cl.t.Helper()
	runs := cl.orderRuns(pickup.Key)
	cl.Assert(runs <= 1, qt.IsTrue)
	if errors.Is(err, client.ErrNotRun) {
		cl.Assert(runs, qt.Equals, 0)
	}
	if err == nil {
		cl.Assert(runs, qt.Equals, 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = cl.client(token).Order(ctx, pickup)
	cl.Assert(cl.orderRuns(pickup.Key) <= 1, qt.IsTrue)
	if err == nil {
		cl.Assert(cl.orderRuns(pickup.Key), qt.Equals, 1)
	}
}

// A fault while a new bundle version spreads, after the first host has adopted it
// or after the first engine has switched leaves a host with the old bundle, or
// with weights that the bundle does not name.
func TestRolloutAtEachStepUnderEachFault(t *testing.T) {
	for _, step := range []struct {
		name    string
		reached func(cl *cluster) bool
	}{
		{"Spread", func(*cluster) bool { return true }},
		{"Adopt", func(cl *cluster) bool { return cl.agentsWithBundle(2) > 0 }},
		{"Switch", func(cl *cluster) bool { return cl.enginesServing("2") > 0 }},
	} {
		for _, fault := range faults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				runInCluster(t, smallCluster, func(cl *cluster) {
					cl.rollOut(cl.bundle("2"))
					cl.waitFor("the step under test", func() bool { return step.reached(cl) })
					want, target := "2", filbertlever.HostID("model-1")
					if fault.name == "VersionChange" {
						want, target = "3", ""
						cl.rollOut(cl.bundle("3"))
					} else {
						fault.inject(cl, target)
					}
					if fault.name == "PlatformDown" {
						time.Sleep(5 * time.Second)
						cl.platform.SetFaults(standin.Faults{})
					}
					cl.waitFor("the other engines to serve the version", func() bool { return cl.servesOnly("model-2", want) && cl.servesOnly("model-3", want) })
					cl.assertAnswer(cl.ask(cl.client(token), prompt, 5), want, prompt, 5)
				})
			})
		}
	}
}

// servesOnly reports whether a host's engine serves this version and no other.
func (cl *cluster) servesOnly(id filbertlever.HostID, version string) bool {
	versions := cl.engines[id].Versions()
	return len(versions) == 1 && versions[0] == version
}
