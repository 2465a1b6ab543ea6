package main

import (
	"context"
	"fmt"

	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/process"
)

// settingsFile is the flag for the settings file of a command.
type settingsFile struct {
	Settings string `required:"" type:"existingfile" env:"FILBERTLEVER_SETTINGS" help:"Settings file."`
}

func (f *settingsFile) load(use settings.Use) (*settings.Settings, error) {
	s, err := settings.Load(f.Settings, use)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return s, nil
}

type entryCommand struct {
	settingsFile
}

// Run runs an entry until it is stopped.
func (c *entryCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.UseEntry)
	if err != nil {
		return err
	}
	log, err := process.NewLogger(s.Log)
	if err != nil {
		return err
	}
	return process.RunEntry(ctx, s, network.TCP{DialTimeout: peer.DialTimeout}, log)
}

type agentCommand struct {
	settingsFile
}

// Run runs an agent until it is stopped.
func (c *agentCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.UseAgent)
	if err != nil {
		return err
	}
	log, err := process.NewLogger(s.Log)
	if err != nil {
		return err
	}
	return process.RunAgent(ctx, s, network.TCP{DialTimeout: peer.DialTimeout}, log)
}
