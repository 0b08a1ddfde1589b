// Package eventscanner finds the events in a stream of server-sent events.
package eventscanner

import "bytes"

// IsComment reports whether an event has only comments and retry intervals, which are no part of a response.
func IsComment(ev []byte) bool {
	for line := range bytes.Lines(ev) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if len(name) > 0 && string(name) != "retry" {
			return false
		}
	}
	return true
}

// HasFields reports whether each line of an event is a comment or a field. An event that fails this is another text, such as
// an HTTP response that an endpoint wrote into its stream.
func HasFields(ev []byte) bool {
	for line := range bytes.Lines(ev) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		if len(line) > 0 && !hasValue && !isStandardField(string(name)) || bytes.ContainsFunc(name, isNoNameRune) {
			return false
		}
	}
	return true
}

// isStandardField reports whether a field may have no value.
func isStandardField(name string) bool {
	switch name {
	case "data", "event", "id", "retry":
		return true
	default:
		return false
	}
}

func isNoNameRune(r rune) bool {
	return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
}
