package node

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"

	"trefoildock.example/admission"
)

// writeGrace is the additional time after the request deadline in which a slow
// caller may read the response.
const writeGrace = 30 * time.Second

const (
	// maxStreams is the maximum number of concurrent streams of an HTTP/2
	// connection; it equals the default of net/http.
	maxStreams = 250
	// pingInterval is the idle time after which an HTTP/2 connection is pinged,
	// and the timeout of that ping.
	pingInterval = 15 * time.Second
)

// serveHTTP starts the HTTP servers for callers, announcements and metrics.
func (n *Node) serveHTTP(l *listeners) {
	n.traffic = n.trafficServer()
	traffic := netutil.LimitListener(l.traffic, n.settings.Limits.MaxConnections)
	if n.deps.TrafficTLS != nil {
		traffic = tls.NewListener(traffic, trafficTLS(n.deps.TrafficTLS))
	}
	n.serve(n.traffic, traffic)
	n.serve(internalServer(n.announceHandler()), l.announce)
	n.serve(internalServer(n.metricsHandler()), l.metrics)
}

// trafficServer returns the HTTP server for callers.
func (n *Node) trafficServer() *http.Server {
	limits := n.settings.Limits
	return &http.Server{
		Handler:           &entry{node: n, metrics: n.metrics},
		ReadHeaderTimeout: limits.HeaderReadTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
		MaxHeaderBytes:    int(limits.MaxHeaderBytes),
		Protocols:         protocols(),
		ErrorLog:          discardLog(),
		HTTP2:             http2Limits(),
		// Otherwise net/http responds to "OPTIONS *" itself, without a verdict.
		DisableGeneralOptionsHandler: true,
	}
}

// http2Limits bounds the memory of a caller's connection. The default of
// net/http buffers 1 MiB of each request body.
func http2Limits() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerStream:     bufferBytes,
		MaxReceiveBufferPerConnection: 1 << 20,
		SendPingTimeout:               pingInterval,
		PingTimeout:                   pingInterval,
		WriteByteTimeout:              writeGrace,
	}
}

// trafficTLS enables HTTP/2 and HTTP/1.1 for callers.
func trafficTLS(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	return config
}

// protocols enables HTTP/1.1 and HTTP/2, the latter also without TLS.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func internalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10, ErrorLog: discardLog(),
	}
}

func (n *Node) serve(s *http.Server, ln net.Listener) {
	n.servers = append(n.servers, s)
	n.wg.Go(func() { _ = s.Serve(ln) }) // Returns after Shutdown or Close.
}

// metricsHandler serves the metrics as JSON and the readiness of the node.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.registry, w)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() || !n.fresh(time.Now()) || !n.coordinators.ready(time.Now()) {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// backendState returns the state of a backend server according to the node's
// shutdown, the operator's configuration and its ejection order.
func (n *Node) backendState(name, service string) admission.State {
	snap := n.snapshot.Load()
	switch {
	case n.leaving.Load():
		return admission.Leaving
	case snap.config.ZoneOutOfService(n.settings.Node.Zone) || snap.config.BackendServerOutOfService(name):
		return admission.OutOfService
	default:
		return n.coordinators.ejectionState(name, service)
	}
}
