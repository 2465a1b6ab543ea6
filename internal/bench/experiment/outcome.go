package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Second is what became of the requests that were first asked in a second.
type Second struct {
	Asked int
	// InTime and Late are answers by their first token.
	InTime int
	Late   int
	// Refused are requests that ended with a refusal, and Tries all refused tries.
	Refused         int
	RefusedAttempts int
	// Broken are answers that ended before they were whole; they count as InTime or Late too.
	Broken int
}

// Outcome is what callers got in one play.
type Outcome struct {
	Seconds []Second
	// FirstTokens are the times to the first token, from the caller's first try on.
	FirstTokens []time.Duration
}

// Total adds up the seconds.
func (o *Outcome) Total() Second {
	var t Second
	for _, s := range o.Seconds {
		t = t.add(s)
	}
	return t
}

func (s Second) add(more Second) Second {
	return Second{s.Asked + more.Asked, s.InTime + more.InTime, s.Late + more.Late, s.Refused + more.Refused, s.RefusedAttempts + more.RefusedAttempts, s.Broken + more.Broken}
}

// inTimeShare returns the share of a second's requests that were answered in time.
func (s Second) inTimeShare() float64 { return float64(s.InTime) / float64(max(s.Asked, 1)) }

// WorstTwoSeconds returns the least share in time of two seconds in a row.
func (o *Outcome) WorstTwoSeconds() float64 {
	worst := 1.0
	for i := range len(o.Seconds) - 1 {
		worst = min(worst, o.Seconds[i].add(o.Seconds[i+1]).inTimeShare())
	}
	return worst
}

// Quantile returns the time within which a share of the first tokens came.
func (o *Outcome) Quantile(share float64) time.Duration {
	if len(o.FirstTokens) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.FirstTokens))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Row is one policy's outcomes, one for each seed.
type Row struct {
	Policy   string
	Outcomes []Outcome
}

// Run plays each policy with each seed; progress is called before each play.
func (e *Experiment) Run(progress func(policy string, seed uint64)) []Row {
	var rows []Row
	for i := range e.Policies {
		row := Row{Policy: e.Policies[i].Name}
		for _, seed := range e.Seeds {
			progress(row.Policy, seed)
			row.Outcomes = append(row.Outcomes, e.Simulate(&e.Policies[i], seed))
		}
		rows = append(rows, row)
	}
	return rows
}

// formatSpread formats the middle, least and most of a figure over a row's outcomes.
func (r *Row) formatSpread(format string, figure func(o *Outcome) float64) string {
	var all []float64
	for i := range r.Outcomes {
		all = append(all, figure(&r.Outcomes[i]))
	}
	slices.SortFunc(all, cmp.Compare[float64])
	return fmt.Sprintf(format+" ("+format+"-"+format+")", all[len(all)/2], all[0], all[len(all)-1])
}

// Print writes a table: the middle, least and most over the seeds.
func Print(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	share := func(part func(s Second) int) func(o *Outcome) float64 {
		return func(o *Outcome) float64 {
			total := o.Total()
			return float64(part(total)) / float64(max(total.Asked, 1))
		}
	}
	_, _ = fmt.Fprintln(table, "Policy\tInTime\tLate\tRefused\tRefusedTries\tBroken\tWorstTwoSeconds\tFirstTokenHalf\tFirstToken95")
	for i := range rows {
		r := &rows[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Policy,
			r.formatSpread("%.3f", share(func(s Second) int { return s.InTime })),
			r.formatSpread("%.3f", share(func(s Second) int { return s.Late })),
			r.formatSpread("%.3f", share(func(s Second) int { return s.Refused })),
			r.formatSpread("%.3f", share(func(s Second) int { return s.RefusedAttempts })),
			r.formatSpread("%.3f", share(func(s Second) int { return s.Broken })),
			r.formatSpread("%.3f", (*Outcome).WorstTwoSeconds),
			r.formatSpread("%.0fms", func(o *Outcome) float64 { return float64(o.Quantile(.5).Milliseconds()) }),
			r.formatSpread("%.0fms", func(o *Outcome) float64 { return float64(o.Quantile(.95).Milliseconds()) }))
	}
	return table.Flush()
}
