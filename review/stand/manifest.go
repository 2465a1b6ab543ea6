package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Bounds of the installation akwaaba-plans and of the disturbance.
const (
	recoveryTime = 12 * time.Second
	downTime     = 1600 * time.Millisecond
	garbleTime   = 8 * time.Second
	garbleShare  = 0.04
	// watchTime is how long the recovery is watched beyond recoveryTime.
	watchTime = 40 * time.Second
)

// playManifest plays the case of the spoilt manifest: all machines lose power right after a change was acknowledged. While they start again, one
// answer of the origin of weights is spoilt: one digit in the manifest of the version that the servers need.
func playManifest(in *installation, trouble bool) (bool, error) {
	if err := in.startServers(1); err != nil {
		return false, err
	}
	if err := in.startSystem(true); err != nil {
		return false, err
	}
	if err := in.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(in)
	go c.run(ctx, 20)
	before := time.Now()
	time.Sleep(8 * time.Second)
	in.record.note("change %d of the desired state is acknowledged, and all machines lose power", in.store.putConfig())
	fault := time.Now()
	in.kill()
	in.stopServers()
	time.Sleep(downTime)
	if trouble {
		in.origin.spoilNextManifest(time.Now().Add(garbleTime))
	}
	answersBefore, _, _ := in.origin.counts()
	if err := in.startServers(0); err != nil {
		return false, err
	}
	if err := in.startSystem(false); err != nil {
		return false, err
	}
	back := time.Now()
	in.record.note("all machines are back")
	time.Sleep(recoveryTime + watchTime)
	end := time.Now()
	cancel()
	time.Sleep(6500 * time.Millisecond)
	sentBefore, servedBefore := c.share(before, fault.Add(-time.Second))
	sentAfter, servedAfter := c.share(back.Add(recoveryTime), end)
	answers, manifests, spoilt := in.origin.counts()
	summary := fmt.Sprintf("before the fault %d of %d requests were served, later than %v after the machines were back %d of %d; the origin sent %d answers since then (manifests in all: %d), %d of them spoilt",
		servedBefore, sentBefore, recoveryTime, servedAfter, sentAfter, answers-answersBefore, manifests, spoilt)
	in.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case 4*servedBefore < sentBefore || sentBefore == 0 || sentAfter == 0:
		return false, errors.New("under a quarter was served before the fault")
	case trouble && (spoilt != 1 || float64(spoilt) > garbleShare*float64(answers-answersBefore)):
		return false, fmt.Errorf("%d of %d answers were spoilt, the limit is %v", spoilt, answers-answersBefore, garbleShare)
	}
	return 4*servedAfter < sentAfter, nil
}
