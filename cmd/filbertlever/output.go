package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
	"golang.org/x/term"
)

// output is the flag for the format of listings.
type output struct {
	Output string `default:"table" enum:"table,json,yaml" short:"o" help:"Format of the list: table, json or yaml."`
}

// print writes rows as a table under header, or encodes data as JSON or YAML.
func (o *output) print(header []string, rows [][]string, data any) error {
	switch o.Output {
	case "json":
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(data)
	case "yaml":
		return printYAML(os.Stdout, data)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printYAML encodes data through JSON, so that both formats have the same field
// names.
func printYAML(w io.Writer, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	var plain any
	if err := json.Unmarshal(encoded, &plain); err != nil {
		return err
	}
	return yaml.NewEncoder(w).Encode(plain)
}

// progress shows a progress bar on a terminal. On other outputs it prints one
// line for each change.
type progress struct {
	last string
}

const barWidth = 30

func (p *progress) show(done, total int, text string) {
	if !term.IsTerminal(int(os.Stdout.Fd())) {
		line := fmt.Sprintf("%d/%d %s", done, total, text)
		if line != p.last {
			fmt.Println(line)
		}
		p.last = line
		return
	}
	filled := 0
	if total > 0 {
		filled = barWidth * done / total
	}
	bar := strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled)
	fmt.Printf("\r\033[K[%s] %d/%d %s", bar, done, total, text)
}

func (p *progress) end() {
	if term.IsTerminal(int(os.Stdout.Fd())) {
		fmt.Println()
	}
}
