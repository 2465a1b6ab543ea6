// Command filbertlever-proof runs the project's proofs, for developers and CI.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/filbertlever/filbertlever/internal/proof"
)

type arguments struct {
	Guards guardsCommand `cmd:"" help:"Remove each guard in turn and see its test fail."`
	Soak   soakCommand   `cmd:"" help:"Take parts out in turn and see the soak notice."`
	Matrix matrixCommand `cmd:"" help:"Run the tests of the fault matrix and print it."`
	Page   pageCommand   `cmd:"" help:"Print the page of the fault matrix, without running tests."`
}

type guardsCommand struct {
	List string `default:"proof/guards.yaml" help:"List of the guards."`
}

// Run prints a line for each guard.
func (c *guardsCommand) Run(ctx context.Context) error {
	guards, err := proof.LoadGuards(c.List)
	if err != nil {
		return err
	}
	if err := proof.CheckListed(guards); err != nil {
		return err
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
		return errors.New("guards were missed")
	}
	return nil
}

type soakCommand struct {
	List     string        `default:"proof/soak.yaml" help:"List of what is taken out."`
	Program  string        `default:"bin/filbertlever-soak" help:"The soak's program."`
	First    uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"6" help:"Seeds to run at most for each."`
	Length   time.Duration `default:"36s" help:"Time of each run."`
	Parallel int           `default:"3" help:"How many run at once."`
}

// Run prints a line for each part.
func (c *soakCommand) Run(ctx context.Context) error {
	removals, err := proof.LoadRemovals(c.List)
	if err != nil {
		return err
	}
	caught, missed := 0, 0
	soak := proof.Soak{Program: c.Program, First: c.First, Seeds: c.Seeds, Length: c.Length, Parallel: c.Parallel}
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
		return errors.New("losses were missed")
	}
	return nil
}

type matrixCommand struct {
	Data string `default:"proof/matrix.yaml" help:"The matrix."`
}

// Run prints a line for each cell that is not settled, and the counts.
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
		return errors.New("cells failed")
	}
	return nil
}

type pageCommand struct {
	Data string `default:"proof/matrix.yaml" help:"The matrix."`
}

// Run prints the page.
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
