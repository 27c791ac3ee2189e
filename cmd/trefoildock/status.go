package main

import (
	"strconv"

	"trefoildock.example/admin"
)

// statusCmd shows the status of the cluster.
type statusCmd struct{}

// Run executes the command.
func (*statusCmd) Run(a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		writeJSON(a.stdout, status)
		return nil
	}
	a.printTable([][]string{
		{"node", status.Node},
		{"zone", status.Zone},
		{"incarnation", status.Incarnation},
		{"fresh", yesNo(status.Fresh)},
		{"table reachable", yesNo(status.TableReachable)},
		{"config version", strconv.FormatUint(status.ConfigVersion, 10)},
		{"members version", strconv.FormatUint(status.MembersVersion, 10)},
	})
	a.printf("\n")
	a.printTable(memberRows(status.Members))
	a.printf("\n")
	a.printTable(serviceRows(status.Services))
	return nil
}

func memberRows(members []admin.MemberStatus) [][]string {
	rows := [][]string{{"NODE", "ZONE", "REGION", "LINK ADDRESS", "SERVICES"}}
	for _, m := range members {
		rows = append(rows, []string{m.Node, m.Zone, m.Region, m.LinkAddress, joinList(m.Services)})
	}
	return rows
}

func serviceRows(services []admin.ServiceStatus) [][]string {
	rows := [][]string{{"SERVICE", "FLOOR", "OWNERS", "EJECTED"}}
	for _, s := range services {
		rows = append(rows, []string{s.Name, strconv.Itoa(s.Floor), joinList(s.Owners), joinList(s.Ejected)})
	}
	return rows
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
