package freshness

import "time"

const (
	// Window is the age up to which an attestation counts.
	Window = 3 * time.Second
	// ClockRateError is the largest relative difference between two monotonic
	// clocks, in percent.
	ClockRateError = 1
	// restartWait is Window as seen by a clock that is fast by twice
	// ClockRateError: the error of the attester's clock and that of the relays.
	restartWait = Window + Window*2*ClockRateError/100
)

// Quorum returns how many of n attesters make a quorum: min(n, n/2+2). A plain
// majority is not enough, because majorities of two sets that differ by one
// replaced attester need not intersect.
func Quorum(n int) int { return min(n, n/2+2) }

// restartQuorum returns how many of the n-1 other attesters a restarted
// attester has to hear, or 0 if only the table can tell it the versions. Below
// three attesters one replacement and one restart together can lose every copy
// of an accepted version.
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

// Covers reports whether v is at least o in both versions.
func (v Versions) Covers(o Versions) bool {
	return v.Config >= o.Config && v.Members >= o.Members
}

func (v Versions) max(o Versions) Versions {
	return Versions{Config: max(v.Config, o.Config), Members: max(v.Members, o.Members)}
}

// Attestation says that Attester held Versions at Age before the message that
// carries it was written.
type Attestation struct {
	Attester string
	Versions Versions
	Age      time.Duration
	// FromTable is true if Versions were the heads of the logs at that time.
	FromTable bool
}
