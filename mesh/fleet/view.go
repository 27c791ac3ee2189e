// Package fleet keeps what a node believes of the deployment: the operator's
// configuration, the evacuated zones and the other nodes with their backend
// servers.
//
// All of it lives in the platform's store. One goroutine owns the beliefs and
// publishes an immutable View; two others wait for changes at the store. A
// node that cannot reach the store confirms its configuration with other nodes.
package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
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

// Deputies returns up to n nodes for a key by rendezvous hashing, so that nodes
// with the same members choose the same ones and a change of one member moves
// few keys.
func (v *View) Deputies(key string, n int) []*Member {
	type scored struct {
		m     *Member
		score uint64
	}
	list := make([]scored, 0, len(v.Nodes))
	for _, m := range v.Nodes {
		list = append(list, scored{m, hashOf(key + "\x00" + m.Node)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return strings.Compare(a.m.Node, b.m.Node)
	})
	out := make([]*Member, 0, n)
	for _, s := range list[:min(n, len(list))] {
		out = append(out, s.m)
	}
	return out
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
	// HandedOver means that the process has stopped and leaves the backend server,
	// which lives, to the next process on the machine.
	HandedOver bool `json:"handed_over,omitempty"`
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
