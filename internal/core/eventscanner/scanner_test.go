package eventscanner_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/eventscanner"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// firstEnd returns where the first event ends, by a search of all bytes.
func firstEnd(b []byte) (end, size int) {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, 4
	}
	return lf, 2
}

// The events must be the same in whatever pieces the bytes arrive.
func TestStateEventsDoNotDependOnPieces(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "\n", "\r", "\r\n", "\n\n", "\r\n\r\n"}), 0, 40).Draw(rt, "text"), ""))
		var s eventscanner.Scanner
		rest := text
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(rt, "piece")
			s.Add(text[:n])
			text = text[n:]
			for ev, size, ok := s.Next(); ok; ev, size, ok = s.Next() {
				end, terminator := firstEnd(rest)
				if end < 0 || size != end || !bytes.Equal(ev, rest[:end+terminator]) {
					rt.Fatalf("event %q of size %d in %q", ev, size, rest)
				}
				rest = rest[end+terminator:]
			}
			if consumed := rest[:len(rest)-len(text)]; !bytes.Equal(s.Rest(), consumed) {
				rt.Fatalf("rest %q, want %q", s.Rest(), consumed)
			}
		}
		if end, _ := firstEnd(rest); end >= 0 {
			rt.Fatalf("event in %q not found", rest)
		}
	})
}

// Guards against a search that looks at the whole buffer again for each piece: bytes without end held up the host for 0.1 s.
func TestScanIsLinear(t *testing.T) {
	const piece, factor = 4 << 10, 16
	for name, unit := range map[string]string{"one line": "x", "short lines": "a:\n", "blank lines": "\n", "comments": ": x\n\n", "carriage returns": "\r", "line breaks": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			took := func(size int) time.Duration {
				shortest := time.Hour
				for range 3 {
					var s eventscanner.Scanner
					startTime := time.Now()
					for range size / piece {
						s.Add([]byte(strings.Repeat(unit, piece/len(unit))))
						for ok := true; ok; {
							_, _, ok = s.Next()
						}
					}
					shortest = min(shortest, time.Since(startTime))
				}
				return shortest
			}
			small, large := took(256<<10), took(factor*256<<10)
			t.Logf("%s and %s", small, large)
			// A search from the start each time takes the square of the factor.
			is.New(t).True(large < factor*factor/3*max(small, 100*time.Microsecond))
		})
	}
}
