package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/admin"
	"trefoildock.example/configstore"
	"trefoildock.example/link"
	"trefoildock.example/node"
	"trefoildock.example/platform"
	"trefoildock.example/settings"
)

// shutdownMargin is added to the drain time as the timeout of a graceful shutdown. It
// covers the membership update and the handover of idempotency claims.
const shutdownMargin = 10 * time.Second

// runNode runs a node until ctx is done and then shuts it down gracefully.
func runNode(ctx context.Context, s *settings.Settings, logger log.Logger) error {
	dependencies, err := newDependencies(s, logger)
	if err != nil {
		return err
	}
	n := node.New(s, dependencies)
	server, err := startAdmin(s, n, dependencies)
	if err != nil {
		return err
	}
	defer server.Close()
	if err := n.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Process.DrainTime.Std()+shutdownMargin)
	defer cancel()
	return n.Stop(stopCtx)
}

func newDependencies(s *settings.Settings, logger log.Logger) (node.Dependencies, error) {
	client, err := platform.NewClient(platform.ClientConfig{URL: s.Platform.URL, Timeout: s.Platform.Timeout.Std()})
	if err != nil {
		return node.Dependencies{}, err
	}
	d := node.Dependencies{
		Store:    configstore.New(client.Table(), client.Objects(), configstore.Options{}),
		Logger:   logger,
		Registry: metrics.NewRegistry(),
	}
	if s.Link.TLS() {
		d.LinkServerTLS, d.LinkClientTLS, err = link.LoadTLS(s.Link.CAFile, s.Link.CertFile, s.Link.KeyFile)
		if err != nil {
			return d, errors.Wrap(err, "link TLS")
		}
	}
	if s.Listen.TrafficCertFile != "" {
		certificate, err := tls.LoadX509KeyPair(s.Listen.TrafficCertFile, s.Listen.TrafficKeyFile)
		if err != nil {
			return d, errors.Wrap(err, "traffic TLS")
		}
		d.TrafficTLS = &tls.Config{
			MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}, NextProtos: []string{"h2", "http/1.1"},
		}
	}
	return d, nil
}

// startAdmin starts the server of the admin API.
func startAdmin(s *settings.Settings, n *node.Node, d node.Dependencies) (*http.Server, error) {
	ln, err := net.Listen("tcp", s.Listen.Admin)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for admin on %s", s.Listen.Admin)
	}
	server := &http.Server{
		Handler: admin.NewHandler(admin.Config{
			Store: d.Store, Cluster: clusterAdapter{n}, Operator: s.OperatorByToken, Logger: d.Logger, Refusals: refusalCounter{d.Registry},
		}),
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
	}
	go func() { _ = server.Serve(ln) }() // Serve returns when the server is closed.
	return server, nil
}

// refusalCounter counts rejected admin requests by problem code.
type refusalCounter struct{ registry metrics.Registry }

// CountRefusal implements admin.RefusalCounter.
func (c refusalCounter) CountRefusal(code string) {
	metrics.GetOrRegisterCounter("admin.refused."+code, c.registry).Inc(1)
}

// clusterAdapter adapts a node to admin.Cluster.
type clusterAdapter struct{ node *node.Node }

// Publish implements admin.Cluster.
func (c clusterAdapter) Publish(ctx context.Context, entry configstore.ConfigEntry) admin.Acceptance {
	a := c.node.Publish(ctx, entry)
	return admin.Acceptance{
		Accepted: a.Accepted(), Acknowledged: a.Acknowledged, Needed: a.Needed, InForce: a.InForce, Nodes: a.Sampled,
	}
}

// Status implements admin.Cluster.
func (c clusterAdapter) Status(ctx context.Context) admin.Status {
	s := c.node.Status(ctx)
	out := admin.Status{
		Node: s.Node, Zone: s.Zone, Incarnation: s.Incarnation, Fresh: s.Fresh,
		ConfigVersion: s.ConfigVersion, MembersVersion: s.MembersVersion, TableReachable: s.TableReachable,
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, admin.MemberStatus{
			Node: m.Node, Zone: m.Zone, Region: m.Region, Services: m.Services, LinkAddress: m.LinkAddress,
		})
	}
	for _, service := range s.Services {
		out.Services = append(out.Services, admin.ServiceStatus{
			Name: service.Name, Floor: service.Floor, Owners: service.Owners, Ejected: service.Ejected,
		})
	}
	return out
}
