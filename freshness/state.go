package freshness

import (
	"slices"
	"strings"
	"time"
)

// stamp is a set of versions with the local time at which they were held.
type stamp struct {
	versions Versions
	at       time.Time
}

// State is one node's view of the attestations. It is not safe for concurrent
// use; the caller holds a lock or owns it from one goroutine.
type State struct {
	self        string
	held        Versions
	highest     Versions
	attesters   []string
	setVersion  uint64 // members version that made the attester set
	settled     uint64 // highest members version ever attested by a quorum
	vector      map[string]stamp
	table       stamp // newest table read heard of or made
	tableSource string
	ownRead     stamp // newest own table read, counted once its versions are held
	attester    bool
	dutySince   time.Time
	qualified   bool
}

// NewState returns the state of the node named self, which holds nothing.
func NewState(self string) *State {
	return &State{self: self, vector: make(map[string]stamp)}
}

// Held returns the versions that the node holds.
func (s *State) Held() Versions { return s.held }

// Highest returns the highest versions ever attested to the node.
func (s *State) Highest() Versions { return s.highest }

// HoldConfig records that the node holds the configuration up to version.
func (s *State) HoldConfig(version uint64) {
	s.held.Config = max(s.held.Config, version)
	s.settleRead()
}

// HoldMembers records that the node holds the member list of version, whose
// attesters are given in any order. Changes have to be recorded one by one, so
// that AttestersSettled knows the version of the last change of the set.
func (s *State) HoldMembers(version uint64, attesters []string, now time.Time) {
	if version < s.held.Members {
		return
	}
	sorted := slices.Clone(attesters)
	slices.Sort(sorted)
	if !slices.Equal(sorted, s.attesters) {
		s.attesters, s.setVersion = sorted, version
	}
	s.held.Members = version
	wasAttester := s.attester
	_, s.attester = slices.BinarySearch(s.attesters, s.self)
	if s.attester && !wasAttester {
		s.dutySince, s.qualified = now, false
	}
	s.settleRead()
}

// ReadTable records the heads that a read of the table returned; start is the
// time at which the read was sent. The read counts once the node holds the
// versions: an attested version can then be pulled from the attester even if
// the table becomes unavailable in between.
func (s *State) ReadTable(heads Versions, start time.Time) {
	s.highest = s.highest.max(heads)
	if start.After(s.ownRead.at) {
		s.ownRead = stamp{versions: heads, at: start}
	}
	s.settleRead()
}

func (s *State) settleRead() {
	if s.ownRead.at.IsZero() || !s.held.Covers(s.ownRead.versions) {
		return
	}
	if s.ownRead.at.After(s.table.at) {
		s.table, s.tableSource = s.ownRead, s.self
	}
	if s.attester && !s.ownRead.at.Before(s.dutySince) {
		s.qualified = true
	}
}

// Merge records attestations received at now in the answer to a pull that took
// roundTrip. Per attester the attestation with the smallest age is kept; the
// highest version is kept apart from it, because an attester that restarted
// may hold less than it attested before.
func (s *State) Merge(received []Attestation, roundTrip time.Duration, now time.Time) {
	for _, a := range received {
		s.highest = s.highest.max(a.Versions)
		if a.Attester == s.self || a.Age < 0 || roundTrip < 0 || a.Age > Window {
			continue
		}
		st := stamp{versions: a.Versions, at: now.Add(-a.Age - roundTrip)}
		if st.at.After(s.vector[a.Attester].at) {
			s.vector[a.Attester] = st
		}
		if a.FromTable && st.at.After(s.table.at) {
			s.table, s.tableSource = st, a.Attester
		}
	}
	for name, st := range s.vector {
		if now.Sub(st.at) > Window {
			delete(s.vector, name)
		}
	}
	s.qualify()
}

// qualify lets a new or restarted attester attest after it heard a quorum of
// the others, and only if it holds what they attested.
func (s *State) qualify() {
	need := restartQuorum(len(s.attesters))
	if !s.attester || s.qualified || need == 0 || !s.held.Covers(s.highest) {
		return
	}
	heard := 0
	for _, name := range s.attesters {
		if name != s.self && s.vector[name].at.After(s.dutySince.Add(restartWait)) {
			heard++
		}
	}
	s.qualified = heard >= need
}

// Attesting reports whether the node is an attester that may attest.
func (s *State) Attesting() bool { return s.attester && s.qualified }

// Own returns the node's own attestation at now; ok is false if it may not
// attest.
func (s *State) Own() (a Attestation, ok bool) {
	return Attestation{Attester: s.self, Versions: s.held}, s.Attesting()
}

// Export returns the attestations for a pull answered at now: one per
// attester and the newest one that is based on a table read. Those older than
// Window are left out.
func (s *State) Export(now time.Time) []Attestation {
	out := make([]Attestation, 0, len(s.vector)+2)
	if own, ok := s.Own(); ok {
		out = append(out, own)
	}
	for name, st := range s.vector {
		if age := now.Sub(st.at); age <= Window {
			out = append(out, Attestation{Attester: name, Versions: st.versions, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Attestation) int { return strings.Compare(a.Attester, b.Attester) })
	if age := now.Sub(s.table.at); !s.table.at.IsZero() && age <= Window {
		out = append(out, Attestation{Attester: s.tableSource, Versions: s.table.versions, Age: age, FromTable: true})
	}
	return out
}

// current calls f for each attester of the held member list that attested
// within Window before now, the node itself included.
func (s *State) current(now time.Time, f func(stamp)) {
	for _, name := range s.attesters {
		st, ok := s.vector[name]
		if name == s.self {
			st, ok = stamp{versions: s.held, at: now}, s.qualified
		}
		if ok && now.Sub(st.at) <= Window {
			f(st)
		}
	}
}

// FreshUntil returns the time up to which the node is fresh on what it knows
// at now, or the zero time if it is not fresh. A caller may publish the result
// to other goroutines, which compare it with their own reading of the clock,
// until the next change of the state.
func (s *State) FreshUntil(now time.Time) time.Time {
	if !s.held.Covers(s.highest) {
		return time.Time{}
	}
	var until time.Time
	if !s.table.at.IsZero() && now.Sub(s.table.at) <= Window {
		until = s.table.at.Add(Window)
	}
	var times []time.Time
	s.current(now, func(st stamp) { times = append(times, st.at) })
	if q := Quorum(len(s.attesters)); q > 0 && len(times) >= q {
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if byQuorum := times[q-1].Add(Window); byQuorum.After(until) {
			until = byQuorum
		}
	}
	return until
}

// Fresh reports whether the node may do work that needs agreement.
func (s *State) Fresh(now time.Time) bool {
	until := s.FreshUntil(now)
	return !until.IsZero() && !now.After(until)
}

// QuorumVersions returns the highest versions that a quorum of the attesters
// attested within Window before now. It is zero while the node does not hold
// the highest member list attested to it, because the attester set that it
// knows may be out of date.
func (s *State) QuorumVersions(now time.Time) Versions {
	if s.held.Members < s.highest.Members {
		return Versions{}
	}
	var config, members []uint64
	s.current(now, func(st stamp) {
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

// AttestersSettled reports whether the last change of the attester set has
// been attested by a quorum at some time up to now. Only then may a member
// change that alters the attester set be committed; other member changes need
// not wait. Without this rule two successive replacements yield sets whose
// quorums do not intersect. The answer stays true while the set stays the
// same, so that an attester can be removed when its loss cost the quorum. It
// has to be asked regularly, because it is derived from what is attested now.
func (s *State) AttestersSettled(now time.Time) bool {
	s.settled = max(s.settled, s.QuorumVersions(now).Members)
	return s.settled >= s.setVersion
}
