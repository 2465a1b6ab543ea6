package suspension_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/suspension"
)

const ms = time.Millisecond

// A process that continues must not take the time of its suspension for the silence of others, nor forget
// how long they were silent before.
func TestTimeOfSuspensionDoesNotCount(t *testing.T) {
	c := qt.New(t)
	var d suspension.Detector
	c.Check(d.Elapsed(-time.Second, 5*time.Second), qt.Equals, 6*time.Second)
	now := 6 * time.Second
	for range 40 {
		now += 25 * ms
		d.Tick(now)
	}
	c.Check(d.Elapsed(now-700*ms, now), qt.Equals, 700*ms)
	from := now
	now += time.Second
	for range 2 {
		c.Check(d.Elapsed(from-700*ms, now), qt.Equals, 700*ms)
		c.Check(d.Elapsed(from+500*ms, now), qt.Equals, time.Duration(0))
		c.Check(d.Interrupted(from, now), qt.IsTrue)
		d.Tick(now)
	}
	until := now
	for range 20 {
		now += 25 * ms
		d.Tick(now)
	}
	c.Check(d.Elapsed(from-700*ms, now), qt.Equals, 1050*ms)
	c.Check(d.Elapsed(until, now), qt.Equals, 350*ms)
	c.Check(d.Elapsed(until+200*ms, now), qt.Equals, 300*ms)
	c.Check(d.Interrupted(until+200*ms, now), qt.IsFalse)
}

// A busy processor delays ticks. Short delays must hide no silence, or servers that are dead keep getting
// requests.
func TestShortDelaysAreNoSuspension(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d suspension.Detector
		now := time.Second
		for range 50 {
			now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * ms
			if d.Interrupted(time.Second, now) || d.Elapsed(time.Second, now) != now-time.Second {
				t.Fatalf("suspended at %v", now)
			}
			d.Tick(now)
		}
	})
}
