// Package routematcher decides whether a request may be repeated, by its method or by the routes of its template.
//
// A route is "METHOD PATH". METHOD is an HTTP method or "*". PATH starts with a slash; in it "*" matches any sequence
// of characters except slashes, "?" matches one character except a slash, and a last segment "**" matches the rest of
// the path, as in "POST /searches", "PUT /berths/*" or "* /lookups/**".
package routematcher

import (
	"net/url"
	"path"
	"strings"
)

// restSuffix ends a route that matches the rest of the path.
const restSuffix = "/**"

// safeMethods are the methods that HTTP defines as safe; their requests may always be repeated.
var safeMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true}

// Matcher holds the routes of one template.
type Matcher struct {
	// Routes are the routes whose requests may be repeated. An invalid route matches nothing.
	Routes []string
}

// IsRepeatable reports whether a request may be run again. escapedPath is its path without the query, in escaped form.
func (m Matcher) IsRepeatable(method, escapedPath string) bool {
	if safeMethods[method] {
		return true
	}
	if !isCanonical(escapedPath) {
		return false
	}
	for _, r := range m.Routes {
		if matchRoute(r, method, escapedPath) {
			return true
		}
	}
	return false
}

// isCanonical reports whether the path is unescaped and clean, so that all back ends interpret it in the same way.
func isCanonical(escapedPath string) bool {
	unescaped, err := url.PathUnescape(escapedPath)
	return err == nil && unescaped == escapedPath && path.Clean(unescaped) == unescaped
}

// matchRoute reports whether a route matches a method and a canonical path.
func matchRoute(route, method, requestPath string) bool {
	routeMethod, pattern, ok := strings.Cut(route, " ")
	if !ok || !strings.HasPrefix(pattern, "/") || routeMethod != "*" && routeMethod != method {
		return false
	}
	prefixPattern, isPrefix := strings.CutSuffix(pattern, restSuffix)
	if !isPrefix {
		ok, err := path.Match(pattern, requestPath)
		return err == nil && ok
	}
	segments := strings.Count(prefixPattern, "/") + 1
	parts := strings.SplitAfterN(requestPath, "/", segments+1)
	if len(parts) <= segments {
		return false
	}
	prefix := strings.TrimSuffix(strings.Join(parts[:segments], ""), "/")
	ok, err := path.Match(prefixPattern, prefix)
	return err == nil && ok
}
