package crowdtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// BodyBytes is the size of a legal body of a crowd.
	BodyBytes = 1 << 20
	// headers and bodies are the numbers of connections of a crowd that sends heads or bodies.
	headers, bodies = 280, 120
	// longHead is over the limit of a head, and legalHead below it.
	longHead, legalHead = 60 << 10, 15 << 10
	pieceBytes          = 8 << 10
	chunkBytes          = 64 << 10
	// endless is more than any limit allows.
	endless = 16 << 20
	// pieceDelay is the time between two pieces of a body.
	pieceDelay = time.Millisecond
)

// Form is what each connection of a crowd sends.
type Form struct {
	Name        string
	Connections int
	// Send writes to a connection. head is the start of a request.
	Send func(c net.Conn, head string) error
}

// Forms of crowds. Those that are sent without end stop when the connection ends or the crowd does.
var (
	RequestLines = Form{"request lines without end", headers, func(c net.Conn, _ string) error {
		return repeat(c, "GET /", "a", endless)
	}}
	HeaderValues = Form{"header values without end", headers, func(c net.Conn, head string) error {
		return repeat(c, head+"X-Value: ", "a", endless)
	}}
	HeaderFields = Form{"header fields without end", headers, func(c net.Conn, head string) error {
		return repeat(c, head, "X-Field: value\r\n", endless)
	}}
	BlankLines = Form{"blank lines without end", headers, func(c net.Conn, _ string) error {
		return repeat(c, "", "\r\n", endless)
	}}
	LongHeads = Form{"long heads that stay open", headers, func(c net.Conn, head string) error {
		return repeat(c, head, "X-Field: value\r\n", longHead)
	}}
	LegalHeads = Form{"legal heads that stay open", headers, func(c net.Conn, head string) error {
		return repeat(c, head, "X-Field: value\r\n", legalHead)
	}}
	ManyFields = Form{"legal heads of many fields that stay open", headers, func(c net.Conn, head string) error {
		const fields = 1900 // names of three to five bytes
		var text strings.Builder
		for i := range fields {
			fmt.Fprintf(&text, "x%x:\r\n", i)
		}
		return repeat(c, head, text.String(), text.Len())
	}}
	Bodies = Form{"bodies that stop short", bodies, func(c net.Conn, head string) error {
		return repeat(c, withLength(head, BodyBytes), " ", BodyBytes-1)
	}}
	BodiesInPieces = Form{"bodies in pieces that stop short", bodies, func(c net.Conn, head string) error {
		return inPieces(c, withLength(head, BodyBytes), strings.Repeat(" ", pieceBytes), BodyBytes/pieceBytes-1)
	}}
	Chunks = Form{"chunks that stop short", bodies, func(c net.Conn, head string) error {
		return inPieces(c, withChunks(head), chunk(chunkBytes), BodyBytes/chunkBytes-1)
	}}
	LargeChunks = Form{"large chunks that stop short", bodies, func(c net.Conn, head string) error {
		return repeat(c, withChunks(head)+fmt.Sprintf("%x\r\n", BodyBytes), " ", BodyBytes-1)
	}}
	TinyChunks = Form{"chunks of one byte that stop short", bodies, func(c net.Conn, head string) error {
		tiny := chunk(1)
		return repeat(c, withChunks(head), tiny, (BodyBytes-1)*len(tiny))
	}}
	ChunkExtensions = Form{"chunk extensions without end", bodies, func(c net.Conn, head string) error {
		return repeat(c, withChunks(head), "1;extension=0\r\n \r\n", endless)
	}}
	Trailers = Form{"trailers without end", bodies, func(c net.Conn, head string) error {
		return repeat(c, withChunks(head)+chunk(1)+"0\r\n", "X-Trailer: value\r\n", endless)
	}}
	WholeBodies = Form{"whole bodies, one after another", bodies, func(c net.Conn, head string) error {
		go func() { _, _ = io.Copy(io.Discard, c) }() // ends with the connection
		const requests = 8
		for range requests {
			if err := repeat(c, withLength(head, BodyBytes), " ", BodyBytes); err != nil {
				return err
			}
		}
		return nil
	}}
	Pipelines = Form{"requests without a wait for responses", bodies, func(c net.Conn, head string) error {
		return repeat(c, "", withLength(head, 0), endless)
	}}
	SmallBodies = Form{"small bodies that stop short", headers, func(c net.Conn, head string) error {
		const size = 1 << 10
		return repeat(c, withLength(head, size), " ", size-1)
	}}
	// UnreadBodies are small enough to be read on by a server that refuses the request.
	UnreadBodies = Form{"bodies of refused requests that stop short", headers, func(c net.Conn, head string) error {
		const size = 64 << 10
		method, rest, _ := strings.Cut(head, " ")
		_, rest, _ = strings.Cut(rest, " ")
		return repeat(c, withLength(method+" /unknown/path "+rest, size), " ", size-1)
	}}
)

func withLength(head string, n int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n)
}

func withChunks(head string) string {
	return head + "Transfer-Encoding: chunked\r\n\r\n"
}

func chunk(n int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat(" ", n))
}

// repeat writes start and n bytes of a repeated text.
func repeat(w io.Writer, start, text string, n int) error {
	if _, err := io.WriteString(w, start); err != nil {
		return err
	}
	const block = 64 << 10
	for many := strings.Repeat(text, block/len(text)+1); n > 0; n -= len(many) {
		if _, err := io.WriteString(w, many[:min(n, len(many))]); err != nil {
			return err
		}
	}
	return nil
}

// inPieces writes start and n pieces.
func inPieces(w io.Writer, start, piece string, n int) error {
	for p := start; n >= 0; n, p = n-1, piece {
		if _, err := io.WriteString(w, p); err != nil {
			return err
		}
		time.Sleep(pieceDelay)
	}
	return nil
}
