package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Second counts the requests that arrived in one second, by their results.
type Second struct {
	// Requests is the number of requests.
	Requests int
	// InTime and Late count answers by the time to their first token. If entries retry, only whole
	// answers count, and interrupted ones are late.
	InTime int
	Late   int
	// Refused counts requests that ended with a refusal, and RefusedAttempts all refused attempts.
	Refused         int
	RefusedAttempts int
	// Broken counts incomplete answers. They also count as InTime or Late.
	Broken int
}

// Outcome holds the results of the requests in one run.
type Outcome struct {
	Seconds []Second
	// FirstTokens are the times from the first attempt to the first token.
	FirstTokens []time.Duration
	// Ends counts the tries of callers by how they ended, if entries retry.
	Ends [endCount]int
	Work Work
	// RetryShare is the largest share of the allowed retries of all entries that was used in a window.
	RetryShare float64
}

// Total returns the sum over all seconds.
func (o *Outcome) Total() Second {
	var t Second
	for _, s := range o.Seconds {
		t = t.add(s)
	}
	return t
}

// add returns the sum of two counts.
func (s Second) add(other Second) Second {
	return Second{s.Requests + other.Requests, s.InTime + other.InTime, s.Late + other.Late, s.Refused + other.Refused, s.RefusedAttempts + other.RefusedAttempts, s.Broken + other.Broken}
}

// inTimeShare returns the share of the requests that were answered in time.
func (s Second) inTimeShare() float64 { return float64(s.InTime) / float64(max(s.Requests, 1)) }

// WorstTwoSeconds returns the smallest in-time share of two consecutive seconds.
func (o *Outcome) WorstTwoSeconds() float64 {
	lowest := 1.0
	for i := range len(o.Seconds) - 1 {
		lowest = min(lowest, o.Seconds[i].add(o.Seconds[i+1]).inTimeShare())
	}
	return lowest
}

// Quantile returns a quantile of the time to the first token. share is between 0 and 1.
func (o *Outcome) Quantile(share float64) time.Duration {
	if len(o.FirstTokens) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.FirstTokens))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Row holds the outcomes of one policy in one scenario, one for each seed.
type Row struct {
	// Scenario and Load are "None" and 1 if the experiment has no scenarios and loads.
	Scenario string
	Load     float64
	Policy   string
	Outcomes []Outcome
}

// Run simulates each policy with each seed, in each scenario and at each load. It calls progress
// before each run.
func (e *Experiment) Run(progress func(policy string, seed uint64)) []Row {
	var rows []Row
	loads := e.Loads
	if len(loads) == 0 {
		loads = []float64{1}
	}
	for _, d := range e.disturbances() {
		for _, load := range loads {
			for i := range e.Policies {
				row := Row{Scenario: d.String(), Load: load, Policy: e.Policies[i].Name}
				for _, seed := range e.Seeds {
					progress(row.Policy, seed)
					row.Outcomes = append(row.Outcomes, e.simulate(&e.Policies[i], d, load, seed))
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// formatSpread formats the median, minimum and maximum of a metric over the outcomes of a row.
func (r *Row) formatSpread(format string, metric func(o *Outcome) float64) string {
	var values []float64
	for i := range r.Outcomes {
		values = append(values, metric(&r.Outcomes[i]))
	}
	slices.SortFunc(values, cmp.Compare[float64])
	return fmt.Sprintf(format+" ("+format+"-"+format+")", values[len(values)/2], values[0], values[len(values)-1])
}

// Print writes a table with the median, minimum and maximum of each metric over the seeds.
func Print(w io.Writer, rows []Row) error {
	if len(rows) > 0 && len(rows[0].Outcomes) > 0 && rows[0].Outcomes[0].Ends != [endCount]int{} {
		return printAnswers(w, rows)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	share := func(count func(s Second) int) func(o *Outcome) float64 {
		return func(o *Outcome) float64 {
			total := o.Total()
			return float64(count(total)) / float64(max(total.Requests, 1))
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
