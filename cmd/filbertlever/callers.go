package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/pkg/client"
)

// caller holds the connection flags of callers' commands.
type caller struct {
	Entries   []string      `name:"entry" required:"" env:"FILBERTLEVER_ENTRIES" help:"Address (IP:port) of an entry; repeatable."`
	Authority string        `required:"" type:"existingfile" env:"FILBERTLEVER_AUTHORITY" help:"Certificate that signed the entries' certificates."`
	Token     string        `env:"FILBERTLEVER_TOKEN" help:"Token of the organisation; prefer the environment variable."`
	Site      string        `help:"Site of the caller; nearer entries are used first."`
	Timeout   time.Duration `default:"1m" help:"Timeout for the complete answer."`
}

// client creates a client and the function that closes its connections.
func (c *caller) client() (*client.Client, func(), error) {
	authority, err := peer.LoadAuthority(c.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	cl, closeClient := client.New(client.Config{
		Entries: c.Entries,
		Token:   c.Token,
		TLS:     &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authority},
		Site:    c.Site,
	})
	return cl, closeClient, nil
}

type askCommand struct {
	caller
	Model     string `required:"" help:"Model to ask."`
	Adapter   string `help:"Adapter of the model."`
	MaxTokens int    `default:"64" help:"Maximum number of tokens in the answer."`
	Priority  string `default:"normal" enum:"batch,normal,urgent" help:"Priority within the organisation: batch, normal or urgent."`
	RequestID string `help:"ID of the request in the system's logs."`
	Prompt    string `arg:"" help:"Prompt to send to the model."`
}

var priorities = map[string]filbertlever.Priority{
	"batch":  filbertlever.PriorityBatch,
	"normal": filbertlever.PriorityNormal,
	"urgent": filbertlever.PriorityUrgent,
}

// Run sends the prompt and prints the answer as it arrives.
func (c *askCommand) Run(ctx context.Context) error {
	cl, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	question := client.Question{
		RequestID: c.RequestID, Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt,
		MaxTokens: c.MaxTokens, Priority: priorities[c.Priority],
	}
	_, err = cl.Ask(ctx, question, func(pieces []string) error {
		for _, piece := range pieces {
			fmt.Print(piece)
		}
		return nil
	})
	fmt.Println()
	return err
}

type orderCommand struct {
	caller
	Service string `required:"" help:"Name of the plain service."`
	Call    string `required:"" help:"Name of the call."`
	Key     string `help:"Idempotency key; generated if empty. Errors print it."`
	Body    string `arg:"" help:"Body of the call."`
}

// Run sends the order and prints its answer.
func (c *orderCommand) Run(ctx context.Context) error {
	cl, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Key == "" {
		c.Key = client.NewKey()
	}
	answer, err := cl.Order(ctx, client.Order{Key: c.Key, Service: c.Service, Call: c.Call, Body: []byte(c.Body)})
	if err != nil {
		return fmt.Errorf("order %s: %w", c.Key, err)
	}
	fmt.Printf("%s\n", answer)
	return nil
}

type lookupCommand struct {
	caller
	Key string `arg:"" help:"Idempotency key of the order."`
}

// Run looks up the order and prints its answer.
func (c *lookupCommand) Run(ctx context.Context) error {
	cl, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	answer, err := cl.Lookup(ctx, c.Key)
	if err != nil {
		return fmt.Errorf("order %s: %w", c.Key, err)
	}
	fmt.Printf("%s\n", answer)
	return nil
}

type locateCommand struct {
	caller
	output
}

// Run lists the entries to use, best first.
func (c *locateCommand) Run(ctx context.Context) error {
	cl, closeClient, err := c.client()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	located, err := cl.Locate(ctx)
	if err != nil {
		return errors.Join(client.ErrNotRun, err)
	}
	var rows [][]string
	for _, entry := range located.Entries {
		rows = append(rows, []string{string(entry.Host), entry.Address, entry.Site})
	}
	return c.print([]string{"HOST", "ADDRESS", "SITE"}, rows, located)
}
