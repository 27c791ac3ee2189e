package main

import "trefoildock.example/admin"

// zoneCmd groups the commands for availability zones.
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
	return a.setState(&c.changeFlags, c.Name, admin.StateOutOfService, (*admin.Client).SetZone)
}

// Run executes the command.
func (c *zoneInCmd) Run(a *app) error {
	return a.setState(&c.changeFlags, c.Name, admin.StateInService, (*admin.Client).SetZone)
}
