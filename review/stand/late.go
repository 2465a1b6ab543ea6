package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Bounds of the disturbance of the store: how long it lasts, the share of writes that are performed late, and
// how late these are.
const (
	lostTime  = 4500 * time.Millisecond
	lostShare = 0.35
	lateTime  = 5800 * time.Millisecond
)

// playLate plays the case in which answers of the store are lost before all machines lose power. The last
// write of the model server is performed seconds later, when another server runs at its address.
func playLate(in *installation, trouble bool) (bool, error) {
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
	time.Sleep(3 * time.Second)
	faultAt := time.Now().Add(lostTime)
	if trouble {
		in.store.loseAnswers(faultAt)
	}
	time.Sleep(time.Until(faultAt))
	in.record.note("change %d of the desired state is acknowledged, and all machines lose power", in.store.putConfig())
	in.kill()
	in.stopServers()
	time.Sleep(downTime)
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
	sentBefore, servedBefore := c.share(before, faultAt.Add(-time.Second))
	sentAfter, servedAfter := c.share(back.Add(recoveryTime), end)
	writes, late := in.store.lost()
	summary := fmt.Sprintf("before the fault %d of %d requests were served, later than %v after the machines were back %d of %d; in the %v before the fault the servers made %d writes, %d of them were performed %v later",
		servedBefore, sentBefore, recoveryTime, servedAfter, sentAfter, lostTime, writes, late, lateTime)
	in.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case 4*servedBefore < sentBefore || sentBefore == 0 || sentAfter == 0:
		return false, errors.New("under a quarter was served before the fault")
	case trouble && (late == 0 || float64(late) > lostShare*float64(writes)):
		return false, fmt.Errorf("%d of %d writes were late, the limit is %v", late, writes, lostShare)
	}
	return 4*servedAfter < sentAfter, nil
}

// loseAnswers makes the last write of each model server before a time late.
func (o *operator) loseAnswers(end time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lateFrom, o.lateTo, o.lateBy, o.writesFrom = end.Add(-heartbeat), end, lateTime, end.Add(-lostTime)
}

// lost returns how many writes the servers made while answers were lost, and how many of them were late.
func (o *operator) lost() (writes, late int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writes, o.lateWrites
}
