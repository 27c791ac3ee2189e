package ratelimit

// Report is the periodic message of a holder to one home. It lists every team
// of that home for which the holder keeps a record.
type Report struct {
	// Holder is the name of the reporting node.
	Holder string
	// Incarnation of the holder. Incarnations of one node sort in start order,
	// as UUIDv7 strings do.
	Incarnation string
	// Term is the membership version by which the holder chose the home.
	Term uint64
	// Shares is the state per team.
	Shares []ShareState
}

// ShareState is the state of one team at a holder.
type ShareState struct {
	// Team is the name of the team.
	Team string
	// Sequence grows with every report of a holder and is equal for all teams
	// of one report.
	Sequence uint64
	// Share in ppm, in force when the report was sent.
	Share uint32
	// Wanted is the share in ppm that the holder's demand asks for.
	Wanted uint32
	// Standby is the part of Share in ppm that a deputy keeps for others.
	Standby uint32
	// Deputy is true if the holder is the deputy of the team's home.
	Deputy bool
}

// Answer is the home's reply to a Report.
type Answer struct {
	// Incarnation of the holder that reported.
	Incarnation string
	// Shares lists the new share of each team of which this node is home.
	Shares []NewShare
}

// NewShare grants or recalls a part of one share.
type NewShare struct {
	// Team is the name of the team.
	Team string
	// Sequence repeats the report's.
	Sequence uint64
	// Share in ppm that replaces the reported one.
	Share uint32
	// Standby is the part of Share in ppm that a deputy keeps for others.
	Standby uint32
}
