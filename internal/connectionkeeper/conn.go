package connectionkeeper

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
)

const (
	// lingerTime and lingerBytes limit what is read from a caller that is still sending when its connection is closed. A close
	// before that would make the kernel reset the connection, and the caller could lose the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	keeper *Keeper

	mu sync.Mutex
	// isInHead is set until the head of a request is complete, of which headBytes have arrived, the last ones in tail.
	isInHead  bool
	headBytes int
	tail      [3]byte
	// account is charged for the head until its request has ended.
	account *bufferlimiter.Account
	// received is the number of bytes that have arrived.
	received int
	// status is the status with which the connection ends before the request is complete; zero if it does not. isUnread is set
	// when it ends although the caller may still send.
	status   int
	isUnread bool
	// hasEnded is set when the response with status was sent.
	hasEnded bool
	// isInBody is set while the body of a request is not complete.
	isInBody bool
}

// Read reads from the connection. It ends the connection with a status if the head of a request is too large or may not be kept.
func (c *conn) Read(p []byte) (int, error) {
	if status := c.endStatus(); status != 0 {
		return 0, c.finish(status)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.record(p[:n])
	}
	if status := c.endStatus(); status != 0 {
		return 0, c.finish(status)
	}
	return n, err
}

// record counts bytes that have arrived, and charges those of a head.
func (c *conn) record(p []byte) {
	c.mu.Lock()
	c.received += len(p)
	isInHead, isFirst := c.isInHead, c.isInHead && c.headBytes == 0
	c.mu.Unlock()
	if !isInHead {
		return
	}
	if isFirst {
		c.keeper.mu.Lock()
		c.keeper.budget.BeginHead(c)
		c.keeper.mu.Unlock()
		c.openHead()
	}
	limit := c.keeper.maxHeadBytes()
	c.mu.Lock()
	a, before := c.account, c.headBytes
	c.headBytes += len(p)
	isTooLarge := c.headBytes > limit && !c.endsWithin(p, limit-before)
	last := append(c.tail[:len(c.tail):len(c.tail)], p[max(0, len(p)-len(c.tail)):]...)
	copy(c.tail[:], last[len(last)-len(c.tail):])
	c.mu.Unlock()
	switch {
	case isTooLarge:
		c.endWith(http.StatusRequestHeaderFieldsTooLarge)
	case !a.GrowHead(len(p), bytes.Count(p, []byte("\n"))):
		c.endWith(http.StatusServiceUnavailable)
	}
}

// endsWithin reports whether the head ends within the first n bytes of p. What follows it is a body. The head would have been
// complete if it had ended before p.
func (c *conn) endsWithin(p []byte, n int) bool {
	if n <= 0 {
		return false
	}
	text := append(c.tail[:len(c.tail):len(c.tail)], p[:n]...)
	return bytes.Contains(text, []byte("\r\n\r\n")) || bytes.Contains(text, []byte("\n\n"))
}

// openHead opens the account of a head. The limiter calls cutHead under its lock, so that c.mu must not be held here.
func (c *conn) openHead() {
	a := c.keeper.Buffers.OpenHead(c.cutHead)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account = a
}

// cutHead ends the connection because memory is short and the head makes no progress.
func (c *conn) cutHead() {
	go c.endWith(http.StatusServiceUnavailable)
}

// awaitHead records that the request has ended and the head of the next one is awaited.
func (c *conn) awaitHead() {
	c.closeHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInHead, c.headBytes, c.tail = true, 0, [3]byte{}
}

// endHead records that the head is complete, and reports whether the connection has not been ended meanwhile.
func (c *conn) endHead() bool {
	c.mu.Lock()
	c.isInHead = false
	a, ok := c.account, c.status == 0
	c.mu.Unlock()
	a.EndArrival()
	return ok
}

// closeHead releases what the head was charged.
func (c *conn) closeHead() {
	c.mu.Lock()
	a := c.account
	c.account = nil
	c.mu.Unlock()
	a.Close()
}

// endWith ends the connection with a status if a part of a head has arrived, wakes its reader, and reports whether it does.
func (c *conn) endWith(status int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isInHead || c.headBytes == 0 {
		return false
	}
	if c.status == 0 {
		c.status = status
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
	return true
}

func (c *conn) endStatus() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// Write writes to the connection unless it has ended with a status. The server would answer a part of a request line with a
// response of its own.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	hasEnded := c.hasEnded
	c.mu.Unlock()
	if hasEnded {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// finish sends a response without a body, and ends the connection. It returns the error of the read that is in progress.
func (c *conn) finish(status int) error {
	c.mu.Lock()
	isFirst := !c.hasEnded && c.isInHead // else the handler sends the response
	c.hasEnded, c.isUnread = isFirst || c.hasEnded, true
	c.mu.Unlock()
	if isFirst {
		c.keeper.recordEnd(status)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
		// The caller may have gone.
		_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
	}
	return os.ErrDeadlineExceeded
}

// endUnread records that the response is complete and that the rest of the request is not wanted.
func (c *conn) endUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isUnread, c.isInBody = true, false
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the server reads no further
}

// setInBody records whether the body of a request is not complete.
func (c *conn) setInBody(isInBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInBody = isInBody
}

// cutBody ends the read of the body of a request, so that the request is refused, and reports whether there is one.
func (c *conn) cutBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isInBody {
		return false
	}
	c.isUnread = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the read of the body fails
	return true
}

// SetReadDeadline sets the deadline of reads, unless the connection ends.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnread || c.status != 0 {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) receivedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// Close closes the connection and takes it out of the account.
func (c *conn) Close() error {
	c.closeHead()
	c.mu.Lock()
	lingers := c.isUnread
	c.isUnread = false
	c.mu.Unlock()
	if lingers {
		c.linger()
	}
	c.keeper.mu.Lock()
	c.keeper.budget.Remove(c)
	c.keeper.mu.Unlock()
	return c.Conn.Close()
}

// linger tells the caller that nothing more is sent, and reads what it still sends. Only as many connections linger as may be
// refused at a time.
func (c *conn) linger() {
	k := c.keeper
	defer k.lingering.Add(-1)
	if k.lingering.Add(1) > int64(k.budget.Parts.Refused) && k.budget.Parts.Refused > 0 {
		return
	}
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, struct{ io.Reader }{c.Conn}, lingerBytes) // ends with the caller, the time or the size
}
