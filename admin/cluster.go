package admin

import (
	"context"

	"trefoildock.example/configstore"
)

// Cluster is the node's side of the administration API.
type Cluster interface {
	// Status returns the node's view of the cluster without any I/O.
	Status(ctx context.Context) Status
	// Publish applies a committed change and waits until it is accepted, or until
	// the context or the node's own limit ends the wait. The entry may be older
	// than the version in force, or be published again, when a change is repeated.
	Publish(ctx context.Context, entry configstore.ConfigEntry) Acceptance
}

// Acceptance tells how far a committed change has spread.
type Acceptance struct {
	Accepted     bool `json:"accepted"`     // a quorum of attesters acknowledged the version
	Acknowledged int  `json:"acknowledged"` // attesters that acknowledged the version
	Needed       int  `json:"needed"`       // attesters that make a quorum
	InForce      int  `json:"in_force"`     // nodes that have the version in force
	Nodes        int  `json:"nodes"`        // members of the cluster
}

// Status is the cluster as one node sees it.
type Status struct {
	Node           string          `json:"node"`
	Zone           string          `json:"zone"`
	Incarnation    string          `json:"incarnation"`
	Fresh          bool            `json:"fresh"` // holds every accepted version up to the staleness bound
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

// ServiceStatus is one service with the nodes that own its backend servers.
type ServiceStatus struct {
	Name    string   `json:"name"`
	Floor   int      `json:"floor"` // healthy backend servers that ejection must leave
	Owners  []string `json:"owners"`
	Ejected []string `json:"ejected"` // backend servers without work because they look faulty
}
