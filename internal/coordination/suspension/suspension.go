// Package suspension detects that this process was suspended, so that the time in which it could read
// nothing does not count as the silence of others.
package suspension

import "time"

// maxGap is the time between two ticks above which the process was suspended. It is half of the shortest
// time after which a backend server counts as stalled. For as long after a suspension, the process reads
// what arrived meanwhile.
const maxGap = 150 * time.Millisecond

// Detector detects suspensions by the ticks that they delay. The zero value detects none until the first
// tick. It is not safe for concurrent use.
type Detector struct {
	tickedAt time.Duration
	// from and until are the ticks before and after the last suspension; 0 if there was none.
	from, until time.Duration
}

// Tick must be called every few ten milliseconds while the process runs.
func (d *Detector) Tick(now time.Duration) {
	d.from, d.until = d.last(now)
	d.tickedAt = now
}

// last returns the last suspension, which has not ended if no tick followed it.
func (d *Detector) last(now time.Duration) (from, until time.Duration) {
	if d.tickedAt != 0 && now-d.tickedAt > maxGap {
		return d.tickedAt, now
	}
	return d.from, d.until
}

// Interrupted reports whether the process was suspended since an event, or read what had arrived meanwhile.
func (d *Detector) Interrupted(event, now time.Duration) bool {
	_, until := d.last(now)
	return until != 0 && event < until+maxGap
}

// Elapsed returns the time since an event without the last suspension and the time in which the process
// read what had arrived meanwhile.
func (d *Detector) Elapsed(event, now time.Duration) time.Duration {
	if !d.Interrupted(event, now) {
		return now - event
	}
	from, until := d.last(now)
	return max(from-event, 0) + max(now-until-maxGap, 0)
}
