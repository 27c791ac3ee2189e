package freshness

import "time"

const (
	// MaxAttestationAge is the age above which an attestation is ignored. It is
	// the staleness bound of a fresh node.
	MaxAttestationAge = 3 * time.Second
	// MaxClockDriftPercent is the largest relative rate difference between two
	// monotonic clocks, in percent.
	MaxClockDriftPercent = 1
	// restartDelay is MaxAttestationAge on a clock that is fast by twice
	// MaxClockDriftPercent, once for the clock of the attester and once for
	// those of the relays.
	restartDelay = MaxAttestationAge + MaxAttestationAge*2*MaxClockDriftPercent/100
)

// Quorum returns the quorum size for n attesters: min(n, n/2+2). A simple
// majority is not enough, because majorities of two sets that differ by one
// replaced attester need not intersect.
func Quorum(n int) int { return min(n, n/2+2) }

// restartQuorum returns from how many of the n-1 other attesters a restarted
// attester needs attestations, or 0 if it has to read the table. With fewer
// than three attesters, one replacement and one restart together can lose every
// copy of an accepted version.
func restartQuorum(n int) int {
	if n < 3 {
		return 0
	}
	return Quorum(n - 1)
}

// Versions are versions of the configuration and of the member list.
type Versions struct {
	Config  uint64
	Members uint64
}

// Covers reports whether both versions of v are at least those of o.
func (v Versions) Covers(o Versions) bool {
	return v.Config >= o.Config && v.Members >= o.Members
}

func (v Versions) max(o Versions) Versions {
	return Versions{Config: max(v.Config, o.Config), Members: max(v.Members, o.Members)}
}

// Attestation states that Attester had applied Versions at Age before the
// message with the attestation was written.
type Attestation struct {
	Attester string
	Versions Versions
	Age      time.Duration
	// FromTable is true if Versions were the head versions in the table at that
	// time.
	FromTable bool
}
