package eventscanner

import "bytes"

// Scanner splits a stream of server-sent events, which arrives in pieces, into events. Each byte is looked at once, however
// small the pieces and the lines are.
type Scanner struct {
	buffer []byte
	// start is the offset of the first byte that belongs to no returned event, and scanned that of the first one that a
	// terminator may begin at.
	start, scanned int
}

// Add adds received bytes.
func (s *Scanner) Add(data []byte) {
	if s.start > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.start:])]
		s.start, s.scanned = 0, s.scanned-s.start
	}
	s.buffer = append(s.buffer, data...)
}

// Next returns the next complete event with the line breaks that terminate it, and its size without them; false if there is
// none. The event is valid until the next call of Add.
func (s *Scanner) Next() (ev []byte, size int, ok bool) {
	for i := s.scanned; ; i++ {
		n := bytes.IndexByte(s.buffer[i:], '\n')
		if n < 0 {
			s.scanned = len(s.buffer)
			return nil, 0, false
		}
		i += n
		rest := s.buffer[i+1:]
		end, next := i, 0
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			next = i + len("\n\n")
		case i > s.start && s.buffer[i-1] == '\r' && bytes.HasPrefix(rest, []byte("\r\n")):
			end, next = i-1, i+len("\n\r\n")
		case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
			s.scanned = i // the rest of the terminator may follow
			return nil, 0, false
		default:
			continue
		}
		ev, size = s.buffer[s.start:next], end-s.start
		s.start, s.scanned = next, next
		return ev, size, true
	}
}

// Rest returns the bytes of the incomplete event.
func (s *Scanner) Rest() []byte {
	return s.buffer[s.start:]
}

// Reset discards the incomplete event.
func (s *Scanner) Reset() {
	*s = Scanner{}
}
