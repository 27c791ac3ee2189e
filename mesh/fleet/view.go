// Package fleet maintains a node's copy of the fleet state: the operator's
// configuration, the evacuated zones and the membership of nodes with their backend
// servers.
//
// The fleet state is stored in the platform's store. An event loop owns the copy and
// publishes it as an immutable View; two other goroutines watch the store for
// changes. A node that cannot reach the store confirms its configuration with other
// nodes.
package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/routing"
)

// View is an immutable snapshot of the fleet state.
type View struct {
	// Config is nil until the first configuration is received.
	Config *routing.Config
	// EvacuatedZones holds the evacuated availability zones.
	EvacuatedZones map[string]bool
	// Nodes holds the members by name.
	Nodes map[string]*Member
	// Owners holds, by service, the members with a serving backend server outside
	// evacuated zones.
	Owners map[string][]*Member
	// Coordinator is the coordinator of the rate limits; zero if it is unknown.
	Coordinator Peer
	// Revision is the revision of the members table.
	Revision uint64

	operatorRevision uint64
}

// Member is a node with the backend server on its VM.
type Member struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Address is the address of the link server.
	Address string `json:"address"`
	// Incarnation changes with each start of the process.
	Incarnation string `json:"incarnation"`
	// Backend is nil while no backend server is registered at the node.
	Backend *Backend `json:"backend,omitempty"`

	revision uint64
}

// NodesForKey selects up to n nodes for a key by rendezvous hashing: views with the
// same members select the same nodes, and the change of one member moves few keys.
func (v *View) NodesForKey(key string, n int) []*Member {
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

// Peer identifies a node, such as the coordinator, and the address of its link server.
type Peer struct {
	Node, Address string
}

// Backend is the published state of a backend server.
type Backend struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	// Serving means that the owner accepts requests, apart from temporary refusals.
	Serving bool `json:"serving"`
	// Leaving means that the backend server has announced that it leaves the fleet.
	Leaving bool `json:"leaving,omitempty"`
	// HandedOver means that the node process has stopped and that the next process on
	// the VM may take over the backend server, which is still alive.
	HandedOver bool `json:"handed_over,omitempty"`
	// StartMillis is the wall-clock start time of the backend server, in Unix
	// milliseconds.
	StartMillis int64 `json:"born_ms,omitempty"`
}

const (
	memberPrefix = "member/"
	crashPrefix  = "crash/"
)

func decodeMember(value []byte, revision uint64) (*Member, error) {
	m := &Member{revision: revision}
	if err := json.Unmarshal(value, m); err != nil {
		return nil, errors.Wrap(err, "malformed member row")
	}
	if m.Node == "" || m.Address == "" {
		return nil, errors.New("member row without node or address")
	}
	if strings.Contains(m.Address, ":") && !platform.ValidPort(m.Address) {
		return nil, errors.Newf("member row with address %.40q", m.Address)
	}
	return m, nil
}

// emptyView returns the view before the first read of the store.
func emptyView() *View {
	return &View{EvacuatedZones: map[string]bool{}, Nodes: map[string]*Member{}, Owners: map[string][]*Member{}}
}
