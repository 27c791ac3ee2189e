// Package standin provides the HTTP server of the stand-in programs. The stand-ins
// simulate the systems around trefoildock: the platform, backend servers and callers.
// They are not part of the shipped binary.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// NewHTTPServer returns a server with limits on the size and read time of headers and
// on the idle time of connections.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves h on l until ctx ends. It then stops accepting connections, waits for
// requests in flight for at most gracePeriod and aborts the rest. It returns an error
// if serving failed or requests were aborted.
func Serve(ctx context.Context, l net.Listener, h http.Handler, gracePeriod time.Duration) error {
	srv := NewHTTPServer(h)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), gracePeriod)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		srv.Close() // The error of Shutdown is reported.
		return errors.Wrap(err, "requests in flight were aborted")
	}
	return nil
}
