// Package headreader reads responses from a connection, and withholds each head until it is complete and valid.
package headreader

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/nutmegdock/nutmegdock/internal/headchecker"
)

const (
	// MaxHeadBytes limits one head with its status line.
	MaxHeadBytes = 64 << 10
	// waitBytes is as much as a typical head has.
	waitBytes = 1 << 10
)

// SizeError reports a head that exceeds the maximum size.
type SizeError struct {
	// Limit is the maximum size in bytes.
	Limit int
}

// Error names the maximum size.
func (e *SizeError) Error() string {
	return fmt.Sprintf("response header exceeds %d bytes", e.Limit)
}

// Reader reads from a connection. Expect, FinalHeads and Refusal may be called by any goroutine. Set its fields before use.
type Reader struct {
	// Source is the connection.
	Source io.Reader

	// expecting is set until the head of a final response has been found to be valid.
	expecting  atomic.Bool
	finalHeads atomic.Int64
	checker    headchecker.Checker
	// held are bytes that have been read and not passed on. The first free ones may be passed on, the first checked ones are
	// lines that have been checked, and the first searched ones hold no further line feed.
	held                    []byte
	free, checked, searched int
	// sourceErr is the error that ended the source, and err the one that ends the reader.
	sourceErr, err error

	mu      sync.Mutex
	refusal error
}

// Expect makes the next bytes those of a head. No byte may be left of the response before it.
func (r *Reader) Expect() {
	r.expecting.Store(true)
}

// Unread puts back bytes that have been read. They come before all others.
func (r *Reader) Unread(p []byte) {
	r.held = append(bytes.Clone(p), r.held...)
	r.free, r.checked, r.searched = 0, 0, 0
}

// FinalHeads returns the number of heads of final responses that have been found to be valid.
func (r *Reader) FinalHeads() int64 {
	return r.finalHeads.Load()
}

// Refusal returns the reason for which a head has been refused: a *headchecker.Error or a *SizeError, or nil.
func (r *Reader) Refusal() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusal
}

// Wait waits for the first byte of a head.
func (r *Reader) Wait() error {
	if len(r.held) == 0 && r.sourceErr == nil {
		r.held = make([]byte, waitBytes)
		var n int
		n, r.sourceErr = r.Source.Read(r.held)
		r.held = r.held[:n]
	}
	if len(r.held) == 0 {
		return r.sourceErr
	}
	return nil
}

// Read reads the next bytes. Those of the head of an informational response are returned without any that follow it.
func (r *Reader) Read(p []byte) (int, error) {
	for r.free == 0 && r.err == nil {
		isExpecting := r.expecting.Load()
		if isExpecting {
			r.check()
		} else {
			r.free = len(r.held)
		}
		if r.free == 0 && r.err == nil && r.sourceErr != nil {
			// An incomplete head is passed on, so that it is not taken for a connection without a response.
			r.err, r.free = r.sourceErr, len(r.held)
		}
		if r.free > 0 || r.err != nil {
			break
		}
		n, err := r.Source.Read(p)
		if !isExpecting && !r.expecting.Load() {
			return n, err
		}
		r.held, r.sourceErr = append(r.held, p[:n]...), err
	}
	if r.free == 0 {
		return 0, r.err
	}
	n := copy(p, r.held[:r.free])
	if r.held, r.free = r.held[n:], r.free-n; len(r.held) == 0 {
		r.held = nil
	}
	return n, nil
}

// check checks the lines that are complete, up to the end of a head.
func (r *Reader) check() {
	for {
		i := bytes.IndexByte(r.held[r.searched:], '\n')
		if i < 0 {
			if r.searched = len(r.held); r.searched >= MaxHeadBytes {
				r.refuse(&SizeError{Limit: MaxHeadBytes})
			}
			return
		}
		end := r.searched + i + 1
		isEnd, err := r.checker.Check(r.held[r.checked:end])
		r.checked, r.searched = end, end
		switch {
		case err != nil:
			r.refuse(err)
			return
		case end > MaxHeadBytes:
			r.refuse(&SizeError{Limit: MaxHeadBytes})
			return
		case isEnd:
			r.pass(end)
			return
		}
	}
}

// pass passes on a head that has been checked, with what follows the last one.
func (r *Reader) pass(end int) {
	r.free = end
	if !r.checker.IsInformational() {
		r.free = len(r.held)
		r.finalHeads.Add(1)
		r.expecting.Store(false)
	}
	r.checker, r.checked, r.searched = headchecker.Checker{}, 0, 0
}

// refuse ends the reader. The first byte of the head is passed on: it shows net/http that the server has responded, which would
// otherwise send some requests again.
func (r *Reader) refuse(err error) {
	r.held, r.free, r.err = r.held[:1], 1, err
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusal = err
}
