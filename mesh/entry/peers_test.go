package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/mesh/fleet"
)

// Guards against requests that keep asking an owner whose backend server has named a limit,
// while other backend servers of the service are free.
func TestLimitedOwnerIsRankedLastUntilItsNextRequest(t *testing.T) {
	p := newPeers()
	limited := &fleet.Member{Node: "limited", Zone: "z", Backend: &fleet.Backend{Slots: 3}}
	elsewhere := &fleet.Member{Node: "elsewhere", Zone: "other", Backend: &fleet.Backend{Slots: 3}}
	now := time.Now()
	first := func(at time.Time) string {
		return p.rank([]*fleet.Member{limited, elsewhere}, "z", true, at)[0].Node
	}
	require.Equal(t, "limited", first(now))
	p.recordRefusal("limited", now, 900*time.Millisecond)
	require.Equal(t, "elsewhere", first(now.Add(850*time.Millisecond)))
	require.Equal(t, "limited", first(now.Add(950*time.Millisecond)))
	p.setNamedLimit("limited", 4.4)
	require.InDelta(t, 4.4, p.namedLimit("limited"), 0)
	require.Zero(t, p.namedLimit("elsewhere"))
}
