// Package bodyreader reads response bodies of a limited size.
package bodyreader

import (
	"fmt"
	"io"
)

// SizeError reports a body that exceeds the maximum size.
type SizeError struct {
	// Limit is the maximum size in bytes.
	Limit int
}

// Error names the maximum size.
func (e *SizeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.Limit)
}

// ReadAll reads a body to its end. It returns a SizeError, and no more than one byte beyond the limit is read, if the body
// exceeds it.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return data, nil
}

// ReadStart returns up to limit bytes from the start of a body, for an error message. The body need not end.
func ReadStart(body io.Reader, limit int) string {
	data, _ := io.ReadAll(io.LimitReader(body, int64(limit))) // what has arrived before an error is of use as well
	return string(data)
}
