package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"trefoildock.example/link"
	"trefoildock.example/platform"
)

const (
	// dialTimeout bounds the setup of a connection to another node, which takes 3 ms
	// between zones.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount make the kernel detect a dead
	// peer on an idle link within 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is the time for which sent data may stay unacknowledged before the
	// kernel closes the link (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
	// httpTimeout bounds one request of the backend server on this VM or of the platform.
	httpTimeout = 5 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// dialPeer opens a connection to the link server of another node.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// setUserTimeout sets userTimeout on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// listen opens all listeners and starts their servers.
func (n *Node) listen() error {
	links, err := n.listenOn("link", n.linkAddress(), net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout})
	if err != nil {
		return err
	}
	n.wg.Go(func() { _ = n.linkServer.Serve(links) }) // Ends when the listener closes.
	announce, err := n.listenOn("announcements", n.settings.ListenAnnounce, net.ListenConfig{})
	if err != nil {
		return err
	}
	n.announcementServer = n.serveHTTP(announce, platform.AnnouncementHandler(n))
	ready, err := n.listenOn("readiness", n.settings.ListenReady, net.ListenConfig{})
	if err != nil {
		return err
	}
	n.serveHTTP(ready, platform.ReadyHandler(n.ready))
	if n.metricsAddress != "" {
		ln, err := n.listenOn("metrics", n.metricsAddress, net.ListenConfig{})
		if err != nil {
			return err
		}
		n.serveHTTP(ln, http.HandlerFunc(n.serveMetrics))
	}
	callers, err := n.listenOn("callers", n.settings.ListenCallers, net.ListenConfig{})
	if err != nil {
		return err
	}
	n.wg.Go(func() { _ = n.callerServer.Serve(callers) }) // Ends when the listener closes.
	return nil
}

func listenTCP(options net.ListenConfig, address string) (net.Listener, error) {
	return options.Listen(context.Background(), "tcp", address)
}

func (n *Node) listenOn(purpose, address string, c net.ListenConfig) (net.Listener, error) {
	ln, err := n.openListener(c, address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s on %s", purpose, address)
	}
	retrying := &link.RetryListener{Listener: ln, OnError: func(err error) {
		n.logger.Log("event", "connection not accepted", "purpose", purpose, "err", err)
	}}
	n.listeners = append(n.listeners, retrying)
	return retrying, nil
}

func (n *Node) serveHTTP(ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: httpTimeout, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: time.Minute}
	n.httpServers = append(n.httpServers, s)
	n.wg.Go(func() { _ = s.Serve(ln) }) // Ends with Close.
	return s
}

// serveMetrics writes the metrics in the Prometheus text format.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var lines []string
	n.registry.Each(func(name string, m any) {
		name = metricName(name)
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, q, s.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()))
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line) //nolint:errcheck // The client may have disconnected.
	}
}

// metricName converts a registry name to a Prometheus metric name.
func metricName(name string) string {
	out := []byte("trefoildock_" + name)
	for i, c := range out {
		if c == '.' || c == '-' {
			out[i] = '_'
		}
	}
	return string(out)
}
