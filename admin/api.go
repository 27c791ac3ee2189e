package admin

import (
	"time"

	"trefoildock.example/rules"
)

// Paths of the API.
const (
	pathConfiguration  = "/v1/configuration"
	pathCheck          = "/v1/configuration/check"
	pathDiff           = "/v1/configuration/diff"
	pathDeltas         = "/v1/configuration/deltas"
	pathZones          = "/v1/zones/"
	pathBackendServers = "/v1/backend-servers/"
	pathTeams          = "/v1/teams/"
	pathWithdrawals    = "/v1/keys/withdrawals"
	pathStatus         = "/v1/status"
	pathAudit          = "/v1/audit"
)

// Service states of an availability zone or a backend server.
const (
	StateInService    = "in"
	StateOutOfService = "out"
)

// ConfigurationResponse is a configuration in canonical form.
type ConfigurationResponse struct {
	Version uint64   `json:"version"`
	Lines   []string `json:"lines"`
}

// RulesFile is the text of a rules file. Name is used in error messages.
type RulesFile struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// CheckResponse contains the number of rules in a valid rules file.
type CheckResponse struct {
	Rules int `json:"rules"`
}

// DiffResponse is the delta from the current version to a rules file.
type DiffResponse struct {
	Version uint64      `json:"version"`
	Delta   rules.Delta `json:"delta"`
}

// Change contains the idempotency key and the audit comment of a change.
type Change struct {
	CommitID string `json:"commit_id"` // 8 to 63 letters, digits, '.', '_' and '-'; unchanged in a retry
	Comment  string `json:"comment"`   // "requester: reason"
}

// DeltaRequest applies a delta to the version that the client read.
type DeltaRequest struct {
	Change
	ReadVersion *uint64     `json:"read_version"`
	Delta       rules.Delta `json:"delta"`
}

// FileRequest replaces the version that the client read by a rules file.
type FileRequest struct {
	Change
	ReadVersion *uint64   `json:"read_version"`
	File        RulesFile `json:"file"`
}

// StateRequest sets a service state, StateInService or StateOutOfService.
type StateRequest struct {
	Change
	State string `json:"state"`
}

// IssueRequest issues a new key for a team.
type IssueRequest struct {
	Change
}

// WithdrawRequest withdraws one key or all keys of a team. Exactly one of Digest
// and Team must be set.
type WithdrawRequest struct {
	Change
	Digest string `json:"digest,omitempty"` // "sha256:<64 hex digits>"
	Team   string `json:"team,omitempty"`
}

// ChangeResponse is the result of a change.
type ChangeResponse struct {
	Version    uint64      `json:"version"`
	CommitID   string      `json:"commit_id"`
	Changed    bool        `json:"changed"`  // false if the configuration already matched the request
	Repeated   bool        `json:"repeated"` // the change was committed by an earlier request with this commit id
	Delta      rules.Delta `json:"delta"`
	Acceptance *Acceptance `json:"acceptance,omitempty"` // absent for version 0
}

// Accepted reports whether a quorum of attesters has acknowledged the version.
func (r *ChangeResponse) Accepted() bool {
	return r.Acceptance == nil || r.Acceptance.Accepted
}

// IssueResponse contains a new key. The plaintext key is not stored, so it is
// returned only in this response.
type IssueResponse struct {
	ChangeResponse
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// AuditEntry is one record of the audit trail.
type AuditEntry struct {
	Version     uint64      `json:"version"`
	ReadVersion uint64      `json:"read_version"`
	Time        time.Time   `json:"time"`
	Operator    string      `json:"operator"`
	Requester   string      `json:"requester"`
	Reason      string      `json:"reason"`
	Action      string      `json:"action"`
	CommitID    string      `json:"commit_id"`
	Delta       rules.Delta `json:"delta"`
}

// AuditResponse is one page of the audit trail, oldest record first.
type AuditResponse struct {
	Entries []AuditEntry `json:"entries"`
	Next    uint64       `json:"next,omitempty"` // value of After for the next page; 0 at the end
}

// AuditQuery filters the records of the audit trail. Zero fields do not filter.
type AuditQuery struct {
	After     uint64 // records after this version are returned
	Limit     int    // maximum number of records per page; default 100, at most 1000
	Operator  string
	Requester string
	From, To  time.Time // From is inclusive, To is exclusive
}
