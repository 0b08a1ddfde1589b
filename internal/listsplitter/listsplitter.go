// Package listsplitter splits a JSON list into its elements without decoding them, so that one that cannot be decoded, such as one that is
// nested too deeply for encoding/json, does not hide the others.
package listsplitter

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// SyntaxError reports data that is not a list.
type SyntaxError struct {
	// Offset is the number of bytes before the error.
	Offset int
}

// Error names the offset.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("not a JSON list: error after %d bytes", e.Offset)
}

// Split returns the elements of a list. They need not be valid JSON. It returns a SyntaxError if brackets or strings are not closed.
func Split(data []byte) ([]json.RawMessage, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, &SyntaxError{}
	}
	var out []json.RawMessage
	start, depth, inString := 1, 0, false
	end := func(i int) {
		if element := bytes.TrimSpace(data[start:i]); len(element) > 0 {
			out = append(out, json.RawMessage(element))
		}
		start = i + 1
	}
	for i := 1; i < len(data)-1; i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			end(i)
		}
		if depth < 0 {
			return nil, &SyntaxError{Offset: i}
		}
	}
	if depth != 0 || inString {
		return nil, &SyntaxError{Offset: len(data)}
	}
	end(len(data) - 1)
	return out, nil
}
