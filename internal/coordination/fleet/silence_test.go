package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// silenceRun plays a server that sends nothing for a time and then continues, as an entry of its region
// and one of another region see it.
type silenceRun struct {
	service string
	// silence is how long the server sends nothing, from silenceStart.
	silence time.Duration
	// given up is true if the entry cancels its requests once the server counts as stalled.
	givenUp bool
}

const (
	silenceStart   = 2070 * time.Millisecond
	silenceStep    = 10 * time.Millisecond
	gossipDelay    = 60 * time.Millisecond
	gossipPeriod   = 240 * time.Millisecond
	reportPeriod   = 200 * time.Millisecond
	silentRequests = 8
)

// play returns how long after the silence each of the two entries uses the server again.
func (r silenceRun) play(c *qt.C) (near, far time.Duration) {
	entries := []*Fleet{newFleet(), newFleet()}
	entries[1].config.Site, entries[1].config.Region = "b", "rb"
	version, wanted := uint64(0), Request{Service: r.service}
	if r.service == modelService {
		version, wanted.Model = 1, model
	}
	m1, m2 := newBackend("m1", r.service, "10.0.0.1:1", version), newBackend("m2", r.service, "10.0.0.2:1", version)
	for _, f := range entries {
		f.SetState(testState(), 0)
		f.Apply([]catalog.Backend{m1, m2}, nil, true, silenceStart-time.Second)
	}
	alone, open := wanted, 0
	alone.Avoid = append(alone.Avoid, "m2")
	report := func(b catalog.Backend, now time.Duration) {
		if version != 0 {
			entries[0].ApplyReport(Report{Address: b.Address, Sequence: uint64(now), Models: b.Models}, now)
		}
	}
	for open < silentRequests {
		c.Assert(entries[0].Choose(alone, silenceStart-silenceStep).Backend.ID, qt.Equals, "m1")
		open++
	}
	entries[0].RecordProgress("m1", silenceStart)
	report(m1, silenceStart)
	end := silenceStart + r.silence
	near, far = -1, -1
	var inTransit []string
	var sentAt time.Duration
	for now := silenceStart; now < end+20*time.Second && (near < 0 || far < 0); now += silenceStep {
		if now%reportPeriod == 0 {
			report(m2, now)
			if now >= end {
				report(m1, now)
			}
		}
		if now == end && open > 0 {
			entries[0].RecordProgress("m1", now)
		}
		entries[0].refresh(now)
		entries[1].refresh(now)
		if r.givenUp && now < end && now%(100*time.Millisecond) == 0 && entries[0].Stalled("m1", now) {
			for ; open > 0; open-- {
				entries[0].EndAttempt(m1, now)
			}
		}
		if now == end+50*time.Millisecond {
			for ; open > 0; open-- {
				entries[0].EndAttempt(m1, now)
			}
		}
		if r.givenUp && now < end && open == 0 && entries[0].servers["m1"].routerUsable {
			c.Assert(entries[0].Choose(alone, now).Found, qt.IsTrue)
			open++
		}
		if sentAt == 0 && now%gossipPeriod == 0 {
			inTransit, sentAt = entries[0].SilentServers(now), now
		}
		if sentAt != 0 && now-sentAt == gossipDelay {
			entries[1].SetPeerSilent("e1", inTransit, now)
			sentAt = 0
		}
		if near < 0 && now >= end && entries[0].servers["m1"].routerUsable {
			near = now - end
		}
		if far < 0 && now >= end && entries[1].servers["m1"].routerUsable {
			far = now - end
		}
	}
	return near, far
}

var silences = []time.Duration{300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, time.Second, 1400 * time.Millisecond, 3 * time.Second}

// A server that was silent for a second got no requests for seven more, as each request that had been given
// up there counted as one more failure.
func TestServerIsUsedAgainOnceItsSilenceEnds(t *testing.T) {
	for _, service := range []string{plainService, modelService} {
		for _, givenUp := range []bool{false, true} {
			for _, silence := range silences {
				t.Run(fmt.Sprintf("%s/%v/%v", service, givenUp, silence), func(t *testing.T) {
					longest := time.Duration(0)
					switch {
					case givenUp && service == modelService:
						longest = reportPeriod
					case givenUp:
						longest = silence
					}
					near, far := silenceRun{service, silence, givenUp}.play(qt.New(t))
					qt.Check(t, near >= 0 && near <= longest, qt.IsTrue, qt.Commentf("%v", near))
					qt.Check(t, far >= 0 && far <= near+gossipPeriod+gossipDelay, qt.IsTrue, qt.Commentf("%v after %v", far, near))
				})
			}
		}
	}
}

// A server that had sent nothing for any request counted as idle once these had been given up, and got a
// batch of new ones. It gets one, at first only if no other server is usable, and is no alternative.
func TestSilentServerGetsOneRequestAtATime(t *testing.T) {
	c := qt.New(t)
	f, o1, o2, now := newFleet(), newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0), time.Second
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{o1, o2}, nil, true, now)
	any, only := Request{Service: plainService}, Request{Service: plainService, Avoid: []filbertlever.HostID{"o2"}}
	placed := func(request Request) (atSilent int) {
		for range 4 * silentRequests {
			p := f.Choose(request, now)
			if p.Backend.ID == "o1" {
				atSilent++
			}
			if p.Found && p.Backend.ID != "o1" {
				f.Release(p.Backend.ID)
			}
		}
		return atSilent
	}
	for range silentRequests {
		c.Assert(f.Choose(only, now).Found, qt.IsTrue)
	}
	now += 400 * time.Millisecond
	for range silentRequests {
		f.EndAttempt(o1, now)
	}
	c.Check(placed(any), qt.Equals, 0)
	c.Check(f.HasAlternative(only, 0, now), qt.IsFalse)
	c.Check(placed(only), qt.Equals, 1)
	f.Release("o1")
	now += 400 * time.Millisecond
	c.Check(f.HasAlternative(only, 0, now), qt.IsFalse)
	c.Check(placed(any), qt.Equals, 1)
	c.Check(placed(only), qt.Equals, 0)
	f.RecordProgress("o1", now)
	c.Check(f.HasAlternative(only, 0, now), qt.IsTrue)
	c.Check(placed(only), qt.Equals, 4*silentRequests)
}

// Servers of another region stayed out of use for a second after each entry there had seen them continue.
// The gossip of one entry must not cancel that of another.
func TestGossipOfSilenceIsWithdrawnByItsEntry(t *testing.T) {
	c := qt.New(t)
	f, far, now := newFleet(), newBackend("m1", plainService, "10.0.0.1:1", 0), time.Second
	far.Site = "b"
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{far}, nil, true, now)
	used := func() bool {
		defer f.Release("m1")
		return f.Choose(Request{Service: plainService}, now).Found
	}
	f.SetPeerSilent("e2", []string{"m1"}, now)
	f.SetPeerSilent("e3", []string{"m1"}, now)
	c.Check(used(), qt.IsFalse)
	f.SetPeerSilent("e2", nil, now)
	c.Check(used(), qt.IsFalse)
	f.SetPeerSilent("e3", nil, now)
	c.Check(used(), qt.IsTrue)
	f.SetPeerSilent("e2", []string{"m1"}, now)
	c.Check(used(), qt.IsFalse)
	now += f.config.SilentTTL
	c.Check(used(), qt.IsTrue)
}

// The retry delay of a refused request depends on whether the servers that could take it are only silent.
func TestPlacementReportsSilenceOfAllServers(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(f *Fleet, now time.Duration)
		want time.Duration
	}{
		"silent": {func(*Fleet, time.Duration) {}, 500 * time.Millisecond},
		"given up": {func(f *Fleet, now time.Duration) {
			f.EndAttempt(f.servers["o1"].backend, now)
			f.Choose(Request{Service: plainService}, now)
		}, 500 * time.Millisecond},
		"one failed":      {func(f *Fleet, now time.Duration) { f.RecordFailure("o2", now) }, 500 * time.Millisecond},
		"one continues":   {func(f *Fleet, now time.Duration) { f.RecordProgress("o1", now) }, 0},
		"all have failed": {func(f *Fleet, now time.Duration) { f.RecordUnreachable("o1", now); f.RecordUnreachable("o2", now) }, 0},
	} {
		f, now := newFleet(), time.Second
		f.SetState(testState(), 0)
		f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)}, nil, true, now)
		for _, other := range []filbertlever.HostID{"o2", "o1"} {
			f.Choose(Request{Service: plainService, Avoid: []filbertlever.HostID{other}}, now)
		}
		now += 500 * time.Millisecond
		test.act(f, now)
		qt.Check(t, f.Choose(Request{Service: plainService}, now).SilentFor, qt.Equals, test.want, qt.Commentf(name))
	}
}

// A server that had failed one request and was silent got all others as the last resort.
func TestSilentServerIsNoLastResort(t *testing.T) {
	c := qt.New(t)
	f, o1, now := newFleet(), newBackend("o1", plainService, "10.0.0.1:1", 0), time.Second
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{o1}, nil, true, now)
	wanted := Request{Service: plainService}
	c.Assert(f.Choose(wanted, now).Found, qt.IsTrue)
	f.RecordFailure("o1", now)
	c.Check(f.Choose(wanted, now+100*time.Millisecond).Found, qt.IsTrue)
	c.Check(f.Choose(wanted, now+400*time.Millisecond).Found, qt.IsFalse)
	f.EndAttempt(o1, now+400*time.Millisecond)
	f.EndAttempt(o1, now+400*time.Millisecond)
	c.Check(f.Choose(wanted, now+400*time.Millisecond).Found, qt.IsTrue)
	c.Check(f.Choose(wanted, now+400*time.Millisecond).Found, qt.IsFalse)
	f.RecordProgress("o1", now+450*time.Millisecond)
	c.Check(f.Choose(wanted, now+450*time.Millisecond).Found, qt.IsTrue)
}

// All servers were silent for 1.4 s. Each of the requests in flight counted as late by that much, and for
// seconds callers with 2 s left were refused, as the predicted first event came too late for them.
func TestSilenceCountsOnceAsLateness(t *testing.T) {
	for _, silence := range silences[:len(silences)-1] {
		f, now := newFleetWithServer(modelService, 1), time.Second
		var placed []Placement
		for range silentRequests {
			placed = append(placed, f.Choose(wanted, now))
		}
		now += silence
		for _, p := range placed {
			f.RecordProgress("m1", now)
			f.RecordLatency("m1", p.PredictedLatency, silence, now)
		}
		p := f.Choose(wanted, now)
		forecast := admission.Forecast{QueuePosition: p.QueuePosition, PrefillWait: p.PrefillWait, Predicted: p.PredictedLatency}
		admitted, _ := admission.DefaultEntryGate().Admit(forecast, admission.Caller{Remaining: 2 * time.Second}, f.rng)
		qt.Check(t, admitted, qt.IsTrue, qt.Commentf("predicted %v after %v", p.PredictedLatency, silence))
	}
}

// A server whose first events always come late must not be taken for one that was silent each time.
func TestLateServerIsAvoidedAlthoughItStalls(t *testing.T) {
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	f.SetPeerCounts("entry-2", map[string]int{"m2": 8}, 0)
	now := time.Second
	for range 3 {
		p := f.Choose(Request{Service: modelService, Model: model, Avoid: []filbertlever.HostID{"m2"}}, now)
		now += 900 * time.Millisecond
		f.RecordProgress("m1", now)
		f.RecordLatency("m1", p.PredictedLatency, 900*time.Millisecond, now)
		f.EndAttempt(p.Backend, now)
	}
	qt.Assert(t, f.Choose(Request{Service: modelService, Model: model}, now).Backend.ID, qt.Equals, "m2")
}

// An entry was suspended for a second. When it continued, all servers seemed silent, and it gave up its
// requests before it had read what they had sent meanwhile.
func TestOwnSuspensionIsNoSilenceOfServers(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		c, f := qt.New(t), newFleetWithServer(modelService, 1)
		plain, now := newBackend("o1", plainService, "10.0.0.9:1", 0), time.Second
		f.Apply([]catalog.Backend{plain}, nil, false, now)
		run := func(until time.Duration) {
			for ; now < until; now += 25 * time.Millisecond {
				f.Tick(now)
				f.refresh(now)
			}
		}
		run(2 * time.Second)
		f.ApplyReport(Report{Address: address, Models: f.servers["m1"].backend.Models}, now)
		for range silentRequests {
			f.Choose(wanted, now)
			f.Choose(Request{Service: plainService}, now)
		}
		predicted := f.Choose(wanted, now).PredictedLatency
		now += time.Second
		if ticked {
			f.Tick(now)
		}
		c.Check(f.Stalled("m1", now) || f.Stalled("o1", now), qt.IsFalse)
		c.Check(f.SilentServers(now), qt.HasLen, 0)
		f.EndAttempt(plain, now)
		c.Check(f.Choose(Request{Service: plainService}, now).Found, qt.IsTrue)
		f.RecordProgress("m1", now)
		f.RecordLatency("m1", predicted, time.Second, now)
		c.Check(f.Choose(wanted, now).PredictedLatency < 2*predicted, qt.IsTrue)
		run(now + f.config.PlainStallTimeout + 200*time.Millisecond)
		c.Check(f.Stalled("o1", now), qt.IsTrue, qt.Commentf("a silence after the suspension is not seen"))
	}
}

// All servers of a service were silent until the requests at them had run out of time. Each awaited its
// next probe, and for up to 1.6 s after they had continued all new requests were refused.
func TestNoRefusalsOnceAllServersContinue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := rapid.SampledFrom([]string{plainService, modelService}).Draw(t, "service")
		timeout := time.Duration(rapid.IntRange(50, 600).Draw(t, "timeout")) * silenceStep
		silence := time.Duration(rapid.IntRange(20, 300).Draw(t, "silence")) * silenceStep
		f, request, models := newFleet(), Request{Service: service}, uint64(0)
		if service == modelService {
			request.Model, models = model, 1
		}
		f.SetState(testState(), 0)
		var rows []catalog.Backend
		for i := range 3 {
			rows = append(rows, newBackend(fmt.Sprint("s", i), service, fmt.Sprintf("10.0.0.%d:1", i), models))
		}
		f.Apply(rows, nil, true, silenceStart-time.Second)
		const firstAnswer = 30 * time.Millisecond
		type sent struct {
			backend catalog.Backend
			at      time.Duration
		}
		var open []sent
		end, served := silenceStart+silence, 0
		for now := silenceStart - time.Second; now < end+5*time.Second; now += silenceStep {
			silent := now >= silenceStart && now < end
			f.Tick(now)
			open = slices.DeleteFunc(open, func(s sent) bool {
				answered := !silent && now-s.at >= firstAnswer
				if answered {
					f.RecordProgress(s.backend.ID, now)
				}
				if answered || now-s.at >= timeout {
					f.EndAttempt(s.backend, now)
					return true
				}
				return false
			})
			if now%reportPeriod == 0 && !silent && models != 0 {
				for _, row := range rows {
					f.ApplyReport(Report{Address: row.Address, Sequence: uint64(now), Models: row.Models}, now)
				}
			}
			placement := f.Choose(request, now)
			if placement.Found {
				open = append(open, sent{placement.Backend, now})
			}
			if now >= end+firstAnswer {
				if !placement.Found {
					t.Fatalf("refused %v after a silence of %v", now-end, silence)
				}
				served++
			}
		}
		if served == 0 {
			t.Fatal("no requests")
		}
	})
}

// A server that had failed got a batch of requests each time that its suspicion ended, before the first of
// them failed too.
func TestFailedServerGetsOneRequestUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	f, now := newFleet(), time.Second
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)}, nil, true, now)
	placed := func() int {
		n := 0
		for range 40 {
			if f.Choose(Request{Service: plainService}, now).Backend.ID == "o1" {
				n++
			}
		}
		return n
	}
	f.RecordFailure("o1", now)
	c.Check(placed(), qt.Equals, 0)
	now += 500 * time.Millisecond
	f.RecordProgress("o2", now)
	c.Check(placed(), qt.Equals, 1)
	f.RecordProgress("o1", now)
	f.RecordProgress("o2", now)
	c.Check(placed() > 1, qt.IsTrue)
}

// A server that pauses once is not slow: the gap across the silence must not keep requests from it.
func TestSilenceMakesNoServerSlow(t *testing.T) {
	for _, streams := range []int{1, 4, 16} {
		for _, silence := range silences {
			f, now := newFleetWithServer(modelService, 1), time.Second
			s := f.servers["m1"]
			for range streams {
				f.Choose(wanted, now)
			}
			for paused := false; now < 12*time.Second; {
				gap := expectedGap(f.engine(s), f.batchSize(s, f.engine(s), now))
				if now > 5*time.Second && !paused {
					gap, paused = gap+silence, true
				}
				now += gap
				f.RecordGaps(s.backend, slices.Repeat([]EventGap{{Gap: gap, At: now}}, streams), now)
				f.RefreshSpeeds(now)
				qt.Assert(t, f.SlowCount(), qt.Equals, 0, qt.Commentf("%d streams, %v after a silence of %v", streams, now-5*time.Second, silence))
			}
		}
	}
}
