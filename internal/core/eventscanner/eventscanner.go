// Package eventscanner finds the events of a stream of server-sent events.
package eventscanner

import "bytes"

// End returns where the first event ends, and the size of the blank line after it; the first result is below zero if the
// event is not whole.
func End(b []byte) (end, size int) {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, len("\r\n\r\n")
	}
	return lf, len("\n\n")
}
