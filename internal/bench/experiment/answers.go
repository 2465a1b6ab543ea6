package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// End is how one try of a caller ended.
type End int

// The ends.
const (
	// EndWhole: the caller received the whole answer.
	EndWhole End = iota
	// EndRefused: the caller was told that the request did not run, and EndFailed that it may have run.
	EndRefused
	EndFailed
	// EndCut: the entry closed the connection after the first event.
	EndCut
	// EndNoStatus and EndLeft: the caller disconnected, because it had received nothing for too long,
	// before and after the first event.
	EndNoStatus
	EndLeft
	// EndExpired: the deadline passed.
	EndExpired
	endCount
)

// Work counts the work of all servers.
type Work struct {
	// Tokens are those generated, DeliveredTokens those of whole answers, and AbandonedTokens those
	// generated after their caller had disconnected.
	Tokens          int
	DeliveredTokens int
	AbandonedTokens int
	// Prompts is the number of prompts that were processed.
	Prompts int
}

// retryShare returns the largest share of the allowed retries that was used in a window.
func (sim *simulation) retryShare() float64 {
	most := 0.0
	for i, at := range sim.retryTimes {
		retries := i + 1 - firstAfter(sim.retryTimes, at-retryWindow)
		calls := firstAfter(sim.callTimes, at) - firstAfter(sim.callTimes, at-retryWindow)
		most = max(most, float64(retries)/(retryRatio*float64(calls)+retrySlack))
	}
	return most
}

// firstAfter returns the index of the first of the sorted times that is later than a given one.
func firstAfter(times []time.Duration, at time.Duration) int {
	n, _ := slices.BinarySearchFunc(times, at, func(t, at time.Duration) int {
		if t <= at {
			return -1
		}
		return 1
	})
	return n
}

// answerMetrics are the columns of the table of answers. Ends are shares of the requests.
var answerMetrics = []struct {
	name   string
	metric func(o *Outcome) float64
}{
	{"Whole", func(o *Outcome) float64 { return o.endShare(EndWhole) }},
	{"InTime", func(o *Outcome) float64 { t := o.Total(); return t.inTimeShare() }},
	{"Cut", func(o *Outcome) float64 { return o.endShare(EndCut) }},
	{"Left", func(o *Outcome) float64 { return o.endShare(EndLeft) }},
	{"NoStatus", func(o *Outcome) float64 { return o.endShare(EndNoStatus) }},
	{"Failed", func(o *Outcome) float64 { return o.endShare(EndFailed) }},
	{"Expired", func(o *Outcome) float64 { return o.endShare(EndExpired) }},
	{"Refused", func(o *Outcome) float64 { return o.endShare(EndRefused) }},
	{"Retries", func(o *Outcome) float64 { return o.RetryShare }},
	{"InVain", func(o *Outcome) float64 { return 1 - float64(o.Work.DeliveredTokens)/float64(max(o.Work.Tokens, 1)) }},
	{"Abandoned", func(o *Outcome) float64 { return float64(o.Work.AbandonedTokens) / float64(max(o.Work.Tokens, 1)) }},
	{"Prompts", func(o *Outcome) float64 { return float64(o.Work.Prompts) / float64(max(o.Total().Requests, 1)) }},
}

// endShare returns the number of tries with an end, as a share of the requests.
func (o *Outcome) endShare(end End) float64 {
	return float64(o.Ends[end]) / float64(max(o.Total().Requests, 1))
}

// printAnswers writes a table with the median of each metric over the seeds.
func printAnswers(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "Scenario\tLoad\tPolicy")
	for _, m := range answerMetrics {
		_, _ = fmt.Fprint(table, "\t", m.name)
	}
	_, _ = fmt.Fprintln(table)
	for i := range rows {
		r := &rows[i]
		_, _ = fmt.Fprintf(table, "%s\t%.1f\t%s", r.Scenario, r.Load, r.Policy)
		for _, m := range answerMetrics {
			_, _ = fmt.Fprintf(table, "\t%.3f", r.median(m.metric))
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

// median returns the median of a metric over the outcomes of a row.
func (r *Row) median(metric func(o *Outcome) float64) float64 {
	var values []float64
	for i := range r.Outcomes {
		values = append(values, metric(&r.Outcomes[i]))
	}
	slices.SortFunc(values, cmp.Compare[float64])
	return values[len(values)/2]
}
