package main

import (
	"fmt"

	"github.com/filbertlever/filbertlever/internal/settings"
)

type configCommand struct {
	Check   configCheckCommand   `cmd:"" help:"Validate a settings file and report all errors."`
	Example configExampleCommand `cmd:"" help:"Print an example of a settings file."`
}

type configCheckCommand struct {
	File string `arg:"" help:"Settings file."`
	Use  string `default:"Entry" enum:"Entry,Agent,Operator" help:"What the file is for: Entry, Agent or Operator."`
}

// Run validates the file and reports every fault.
func (c *configCheckCommand) Run() error {
	if _, err := settings.Load(c.File, settings.Use(c.Use)); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	fmt.Printf("%s: valid settings for use as %s\n", c.File, c.Use)
	return nil
}

type configExampleCommand struct {
	Use string `default:"Entry" enum:"Entry,Agent,Operator" help:"What the file is for: Entry, Agent or Operator."`
}

// Run prints an example settings file.
func (c *configExampleCommand) Run() error {
	fmt.Print(settings.Example(settings.Use(c.Use)))
	return nil
}
