// Package routematcher tells whether a request may be repeated, by its method or by the routes that a template names.
//
// A route is "METHOD PATH". METHOD is an HTTP method or "*". PATH starts with a slash; in it "*" stands for any
// characters but a slash, "?" for one of them, and a last segment "**" for the rest of the path, such as in
// "POST /searches", "PUT /berths/*" or "* /lookups/**".
package routematcher

import (
	"net/url"
	"path"
	"strings"
)

const rest = "/**"

// safeMethods are repeatable by the definition of HTTP.
var safeMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true}

// Matcher holds the routes of one template.
type Matcher struct {
	// Routes are the routes that may be repeated. One that does not parse matches nothing.
	Routes []string
}

// Repeatable tells whether a request with a method and an escaped path, without its query, may be run again.
func (m Matcher) Repeatable(method, escaped string) bool {
	if safeMethods[method] {
		return true
	}
	if !plain(escaped) {
		return false
	}
	for _, r := range m.Routes {
		if match(r, method, escaped) {
			return true
		}
	}
	return false
}

// plain tells whether a back end can read the path in one way only.
func plain(escaped string) bool {
	p, err := url.PathUnescape(escaped)
	return err == nil && p == escaped && path.Clean(p) == p
}

func match(route, method, p string) bool {
	m, pattern, ok := strings.Cut(route, " ")
	if !ok || !strings.HasPrefix(pattern, "/") || m != "*" && m != method {
		return false
	}
	head, isPrefix := strings.CutSuffix(pattern, rest)
	if !isPrefix {
		ok, err := path.Match(pattern, p)
		return err == nil && ok
	}
	want := strings.Count(head, "/") + 1
	parts := strings.SplitAfterN(p, "/", want+1)
	if len(parts) <= want {
		return false
	}
	got := strings.TrimSuffix(strings.Join(parts[:want], ""), "/")
	ok, err := path.Match(head, got)
	return err == nil && ok
}
