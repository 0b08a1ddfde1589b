// Package eventscanner finds the events in a stream of server-sent events.
package eventscanner

import "bytes"

// FindEnd returns the offset at which the first event in b ends, and the size of the line breaks that terminate it. end
// is negative if the event is incomplete.
func FindEnd(b []byte) (end, size int) {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, len("\r\n\r\n")
	}
	return lf, len("\n\n")
}
