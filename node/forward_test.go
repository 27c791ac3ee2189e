package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSelectOwnerAvoidsZone checks that a request does not spend all its
// attempts on owners of a zone that is being taken out of or returned to
// service while other zones serve.
func TestSelectOwnerAvoidsZone(t *testing.T) {
	f := &forwarder{zone: "a", loads: newLoadTable()}
	owners := []*ownerRef{{node: "a1", zone: "a"}, {node: "a2", zone: "a"}, {node: "a3", zone: "a"}, {node: "b1", zone: "b"}}
	avoided := map[string]bool{"a": true}
	now := time.Now()
	for range 100 {
		require.Equal(t, "b1", f.selectOwner(owners, "s", map[string]bool{"a1": true}, avoided, now).node)
		other := f.selectOwner(owners, "s", map[string]bool{"a1": true, "b1": true}, avoided, now)
		require.Contains(t, []string{"a2", "a3"}, other.node)
	}
	require.Nil(t, f.selectOwner(owners, "s", map[string]bool{"a1": true, "a2": true, "a3": true, "b1": true}, avoided, now))
}
