// Package webserver runs HTTP servers with limits and graceful shutdown.
package webserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	headerTime     = 10 * time.Second
	idleTime       = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Server serves one handler on one listener. Set its fields before Run.
type Server struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Handler answers the requests.
	Handler http.Handler
	// Grace bounds the time that requests in progress get after the context ends.
	Grace time.Duration
}

// Run serves until ctx ends, then stops listening and waits for the requests in progress.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Grace)
		defer cancel()
		done <- srv.Shutdown(end)
	})
	err := srv.Serve(s.Listener)
	if stop() {
		return fmt.Errorf("serve %s: %w", s.Listener.Addr(), err)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.Listener.Addr(), err)
	}
	return <-done
}
