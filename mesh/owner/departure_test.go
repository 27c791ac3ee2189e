package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/routing"
	"trefoildock.example/verdict"
)

// Guards against a backend server that is used after it has left: it tells a process that
// has just started, before that process takes it over from the earlier one.
func TestLeaveBeforeTakeOverIsRemembered(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, nil)
	require.NoError(t, o.Leave("i-1"))
	o.TakeOver(announcement(s))
	status, known := o.Status()
	require.True(t, known)
	require.False(t, status.Serving)
	require.True(t, status.Leaving, "the next process must know it too")
	_, _, err := sendOffer(o, newOffer("a"))
	require.NotNil(t, err)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Zero(t, s.requests.Load())
}

// Guards against a backend server that stays out of service because an earlier run under its
// ID has left, and against a late heartbeat that puts that earlier run back into service.
func TestBackendServerThatBeginsAgainAfterItsDepartureIsUsed(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, nil)
	late := announcement(s)
	o.RestoreLeaving(late.ID, late.StartedAt)
	require.NoError(t, o.Announce(late))
	_, _, failure := sendOffer(o, newOffer("a"))
	require.NotNil(t, failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	again := late
	again.StartedAt = late.StartedAt.Add(time.Second)
	require.NoError(t, o.Announce(again))
	_, _, failure = sendOffer(o, newOffer("b"))
	require.Nil(t, failure)
}

// Guards against a heartbeat without a start time that puts a backend server back into service
// after its departure was acknowledged.
func TestHeartbeatWithoutStartTimeKeepsDeparture(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, make(chan int, 1))
	a := announcement(s)
	require.NoError(t, o.Announce(a))
	require.NoError(t, o.Leave(a.ID))
	a.Sequence, a.StartedAt = 2, time.Time{}
	require.NoError(t, o.Announce(a))
	status, known := o.Status()
	require.True(t, known)
	require.False(t, status.Serving)
	_, _, failure := sendOffer(o, newOffer("r1"))
	require.NotNil(t, failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
}

// Guards against a heartbeat for a service that does not exist, which replaces the backend server
// of the VM, whose own heartbeats are then ignored as late.
func TestHeartbeatForUnknownServiceKeepsBackendServer(t *testing.T) {
	s := newTestBackend(t, respondOK)
	o := newOwner(t, make(chan int, 1))
	o.cfg.Service = func(name string) *routing.Service {
		if name == "orders" {
			return &routing.Service{}
		}
		return nil
	}
	a := announcement(s)
	require.NoError(t, o.Announce(a))
	odd := a
	odd.Service, odd.StartedAt = "unknown", a.StartedAt.Add(time.Second)
	require.Error(t, o.Announce(odd))
	a.Sequence = 2
	require.NoError(t, o.Announce(a))
	_, _, failure := sendOffer(o, newOffer("r1"))
	require.Nil(t, failure)
}
