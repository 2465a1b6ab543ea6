package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/filbertlever/filbertlever/internal/coordination/outcome"
)

// columns are the kinds of outcomes in the order of the table's columns.
var columns = []outcome.Kind{outcome.KindInTime, outcome.KindLate, outcome.KindRefused, outcome.KindRefusedAgain, outcome.KindBroken, outcome.KindCallerError, outcome.KindCallerDisconnected}

// secondCounts counts the requests that arrived within one second, by outcome
// and cause.
type secondCounts struct {
	kinds  map[outcome.Kind]int
	causes map[outcome.Cause]int
}

// groupBySecond returns the seconds in order, and the counts of each second.
func groupBySecond(rows []outcome.Row) ([]int64, map[int64]*secondCounts) {
	var order []int64
	seconds := map[int64]*secondCounts{}
	for _, row := range rows {
		s, ok := seconds[row.Second]
		if !ok {
			s = &secondCounts{kinds: map[outcome.Kind]int{}, causes: map[outcome.Cause]int{}}
			seconds[row.Second] = s
			order = append(order, row.Second)
		}
		s.kinds[row.Kind] += row.Requests
		if row.Cause != outcome.CauseNone {
			s.causes[row.Cause] += row.Requests
		}
	}
	return order, seconds
}

// printTable prints one line per second, a line with the totals, one per urgency level, and who ended
// broken requests.
func printTable(to io.Writer, rows []outcome.Row, day *outcome.Totals, counts readCounts) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "Second\t")
	for _, kind := range columns {
		fmt.Fprintf(w, "%s\t", kind)
	}
	fmt.Fprint(w, " Causes\n")
	order, seconds := groupBySecond(rows)
	total := &secondCounts{kinds: map[outcome.Kind]int{}, causes: map[outcome.Cause]int{}}
	for _, at := range order {
		s := seconds[at]
		printSecond(w, time.Unix(at, 0).UTC().Format(time.TimeOnly), s)
		for kind, n := range s.kinds {
			total.kinds[kind] += n
		}
		for cause, n := range s.causes {
			total.causes[cause] += n
		}
	}
	printSecond(w, "All", total)
	for _, level := range day.Levels() {
		fmt.Fprintf(w, "Urgency level %d: %d of %d requests refused\n", level.Level, level.Refused, level.Requests)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := printBroken(to, day.Broken()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(to, "\n%d files, %d lines, %d of them could not be read\n", counts.Files, counts.Lines, counts.Bad)
	return err
}

// received are the columns of the table of broken requests.
var received = []outcome.Received{outcome.ReceivedNothing, outcome.ReceivedPart, outcome.ReceivedStatus}

// printBroken prints one line for each value of EndedBy, with what the callers received.
func printBroken(to io.Writer, rows []outcome.BrokenRow) error {
	if len(rows) == 0 {
		return nil
	}
	var order []string
	counts := map[string]map[outcome.Received]int{}
	for _, row := range rows {
		if counts[row.EndedBy] == nil {
			order = append(order, row.EndedBy)
			counts[row.EndedBy] = map[outcome.Received]int{}
		}
		counts[row.EndedBy][row.Received] += row.Requests
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "\nBroken requests by what their callers received and who ended them\n")
	for _, column := range received {
		fmt.Fprintf(w, "%s\t", column)
	}
	fmt.Fprint(w, "EndedBy\t\n")
	for _, endedBy := range order {
		for _, column := range received {
			fmt.Fprintf(w, "%d\t", counts[endedBy][column])
		}
		fmt.Fprintf(w, "%s\t%s\n", endedBy, explain(endedBy))
	}
	return w.Flush()
}

func printSecond(w io.Writer, name string, s *secondCounts) {
	fmt.Fprintf(w, "%s\t", name)
	for _, kind := range columns {
		fmt.Fprintf(w, "%d\t", s.kinds[kind])
	}
	fmt.Fprintf(w, " %s\n", strings.Join(formatCauses(s.causes), ", "))
}

// formatCauses formats the causes with their counts, the most frequent first.
func formatCauses(causes map[outcome.Cause]int) []string {
	var names []outcome.Cause
	for cause := range causes {
		names = append(names, cause)
	}
	slices.SortFunc(names, func(a, b outcome.Cause) int {
		if causes[a] != causes[b] {
			return causes[b] - causes[a]
		}
		return strings.Compare(string(a), string(b))
	})
	var texts []string
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, causes[name]))
	}
	return texts
}

// writePlot writes a plot of the requests of each cause by second.
func writePlot(file string, rows []outcome.Row) error {
	p := plot.New()
	p.Title.Text = "Late, refused and broken requests by second of arrival"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests"
	order, seconds := groupBySecond(rows)
	causes := map[outcome.Cause]bool{}
	for _, s := range seconds {
		for cause := range s.causes {
			causes[cause] = true
		}
	}
	var names []string
	for cause := range causes {
		names = append(names, string(cause))
	}
	slices.Sort(names)
	var lines []any
	for _, name := range names {
		points := plotter.XYs{}
		for _, at := range order {
			points = append(points, plotter.XY{X: float64(at - order[0]), Y: float64(seconds[at].causes[outcome.Cause(name)])})
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("add lines to plot: %w", err)
	}
	p.Legend.Top = true
	if err := p.Save(25*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
