package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/link"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// TestTransportDoesNotResend checks that net/http does not resend a
// non-idempotent request when a reused connection closes without a response,
// and that NotRun is not reported for it.
func TestTransportDoesNotResend(t *testing.T) {
	for _, method := range []string{"POST", "PUT", "GET", "HEAD", "DELETE", "OPTIONS"} {
		for _, body := range []string{"", "order"} {
			for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
				t.Run(method+"/"+body+"/"+key, func(t *testing.T) { checkNoResend(t, method, body, key) })
			}
		}
	}
}

func checkNoResend(t *testing.T, method, body, key string) {
	b := newRawBackend(t, func(w io.Writer, _ *http.Request, n int64) bool {
		if n > 1 {
			return false // The second request on the connection gets no response.
		}
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	d := newDispatcher(b.address, 10)
	defer d.close()
	o := &wire.Offer{RequestId: "r", Method: method, Target: "/x", Host: "h", ContentLength: int64(len(body))}
	switch key {
	case "Idempotency-Key":
		o.IdempotencyKey = "k"
	case "X-Idempotency-Key":
		o.Fields = []*wire.Field{{Name: key, Value: "k"}}
	}
	resp, err := d.roundTrip(t.Context(), o, strings.NewReader(body))
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	got := b.last()
	require.EqualValues(t, len(body), max(got.ContentLength, 0))
	require.Empty(t, got.TransferEncoding)
	if key != "" {
		require.Equal(t, "k", got.Header.Get(key))
	}
	_, err = d.roundTrip(t.Context(), o, strings.NewReader(body)) //nolint:bodyclose // There is no response on error.
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.EqualValues(t, 2, b.count.Load(), "net/http resent the request")
	require.EqualValues(t, 1, b.conns.Load(), "the idle connection was not reused")
}

// TestNonIdempotentUsesFreshConnections checks that a non-idempotent request
// does not use a connection that has been idle for long and may have failed
// silently.
func TestNonIdempotentUsesFreshConnections(t *testing.T) {
	b := newRawBackend(t, respondOK)
	d := newDispatcher(b.address, 10)
	defer d.close()
	require.Equal(t, nonIdempotentConnTimeout, d.nonIdempotent.IdleConnTimeout)
	d.nonIdempotent.IdleConnTimeout = 20 * time.Millisecond
	for i, idempotent := range []bool{false, false, true, true} {
		resp, err := d.roundTrip(t.Context(), &wire.Offer{RequestId: "r", Method: "POST", Target: "/x", Host: "h", Idempotent: idempotent}, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		require.EqualValues(t, []int64{1, 2, 3, 3}[i], b.conns.Load())
		time.Sleep(50 * time.Millisecond) // Longer than the idle timeout above.
	}
}

// TestDispatchVerdicts checks that NotRun is not reported after the request was
// sent, and that MayHaveRun is not reported if it was not sent.
func TestDispatchVerdicts(t *testing.T) {
	ln := listen(t)
	ln.Close()
	hang := make(chan struct{})
	silent := newRawBackend(t, func(io.Writer, *http.Request, int64) bool { <-hang; return false })
	t.Cleanup(func() { close(hang) }) // Before the cleanup of the backend server, which waits for it.
	draining := newRawBackend(t, rawResponse("HTTP/1.1 503 Busy\r\nBackend-Refused: draining\r\nContent-Length: 0\r\n\r\n"))
	for _, c := range []struct {
		address, code string
		want          verdict.Verdict
	}{
		{ln.Addr().String(), "backend-unreachable", verdict.NotRun},
		{silent.address, "deadline-exceeded", verdict.MayHaveRun},
		{draining.address, "backend-draining", verdict.NotRun},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		d := newDispatcher(c.address, 10)
		_, err := d.roundTrip(ctx, &wire.Offer{RequestId: "r", Method: "POST", Target: "/x", Host: "h"}, nil) //nolint:bodyclose // There is no response on error.
		cancel()
		d.close()
		require.Equal(t, c.code, verdict.FromError(err).Code)
		require.Equal(t, c.want, verdict.FromError(err).Verdict)
	}
}

// TestNoExecutionWithoutCommit checks that an owner does not run a two-phase
// request without its commit.
func TestNoExecutionWithoutCommit(t *testing.T) {
	b := newRawBackend(t, respondOK)
	f := newFleet(t, b.address)
	o := f.owners[0].owner
	offer := &wire.Offer{RequestId: "r", Service: "shop", Method: "POST", Target: "/x", Host: "h", TimeoutUs: 5e6, TwoPhase: true, ContentLength: 2}
	for name, sent := range map[string][]*wire.Envelope{
		"lost immediately, no commit": nil,
		"body, no commit":             {wire.ChunkEnvelope([]byte("hi"), true)},
		"unexpected message":          {wire.EndEnvelope(&wire.End{})},
	} {
		t.Run(name, func(t *testing.T) {
			entry, owner := link.NewLocalExchange()
			done := make(chan struct{})
			go func() { defer close(done); o.serve(owner, offer) }()
			e, err := entry.Recv()
			require.NoError(t, err)
			require.NotNil(t, e.GetAdmitted())
			require.NoError(t, sendAll(entry, sent))
			require.NoError(t, entry.Close())
			<-done
			require.Zero(t, o.inFlight(), "the slot is released")
		})
	}
	require.Zero(t, b.count.Load(), "the request ran without a commit")
}

// TestVerdictOfLostOffer checks that the verdict is NotRun if the owner is lost
// before the commit, and MayHaveRun if it is lost after it.
func TestVerdictOfLostOffer(t *testing.T) {
	for _, commit := range []bool{false, true} {
		f := &forwarder{self: "n", loads: newLoadTable(), metrics: newTrafficMetrics(newIdleNode(t, "n").registry)}
		f.serveLocal = func(x link.Exchange, _ *wire.Offer) {
			if commit {
				_ = x.Send(wire.AdmittedEnvelope(&wire.Load{}))
				_, _ = x.Recv()
			}
			x.Close()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := f.attempt(ctx, &ownerRef{node: "n"}, &request{id: "r", service: "s", method: "POST", body: &requestBody{}})
		cancel()
		want := map[bool]verdict.Verdict{false: verdict.NotRun, true: verdict.MayHaveRun}[commit]
		require.Equal(t, want, verdict.FromError(err).Verdict)
	}
}

// TestCallerDisconnects checks that a request is canceled and its slot released
// after its caller has disconnected, both while the response is pending and
// while it is streamed.
func TestCallerDisconnects(t *testing.T) {
	for _, stream := range []bool{false, true} {
		var written atomic.Int64
		started, canceled := make(chan struct{}, 10), make(chan struct{}, 10)
		backend := newHandlerBackend(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(verdict.RequestIDHeader, r.Header.Get(verdict.RequestIDHeader))
			started <- struct{}{}
			for stream && r.Context().Err() == nil {
				n, err := w.Write(make([]byte, 64<<10))
				written.Add(int64(n))
				if err != nil {
					break
				}
			}
			<-r.Context().Done()
			canceled <- struct{}{}
		})
		f := newFleet(t, backend)
		forEachProtocol(t, func(t *testing.T, c *http.Client) {
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-started
				if stream { // The owner is then blocked in a write to the entry.
					waitUntilStalled(t, &written)
				}
				cancel()
			}()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/once/x", http.NoBody)
			require.NoError(t, err)
			resp, err := c.Do(req)
			if err == nil {
				<-ctx.Done()
				resp.Body.Close()
			}
			<-canceled
			eventually(t, func() bool { return f.owners[0].owner.inFlight() == 0 }, "the slot is released")
		})
	}
}

// TestDeadline checks that an expired deadline is reported as such, and that
// the caller's Request-Timeout is applied.
func TestDeadline(t *testing.T) {
	backend := newHandlerBackend(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFleet(t, backend)
	forEachProtocol(t, func(t *testing.T, c *http.Client) {
		for _, path := range []string{"/brief/x", "/once/x"} {
			// A starting owner has one slot. While the request before still holds it, the
			// next one is refused at once, see TestRequestThatCannotMeetItsDeadline.
			eventually(t, func() bool { return f.owners[0].owner.inFlight() == 0 }, "the slot is released")
			r, err := f.send(c, http.MethodPost, path, strings.NewReader("order"), "Request-Timeout", "0.2")
			require.NoError(t, err)
			requireProblem(t, r, 504, verdict.MayHaveRun, "deadline-exceeded")
		}
	})
	eventually(t, func() bool { return f.owners[0].owner.inFlight() == 0 }, "the slots are released")
}

// Guards against a request that waits for a slot until its deadline although the
// requests ahead take longer than that. The refusal states that it has not run.
func TestRequestThatCannotMeetItsDeadline(t *testing.T) {
	backend := newHandlerBackend(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFleet(t, backend)
	c := client(t, false)
	first, err := f.send(c, http.MethodPost, "/once/x", strings.NewReader("order"), "Request-Timeout", "0.3")
	require.NoError(t, err)
	requireProblem(t, first, 504, verdict.MayHaveRun, "deadline-exceeded")
	eventually(t, func() bool { return f.owners[0].owner.inFlight() == 0 }, "the slot is released")
	go func() {
		_, _ = f.send(c, http.MethodPost, "/once/x", strings.NewReader("order"), "Request-Timeout", "5")
	}()
	eventually(t, func() bool { return f.owners[0].owner.inFlight() == 1 }, "the slot is taken")
	r, err := f.send(c, http.MethodPost, "/once/x", strings.NewReader("order"), "Request-Timeout", "0.2")
	require.NoError(t, err)
	requireProblem(t, r, 503, verdict.NotRun, "deadline")
}

// TestHedge checks that the canceled attempt of a hedged request releases its
// slot, and that a non-idempotent request is not hedged.
func TestHedge(t *testing.T) {
	begun, canceled := make(chan struct{}, 10), make(chan struct{}, 10)
	slow := newHandlerBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	respond := respondWith("Content-Length: 100000\r\n", strings.Repeat("x", 100_000), true)
	fast := newRawBackend(t, func(w io.Writer, r *http.Request, n int64) bool {
		if strings.HasPrefix(r.URL.Path, "/shop/") {
			<-begun // Otherwise the other attempt could be canceled before its backend server gets it.
		}
		return respond(w, r, n)
	})
	f := newFleet(t, slow, fast.address)
	f.entry.forwarder.hedgeAfter = 10 * time.Millisecond
	c := client(t, false)
	hedges := f.entry.metrics.hedges
	for hedges.Count() == 0 { // The first owner is selected at random.
		r, err := f.send(c, http.MethodPost, "/shop/x", strings.NewReader("body"))
		require.NoError(t, err)
		require.Equal(t, 200, r.status, r.body)
		require.Len(t, r.body, 100_000)
	}
	<-canceled
	eventually(t, func() bool { return f.owners[0].owner.inFlight() == 0 }, "the canceled attempt has released its slot")

	before := hedges.Count()
	for range 4 {
		r, err := f.send(c, http.MethodPost, "/once/x", strings.NewReader("body"), "Request-Timeout", "0.1")
		require.NoError(t, err)
		require.Contains(t, []int{200, 504}, r.status)
	}
	require.Equal(t, before, hedges.Count())
}
