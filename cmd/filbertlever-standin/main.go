// Command filbertlever-standin runs the stand-ins that tests and the demo use
// instead of the platform, model engines and plain services.
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
	Platform platformCommand      `cmd:"" help:"Run a platform: table service, object store, host list, origin and weight store."`
	Engine   engineCommand        `cmd:"" help:"Run a model engine."`
	Service  serviceCommand       `cmd:"" help:"Run a plain service."`
	Users    usersPlatformCommand `cmd:"" name:"users-platform" help:"Run a users' platform: store, model servers, plain servers and origin."`
}

type listen struct {
	Listen string `required:"" help:"IP:port to listen on."`
	Admin  string `required:"" help:"IP:port for fault injection and statistics."`
}

type platformCommand struct {
	listen
	Weights map[string]string `help:"Weights at the origin, as PATH=FILE."`
}

// Run runs the platform until ctx is done.
func (c *platformCommand) Run(ctx context.Context) error {
	platform := standin.NewPlatform()
	if err := platform.LoadFiles(c.Weights); err != nil {
		return err
	}
	return c.serve(ctx, platform.Handler(), platform.AdminHandler())
}

type engineCommand struct {
	listen
	ChecksFencing bool          `help:"Reject orders with an outdated fencing number."`
	Slots         int           `default:"8" help:"Number of requests that run at the same time."`
	Prefill       time.Duration `default:"20ms" help:"Time to the first token."`
	Token         time.Duration `default:"10ms" help:"Time between tokens."`
}

// Run runs the engine until ctx is done.
func (c *engineCommand) Run(ctx context.Context) error {
	engine := standin.NewEngine(standin.EngineConfig{ChecksFencing: c.ChecksFencing, Slots: c.Slots, PrefillTime: c.Prefill, TokenTime: c.Token})
	return c.serve(ctx, engine.Handler(), engine.AdminHandler())
}

type serviceCommand struct {
	listen
	Pause time.Duration `default:"20ms" help:"Duration of a call."`
}

// Run runs the plain service until ctx is done.
func (c *serviceCommand) Run(ctx context.Context) error {
	service := standin.NewService(c.Pause)
	return c.serve(ctx, service.Handler(), service.AdminHandler())
}

// serve runs the server and its admin server until ctx is done or one fails.
func (l *listen) serve(ctx context.Context, handler, admin http.Handler) error {
	servers := []*http.Server{{Addr: l.Listen, Handler: handler}, {Addr: l.Admin, Handler: admin}}
	errs := make(chan error, len(servers))
	for _, server := range servers {
		s := serverRun{server: server, errs: errs}
		go s.run()
	}
	select {
	case <-ctx.Done():
	case err := <-errs:
		return err
	}
	for _, server := range servers {
		_ = server.Close()
	}
	return nil
}

// serverRun runs an HTTP server and sends its error to errs.
type serverRun struct {
	server *http.Server
	errs   chan error
}

func (s *serverRun) run() {
	if err := s.server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		s.errs <- fmt.Errorf("serve %s: %w", s.server.Addr, err)
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
