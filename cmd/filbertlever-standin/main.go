// Command filbertlever-standin runs the stand-ins that tests and the demo use
// in place of the platform, model engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/filbertlever/filbertlever/internal/standin"
)

type arguments struct {
	Platform platformCommand      `cmd:"" help:"Table service, object store, host list, origin and weight store."`
	Engine   engineCommand        `cmd:"" help:"A model engine."`
	Service  serviceCommand       `cmd:"" help:"A plain service."`
	Users    usersPlatformCommand `cmd:"" name:"users-platform" help:"The users' platform: store, model and plain servers, origin."`
}

type listen struct {
	Listen string `required:"" help:"IP:port to serve on."`
	Admin  string `required:"" help:"IP:port for faults and figures."`
}

type platformCommand struct {
	listen
	Weights map[string]string `help:"Weights at the origin, as PATH=FILE."`
}

// Run serves the platform.
func (c *platformCommand) Run(ctx context.Context) error {
	platform := standin.NewPlatform()
	if err := platform.LoadFiles(c.Weights); err != nil {
		return err
	}
	return c.serve(ctx, platform.Handler(), platform.AdminHandler())
}

type engineCommand struct {
	listen
	ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
	Slots         int           `default:"8" help:"Requests that run at once."`
	Prefill       time.Duration `default:"20ms" help:"Time to the first token."`
	Token         time.Duration `default:"10ms" help:"Time between tokens."`
}

// Run serves an engine.
func (c *engineCommand) Run(ctx context.Context) error {
	engine := standin.NewEngine(standin.EngineConfig{ChecksFencing: c.ChecksFencing, Slots: c.Slots, Prefill: c.Prefill, Token: c.Token})
	return c.serve(ctx, engine.Handler(), engine.AdminHandler())
}

type serviceCommand struct {
	listen
	Pause time.Duration `default:"20ms" help:"Time that a call takes."`
}

// Run serves a plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	service := standin.NewService(c.Pause)
	return c.serve(ctx, service.Handler(), service.AdminHandler())
}

func (l *listen) serve(ctx context.Context, handler, admin http.Handler) error {
	servers := []*http.Server{{Addr: l.Listen, Handler: handler}, {Addr: l.Admin, Handler: admin}}
	failed := make(chan error, len(servers))
	for _, server := range servers {
		s := serving{server: server, failed: failed}
		go s.run()
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	for _, server := range servers {
		_ = server.Close()
	}
	return nil
}

type serving struct {
	server *http.Server
	failed chan error
}

func (s *serving) run() {
	if err := s.server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		s.failed <- fmt.Errorf("serve %s: %w", s.server.Addr, err)
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var args arguments
	command := kong.Parse(&args, kong.Name("filbertlever-standin"), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
