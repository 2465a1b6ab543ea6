package main

import (
	"fmt"
	"os"

	"github.com/filbertlever/filbertlever/internal/bench/experiment"
)

type experimentCommand struct {
	File string `arg:"" help:"Experiment file in YAML; docs/measurements/experiments has examples."`
}

// Run simulates each policy of an experiment with each seed in virtual time and
// prints a table.
func (c *experimentCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read experiment: %w", err)
	}
	e, err := experiment.Parse(data)
	if err != nil {
		return fmt.Errorf("parse experiment %s: %w", c.File, err)
	}
	rows := e.Run(func(policy string, seed uint64) {
		fmt.Fprintf(os.Stderr, "%s, seed %d\n", policy, seed)
	})
	return experiment.Print(os.Stdout, rows)
}
