// Command filbertlever-bench runs the project's measurements.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Weights    weightsCommand    `cmd:"" help:"Measure the distribution of weights to many hosts, and the duration of rollouts."`
	Requests   requestsCommand   `cmd:"" help:"Measure requests under load and faults, and the overhead of the request path."`
	Control    controlCommand    `cmd:"" help:"Measure the cost of the control protocol for idle processes, and how it scales."`
	Experiment experimentCommand `cmd:"" help:"Compare policies in virtual time, with simulated engines and callers."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var args arguments
	command := kong.Parse(&args, kong.Name("filbertlever-bench"), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// printRow prints a row and its kind as one line of JSON.
func printRow(kind string, row any) {
	line, err := json.Marshal(struct {
		Kind string
		Row  any
	}{kind, row})
	if err == nil {
		fmt.Println(string(line))
	}
}
