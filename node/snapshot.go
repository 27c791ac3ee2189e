package node

import (
	"slices"
	"strings"

	"trefoildock.example/configstore"
	"trefoildock.example/rules"
)

// snapshot is the control state that the traffic goroutines read. It is
// immutable once published.
type snapshot struct {
	config         *rules.Config
	router         *rules.Router
	configVersion  uint64
	membersVersion uint64
	members        map[string]configstore.Member
	// owners maps a service to the nodes that own its backend servers, without
	// nodes in availability zones that are out of service.
	owners map[string][]*ownerRef
}

func newSnapshot(c *rules.Config, router *rules.Router, configVersion uint64, members map[string]configstore.Member, membersVersion uint64) *snapshot {
	return &snapshot{
		config: c, router: router, configVersion: configVersion,
		members: members, membersVersion: membersVersion,
		owners: ownersOf(c, members),
	}
}

func emptySnapshot() *snapshot {
	c := rules.NewConfig()
	return newSnapshot(c, rules.NewRouter(c), 0, map[string]configstore.Member{}, 0)
}

// ownersOf groups the members by the services whose backend servers they own.
func ownersOf(c *rules.Config, members map[string]configstore.Member) map[string][]*ownerRef {
	owners := make(map[string][]*ownerRef)
	for _, m := range members {
		if c.ZoneOutOfService(m.Zone) {
			continue
		}
		ref := &ownerRef{node: m.Node, zone: m.Zone, address: m.LinkAddress}
		for _, s := range m.Services {
			owners[s] = append(owners[s], ref)
		}
	}
	for _, refs := range owners {
		slices.SortFunc(refs, func(a, b *ownerRef) int { return strings.Compare(a.node, b.node) })
	}
	return owners
}
