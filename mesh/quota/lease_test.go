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

// testStore is a store with an adjustable clock.
type testStore struct {
	store *rowstore.Store
	rows  *platform.Rows
	// clockOffset is added to the store's clock.
	clockOffset time.Duration
	started     time.Time
}

func newTestStore(t *testing.T) *testStore {
	t.Helper()
	store := rowstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	client, err := platform.NewClient(platform.ClientConfig{URL: srv.URL})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return &testStore{store: store, rows: client.Rows("lease"), started: time.Now()}
}

func (s *testStore) manager(node string) *LeaseManager {
	m := &LeaseManager{
		Self: Peer{Node: node, Address: node + ":1"}, Table: s, Logger: log.NewNopLogger(), Incarnation: node + "-1",
		StoreNow: func() (time.Duration, bool) { return time.Since(s.started) + s.clockOffset, true },
	}
	m.Init()
	return m
}

// Read implements Table with the adjusted clock.
func (s *testStore) Read(ctx context.Context) (platform.Changes, error) {
	c, err := s.rows.Read(ctx)
	c.StoreTime = time.Since(s.started) + s.clockOffset
	return c, err
}

// Write implements Table.
func (s *testStore) Write(ctx context.Context, key string, value []byte, expected uint64) (platform.WriteResult, error) {
	return s.rows.Write(ctx, key, value, expected)
}

// Guards against two coordinators at once, and against a coordinator that is never replaced.
func TestExpiredLeaseIsTakenOver(t *testing.T) {
	s := newTestStore(t)
	a, b := s.manager("a"), s.manager("b")
	require.NoError(t, a.tryAcquire(t.Context()))
	require.NotNil(t, a.Buckets())
	require.NoError(t, b.tryAcquire(t.Context()))
	require.Nil(t, b.Buckets())
	coordinator, known := b.Coordinator()
	require.True(t, known)
	require.Equal(t, a.Self, coordinator)

	s.clockOffset = leaseDuration + time.Second
	require.NoError(t, b.tryAcquire(t.Context()))
	require.NotNil(t, b.Buckets())
	require.False(t, b.Buckets().full, "the earlier coordinator may have granted the burst")
	a.renew(t.Context())
	require.Nil(t, a.Buckets(), "a holder that was replaced grants nothing")
}

// Guards against a coordinator that continues to grant after its lease has expired
// without a failed renewal, as after a suspension of its VM.
func TestBucketsUnavailableAfterLeaseExpiry(t *testing.T) {
	s := newTestStore(t)
	a := s.manager("a")
	require.NoError(t, a.tryAcquire(t.Context()))
	a.leaseEnd -= a.leaseEnd // The lease has expired on the boot-time clock.
	require.Nil(t, a.Buckets())
}

// Guards against granting a full burst after each graceful shutdown of a coordinator.
func TestStopReleasesLeaseWithoutFullBurst(t *testing.T) {
	s := newTestStore(t)
	a, b := s.manager("a"), s.manager("b")
	require.NoError(t, a.tryAcquire(t.Context()))
	require.True(t, a.Buckets().full)
	a.Stop(t.Context())
	require.NoError(t, b.tryAcquire(t.Context()))
	require.NotNil(t, b.Buckets())
	require.False(t, b.Buckets().full)
}

// Guards against refusing requests because their node cannot reach a coordinator
// that other nodes can reach.
func TestTakeRelayedThroughPeer(t *testing.T) {
	s := newTestStore(t)
	a, b := s.manager("a"), s.manager("b")
	require.NoError(t, a.tryAcquire(t.Context()))
	require.NoError(t, b.tryAcquire(t.Context()))
	direct, relayed := 0, 0
	r := &RateLimiter{
		Lease: b,
		TakeFromCoordinator: func(context.Context, Peer, TakeRequest) (TakeResult, error) {
			direct++
			return TakeResult{}, errors.New("cut off")
		},
		TakeViaPeer: func(context.Context, TakeRequest) (TakeResult, error) {
			relayed++
			granted, wait := a.Buckets().Take(time.Now(), team, 1)
			return TakeResult{Granted: granted, Wait: wait}, nil
		},
	}
	for range 3 {
		require.NoError(t, r.Admit(t.Context(), team))
	}
	require.Equal(t, 1, direct, "an unreachable coordinator is not called directly each time")
	require.Equal(t, 3, relayed)
}

// Guards against refusing requests while there is no coordinator, although the
// fallback nodes of the team can still grant part of the tolerated overrun.
func TestFallbacksGrantWithoutCoordinator(t *testing.T) {
	s := newTestStore(t)
	calls := make(map[string]int)
	r := &RateLimiter{
		Lease: s.manager("a"),
		Fallbacks: func(string) []Peer {
			return []Peer{{Node: "silent", Address: "s:1"}, {Node: "b", Address: "b:1"}}
		},
		TakeFromFallback: func(_ context.Context, p Peer, _ string) (TakeResult, error) {
			calls[p.Node]++
			if p.Node == "silent" {
				return TakeResult{}, errors.New("cut off")
			}
			return TakeResult{Granted: 1}, nil
		},
	}
	for range 3 {
		require.NoError(t, r.Admit(t.Context(), team))
	}
	require.Equal(t, map[string]int{"silent": 1, "b": 3}, calls, "an unresponsive fallback node is not called each time")
}

// Guards against giving up a lease because the response to its renewal was lost.
func TestLeaseSurvivesLostRenewalResponse(t *testing.T) {
	s := newTestStore(t)
	a := s.manager("a")
	require.NoError(t, a.tryAcquire(t.Context()))
	s.store.SetFaults(rowstore.Faults{LoseResponses: true})
	a.renew(t.Context())
	s.store.SetFaults(rowstore.Faults{})
	for range 2 {
		a.renew(t.Context())
		require.NotNil(t, a.Buckets())
	}
	b := s.manager("b")
	require.NoError(t, b.tryAcquire(t.Context()))
	require.Nil(t, b.Buckets())
}

// Guards against a coordinator on a VM that is about to be removed, because its
// backend server is leaving.
func TestLeavingNodeReleasesLease(t *testing.T) {
	s := newTestStore(t)
	a, b := s.manager("a"), s.manager("b")
	eligible := true
	a.MayAcquire = func() bool { return eligible }
	require.NoError(t, a.tryAcquire(t.Context()))
	require.NotNil(t, a.Buckets())
	eligible = false
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	require.Eventually(t, func() bool {
		return b.tryAcquire(t.Context()) == nil && b.Buckets() != nil
	}, 10*time.Second, 10*time.Millisecond)
	cancel()
	<-done
	require.Nil(t, a.Buckets())
	require.False(t, b.Buckets().full)
}

func TestAdmitRefusesOverRate(t *testing.T) {
	s := newTestStore(t)
	a := s.manager("a")
	require.NoError(t, a.tryAcquire(t.Context()))
	r := &RateLimiter{Lease: a}
	slow := *team
	slow.Rate, slow.Burst = 0.1, 1
	require.NoError(t, r.Admit(t.Context(), &slow))
	require.ErrorContains(t, r.Admit(t.Context(), &slow), "rate-limit")
	require.NoError(t, r.Admit(t.Context(), nil), "a request without a team has no limit")
}

// Guards against all nodes of a fleet reading the lease at once, and against a node
// that accepts reports of the coordinator that it has just failed to reach.
func TestCoordinatorReportedByPeers(t *testing.T) {
	s := newTestStore(t)
	a, b := s.manager("a"), s.manager("b")
	require.NoError(t, a.tryAcquire(t.Context()))
	b.ReadsStore = func() bool { return false }
	b.ObserveCoordinator(a.Self)
	coordinator, known := b.Coordinator()
	require.True(t, known)
	require.Equal(t, a.Self, coordinator)
	b.MarkUnreachable(coordinator)
	require.True(t, b.waitsForPeers())
	require.Equal(t, a.Self.Address, b.UnreachableAddress())
	b.ObserveCoordinator(a.Self)
	_, known = b.Coordinator()
	require.False(t, known)
	b.ObserveCoordinator(Peer{Node: "c", Address: "c:1"})
	_, known = b.Coordinator()
	require.True(t, known)
}

// Guards against a fleet that refuses requests after a restart of all nodes until the
// lease of the coordinator expires, because the coordinator waits for other nodes to
// report it.
func TestRestartedCoordinatorTakesItsLeaseBack(t *testing.T) {
	s := newTestStore(t)
	require.NoError(t, s.manager("a").tryAcquire(t.Context()))
	restarted := s.manager("a")
	restarted.ReadsStore = func() bool { return false }
	require.True(t, restarted.waitsForPeers(), "reading the lease at every start would cost the store a call for each node")
	restarted.ObserveCoordinator(restarted.Self)
	require.False(t, restarted.waitsForPeers())
	require.NoError(t, restarted.tryAcquire(t.Context()))
	require.NotNil(t, restarted.Buckets())
	require.True(t, restarted.waitsForPeers(), "one report causes one read")
}

// Guards against two coordinators after the store was restored from a copy that names an
// earlier holder of the lease, or that has none.
func TestRestoredLeaseHasOneHolder(t *testing.T) {
	for name, held := range map[string]bool{"earlier holder": true, "no lease": false} {
		t.Run(name, func(t *testing.T) {
			s := newTestStore(t)
			a, b, c := s.manager("a"), s.manager("b"), s.manager("c")
			if held {
				require.NoError(t, a.tryAcquire(t.Context()))
			}
			copied := s.store.Copy()
			a.Stop(t.Context())
			require.NoError(t, b.tryAcquire(t.Context()))
			require.NotNil(t, b.Buckets())
			require.NoError(t, c.tryAcquire(t.Context()))
			a.stopped = false
			s.store.Restore(copied)
			s.clockOffset = leaseDuration // The lease of the copy has expired.
			for _, m := range []*LeaseManager{a, c} {
				require.NoError(t, m.tryAcquire(t.Context()))
				require.Nil(t, m.Buckets(), "the lease of b is still valid")
			}
			b.renew(t.Context())
			require.NotNil(t, b.Buckets(), "the holder takes its lease back")
			require.NoError(t, c.tryAcquire(t.Context()))
			coordinator, _ := c.Coordinator()
			require.Equal(t, b.Self, coordinator)
			s.store.Restore(copied)
			b.renew(t.Context())
			require.NotNil(t, b.Buckets(), "a second restoration")
		})
	}
}
