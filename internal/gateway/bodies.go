package gateway

import (
	"errors"
	"io"

	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// copyBody writes head and the rest of a response to the caller. readErr is a failure of the endpoint, and writeErr one
// of the caller.
func copyBody(w io.Writer, resp *sender.Response, head []byte) (readErr, writeErr error) {
	if _, err := w.Write(head); err != nil {
		return nil, err
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
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
