// Command filbertlever-proof runs the project's mutation tests and fault matrix,
// for developers and CI.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/filbertlever/filbertlever/internal/proof"
)

type arguments struct {
	Guards guardsCommand `cmd:"" help:"Remove each guard in turn and check that its test fails."`
	Soak   soakCommand   `cmd:"" help:"Remove one part at a time and check that the soak test detects it."`
	Matrix matrixCommand `cmd:"" help:"Run the tests of the fault matrix and print the result of each cell."`
	Page   pageCommand   `cmd:"" help:"Print the reference page of the fault matrix, without running tests."`
}

type guardsCommand struct {
	List  string   `default:"proof/guards.yaml" help:"File that lists the guards."`
	Tests []string `help:"Remove only the guards of these tests."`
}

// Run removes each guard and prints one line per guard.
func (c *guardsCommand) Run(ctx context.Context) error {
	guards, err := proof.LoadGuards(c.List)
	if err != nil {
		return err
	}
	if err := proof.CheckListed(guards); err != nil {
		return err
	}
	if len(c.Tests) > 0 {
		guards = slices.DeleteFunc(guards, func(g proof.Guard) bool { return !slices.Contains(c.Tests, g.Test) })
	}
	caught, missed := 0, 0
	for _, result := range proof.RunGuards(ctx, guards) {
		verdict := "caught"
		if !result.Caught {
			verdict = "MISSED " + result.Problem
			missed++
		} else {
			caught++
		}
		fmt.Printf("%s: %s: %s\n", result.Guard.File, result.Guard.Test, verdict)
	}
	fmt.Printf("guards: caught=%d missed=%d\n", caught, missed)
	if missed > 0 {
		return errors.New("the tests of some guards did not fail")
	}
	return nil
}

type soakCommand struct {
	List     string        `default:"proof/soak.yaml" help:"File that lists the removals."`
	Program  string        `default:"bin/filbertlever-soak" help:"Path of the soak test program."`
	First    uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"6" help:"Maximum number of seeds to run for each removal."`
	Length   time.Duration `default:"36s" help:"Duration of each run."`
	Parallel int           `default:"3" help:"Number of runs in parallel."`
}

// Run prints one line per removal.
func (c *soakCommand) Run(ctx context.Context) error {
	removals, err := proof.LoadRemovals(c.List)
	if err != nil {
		return err
	}
	caught, missed := 0, 0
	soak := proof.Soak{Program: c.Program, FirstSeed: c.First, Seeds: c.Seeds, Duration: c.Length, Parallel: c.Parallel}
	soak.Run(ctx, removals, func(r proof.RemovalResult) {
		if r.Promise == "" {
			missed++
			fmt.Printf("%-45s MISSED after %d seeds %s\n", r.Removal.Name, r.Runs, r.Problem)
			return
		}
		caught++
		fmt.Printf("%-45s caught: %s, seed %d\n", r.Removal.Name, r.Promise, r.Seed)
	})
	fmt.Printf("soak: caught=%d missed=%d\n", caught, missed)
	if missed > 0 {
		return errors.New("the soak test did not detect some removals")
	}
	return nil
}

type matrixCommand struct {
	Data string `default:"proof/matrix.yaml" help:"File with the fault matrix."`
}

// Run runs the tests and prints one line per cell, and the counts.
func (c *matrixCommand) Run(ctx context.Context) error {
	m, err := proof.LoadMatrix(c.Data)
	if err != nil {
		return err
	}
	failed, err := m.RunTests(ctx)
	if err != nil {
		return err
	}
	for _, cell := range m.Cells() {
		fmt.Printf("%-13s %-11s %-14s %s\n", cell.Promise, cell.Step, cell.Fault, cell.Verdict(failed))
	}
	counts := m.Count(failed)
	fmt.Printf("matrix: proved=%d not_applicable=%d not_proved=%d failed=%d\n",
		counts[proof.Proved], counts[proof.NotApplicable], counts[proof.NotProved], counts[proof.Failed])
	if counts[proof.Failed] > 0 {
		return errors.New("tests of some cells failed")
	}
	return nil
}

type pageCommand struct {
	Data string `default:"proof/matrix.yaml" help:"File with the fault matrix."`
}

// Run prints the reference page.
func (c *pageCommand) Run() error {
	m, err := proof.LoadMatrix(c.Data)
	if err != nil {
		return err
	}
	m.Write(os.Stdout)
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var args arguments
	command := kong.Parse(&args, kong.Name("filbertlever-proof"), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
