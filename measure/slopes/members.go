package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoildock.example/configstore"
	"trefoildock.example/freshness"
	"trefoildock.example/placement"
	"trefoildock.example/wire"
)

const (
	// zoneCount is the number of availability zones at the planned size.
	zoneCount = 10
	// servicesPerNode is the number of services per node at the planned size of
	// 150,000 backend servers and 3,700 nodes, if no two backend servers of a node
	// belong to the same service.
	servicesPerNode = 40
	plannedServices = 3_600
)

func memberExperiments() []experiment {
	fleetSizes := []int{24, 370, 1_850, 3_700}
	return []experiment{
		{
			quantities: []Quantity{
				{"placement:join_time", "ns", "node", "assign the partitions of a node that joins"},
				{"placement:remove_time", "ns", "node", "reassign the partitions of a removed node"},
				{"placement:build_time", "ns", "node", "build the complete table, as after a start"},
				{"placement:table_heap", "B", "node", "live heap of the table"},
			},
			sizes: fleetSizes, run: measurePlacement,
		},
		{
			quantities: []Quantity{
				{"freshness:change_time", "ns", "node", "remove and add a node in the topology, with the new attester set after each"},
				{"freshness:build_time", "ns", "node", "build the topology, as the check before a join or removal does"},
				{"freshness:topology_heap", "B", "node", "live heap of the topology"},
			},
			sizes: fleetSizes, run: measureTopology,
		},
		{
			quantities: []Quantity{
				{"configstore:member_change_time", "ns", "node", "copy the member map and apply one change, as every published change does"},
				{"configstore:member_heap", "B", "node", "live heap of the members, 40 services each"},
				{"wire:members_bytes", "B", "node", "members in a snapshot message, 40 services each"},
				{"wire:members_time", "ns", "node", "decode the members of a snapshot message"},
			},
			sizes: fleetSizes, run: measureMembers,
		},
		{
			quantities: []Quantity{
				{"wire:member_bytes", "B", "service", "one member change in a message"},
				{"configstore:member_row_bytes", "B", "service", "one row of the members log"},
			},
			sizes: []int{1, 10, 20, servicesPerNode}, repetitions: 1, run: measureMemberRecord,
		},
	}
}

func nodeName(i int) string {
	return fmt.Sprintf("region-%d-zone-%d-%04d", i%zoneCount/2, i%zoneCount, i/zoneCount)
}
func zoneName(i int) string { return fmt.Sprintf("region-%d-zone-%d", i%zoneCount/2, i%zoneCount) }

func nodeNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = nodeName(i)
	}
	return names
}

func incarnation(i int) string { return fmt.Sprintf("0193a1b2-c3d4-7000-8000-%012d", i) }

func memberRecord(i, services int) configstore.Member {
	m := configstore.Member{
		Node: nodeName(i), VM: "vm-" + nodeName(i), Zone: zoneName(i), Region: fmt.Sprintf("region-%d", i%zoneCount/2),
		LinkAddress: fmt.Sprintf("10.%d.%d.%d:7400", i%zoneCount, i/256, i%256), Incarnation: incarnation(i),
	}
	for k := range services {
		m.Services = append(m.Services, serviceName((i*services+k)%plannedServices))
	}
	return m
}

func memberMessage(m configstore.Member) *wire.Member {
	return &wire.Member{
		Node: m.Node, Vm: m.VM, Zone: m.Zone, Region: m.Region,
		LinkAddress: m.LinkAddress, Incarnation: m.Incarnation, Services: m.Services,
	}
}

// measurePlacement removes and rejoins nodes in turn, so that the size of the
// table stays the same.
func measurePlacement(_ context.Context, _ Environment, nodes int) ([]float64, error) {
	names := nodeNames(nodes)
	var t *placement.Table
	build := cpuTimeOfCall(func() { t = placement.FromSnapshot(1, names) })
	heap := retainedHeap(func() *placement.Table { return placement.FromSnapshot(1, names) })
	var join, remove time.Duration
	version := uint64(1)
	const changes = 24
	for i := range changes {
		start := cpuTime()
		version++
		if err := t.Apply(placement.Change{Operation: placement.Remove, Node: names[i%nodes]}, version); err != nil {
			return nil, err
		}
		removeEnd := cpuTime()
		version++
		if err := t.Apply(placement.Change{Operation: placement.Join, Node: names[i%nodes]}, version); err != nil {
			return nil, err
		}
		remove += removeEnd - start
		join += cpuTime() - removeEnd
	}
	return []float64{float64(join) / changes, float64(remove) / changes, build, heap}, nil
}

func newTopology(n int) *freshness.Topology {
	t := freshness.NewTopology()
	for i := range n {
		t.Add(nodeName(i), zoneName(i))
	}
	return t
}

func measureTopology(_ context.Context, _ Environment, nodes int) ([]float64, error) {
	build := cpuTimePerCall(func() { runtime.KeepAlive(newTopology(nodes)) })
	heap := retainedHeap(func() *freshness.Topology { return newTopology(nodes) })
	t, s := newTopology(nodes), freshness.NewState(nodeName(0))
	version := uint64(1)
	change := cpuTimePerCall(func() {
		node := int(version) % nodes
		t.Remove(nodeName(node))
		s.RecordMembers(version+1, t.Attesters(), time.Unix(1, 0))
		t.Add(nodeName(node), zoneName(node))
		s.RecordMembers(version+2, t.Attesters(), time.Unix(1, 0))
		version += 2
	})
	return []float64{change, build, heap}, nil
}

func measureMembers(_ context.Context, _ Environment, nodes int) ([]float64, error) {
	snapshot := &wire.Snapshot{MembersVersion: 1}
	for i := range nodes {
		snapshot.Members = append(snapshot.Members, memberMessage(memberRecord(i, servicesPerNode)))
	}
	message, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	decoding := cpuTimePerCall(func() { err = proto.Unmarshal(message, new(wire.Snapshot)) })
	var state *configstore.MembersState
	heap := retainedHeap(func() *configstore.MembersState {
		received := new(wire.Snapshot)
		err = proto.Unmarshal(message, received)
		state = &configstore.MembersState{Version: 1, Members: map[string]configstore.Member{}}
		for _, m := range received.GetMembers() {
			state.Members[m.GetNode()] = configstore.Member{
				Node: m.GetNode(), VM: m.GetVm(), Zone: m.GetZone(), Region: m.GetRegion(),
				LinkAddress: m.GetLinkAddress(), Incarnation: m.GetIncarnation(), Services: m.GetServices(),
			}
		}
		return state
	})
	if err != nil {
		return nil, err
	}
	entry := configstore.MemberEntry{Version: 2, Change: configstore.MemberChange{
		Kind: configstore.MemberUpdate, Member: state.Members[nodeName(nodes/2)],
	}}
	change := cpuTimePerCall(func() { _, err = state.Apply([]configstore.MemberEntry{entry}) })
	return []float64{change, heap, float64(len(message)), decoding}, err
}

func measureMemberRecord(_ context.Context, _ Environment, services int) ([]float64, error) {
	m := memberRecord(0, services)
	message, err := proto.Marshal(&wire.PullAnswer{Members: []*wire.MemberChange{
		{Version: 1_000_000, Kind: string(configstore.MemberJoin), Member: memberMessage(m)},
	}})
	if err != nil {
		return nil, err
	}
	row, err := json.Marshal(configstore.MemberChange{Kind: configstore.MemberJoin, Member: m, CommittedBy: m.Node})
	return []float64{float64(len(message)), float64(len(row))}, err
}
