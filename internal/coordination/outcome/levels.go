package outcome

import (
	"cmp"
	"maps"
	"slices"
)

// LevelRow is the number of requests of one urgency level that ended, and how many of them were
// refused.
type LevelRow struct {
	Level, Requests, Refused int
}

func (r LevelRow) add(level, requests, refused int) LevelRow {
	return LevelRow{Level: level, Requests: r.Requests + requests, Refused: r.Refused + refused}
}

// maxLevel is the highest urgency level of an entry. Other values count as unknown, so that a
// malformed log cannot create rows without bound.
const maxLevel = 9

// setLevel records the urgency level that a line states.
func (t *Tally) setLevel(line *Line) {
	if level := line.UrgencyLevel; level != nil && *level >= 0 && *level <= maxLevel {
		t.openRequest(line.Request).level = level
	}
}

// countLevel counts a request that ended; one without a level is not counted.
func (t *Tally) countLevel(level *int, refused bool) {
	switch {
	case level == nil:
	case refused:
		t.levels[*level] = t.levels[*level].add(*level, 1, 1)
	default:
		t.levels[*level] = t.levels[*level].add(*level, 1, 0)
	}
}

// Levels returns the counts by urgency level. It is empty if no service has levels.
func (d *Totals) Levels() []LevelRow {
	return slices.SortedFunc(maps.Values(d.levels), func(a, b LevelRow) int { return cmp.Compare(a.Level, b.Level) })
}
