package main

import (
	"context"
	"fmt"

	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/transport/channel"
	"github.com/filbertlever/filbertlever/internal/transport/hangup"
	"github.com/filbertlever/filbertlever/internal/transport/installation"
	"github.com/filbertlever/filbertlever/platform"
)

type installationCommand struct {
	Entry installationEntryCommand `cmd:"" help:"Run an entry on the users' platform."`
	Agent installationAgentCommand `cmd:"" help:"Run an agent beside a model server on the users' platform."`
	Check installationCheckCommand `cmd:"" help:"Validate a settings file for the users' platform and report all errors."`
}

// installationFile is the flag for the settings file of a process on a users'
// platform.
type installationFile struct {
	Settings string `required:"" type:"existingfile" env:"FILBERTLEVER_SETTINGS" help:"Settings file."`
}

// load reads the settings and returns the file that is reloaded on SIGHUP.
func (f *installationFile) load(use settings.Use) (*settings.Installation, installation.SettingsFile, error) {
	s, err := settings.LoadInstallation(f.Settings, use)
	if err != nil {
		return nil, installation.SettingsFile{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	return s, installation.SettingsFile{Path: f.Settings, Reload: hangup.Received()}, nil
}

type installationEntryCommand struct {
	installationFile
}

// Run runs an entry until it is stopped.
func (c *installationEntryCommand) Run(ctx context.Context) error {
	s, file, err := c.load(settings.UseEntry)
	if err != nil {
		return err
	}
	store, closeStore := platform.NewStore(s.Store)
	defer closeStore()
	origin, closeOrigin := platform.NewOrigin()
	defer closeOrigin()
	pool, closePool := channel.New()
	defer closePool()
	return installation.RunEntry(ctx, s, file, installation.EntryDependencies{
		Store: store, Codec: platform.Codec{}, Sender: platform.NewSender(pool), Origin: origin, Routes: platform.Routes,
	})
}

type installationAgentCommand struct {
	installationFile
}

// Run runs an agent until it is stopped.
func (c *installationAgentCommand) Run(ctx context.Context) error {
	s, file, err := c.load(settings.UseAgent)
	if err != nil {
		return err
	}
	store, closeStore := platform.NewStore(s.Store)
	defer closeStore()
	engine, closeEngine := platform.NewEngine(s.ModelServer.Address)
	defer closeEngine()
	return installation.RunAgent(ctx, s, file, installation.AgentDependencies{Engine: engine, Entries: store})
}

type installationCheckCommand struct {
	File string `arg:"" help:"Settings file."`
	Use  string `default:"Entry" enum:"Entry,Agent" help:"What the file is for: Entry or Agent."`
}

// Run validates the file and reports every fault.
func (c *installationCheckCommand) Run() error {
	if _, err := settings.LoadInstallation(c.File, settings.Use(c.Use)); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	fmt.Printf("%s: valid settings for use as %s\n", c.File, c.Use)
	return nil
}
