package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoildock.example/configstore"
	"trefoildock.example/freshness"
	"trefoildock.example/wire"
)

const (
	// publishTimeout bounds the wait until a quorum holds a change and the sampled
	// nodes have applied it.
	publishTimeout = 5 * time.Second
	// maxPublishSample is the maximum number of nodes queried for their applied
	// version, so that the cost of a change does not grow with the fleet.
	maxPublishSample = 100
	// maxConcurrentQueries is the maximum number of concurrent version queries.
	maxConcurrentQueries = 16
)

// Acceptance reports how far a committed configuration has been distributed.
type Acceptance struct {
	// Acknowledged is the number of attesters that hold the version; Needed of
	// them form a quorum.
	Acknowledged, Needed int
	// InForce is the number of sampled nodes that have applied the version; Sampled
	// is the sample size, at most 100.
	InForce, Sampled int
}

// Accepted reports whether a quorum of attesters holds the version.
func (a Acceptance) Accepted() bool { return a.Needed > 0 && a.Acknowledged >= a.Needed }

// Publish applies a committed change on this node, pushes it to the attesters
// and waits until a quorum holds it and the sampled nodes have applied it, for
// at most 5 s.
func (n *Node) Publish(ctx context.Context, entry configstore.ConfigEntry) Acceptance {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var addresses []string
	delta := []*wire.ConfigDelta{configEntryToWire(entry)}
	err := n.control.runAndWait(ctx, func() {
		n.control.applyConfig(delta)
		n.control.readTable(n.ctx) // Covers a node that lacks earlier versions.
		addresses = n.control.attesterAddresses()
	})
	if err != nil {
		return Acceptance{}
	}
	result := Acceptance{Needed: freshness.Quorum(len(addresses))}
	want := freshness.Versions{Config: entry.Version}
	for {
		result.Acknowledged = n.push(ctx, addresses, &wire.Acknowledge{Config: delta}, want)
		if result.Accepted() || !sleep(ctx, controlInterval/5) {
			break
		}
	}
	n.awaitInForce(ctx, entry.Version, &result)
	return result
}

// awaitInForce polls the nodes of a sample until all of them have applied the
// version.
func (n *Node) awaitInForce(ctx context.Context, version uint64, result *Acceptance) {
	sample := n.sampleMemberAddresses()
	result.Sampled = len(sample)
	for {
		sample = n.nodesBehind(ctx, sample, version)
		result.InForce = result.Sampled - len(sample)
		if len(sample) == 0 || !sleep(ctx, controlInterval/5) {
			return
		}
	}
}

func (n *Node) sampleMemberAddresses() []string {
	members := n.snapshot.Load().members
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.LinkAddress)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxPublishSample, len(addresses))]
}

// nodesBehind returns the addresses of the nodes that have not applied the
// version or do not respond.
func (n *Node) nodesBehind(ctx context.Context, addresses []string, version uint64) []string {
	var (
		mu  sync.Mutex
		out []string
		wg  sync.WaitGroup
	)
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, address := range addresses {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if n.configVersionOf(ctx, address) < version {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, address)
			}
		})
	}
	wg.Wait()
	return out
}

func (n *Node) configVersionOf(ctx context.Context, address string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, controlInterval)
	defer cancel()
	a, err := n.pool.Call(ctx, address, &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}})
	if err != nil {
		return 0
	}
	return a.GetPing().GetConfigVersion()
}

// Status is the state of the fleet as observed by this node.
type Status struct {
	// Node and Incarnation identify this process; Zone is its availability zone.
	Node, Zone, Incarnation string
	// Fresh reports whether the node provably holds every accepted version.
	Fresh bool
	// ConfigVersion and MembersVersion are the versions that the node holds.
	ConfigVersion, MembersVersion uint64
	// TableReachable reports whether the last read of the platform's table
	// succeeded.
	TableReachable bool
	// Members are all members, sorted by name.
	Members []configstore.Member
	// Services are the configured services, sorted by name.
	Services []ServiceStatus
}

// ServiceStatus is the status of one service.
type ServiceStatus struct {
	// Name and Floor are taken from the configuration.
	Name  string
	Floor int
	// Owners are the nodes that own backend servers of the service.
	Owners []string
	// Ejected are the backend servers with an ejection permit; it is set only if
	// this node is the coordinator of the service.
	Ejected []string
}

// Status returns the state observed by this node, without network or disk I/O.
func (n *Node) Status(ctx context.Context) Status {
	snap := n.snapshot.Load()
	s := Status{
		Node: n.settings.Node.Name, Zone: n.settings.Node.Zone, Incarnation: n.incarnation(),
		Fresh: n.fresh(time.Now()), ConfigVersion: snap.configVersion, MembersVersion: snap.membersVersion,
	}
	_ = n.control.runAndWait(ctx, func() { s.TableReachable = !n.control.tableUnavailable }) // On a stopped node the value stays false.
	for _, m := range snap.members {
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b configstore.Member) int { return strings.Compare(a.Node, b.Node) })
	for name, service := range snap.config.Services {
		s.Services = append(s.Services, ServiceStatus{
			Name: name, Floor: service.Floor, Owners: ownerNames(snap.owners[name]), Ejected: n.coordinators.serviceCoordinators.ejected(name),
		})
	}
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func ownerNames(refs []*ownerRef) []string {
	names := make([]string, len(refs))
	for i, r := range refs {
		names[i] = r.node
	}
	return names
}
