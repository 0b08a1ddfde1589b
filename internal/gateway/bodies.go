package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// copyBody passes head and the rest of a response on to the caller. readErr is a failure of the endpoint, and writeErr one
// of the caller.
func copyBody(ctx context.Context, out *relay, resp *sender.Response, head []byte) (readErr, writeErr error) {
	if err := out.writeCopy(ctx, head); err != nil {
		return nil, err
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if writeErr := out.writeCopy(ctx, buf[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
