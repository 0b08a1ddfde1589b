package endverifier

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as the kernel numbers them.
const (
	tcpTimeWait  = 6
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// hasReceivedEnd reports whether the peer's end of the stream has been received after a number of bytes. ok is false if the connection
// is not one of TCP.
func hasReceivedEnd(raw syscall.RawConn, received int64) (isEnded, ok bool) {
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		ok = true
		switch info.State {
		case tcpTimeWait, tcpCloseWait, tcpLastAck, tcpClosing:
			isEnded = true
		default:
			// A reset that followed the end has closed the connection as well. The end counts as one byte.
			isEnded = int64(info.Bytes_received) == received+1
		}
	})
	return isEnded, ok && err == nil
}
