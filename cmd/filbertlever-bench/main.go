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
	Weights    weightsCommand    `cmd:"" help:"How weights reach many hosts, and how long a roll takes."`
	Requests   requestsCommand   `cmd:"" help:"Requests under load and faults, and what the path costs."`
	Control    controlCommand    `cmd:"" help:"What control costs an idle process, and how that grows."`
	Experiment experimentCommand `cmd:"" help:"Policies compared in virtual time, on modelled engines and callers."`
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

// printRow prints a row as one line of JSON.
func printRow(kind string, row any) {
	line, err := json.Marshal(struct {
		Kind string
		Row  any
	}{kind, row})
	if err == nil {
		fmt.Println(string(line))
	}
}
