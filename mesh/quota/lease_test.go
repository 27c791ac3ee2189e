package quota

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// deployment is a store with its clock.
type deployment struct {
	store *rowstore.Store
	rows  *platform.Rows
	// ahead moves the clock of the store.
	ahead time.Duration
	began time.Time
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := rowstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	client, err := platform.NewClient(platform.ClientConfig{URL: srv.URL})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return &deployment{store: store, rows: client.Rows("lease"), began: time.Now()}
}

func (d *deployment) keeper(node string) *Keeper {
	k := &Keeper{
		Self: Home{Node: node, Address: node + ":1"}, Table: d, Logger: log.NewNopLogger(), Incarnation: node + "-1",
		StoreNow: func() (time.Duration, bool) { return time.Since(d.began) + d.ahead, true },
	}
	k.Init()
	return k
}

// Read implements Table with the moved clock.
func (d *deployment) Read(ctx context.Context) (platform.Changes, error) {
	c, err := d.rows.Read(ctx)
	c.StoreTime = time.Since(d.began) + d.ahead
	return c, err
}

// Write implements Table.
func (d *deployment) Write(ctx context.Context, key string, value []byte, expected uint64) (platform.Written, error) {
	return d.rows.Write(ctx, key, value, expected)
}

// Guards against two homes at once, and against a home that is never replaced.
func TestLeasePassesOnAfterItsEnd(t *testing.T) {
	d := newDeployment(t)
	a, b := d.keeper("a"), d.keeper("b")
	require.NoError(t, a.look(t.Context()))
	require.NotNil(t, a.Ledger())
	require.NoError(t, b.look(t.Context()))
	require.Nil(t, b.Ledger())
	home, known := b.Home()
	require.True(t, known)
	require.Equal(t, a.Self, home)

	d.ahead = leaseTime + time.Second
	require.NoError(t, b.look(t.Context()))
	require.NotNil(t, b.Ledger())
	require.False(t, b.Ledger().full, "the earlier home may have given out the burst")
	a.renew(t.Context())
	require.Nil(t, a.Ledger(), "a holder that was replaced gives nothing out")
}

// Guards against a home that goes on after its lease has ended unnoticed, as
// after a suspension of its machine.
func TestLedgerEndsWithItsLease(t *testing.T) {
	d := newDeployment(t)
	a := d.keeper("a")
	require.NoError(t, a.look(t.Context()))
	a.until -= a.until // The end has passed on the boot-time clock.
	require.Nil(t, a.Ledger())
}

// Guards against a full burst after each planned stop of a home.
func TestStopPassesTheLeaseOnWithoutBurst(t *testing.T) {
	d := newDeployment(t)
	a, b := d.keeper("a"), d.keeper("b")
	require.NoError(t, a.look(t.Context()))
	require.True(t, a.Ledger().full)
	a.Stop(t.Context())
	require.NoError(t, b.look(t.Context()))
	require.NotNil(t, b.Ledger())
	require.False(t, b.Ledger().full)
}

// Guards against requests that are refused because their node cannot reach a
// home that other nodes can reach.
func TestHomeIsAskedThroughAnotherNode(t *testing.T) {
	d := newDeployment(t)
	a, b := d.keeper("a"), d.keeper("b")
	require.NoError(t, a.look(t.Context()))
	require.NoError(t, b.look(t.Context()))
	direct, relayed := 0, 0
	r := &Rates{
		Keeper: b,
		Ask:    func(context.Context, Home, Want) (Taken, error) { direct++; return Taken{}, errors.New("cut off") },
		Relay: func(context.Context, Want) (Taken, error) {
			relayed++
			granted, wait := a.Ledger().Take(time.Now(), team, 1)
			return Taken{Granted: granted, Wait: wait}, nil
		},
	}
	for range 3 {
		require.NoError(t, r.Admit(t.Context(), team))
	}
	require.Equal(t, 1, direct, "a home that does not answer is not tried each time")
	require.Equal(t, 3, relayed)
}

// Guards against requests that are refused while no home is known although the
// tolerated overrun is left, which deputies of the team give out.
func TestDeputiesServeWithoutHome(t *testing.T) {
	d := newDeployment(t)
	asked := make(map[string]int)
	r := &Rates{
		Keeper: d.keeper("a"),
		Deputies: func(string) []Home {
			return []Home{{Node: "silent", Address: "s:1"}, {Node: "b", Address: "b:1"}}
		},
		AskDeputy: func(_ context.Context, h Home, _ string) (Taken, error) {
			asked[h.Node]++
			if h.Node == "silent" {
				return Taken{}, errors.New("cut off")
			}
			return Taken{Granted: 1}, nil
		},
	}
	for range 3 {
		require.NoError(t, r.Admit(t.Context(), team))
	}
	require.Equal(t, map[string]int{"silent": 1, "b": 3}, asked, "a silent deputy is not asked each time")
}

// Guards against a lease that is given up because the answer to its renewal was lost.
func TestLeaseOutlivesALostAnswer(t *testing.T) {
	d := newDeployment(t)
	a := d.keeper("a")
	require.NoError(t, a.look(t.Context()))
	d.store.SetFaults(rowstore.Faults{LoseAnswers: true})
	a.renew(t.Context())
	d.store.SetFaults(rowstore.Faults{})
	for range 2 {
		a.renew(t.Context())
		require.NotNil(t, a.Ledger())
	}
	b := d.keeper("b")
	require.NoError(t, b.look(t.Context()))
	require.Nil(t, b.Ledger())
}

// Guards against a home on a machine that is taken away a moment later, because
// its backend server leaves.
func TestLeavingNodeIsNoHome(t *testing.T) {
	d := newDeployment(t)
	a, b := d.keeper("a"), d.keeper("b")
	stays := true
	a.MayClaim = func() bool { return stays }
	require.NoError(t, a.look(t.Context()))
	require.NotNil(t, a.Ledger())
	stays = false
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	require.Eventually(t, func() bool {
		return b.look(t.Context()) == nil && b.Ledger() != nil
	}, 10*time.Second, 10*time.Millisecond)
	cancel()
	<-done
	require.Nil(t, a.Ledger())
	require.False(t, b.Ledger().full)
}

func TestRefusals(t *testing.T) {
	d := newDeployment(t)
	a := d.keeper("a")
	require.NoError(t, a.look(t.Context()))
	r := &Rates{Keeper: a}
	slow := *team
	slow.Rate, slow.Burst = 0.1, 1
	require.NoError(t, r.Admit(t.Context(), &slow))
	require.ErrorContains(t, r.Admit(t.Context(), &slow), "rate-limit")
	require.NoError(t, r.Admit(t.Context(), nil), "a request without a team has no limit")
}

// Guards against all nodes of a fleet that read the lease at once, and against
// one that learns again of the home that it has just lost.
func TestFollowersLearnTheHome(t *testing.T) {
	d := newDeployment(t)
	a, b := d.keeper("a"), d.keeper("b")
	require.NoError(t, a.look(t.Context()))
	b.MayLook = func() bool { return false }
	b.Learn(a.Self)
	home, known := b.Home()
	require.True(t, known)
	require.Equal(t, a.Self, home)
	b.Lost(home)
	require.True(t, b.mayLearn())
	require.Equal(t, a.Self.Address, b.LostAddress())
	b.Learn(a.Self)
	_, known = b.Home()
	require.False(t, known)
	b.Learn(Home{Node: "c", Address: "c:1"})
	_, known = b.Home()
	require.True(t, known)
}
