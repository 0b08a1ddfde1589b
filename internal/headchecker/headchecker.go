// Package headchecker checks the heads and the trailers of HTTP/1 responses, before anything acts on them.
//
// The client of net/http is more lenient than RFC 9110 and RFC 9112: it accepts any three digits as a status and any digits as
// a version, and blanks in the names of fields, which then are other fields than the server meant.
package headchecker

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Part is the part of a response that is not valid. Its value is a short, stable word.
type Part string

// Parts of a response.
const (
	Version Part = "version"
	Status  Part = "status"  // not 100 to 599, or 101, which no client here asks for
	Reason  Part = "reason"  // the text after the status
	Line    Part = "line"    // a line of the head that is no field, or ends in another way than the status line
	Name    Part = "name"    // the name of a field
	Value   Part = "value"   // the value of a field
	Framing Part = "framing" // the length or the encoding of the body, or an informational response with a body
	Trailer Part = "trailer" // a field after the last chunk
	Order   Part = "order"   // the response arrived before its request was sent
)

const digits = "0123456789"

// maxErrorText limits what an error quotes of the response.
const maxErrorText = 64

// Error reports a response that is broken. Its request may have run.
type Error struct {
	Part Part
	// Text is what is not valid.
	Text string
}

// Error names the part and quotes its start.
func (e *Error) Error() string {
	return fmt.Sprintf("response has an invalid %s: %q", e.Part, e.Text[:min(len(e.Text), maxErrorText)])
}

// RefusalFunc is told of each response that is refused, with the address that it came from. It may be nil.
type RefusalFunc func(address string, err *Error)

// Report calls the function if err is an *Error, and returns err.
func (f RefusalFunc) Report(address string, err error) error {
	var headErr *Error
	if f != nil && errors.As(err, &headErr) {
		f(address, headErr)
	}
	return err
}

// Checker checks one head, line by line. The zero value is ready for use.
type Checker struct {
	// newline ends the status line, and must end all others; empty before the status line.
	newline string
	status  int
	isOld   bool
	// hasField is set after the first field, and value is where the value of the last field is kept; nil if it is not.
	hasField bool
	value    *string
	// lengths and encodings are the values of the fields that frame the body.
	lengths, encodings []string
}

// IsInformational reports whether the head is that of an informational response, which another response follows. It is valid
// after the status line.
func (c *Checker) IsInformational() bool {
	return c.status < http.StatusOK
}

// Check checks the next line, which includes its line feed. It reports whether the line ends the head. Its error is an *Error.
func (c *Checker) Check(line []byte) (isEnd bool, err error) {
	text := string(line)
	if c.newline == "" {
		if c.newline = "\r\n"; !strings.HasSuffix(text, c.newline) {
			c.newline = "\n"
		}
		return false, c.checkStatusLine(strings.TrimSuffix(text, c.newline))
	}
	text, ok := strings.CutSuffix(text, c.newline)
	switch {
	case !ok:
		return false, &Error{Line, text}
	case text == "":
		return true, c.checkFraming()
	case text[0] == ' ' || text[0] == '\t':
		return false, c.checkFolded(text)
	default:
		return false, c.checkField(text)
	}
}

// checkStatusLine checks the line without its end. A server that sends no reason may leave out the blank before it.
func (c *Checker) checkStatusLine(text string) error {
	version, rest, _ := strings.Cut(text, " ")
	status, reason, _ := strings.Cut(rest, " ")
	switch {
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return &Error{Version, version}
	case !isStatus(status):
		return &Error{Status, status}
	case !httpguts.ValidHeaderFieldValue(reason):
		return &Error{Reason, reason}
	}
	c.isOld = version == "HTTP/1.0"
	for _, digit := range status {
		c.status = 10*c.status + int(digit-'0')
	}
	if c.status == http.StatusSwitchingProtocols {
		return &Error{Status, status}
	}
	return nil
}

// isStatus reports whether text is a number from 100 to 599.
func isStatus(text string) bool {
	return len(text) == 3 && '1' <= text[0] && text[0] <= '5' && strings.Trim(text, digits) == ""
}

func (c *Checker) checkField(text string) error {
	name, value, ok := strings.Cut(text, ":")
	switch {
	case !ok:
		return &Error{Line, text}
	case !httpguts.ValidHeaderFieldName(name):
		return &Error{Name, name}
	}
	c.hasField, c.value = true, nil
	switch {
	case strings.EqualFold(name, "Content-Length"):
		c.lengths, c.value = addValue(c.lengths)
	case strings.EqualFold(name, "Transfer-Encoding"):
		c.encodings, c.value = addValue(c.encodings)
	}
	return c.checkValue(value)
}

// addValue appends an empty value, and returns its place.
func addValue(values []string) ([]string, *string) {
	values = append(values, "")
	return values, &values[len(values)-1]
}

// checkFolded checks a line that continues the value of the field before it.
func (c *Checker) checkFolded(text string) error {
	if !c.hasField {
		return &Error{Line, text}
	}
	return c.checkValue(text)
}

func (c *Checker) checkValue(text string) error {
	if !httpguts.ValidHeaderFieldValue(text) {
		return &Error{Value, text}
	}
	if c.value != nil {
		*c.value = strings.TrimSpace(*c.value + " " + text)
	}
	return nil
}

// checkFraming checks that the end of the body is unambiguous. A body that an informational response announces would be taken
// for the next response, and clients ignore the encoding of a response of HTTP/1.0.
func (c *Checker) checkFraming() error {
	for _, length := range c.lengths {
		if length == "" || strings.Trim(length, digits) != "" || length != c.lengths[0] {
			return &Error{Framing, "Content-Length: " + strings.Join(c.lengths, "; ")}
		}
	}
	isChunked := len(c.encodings) == 1 && strings.EqualFold(c.encodings[0], "chunked") && !c.isOld
	if len(c.encodings) > 0 && !isChunked {
		return &Error{Framing, "Transfer-Encoding: " + strings.Join(c.encodings, "; ")}
	}
	if c.IsInformational() && (isChunked || len(c.lengths) > 0 && strings.Trim(c.lengths[0], "0") != "") {
		return &Error{Framing, fmt.Sprintf("body of status %d", c.status)}
	}
	return nil
}

// CheckEnd checks the trailer of a response, whose body has been read and ended with err. It returns an *Error if the trailer is
// not valid, and err otherwise.
func CheckEnd(trailer http.Header, err error) error {
	var protocolErr textproto.ProtocolError
	if errors.As(err, &protocolErr) {
		return &Error{Trailer, string(protocolErr)}
	}
	for name, values := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Trailer, name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &Error{Trailer, value}
			}
		}
	}
	return err
}
