package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/filbertlever/filbertlever/internal/settings"
)

type referenceCommand struct {
	Page string `arg:"" enum:"cli,settings" help:"cli or settings."`
}

// Run prints a reference page in Markdown.
func (c *referenceCommand) Run(ctx context.Context) error {
	if c.Page == "settings" {
		settings.WriteReference(os.Stdout)
		return nil
	}
	parser, err := newParser(ctx)
	if err != nil {
		return err
	}
	fmt.Println("# Command line\n\nWritten by `filbertlever reference cli`; `make docs` refreshes it.")
	fmt.Println("\nExit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 not run (nothing changed).")
	writeCommand(os.Stdout, parser.Model.Node, "filbertlever")
	return nil
}

// writeCommand writes a command and those below it.
func writeCommand(w io.Writer, node *kong.Node, path string) {
	for _, command := range node.Children {
		if command.Hidden {
			continue
		}
		full := path + " " + command.Name
		fmt.Fprintf(w, "\n## %s\n\n%s\n", full, command.Help)
		writeFlags(w, command)
		writeCommand(w, command, full)
	}
}

func writeFlags(w io.Writer, command *kong.Node) {
	if len(command.Positional)+len(command.Flags) == 0 {
		return
	}
	fmt.Fprintln(w, "\n| argument | default | meaning |\n| --- | --- | --- |")
	for _, argument := range command.Positional {
		fmt.Fprintf(w, "| `%s` | | %s |\n", argument.Summary(), argument.Help)
	}
	for _, flag := range command.Flags {
		fmt.Fprintf(w, "| `--%s` | %s | %s |\n", flag.Name, flag.Default, strings.ReplaceAll(flag.Help, "|", "\\|"))
	}
}
