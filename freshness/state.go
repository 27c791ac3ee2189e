package freshness

import (
	"slices"
	"strings"
	"time"
)

// timedVersions are versions with the local time at which a node had applied
// them.
type timedVersions struct {
	versions Versions
	at       time.Time
}

// State holds the attestations that one node has received and the versions that
// it has applied. It is not safe for concurrent use: the caller holds a lock or
// confines it to one goroutine.
type State struct {
	self                 string
	appliedVersions      Versions
	highestObserved      Versions
	attesters            []string
	attesterSetVersion   uint64                   // members version that introduced the attester set
	quorumMembersVersion uint64                   // highest members version attested by a quorum so far
	byAttester           map[string]timedVersions // latest attestation of each attester
	latestRead           timedVersions            // latest table read, local or attested by another node
	latestReader         string                   // node that made latestRead
	localRead            timedVersions            // latest table read by this node, used once its versions are applied
	isAttester           bool
	attesterSince        time.Time // local time at which this node became an attester
	qualified            bool      // this attester may attest, see qualify
}

// NewState returns the state of the node named self, which has applied no
// version.
func NewState(self string) *State {
	return &State{self: self, byAttester: make(map[string]timedVersions)}
}

// AppliedVersions returns the versions that the node has applied.
func (s *State) AppliedVersions() Versions { return s.appliedVersions }

// HighestObserved returns the highest versions that the node has observed in
// attestations and table reads.
func (s *State) HighestObserved() Versions { return s.highestObserved }

// RecordConfig records that the node has applied the configuration up to version.
func (s *State) RecordConfig(version uint64) {
	s.appliedVersions.Config = max(s.appliedVersions.Config, version)
	s.applyLocalRead()
}

// RecordMembers records that the node has applied the member list of version,
// whose attesters are given in any order. Changes have to be recorded one by
// one, because AttesterSetConfirmed depends on the version of the last change of
// the attester set.
func (s *State) RecordMembers(version uint64, attesters []string, now time.Time) {
	if version < s.appliedVersions.Members {
		return
	}
	sorted := slices.Clone(attesters)
	slices.Sort(sorted)
	if !slices.Equal(sorted, s.attesters) {
		s.attesters, s.attesterSetVersion = sorted, version
	}
	s.appliedVersions.Members = version
	wasAttester := s.isAttester
	_, s.isAttester = slices.BinarySearch(s.attesters, s.self)
	if s.isAttester && !wasAttester {
		s.attesterSince, s.qualified = now, false
	}
	s.applyLocalRead()
}

// RecordTableRead records the head versions returned by a read of the table;
// start is the time at which the read was sent. The read is used once the node
// has applied these versions: other nodes can then pull an attested version
// from the attester even if the table becomes unavailable in the meantime.
func (s *State) RecordTableRead(heads Versions, start time.Time) {
	s.highestObserved = s.highestObserved.max(heads)
	if start.After(s.localRead.at) {
		s.localRead = timedVersions{versions: heads, at: start}
	}
	s.applyLocalRead()
}

// applyLocalRead uses the latest local table read if its versions are applied.
func (s *State) applyLocalRead() {
	if s.localRead.at.IsZero() || !s.appliedVersions.Covers(s.localRead.versions) {
		return
	}
	if s.localRead.at.After(s.latestRead.at) {
		s.latestRead, s.latestReader = s.localRead, s.self
	}
	if s.isAttester && !s.localRead.at.Before(s.attesterSince) {
		s.qualified = true
	}
}

// Merge records the attestations received at now in the response to a pull that
// took roundTrip. The attestation with the smallest age is kept for each
// attester. The highest versions are recorded separately, because a restarted
// attester may have applied lower versions than it attested before.
func (s *State) Merge(received []Attestation, roundTrip time.Duration, now time.Time) {
	for _, a := range received {
		s.highestObserved = s.highestObserved.max(a.Versions)
		if a.Attester == s.self || a.Age < 0 || roundTrip < 0 || a.Age > MaxAttestationAge {
			continue
		}
		entry := timedVersions{versions: a.Versions, at: now.Add(-a.Age - roundTrip)}
		if entry.at.After(s.byAttester[a.Attester].at) {
			s.byAttester[a.Attester] = entry
		}
		if a.FromTable && entry.at.After(s.latestRead.at) {
			s.latestRead, s.latestReader = entry, a.Attester
		}
	}
	for name, entry := range s.byAttester {
		if now.Sub(entry.at) > MaxAttestationAge {
			delete(s.byAttester, name)
		}
	}
	s.qualify()
}

// qualify allows a new or restarted attester to attest after it has received
// attestations of a quorum of the others, and only if it has applied the
// versions that they attested.
func (s *State) qualify() {
	need := restartQuorum(len(s.attesters))
	if !s.isAttester || s.qualified || need == 0 || !s.appliedVersions.Covers(s.highestObserved) {
		return
	}
	attested := 0
	for _, name := range s.attesters {
		if name != s.self && s.byAttester[name].at.After(s.attesterSince.Add(restartDelay)) {
			attested++
		}
	}
	s.qualified = attested >= need
}

// MayAttest reports whether the node is an attester and is qualified to attest.
func (s *State) MayAttest() bool { return s.isAttester && s.qualified }

// LocalAttestation returns the attestation of this node at now; ok is false if
// it may not attest.
func (s *State) LocalAttestation() (a Attestation, ok bool) {
	return Attestation{Attester: s.self, Versions: s.appliedVersions}, s.MayAttest()
}

// Export returns the attestations for the response to a pull at now: one for
// each attester, and the latest one that is based on a table read. Attestations
// older than MaxAttestationAge are omitted.
func (s *State) Export(now time.Time) []Attestation {
	out := make([]Attestation, 0, len(s.byAttester)+2)
	if own, ok := s.LocalAttestation(); ok {
		out = append(out, own)
	}
	for name, entry := range s.byAttester {
		if age := now.Sub(entry.at); age <= MaxAttestationAge {
			out = append(out, Attestation{Attester: name, Versions: entry.versions, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Attestation) int { return strings.Compare(a.Attester, b.Attester) })
	if age := now.Sub(s.latestRead.at); !s.latestRead.at.IsZero() && age <= MaxAttestationAge {
		out = append(out, Attestation{Attester: s.latestReader, Versions: s.latestRead.versions, Age: age, FromTable: true})
	}
	return out
}

// forEachCurrent calls visit for each attester of the local member list that
// attested within MaxAttestationAge before now, including this node.
func (s *State) forEachCurrent(now time.Time, visit func(timedVersions)) {
	for _, name := range s.attesters {
		entry, ok := s.byAttester[name]
		if name == s.self {
			entry, ok = timedVersions{versions: s.appliedVersions, at: now}, s.qualified
		}
		if ok && now.Sub(entry.at) <= MaxAttestationAge {
			visit(entry)
		}
	}
}

// FreshUntil returns the time until which the node is fresh given the
// attestations and table reads up to now, or the zero time if it is not fresh.
// The result is valid until the next change of the state. A caller may publish
// it to other goroutines, which compare it with their own clock reading.
func (s *State) FreshUntil(now time.Time) time.Time {
	if !s.appliedVersions.Covers(s.highestObserved) {
		return time.Time{}
	}
	var until time.Time
	if !s.latestRead.at.IsZero() && now.Sub(s.latestRead.at) <= MaxAttestationAge {
		until = s.latestRead.at.Add(MaxAttestationAge)
	}
	var times []time.Time
	s.forEachCurrent(now, func(st timedVersions) { times = append(times, st.at) })
	if q := Quorum(len(s.attesters)); q > 0 && len(times) >= q {
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if byQuorum := times[q-1].Add(MaxAttestationAge); byQuorum.After(until) {
			until = byQuorum
		}
	}
	return until
}

// Fresh reports whether the node may do work that depends on recent
// configuration and membership.
func (s *State) Fresh(now time.Time) bool {
	until := s.FreshUntil(now)
	return !until.IsZero() && !now.After(until)
}

// QuorumVersions returns the highest versions that a quorum of the attesters
// attested within MaxAttestationAge before now. It returns zero versions while
// the local member list is behind the highest one observed, because the local
// attester set may be out of date.
func (s *State) QuorumVersions(now time.Time) Versions {
	if s.appliedVersions.Members < s.highestObserved.Members {
		return Versions{}
	}
	var config, members []uint64
	s.forEachCurrent(now, func(st timedVersions) {
		config = append(config, st.versions.Config)
		members = append(members, st.versions.Members)
	})
	q := Quorum(len(s.attesters))
	if q == 0 || len(config) < q {
		return Versions{}
	}
	slices.Sort(config)
	slices.Sort(members)
	return Versions{Config: config[len(config)-q], Members: members[len(members)-q]}
}

// AttesterSetConfirmed reports whether a quorum has attested the last change of
// the attester set at any time up to now. A member change that alters the
// attester set may be committed only then; other member changes need not wait.
// Without this rule two successive replacements yield sets whose quorums do not
// intersect.
//
// The result stays true while the set is unchanged, so that an attester can be
// removed after its loss made a quorum impossible. The method has to be called
// regularly, because it evaluates only the attestations that are current at the
// time of the call.
func (s *State) AttesterSetConfirmed(now time.Time) bool {
	s.quorumMembersVersion = max(s.quorumMembersVersion, s.QuorumVersions(now).Members)
	return s.quorumMembersVersion >= s.attesterSetVersion
}
