// Command filbertlever-soak runs the real programs under random faults and
// checks what callers and backend servers observe.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/filbertlever/filbertlever/platform/soak"
)

type command struct {
	Binary  string        `required:"" type:"existingfile" help:"Path of the filbertlever program."`
	Seed    uint64        `help:"First seed; derived from the clock by default."`
	Seeds   int           `default:"1" help:"Number of seeds to run, one after the other."`
	Length  time.Duration `default:"40s" help:"Duration of each run."`
	Entries int           `default:"6" help:"Number of entries."`
	Agents  int           `default:"12" help:"Number of agents, each beside a model server."`
	Plain   int           `default:"3" help:"Number of plain servers."`
	Callers int           `default:"24" help:"Number of callers."`
	Gap     time.Duration `help:"Maximum interval between two faults of processes, links and the platform; 0 means the default."`
	Known   string        `type:"existingfile" help:"File of known seeds to run instead."`
	Logs    string        `default:"soak-logs" help:"Directory for the logs of failed seeds."`
}

var errBrokenPromises = errors.New("promises were broken")

// Run runs the seeds and reports each.
func (c *command) Run(ctx context.Context) error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	seeds, err := c.listSeeds()
	if err != nil {
		return err
	}
	passed, failed := 0, 0
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		ok, err := c.runSeed(ctx, binary, seed)
		if err != nil {
			return err
		}
		if ok {
			passed++
		} else {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return errBrokenPromises
	}
	return nil
}

// listSeeds returns the seeds to run.
func (c *command) listSeeds() ([]uint64, error) {
	if c.Known != "" {
		return soak.KnownSeeds(c.Known)
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	var seeds []uint64
	for n := range uint64(c.Seeds) {
		seeds = append(seeds, c.Seed+n)
	}
	return seeds, nil
}

// maxListed is how many violations of each guarantee are listed.
const maxListed = 6

// runSeed runs one seed and reports whether it passed. It keeps the logs of a
// failed run.
func (c *command) runSeed(ctx context.Context, binary string, seed uint64) (bool, error) {
	logs := filepath.Join(c.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return false, err
	}
	result, err := soak.Run(ctx, soak.Config{Seed: seed, Duration: c.Length, Entries: c.Entries, Agents: c.Agents, PlainServers: c.Plain,
		Callers: c.Callers, Binary: binary, LogDir: logs, MaxFaultGap: c.Gap})
	if err != nil {
		return false, err
	}
	counts := map[string]int{}
	for _, b := range result.Violations {
		counts[b.Guarantee]++
	}
	fmt.Printf("seed=%d faults=%d requests=%d served=%d refused=%d memory=%dMB routes=%v broken=%d %v\n",
		seed, result.Faults, result.Requests, result.Served, result.Refused, result.PeakMemory>>20, result.Routes, len(result.Violations), counts)
	listed := map[string]int{}
	for _, b := range result.Violations {
		if listed[b.Guarantee]++; listed[b.Guarantee] <= maxListed {
			fmt.Printf("  %s: %s\n", b.Guarantee, b.Detail)
		}
	}
	if len(result.Violations) == 0 {
		return true, os.RemoveAll(logs)
	}
	return false, nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c command
	parser := kong.Parse(&c, kong.Description("Runs filbertlever under random faults and checks its promises."))
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run())
}
