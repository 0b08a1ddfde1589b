package dialer

import (
	"errors"
	"syscall"
)

// IsLocal reports whether a connection failed because this host lacks something, such as a descriptor or a port. Such an error
// says nothing about the peer.
func IsLocal(err error) bool {
	for _, local := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
