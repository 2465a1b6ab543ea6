// Command filbertlever-logs summarises the outcomes of callers' requests by second
// and cause, from the logs of entries.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Directory string        `arg:"" type:"existingdir" help:"Directory with the logs of entries, one or more files per entry."`
	Goal      time.Duration `default:"500ms" help:"Time to the first byte from which an answer counts as late."`
	Plot      string        `placeholder:"FILE" help:"Also plot the causes by second, as a PNG file."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("filbertlever-logs"),
		kong.Description("Summarises the outcomes of callers' requests by second and cause, from the logs of entries. "+
			"Lines that cannot be parsed are counted and skipped."))
	if err := args.run(); err != nil {
		fmt.Fprintln(os.Stderr, "filbertlever-logs:", err)
		os.Exit(1)
	}
}

func (a *arguments) run() error {
	if a.Goal <= 0 {
		return fmt.Errorf("goal %v: expected a duration above 0", a.Goal)
	}
	rows, levels, counts, err := readDirectory(a.Directory, a.Goal)
	if err != nil {
		return err
	}
	if err := printTable(os.Stdout, rows, levels, counts); err != nil {
		return err
	}
	if a.Plot == "" {
		return nil
	}
	return writePlot(a.Plot, rows)
}
