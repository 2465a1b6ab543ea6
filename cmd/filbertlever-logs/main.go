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
	Request   string        `placeholder:"ID" help:"Print the log lines of one request, what its caller received and who ended it."`
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
	if a.Request != "" {
		return a.printStory()
	}
	day, counts, err := readDirectory(a.Directory, a.Goal)
	if err != nil {
		return err
	}
	rows := day.Rows()
	if err := printTable(os.Stdout, rows, day, counts); err != nil {
		return err
	}
	if a.Plot == "" {
		return nil
	}
	return writePlot(a.Plot, rows)
}

// printStory prints the log lines of one request.
func (a *arguments) printStory() error {
	s := &story{request: a.Request}
	counts, err := readFiles(a.Directory, s.add, func() {})
	if err != nil {
		return err
	}
	if len(s.lines) == 0 {
		return fmt.Errorf("request %q: not found in %d files, %d lines", a.Request, counts.Files, counts.Lines)
	}
	return s.print(os.Stdout, a.Goal)
}
