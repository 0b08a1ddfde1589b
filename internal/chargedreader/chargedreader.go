// Package chargedreader reads bodies into memory that is charged before it is held.
package chargedreader

import (
	"errors"
	"io"
)

// firstBytes is the first size of the buffer of a body whose length is not known.
const firstBytes = 4 << 10

// ErrRefused ends the read of a body that may not be held.
var ErrRefused = errors.New("too much is buffered")

// Reader reads one body. Set its fields before ReadAll.
type Reader struct {
	// Size is the length of the body in bytes, or -1 if it is unknown. Limit is the largest length that it may have.
	Size, Limit int64
	// Grow is called before the buffer grows to n bytes, while the former one is still held, and with a negative number when that
	// one is no longer. It reports whether the buffer may grow.
	Grow func(n int) bool
	// Receive is called with the number of bytes that have arrived. Nil means that nobody is told.
	Receive func(n int)
	// IsCostly reports whether the body costs so much work that it is read at a pace. What arrives of it then does not count.
	// Nil means that it does not.
	IsCostly func() bool
}

// CostOf returns the method IsCostly of a body, or nil if it has none.
func CostOf(body io.Reader) func() bool {
	if b, ok := body.(interface{ IsCostly() bool }); ok {
		return b.IsCostly
	}
	return nil
}

// ReadAll reads a body to its end. It returns ErrRefused with what it has read if the buffer may not grow. The body itself must
// keep the limit.
func (r *Reader) ReadAll(body io.Reader) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			next := r.nextSize(cap(data))
			if !r.Grow(next) {
				return data, ErrRefused
			}
			former := cap(data)
			data = append(make([]byte, 0, next), data...)
			if former > 0 {
				r.Grow(-former)
			}
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if r.Receive != nil && (r.IsCostly == nil || !r.IsCostly()) {
			r.Receive(n)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// nextSize returns the size of the buffer that follows one of n bytes. A byte more than the body shows its end.
func (r *Reader) nextSize(n int) int {
	if r.Size >= 0 && int64(n) <= r.Size {
		return int(r.Size) + 1
	}
	next := max(firstBytes, 2*n)
	if int64(n) <= r.Limit {
		next = int(min(int64(next), r.Limit+1))
	}
	return next
}
