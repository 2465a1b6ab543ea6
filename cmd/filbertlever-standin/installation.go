package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/filbertlever/filbertlever/platform/standin"
)

// usersPlatformCommand runs a stand-in of the users' platform: its store, model
// servers that start without weights, plain servers and the origin of weights.
type usersPlatformCommand struct {
	Store  string   `required:"" help:"IP:port of the store."`
	Origin string   `required:"" help:"IP:port of the origin of weights."`
	Models []string `required:"" help:"IP:port of each model server."`
	Plain  []string `required:"" help:"IP:port of each plain server."`
	// Control is separate from the store. It lets a person act as the operator.
	Control string `required:"" help:"IP:port for POST /version?model=drafter&version=2, /restart?server=model-1 and /row?key=x."`
}

// Host name, API key and model in the stand-in's desired state.
const (
	standinHost  = "portal.example"
	standinKey   = "key-of-hauler-1"
	standinModel = "drafter"
)

// Run runs all servers until ctx is done.
func (c *usersPlatformCommand) Run(ctx context.Context) error {
	store := standin.NewStore()
	origin := standin.NewOrigin(64, 32<<10)
	if err := store.Put("op", "config", standin.DesiredState(standinHost, standinKey, standinModel, c.Origin)); err != nil {
		return err
	}
	servers := []*http.Server{
		{Addr: c.Store, Handler: store}, {Addr: c.Origin, Handler: origin},
	}
	var backends []*standin.Server
	for i, address := range c.Models {
		server := standin.NewServer(fmt.Sprintf("model-%d", i+1))
		server.EventCount, server.EventInterval = 20, 40*time.Millisecond
		servers = append(servers, &http.Server{Addr: address, Handler: server, ConnState: server.TrackConnection})
		backends = append(backends, server)
		go (&standin.Heartbeat{Store: store, Server: server, Service: "models", Address: address}).Run(ctx)
	}
	for i, address := range c.Plain {
		server := standin.NewServer(fmt.Sprintf("plain-%d", i+1))
		servers = append(servers, &http.Server{Addr: address, Handler: server, ConnState: server.TrackConnection})
		backends = append(backends, server)
		go (&standin.Heartbeat{Store: store, Server: server, Service: "orders", Address: address}).Run(ctx)
	}
	servers = append(servers, &http.Server{Addr: c.Control, Handler: standin.OperatorHandler(store, backends...)})
	errs := make(chan error, len(servers))
	for _, server := range servers {
		go (&serverRun{server: server, errs: errs}).run()
	}
	defer closeServers(servers)
	select {
	case <-ctx.Done():
		return nil
	case err := <-errs:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}

func closeServers(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close()
	}
}
