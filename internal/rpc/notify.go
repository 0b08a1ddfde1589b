package rpc

import (
	"context"
	"fmt"
)

// Notify sends one typed message that is not answered.
func Notify[Q any](ctx context.Context, c *Client, method string, q Q) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, method, q); err != nil {
		return fmt.Errorf("notify %s at %s: %w", method, c.Address, err)
	}
	return nil
}
