package admin

import (
	"context"

	"trefoildock.example/configstore"
)

// Cluster provides the operations of the node that the admin API uses.
type Cluster interface {
	// Status returns the node's view of the cluster without any I/O.
	Status(ctx context.Context) Status
	// Publish applies a committed change and waits until it is accepted, the context
	// is done, or the node's own timeout expires. When a change is retried, the entry
	// may be older than the version in force or may have been published before.
	Publish(ctx context.Context, entry configstore.ConfigEntry) Acceptance
}

// Acceptance reports the propagation of a committed change in the cluster.
type Acceptance struct {
	Accepted     bool `json:"accepted"`     // a quorum of attesters has acknowledged the version
	Acknowledged int  `json:"acknowledged"` // number of attesters that have acknowledged the version
	Needed       int  `json:"needed"`       // number of attesters in a quorum
	InForce      int  `json:"in_force"`     // number of nodes with the version in force
	Nodes        int  `json:"nodes"`        // number of cluster members
}

// Status is one node's view of the cluster.
type Status struct {
	Node           string          `json:"node"`
	Zone           string          `json:"zone"`
	Incarnation    string          `json:"incarnation"`
	Fresh          bool            `json:"fresh"` // every version accepted longer ago than the staleness bound is in force
	ConfigVersion  uint64          `json:"config_version"`
	MembersVersion uint64          `json:"members_version"`
	TableReachable bool            `json:"table_reachable"`
	Members        []MemberStatus  `json:"members"`
	Services       []ServiceStatus `json:"services"`
}

// MemberStatus is one node of the cluster.
type MemberStatus struct {
	Node        string   `json:"node"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Services    []string `json:"services"`
	LinkAddress string   `json:"link_address"`
}

// ServiceStatus is the status of one service and the owner nodes of its backend servers.
type ServiceStatus struct {
	Name    string   `json:"name"`
	Floor   int      `json:"floor"` // minimum number of healthy backend servers that ejection must leave in service
	Owners  []string `json:"owners"`
	Ejected []string `json:"ejected"` // backend servers removed from service by outlier detection
}
