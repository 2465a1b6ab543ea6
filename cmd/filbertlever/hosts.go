package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/settings"
)

type stopCommand struct {
	settingsFile
	Host filbertlever.HostID `arg:"" help:"Host to stop."`
	Undo bool                `help:"Cancel the planned stop."`
}

// Run plans the stop of the host, or cancels it.
func (c *stopCommand) Run(ctx context.Context) error {
	_, client, err := c.operator()
	if err != nil {
		return err
	}
	if err := operator.PlanStop(ctx, client, c.Host, c.Undo); err != nil {
		return err
	}
	if c.Undo {
		fmt.Printf("no stop of %s is planned\n", c.Host)
		return nil
	}
	fmt.Printf("stop of %s is planned\n", c.Host)
	return nil
}

type hostsCommand struct {
	settingsFile
	output
}

// Run lists the hosts with their state and load.
func (c *hostsCommand) Run(ctx context.Context) error {
	s, err := c.load(settings.UseOperator)
	if err != nil {
		return err
	}
	status, err := operator.ReadStatus(ctx, s)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, host := range status.Hosts {
		hostState := "unfit"
		switch {
		case host.Host.Leaving:
			hostState = "leaving"
		case host.Usable:
			hostState = "live"
		}
		rows = append(rows, []string{
			string(host.Host.ID), string(host.Host.Role), host.Host.Site, host.Host.Pool, hostState,
			strconv.FormatUint(host.ActiveVersion, 10), strconv.Itoa(host.Load.Running), strconv.Itoa(host.Load.Queued),
		})
	}
	return c.print([]string{"HOST", "ROLE", "SITE", "POOL", "STATE", "BUNDLE", "RUNNING", "QUEUED"}, rows, status.Hosts)
}
