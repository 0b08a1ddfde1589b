// Package healthchecker checks whether an endpoint responds to a health check.
package healthchecker

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/headreader"
)

// Checker sends health checks. Set its fields before use.
type Checker struct {
	// Timeout bounds a check.
	Timeout time.Duration
}

// Check sends a health check on a connection and waits for the head of the response. Any status shows that the endpoint runs.
// Its error is a *headchecker.Error if the response is not valid.
func (c *Checker) Check(ctx context.Context, conn net.Conn, path string) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(c.Timeout)); err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, conn.RemoteAddr()); err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	head := headreader.Reader{Source: conn}
	head.Expect()
	_, err := http.ReadResponse(bufio.NewReader(&head), nil)
	if refusal := head.Refusal(); refusal != nil {
		return refusal
	}
	return err
}
