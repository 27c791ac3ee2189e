package configstore

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/rules"
)

var (
	// ErrInvalidCommit means that a value of a commit is missing or malformed.
	ErrInvalidCommit = errors.New("invalid commit")
	// ErrCommitIDReused means that the commit id was used for a commit with different
	// content.
	ErrCommitIDReused = errors.New("commit id was used for another commit")
	// ErrCorruptLog means that a log row is missing or malformed.
	ErrCorruptLog = errors.New("log is corrupt")
	// ErrIncarnation means that an update, leave or remove does not name the current
	// incarnation of the node, or that a join names it again.
	ErrIncarnation = errors.New("not the current incarnation of the member")
)

// ConflictError reports that the log is not at the version that a commit is based
// on. Nothing was written.
type ConflictError struct {
	// ReadVersion is the version that the commit is based on.
	ReadVersion uint64
	// HeadVersion is the current version of the log.
	HeadVersion uint64
}

// Error returns a message with both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the commit is based on version %d, but the current version is %d", e.ReadVersion, e.HeadVersion)
}

// Heads contains the current versions of the logs; 0 means that a log is empty.
type Heads struct {
	// Config is the version of the configuration.
	Config uint64
	// Members is the version of the membership.
	Members uint64
}

// ConfigCommit is a change of the configuration by an operator.
type ConfigCommit struct {
	// ID is the idempotency key of the commit: a valid name as defined by
	// rules.ValidName, for example a UUID.
	ID string
	// ReadVersion is the version that Delta is based on.
	ReadVersion uint64
	// Delta is the change.
	Delta rules.Delta
	// Operator is the name of the authenticated operator.
	Operator string
	// Requester is the person who requested the change. The admin API adds the
	// reason, in the form "requester: reason".
	Requester string
	// Action is the command of the operator, for example "zone out". Default "apply".
	Action string
}

// ConfigEntry is one version of the configuration log.
type ConfigEntry struct {
	// Version is consecutive and starts at 1.
	Version uint64
	// CommitID identifies the commit.
	CommitID string
	// Delta is the change from the preceding version.
	Delta rules.Delta
}

// AuditRecord describes a change of the configuration: the operator, the requester,
// the time, the command and the changed rules.
type AuditRecord struct {
	// Time is the wall-clock time of the node that committed the change, in UTC.
	Time time.Time `json:"time"`
	// Operator is the name of the authenticated operator.
	Operator string `json:"operator"`
	// Requester is the person who requested the change. The admin API adds the
	// reason, in the form "requester: reason".
	Requester string `json:"requester"`
	// Action is the command of the operator.
	Action string `json:"action"`
	// Removed and Added are the canonical lines of the removed and added rules.
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
	// FromVersion and ToVersion are the versions before and after the change.
	FromVersion uint64 `json:"from"`
	ToVersion   uint64 `json:"to"`
	// CommitID identifies the commit.
	CommitID string `json:"commit_id"`
}

// Member is a node of the cluster.
type Member struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// VM, Zone and Region are the location of the node.
	VM     string `json:"vm,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Region string `json:"region,omitempty"`
	// LinkAddress is the address for links from other nodes, in the form IP:port.
	LinkAddress string `json:"link_address,omitempty"`
	// Incarnation identifies one start of the node's process.
	Incarnation string `json:"incarnation"`
	// Services lists the services of the backend servers on the VM, sorted.
	Services []string `json:"services,omitempty"`
}

// MemberChangeKind is the kind of a membership change.
type MemberChangeKind string

const (
	// MemberJoin adds a node or replaces its previous incarnation.
	MemberJoin MemberChangeKind = "join"
	// MemberUpdate changes the record of a member, such as its services.
	MemberUpdate MemberChangeKind = "update"
	// MemberLeave removes a node that shuts down gracefully.
	MemberLeave MemberChangeKind = "leave"
	// MemberRemove removes a node that failed.
	MemberRemove MemberChangeKind = "remove"
)

// MemberChange is a change of the membership.
type MemberChange struct {
	// Kind is the kind of the change.
	Kind MemberChangeKind `json:"kind"`
	// Member is the new record of a join or update. A leave or remove requires only
	// the node and the incarnation.
	Member Member `json:"member"`
	// CommittedBy is the node that commits the change.
	CommittedBy string `json:"by,omitempty"`
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
	// Version is consecutive and starts at 1.
	Version uint64
	// Change is the change from the preceding version.
	Change MemberChange
}
