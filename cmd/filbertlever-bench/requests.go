package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/filbertlever/filbertlever/internal/bench/requestsbench"
)

type requestsCommand struct{}

// Run runs the measurement and prints a table, one line of JSON per row and a
// summary.
func (c *requestsCommand) Run(ctx context.Context) error {
	result, err := requestsbench.Measure(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tpolicy\tx capacity\toffered\tanswered\tnot run\tincomplete\tfailed\tp50 ms\tp95 ms\tp99 ms\tgoodput/s\trefused p95 ms\tprefix hits\tspread\tamplification\t")
	for _, r := range result.Rows {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.2f\t\n", r.Name, r.Policy, r.LoadFactor,
			r.Offered, r.Answered, r.NotRun, r.Incomplete, r.Failed, r.P50, r.P95, r.P99, r.Goodput, r.RefusedP95, r.Hits, r.Spread, r.Amplification)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, row := range result.Rows {
		printRow("Load", row)
	}
	printRow("Decision", result.Decision)
	printRow("Overhead", result.Overhead)
	fmt.Println(result.Summary())
	return nil
}
