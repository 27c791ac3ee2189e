package configstore

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/rules"
)

var (
	// ErrInvalidCommit means that a commit lacks a value or has a malformed one.
	ErrInvalidCommit = errors.New("invalid commit")
	// ErrCommitIDReused means that the commit id belongs to a different commit.
	ErrCommitIDReused = errors.New("commit id was used for another commit")
	// ErrCorruptLog means that a log row is missing or cannot be read.
	ErrCorruptLog = errors.New("log is corrupt")
	// ErrIncarnation means that a member change names an incarnation of the node
	// that is not the current one.
	ErrIncarnation = errors.New("not the current incarnation of the member")
)

// ConflictError reports that another commit came first. Nothing was written.
type ConflictError struct {
	// Read is the version that the commit was based on.
	Read uint64
	// Head is the current version of the log.
	Head uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the commit is based on version %d, but the current version is %d", e.Read, e.Head)
}

// Heads are the current versions of the logs; 0 means that a log is empty.
type Heads struct {
	// Config is the version of the configuration.
	Config uint64
	// Members is the version of the membership.
	Members uint64
}

// ConfigCommit is a change of the configuration by an operator.
type ConfigCommit struct {
	// ID identifies the commit, so that it can be repeated: a name as in package
	// rules, for example a UUID.
	ID string
	// ReadVersion is the version that Delta is based on.
	ReadVersion uint64
	// Delta is the change.
	Delta rules.Delta
	// Operator is the authenticated operator.
	Operator string
	// Requester is the person who asked for the change.
	Requester string
	// Action is the operator's command, for example "zone out". Default "apply".
	Action string
}

// ConfigEntry is one version of the configuration log.
type ConfigEntry struct {
	// Version counts from 1 without gaps.
	Version uint64
	// CommitID identifies the commit.
	CommitID string
	// Delta is the change from the version before.
	Delta rules.Delta
}

// AuditRecord says who changed the configuration, when, how and at whose request.
type AuditRecord struct {
	// Time is the wall clock of the node that committed the change, in UTC.
	Time time.Time `json:"time"`
	// Operator is the authenticated operator.
	Operator string `json:"operator"`
	// Requester is the person who asked for the change.
	Requester string `json:"requester"`
	// Action is the operator's command.
	Action string `json:"action"`
	// Removed and Added are the rules that were removed and added.
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
	// From and To are the versions before and after the change.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// CommitID identifies the commit.
	CommitID string `json:"commit_id"`
}

// Member is a node of the cluster.
type Member struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// VM, Zone and Region are the place of the node.
	VM     string `json:"vm,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Region string `json:"region,omitempty"`
	// LinkAddress is the address for links, as IP:port.
	LinkAddress string `json:"link_address,omitempty"`
	// Incarnation identifies one start of the node's process.
	Incarnation string `json:"incarnation"`
	// Services are the services of the backend servers on the VM, sorted.
	Services []string `json:"services,omitempty"`
}

// MemberKind is the kind of a membership change.
type MemberKind string

const (
	// MemberJoin adds a node, or replaces its former incarnation.
	MemberJoin MemberKind = "join"
	// MemberUpdate changes the record of a member, such as its services.
	MemberUpdate MemberKind = "update"
	// MemberLeave ends a membership by a planned stop of the node.
	MemberLeave MemberKind = "leave"
	// MemberRemove ends the membership of a node that failed.
	MemberRemove MemberKind = "remove"
)

// MemberChange is a change of the membership.
type MemberChange struct {
	// Kind says what happens to the member.
	Kind MemberKind `json:"kind"`
	// Member is the new record for join and update; leave and remove need only
	// its node and incarnation.
	Member Member `json:"member"`
	// By is the node that commits the change.
	By string `json:"by,omitempty"`
}

// MemberCommit is a change of the membership based on a version.
type MemberCommit struct {
	// ReadVersion is the version that Change is based on.
	ReadVersion uint64
	// Change is the change.
	Change MemberChange
}

// MemberEntry is one version of the membership log.
type MemberEntry struct {
	// Version counts from 1 without gaps.
	Version uint64
	// Change is the change from the version before.
	Change MemberChange
}
