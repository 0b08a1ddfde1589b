// Package httpserver runs HTTP servers with time and header limits and a graceful shutdown.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/closewatcher"
	"github.com/nutmegdock/nutmegdock/internal/connectionkeeper"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// maxKeptHeaderBytes is above every limit that a keeper sets.
	maxKeptHeaderBytes = 16 << 20
)

// Server serves one handler on one listener. Set its fields before Run.
type Server struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Handler serves the requests.
	Handler http.Handler
	// ShutdownTimeout bounds the time for which Run waits for requests in flight after its context ends.
	ShutdownTimeout time.Duration
	// PassOptions passes "OPTIONS *" requests to the handler.
	PassOptions bool
	// Keeper keeps the connections within the descriptors of the process. Nil means that each one is kept until it has been
	// idle for idleTimeout.
	Keeper *connectionkeeper.Keeper
	// Refuse refuses the requests that Keeper has no room for. It must be set with Keeper.
	Refuse http.HandlerFunc
}

// Run serves until ctx ends, then stops listening and waits for the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	ln := s.Listener
	if s.Keeper != nil {
		ln = s.Keeper.Listen(ln)
	}
	listener := &closewatcher.Listener{Listener: ln}
	srv := &http.Server{
		Handler:           s.Handler,
		ConnContext:       listener.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,

		DisableGeneralOptionsHandler: s.PassOptions,
	}
	if s.Keeper != nil {
		// The keeper limits both times.
		srv.MaxHeaderBytes, srv.ReadHeaderTimeout, srv.IdleTimeout = maxKeptHeaderBytes, 0, 0
		srv.Handler = s.Keeper.Handler(s.Handler, s.Refuse)
		srv.ConnState = s.Keeper.ConnState
		srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return s.Keeper.ConnContext(listener.ConnContext(ctx, c), c)
		}
	}
	shutdownErr := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.ShutdownTimeout)
		defer cancel()
		shutdownErr <- srv.Shutdown(shutdownCtx)
	})
	err := srv.Serve(listener)
	if stop() {
		// Serve returned before ctx ended, so no shutdown is in progress.
		return fmt.Errorf("serve %s: %w", s.Listener.Addr(), err)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.Listener.Addr(), err)
	}
	return <-shutdownErr
}
