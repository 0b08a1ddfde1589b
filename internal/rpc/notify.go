package rpc

import (
	"context"
	"fmt"
)

// Notify sends one typed message that gets no response.
func Notify[Req any](ctx context.Context, c *Client, method string, req Req) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, method, req); err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, c.Address, err)
	}
	return nil
}

// Connected reports whether the client has a connection that is not known to be lost.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openConnection() != nil
}
