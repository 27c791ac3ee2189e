// Package fleet keeps what a node believes of the deployment: the operator's
// configuration, the evacuated zones and the other nodes with their backend
// servers.
//
// All of it lives in the platform's store. One goroutine owns the beliefs and
// publishes an immutable View; two others wait for changes at the store. A
// node that cannot reach the store confirms its configuration with other nodes.
package fleet

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/routing"
)

// View is an immutable copy of the beliefs.
type View struct {
	// Config is nil until the first configuration is known.
	Config *routing.Config
	// ZonesOut are the evacuated availability zones.
	ZonesOut map[string]bool
	// Nodes are the members by name.
	Nodes map[string]*Member
	// Owners lists the members with a serving backend server by service.
	Owners map[string][]*Member
	// Convicted are the fingerprints of requests that crash backend servers.
	Convicted map[string]bool
	// Home gives out the rates of the teams; zero if it is not known.
	Home Home
	// Revision is the store's revision of the members.
	Revision uint64

	operatorAt uint64
}

// Member is a node with the backend server on its machine.
type Member struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Address accepts links from other nodes.
	Address string `json:"address"`
	// Incarnation changes with each start of the process.
	Incarnation string `json:"incarnation"`
	// Backend is nil while the node knows of no backend server.
	Backend *Backend `json:"backend,omitempty"`

	revision uint64
}

// Home is a node with its link address.
type Home struct {
	Node, Address string
}

// Backend is a backend server as its owner publishes it.
type Backend struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	// Serving means that the owner accepts requests in principle.
	Serving bool `json:"serving"`
	// Leaving means that the backend server itself has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// BornMillis is the wall-clock time of its start, in milliseconds.
	BornMillis int64 `json:"born_ms,omitempty"`
}

const (
	memberPrefix = "member/"
	crashPrefix  = "crash/"
	// convictAfter is the number of crashes of a backend server after which a
	// request is refused everywhere.
	convictAfter = 2
	// crashExpiry is the age from which a crash no longer counts.
	crashExpiry = 10 * time.Minute
)

// crashRecord is the value of a row for one crash.
type crashRecord struct {
	Fingerprint string `json:"fingerprint"`
	// StoreMillis is the store's clock at the crash, in milliseconds.
	StoreMillis int64 `json:"store_ms"`
}

func decodeMember(value []byte, revision uint64) (*Member, error) {
	m := &Member{revision: revision}
	if err := json.Unmarshal(value, m); err != nil {
		return nil, errors.Wrap(err, "malformed member row")
	}
	if m.Node == "" || m.Address == "" {
		return nil, errors.New("member row without node or address")
	}
	return m, nil
}

// emptyView is the view before anything is known.
func emptyView() *View {
	return &View{ZonesOut: map[string]bool{}, Nodes: map[string]*Member{}, Owners: map[string][]*Member{}, Convicted: map[string]bool{}}
}
