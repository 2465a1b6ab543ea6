package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/filbertlever/filbertlever/internal/bench/weightsbench"
)

type weightsCommand struct {
	Rolls int    `default:"50" help:"Number of rollouts of each kind."`
	Plot  string `help:"File to write a plot to, as PNG."`
}

// Run runs the measurement and prints a table, one line of JSON per row and a
// summary.
func (c *weightsCommand) Run(ctx context.Context) error {
	result, err := weightsbench.Measure(ctx, weightsbench.DefaultScale(), c.Rolls)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "method\thosts\tlast s\tmedian s\tbound s\tover bound\torigin copies\tsite copies\t")
	for _, row := range result.Rows {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t\n", row.Strategy, row.Hosts, row.Last, row.Median, row.Bound, row.OverBound, row.OriginCopies, row.SiteCopies)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, row := range result.Rows {
		printRow("Burst", row)
	}
	printRow("Live", result.Live)
	printRow("Rolls", result.Rolls)
	if c.Plot != "" {
		if err := weightsbench.Plot(c.Plot, result.Rows); err != nil {
			return err
		}
	}
	fmt.Println(result.Summary())
	return nil
}
