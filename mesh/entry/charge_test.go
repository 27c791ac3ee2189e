package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/link"
	"trefoildock.example/wire"
)

// Guards against arrivals beyond the retry budget: the calls that a backend server makes for a
// request that was sent again are repeats for the service that it calls.
func TestCallsOfRepeatedRequestsTakeFromTheRetryBudget(t *testing.T) {
	for _, repeat := range []bool{false, true} {
		t.Run(fmt.Sprint("repeat ", repeat), func(t *testing.T) {
			n := newTestNode(t)
			a := n.announcement
			a.ID, a.Slots, a.StartedAt = "i-2", 2, time.UnixMilli(2)
			require.NoError(t, n.owner.Announce(a))
			running, finish := make(chan struct{}), make(chan struct{})
			n.setResponse(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/parent":
					close(running)
					<-finish
				case "/fails":
					w.WriteHeader(http.StatusInternalServerError)
				}
			})
			entryEnd, ownerEnd := link.NewLocalExchange()
			defer entryEnd.Close()
			offer := &wire.Offer{
				RequestId: "p", Service: "orders", Method: "GET", Target: "/parent", Host: "shop", Idempotent: true, TimeoutUs: time.Minute.Microseconds(),
				Fields: []*wire.Field{{Name: "Request-Id", Value: "p"}}, Repeat: repeat,
			}
			go n.owner.Serve(ownerEnd, offer)
			_, err := entryEnd.Recv()
			require.NoError(t, err)
			require.NoError(t, entryEnd.Send(wire.CommitEnvelope(), wire.ChunkEnvelope(nil, true)))
			<-running
			defer close(finish)
			for i := range 2 {
				require.Equal(t, 200, n.send(t, "GET", "/call", fmt.Sprint("c", i)).Status)
			}
			before := n.executions.Load()
			require.Equal(t, 500, n.send(t, "GET", "/fails", "f").Status)
			retried := n.executions.Load()-before > 1
			require.Equal(t, !repeat, retried, "the calls have used up the budget")
		})
	}
}
