package node

import (
	"time"

	"trefoildock.example/configstore"
	"trefoildock.example/freshness"
	"trefoildock.example/wire"
)

func memberFromWire(m *wire.Member) configstore.Member {
	return configstore.Member{
		Node: m.GetNode(), VM: m.GetVm(), Zone: m.GetZone(), Region: m.GetRegion(),
		LinkAddress: m.GetLinkAddress(), Incarnation: m.GetIncarnation(), Services: m.GetServices(),
	}
}

func memberToWire(m configstore.Member) *wire.Member {
	return &wire.Member{
		Node: m.Node, Vm: m.VM, Zone: m.Zone, Region: m.Region,
		LinkAddress: m.LinkAddress, Incarnation: m.Incarnation, Services: m.Services,
	}
}

func attestationsToWire(in []freshness.Attestation) []*wire.Attestation {
	out := make([]*wire.Attestation, len(in))
	for i, a := range in {
		out[i] = &wire.Attestation{
			Attester: a.Attester, ConfigVersion: a.Versions.Config, MembersVersion: a.Versions.Members,
			AgeUs: a.Age.Microseconds(), FromTable: a.FromTable,
		}
	}
	return out
}

func attestationsFromWire(in []*wire.Attestation) []freshness.Attestation {
	out := make([]freshness.Attestation, len(in))
	for i, a := range in {
		out[i] = freshness.Attestation{
			Attester:  a.GetAttester(),
			Versions:  freshness.Versions{Config: a.GetConfigVersion(), Members: a.GetMembersVersion()},
			Age:       time.Duration(a.GetAgeUs()) * time.Microsecond,
			FromTable: a.GetFromTable(),
		}
	}
	return out
}

func configEntryToWire(e configstore.ConfigEntry) *wire.ConfigDelta {
	return &wire.ConfigDelta{Version: e.Version, Removed: e.Delta.Removed, Added: e.Delta.Added}
}

func memberEntryToWire(e configstore.MemberEntry) *wire.MemberChange {
	return &wire.MemberChange{Version: e.Version, Kind: string(e.Change.Kind), Member: memberToWire(e.Change.Member)}
}
