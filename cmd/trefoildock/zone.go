package main

import (
	"context"

	"trefoildock.example/admin"
)

// zoneCmd groups the commands on availability zones.
type zoneCmd struct {
	Out zoneOutCmd `cmd:"" help:"Take an availability zone out of service. It gets no new work after a few seconds."`
	In  zoneInCmd  `cmd:"" help:"Take an availability zone back into service."`
}

// zoneOutCmd takes an availability zone out of service.
type zoneOutCmd struct {
	changeFlags

	Name string `arg:"" help:"Name of the availability zone."`
}

// zoneInCmd takes an availability zone back into service.
type zoneInCmd struct {
	changeFlags

	Name string `arg:"" help:"Name of the availability zone."`
}

// Run executes the command.
func (c *zoneOutCmd) Run(a *app) error {
	return a.setZone(&c.changeFlags, c.Name, admin.StateOut)
}

// Run executes the command.
func (c *zoneInCmd) Run(a *app) error {
	return a.setZone(&c.changeFlags, c.Name, admin.StateIn)
}

func (a *app) setZone(flags *changeFlags, name, state string) error {
	return a.makeChange(flags, func(ctx context.Context, client *admin.Client, change admin.Change) error {
		response, err := client.SetZone(ctx, name, admin.StateRequest{Change: change, State: state})
		if err != nil {
			return err
		}
		return a.showChange(&response, true)
	})
}
