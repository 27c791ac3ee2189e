// Package standin holds what the stand-in programs share. The stand-ins play
// the outside systems that trefoildock serves: the platform, backend servers
// and callers. They are never part of the shipped binary.
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

// NewHTTPServer returns a server with bounded headers and idle connections.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves h on l until ctx ends. It then stops accepting, lets requests in
// flight finish for at most grace, and closes the rest. It returns an error if
// serving failed or requests had to be cut.
func Serve(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	srv := NewHTTPServer(h)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		srv.Close() // Shutdown has already failed with the error to report.
		return errors.Wrap(err, "requests in flight were cut")
	}
	return nil
}
