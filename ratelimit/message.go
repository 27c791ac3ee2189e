package ratelimit

// Report is the periodic message of a holder to one coordinator. It lists the
// teams of that coordinator for which the holder has, requests or may have been
// granted a share.
type Report struct {
	// Holder is the name of the reporting node.
	Holder string
	// Incarnation is the incarnation of the holder. Incarnations of one node sort in
	// order of their start, like UUIDv7 strings.
	Incarnation string
	// Term is the membership version by which the holder selected the coordinator.
	Term uint64
	// Shares holds the state of each team.
	Shares []ShareState
}

// ShareState is the state of one team on a holder.
type ShareState struct {
	// Team is the name of the team.
	Team string
	// Sequence increases with every report of a holder and is equal for all teams
	// of one report.
	Sequence uint64
	// Share is the share in ppm that is in effect when the report is sent.
	Share uint32
	// Wanted is the share in ppm that the holder requests for its demand.
	Wanted uint32
	// Standby is the part of Share, in ppm, that a standby coordinator keeps for
	// other nodes.
	Standby uint32
	// IsStandby is true if the holder is the standby coordinator of the team.
	IsStandby bool
}

// ReportResponse is the response of the coordinator to a Report.
type ReportResponse struct {
	// Incarnation is the incarnation of the holder that sent the report.
	Incarnation string
	// Shares holds the new share of each team that the responding node coordinates.
	Shares []NewShare
}

// NewShare is the new share of one team.
type NewShare struct {
	// Team is the name of the team.
	Team string
	// Sequence is the sequence number of the report.
	Sequence uint64
	// Share is the share in ppm that replaces the reported one.
	Share uint32
	// Standby is the part of Share, in ppm, that a standby coordinator keeps for
	// other nodes.
	Standby uint32
}
