package main

import "trefoildock.example/admin"

// backendCmd groups the commands for backend servers.
type backendCmd struct {
	Out backendOutCmd `cmd:"" help:"Take a backend server out of service. It gets no new work after a few seconds."`
	In  backendInCmd  `cmd:"" help:"Take a backend server back into service."`
}

// backendOutCmd takes a backend server out of service.
type backendOutCmd struct {
	changeFlags

	Name string `arg:"" help:"Name of the backend server."`
}

// backendInCmd takes a backend server back into service.
type backendInCmd struct {
	changeFlags

	Name string `arg:"" help:"Name of the backend server."`
}

// Run executes the command.
func (c *backendOutCmd) Run(a *app) error {
	return a.setState(&c.changeFlags, c.Name, admin.StateOutOfService, (*admin.Client).SetBackendServer)
}

// Run executes the command.
func (c *backendInCmd) Run(a *app) error {
	return a.setState(&c.changeFlags, c.Name, admin.StateInService, (*admin.Client).SetBackendServer)
}
