// Command filbertlever-logs tells from the logs of a day what callers got, by second and
// cause.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Directory string        `arg:"" type:"existingdir" help:"Directory with the logs of entries, one file or more each."`
	Goal      time.Duration `default:"500ms" help:"Time to the first byte from which an answer is late."`
	Plot      string        `placeholder:"FILE" help:"Also draw the causes by second, as a PNG."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("filbertlever-logs"),
		kong.Description("Tells what became of callers' requests, by second and cause, from the logs of entries. "+
			"Lines that cannot be read are counted and left out."))
	if err := args.run(); err != nil {
		fmt.Fprintln(os.Stderr, "filbertlever-logs:", err)
		os.Exit(1)
	}
}

func (a *arguments) run() error {
	if a.Goal <= 0 {
		return fmt.Errorf("goal %v: expected a time above 0", a.Goal)
	}
	rows, read, err := readDirectory(a.Directory, a.Goal)
	if err != nil {
		return err
	}
	if err := printTable(os.Stdout, rows, read); err != nil {
		return err
	}
	if a.Plot == "" {
		return nil
	}
	return draw(a.Plot, rows)
}
