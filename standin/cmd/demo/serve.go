package main

import (
	"context"
	"fmt"
)

type serveCmd struct {
	Deployment string `help:"Deployment to serve." enum:"ffon,cola" default:"ffon"`
}

// Run starts one deployment, prints example commands and waits until ctx ends.
func (c *serveCmd) Run(ctx context.Context, g *globalFlags) error {
	w, cleanup, err := g.newWorkspace()
	if err != nil {
		return err
	}
	defer cleanup()
	var p processes
	defer p.killAll()
	l := ffonLayout(g.Network)
	if c.Deployment == "cola" {
		l = colaLayout(g.Network + 10)
	}
	d, err := provision(l, w, &p)
	if err != nil {
		return err
	}
	fmt.Println("starting 24 nodes; this takes about 15 s")
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.applyRules(ctx); err != nil {
		return err
	}
	d.printHelp()
	<-ctx.Done()
	return nil
}

// printHelp prints example commands for the running deployment.
func (d *deployment) printHelp() {
	entry, admin := &d.vms[0], &d.vms[1]
	tls := ""
	if d.tls {
		tls = " --cacert " + d.caFile
	}
	post, get := "", ""
	for _, k := range d.traffic.kinds {
		switch {
		case k.method == "POST" && post == "":
			post = k.path
		case k.method == "GET" && !k.open && get == "":
			get = k.path
		}
	}
	team := d.traffic.changedTeam
	fmt.Printf("\n%s is up; Ctrl-C ends it. Folder with settings and logs: %s\n\n", d.name, d.dir)
	fmt.Printf("curl -i%s %s%s\n", tls, d.trafficURL(entry), d.traffic.openPath)
	fmt.Printf("curl -i%s -H 'Authorization: Bearer %s' %s%s\n", tls, d.keys[team], d.trafficURL(entry), get)
	fmt.Printf("curl -i%s -H 'Authorization: Bearer %s' -H \"Idempotency-Key: order-$(date +%%s)\" -d '{\"order_id\":\"1\"}' %s%s\n\n",
		tls, d.keys[team], d.trafficURL(entry), post)
	fmt.Printf("export TREFOILDOCK_TOKEN=%s\n", d.token)
	command := fmt.Sprintf("%s --server http://%s", d.workspace.trefoildock, admin.hostPort(adminPort))
	changeFlags := "--requester 'A. Person' --reason 'trying it out'"
	for _, args := range []string{
		"status", "zone out " + d.zones[0] + " " + changeFlags, "zone in " + d.zones[0] + " " + changeFlags,
		"backend out " + entry.backend + " " + changeFlags, "backend in " + entry.backend + " " + changeFlags,
		"key issue " + team + " " + changeFlags, "key withdraw --team " + team + " " + changeFlags,
		"diff " + d.path("all.rules"), "apply " + d.path("all.rules") + " " + changeFlags, "audit",
	} {
		fmt.Printf("%s %s\n", command, args)
	}
	fmt.Printf("curl http://%s/metrics\n", entry.hostPort(metricsPort))
}
