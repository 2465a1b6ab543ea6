// Command filbertlever runs every process of the system and the commands of its
// operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"

	"github.com/filbertlever/filbertlever/internal/release"
	"github.com/filbertlever/filbertlever/internal/transport/hangup"
)

// arguments defines the command line.
type arguments struct {
	Entry        entryCommand              `cmd:"" help:"Run an entry, which directs callers to an entry and routes their requests."`
	Agent        agentCommand              `cmd:"" help:"Run an agent beside a backend server."`
	Bundle       bundleCommand             `cmd:"" help:"Create, check, sign and roll out bundles."`
	Stop         stopCommand               `cmd:"" help:"Plan the graceful stop of a host."`
	Hosts        hostsCommand              `cmd:"" help:"List hosts and what they serve."`
	Ask          askCommand                `cmd:"" help:"Ask a model and stream the answer."`
	Order        orderCommand              `cmd:"" help:"Run a call of a plain service, at most once."`
	Lookup       lookupCommand             `cmd:"" help:"Look up the outcome of an order sent earlier, without running it."`
	Locate       locateCommand             `cmd:"" help:"List the entry hosts to use, best first."`
	Installation installationCommand       `cmd:"" help:"Run processes on the users' platform."`
	Keys         keysCommand               `cmd:"" help:"Create keys, certificates and tokens."`
	Config       configCommand             `cmd:"" help:"Validate settings files and print examples."`
	Reference    referenceCommand          `cmd:"" hidden:"" help:"Print the reference pages of the docs."`
	Completion   kongcompletion.Completion `cmd:"" help:"Print the shell completion script."`
	Version      kong.VersionFlag          `help:"Print the version."`
}

// installationName is the command whose processes reload their settings on
// SIGHUP.
const installationName = "installation"

const description = `Weight distribution for bursts: rolls out signed bundles of models to hosts and serves callers.

Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 not run (nothing changed).

Examples:
  filbertlever config check entry.yaml --use Entry
  filbertlever bundle sign bundle.yaml --operator ana --key keys/ana.signing.key
  filbertlever bundle roll bundle.yaml --settings operator.yaml
  filbertlever ask --model drafter "Draft a clause on late pickups"`

func main() {
	// Only processes of the installation command reload settings on SIGHUP. For
	// all other commands the signal keeps its default effect.
	if len(os.Args) < 2 || os.Args[1] != installationName {
		hangup.Release()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string) int {
	parser, err := newParser(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "filbertlever:", err)
		return exitFailed
	}
	kongcompletion.Register(parser)
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "filbertlever:", err)
		return exitUsage
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "filbertlever:", err)
		return exitCode(err)
	}
	return exitOK
}

func newParser(ctx context.Context) (*kong.Kong, error) {
	return kong.New(&arguments{},
		kong.Name("filbertlever"),
		kong.Description(description),
		kong.Vars{"version": "filbertlever " + release.Current().String()},
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}
