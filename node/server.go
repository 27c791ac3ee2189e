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

// writeGrace is the time that a slow caller has to take an answer after the
// deadline of its request.
const writeGrace = 30 * time.Second

// serveHTTP starts the HTTP servers for callers, announcements and metrics.
func (n *Node) serveHTTP(l *listeners) {
	limits := n.settings.Limits
	n.traffic = &http.Server{
		Handler:           &entry{node: n, metrics: n.metrics},
		ReadHeaderTimeout: limits.HeaderReadTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
		MaxHeaderBytes:    int(limits.MaxHeaderBytes),
		Protocols:         protocols(),
		ErrorLog:          discardLog(),
	}
	traffic := netutil.LimitListener(l.traffic, limits.MaxConnections)
	if n.deps.TrafficTLS != nil {
		traffic = tls.NewListener(traffic, n.deps.TrafficTLS)
	}
	n.serve(n.traffic, traffic)
	n.serve(internalServer(n.announceHandler()), l.announce)
	n.serve(internalServer(n.metricsHandler()), l.metrics)
}

// protocols allows HTTP/1.1 and HTTP/2, the latter also without TLS.
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
	n.wg.Go(func() { _ = s.Serve(ln) }) // Ends with Shutdown or Close.
}

// metricsHandler serves the metrics as JSON and the readiness of the node.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.registry, w)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.leavingNow.Load() || !n.fresh(time.Now()) || n.homes.version() == 0 {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// backendState gives the state of a backend server by the operators' rules and
// the node's own stop.
func (n *Node) backendState(name, service string) admission.State {
	snap := n.snapshot.Load()
	switch {
	case n.leavingNow.Load():
		return admission.Leaving
	case snap.config.ZoneOut(n.settings.Node.Zone) || snap.config.BackendServerOut(name):
		return admission.OutOfService
	default:
		return n.homes.ejectionState(name, service)
	}
}
