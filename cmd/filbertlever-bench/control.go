package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/filbertlever/filbertlever/internal/bench/controlbench"
)

type controlCommand struct{}

// Run runs the measurement and prints a table, the linear fits and one line of
// JSON per row.
func (c *controlCommand) Run(ctx context.Context) error {
	result, err := controlbench.Measure(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "entries\tagents\tcore % a process\tKiB a process\tentry B/s\tagent B/s\tplatform reads/s\twrites/s\t")
	for _, r := range result.Rows {
		fmt.Fprintf(w, "%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", r.Entries, r.Agents, 100*r.CPU, r.HeapKiB, r.EntryBytes, r.AgentBytes, r.Reads, r.Writes)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, f := range result.Fits {
		fmt.Printf("%s: %.4g + %.4g x, residual %.3g\n", f.Description, f.Base, f.Slope, f.Residual)
	}
	for _, row := range result.Rows {
		printRow("Size", row)
	}
	return nil
}
