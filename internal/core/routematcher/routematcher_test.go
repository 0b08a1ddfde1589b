package routematcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/routematcher"
)

func TestRepeatable(t *testing.T) {
	m := routematcher.Matcher{Routes: []string{"POST /searches", "PUT /berths/*", "* /lookups/**", "POST", "POST searches", "POST /[", "POST /a/*/b/**"}}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/bookings/1", true},
		{"HEAD", "/", true},
		{"OPTIONS", "/x", true},
		{"POST", "/bookings", false},
		{"POST", "/searches", true},
		{"POST", "/searches/1", false},
		{"POST", "/searches/", false},
		{"PUT", "/berths/7", true},
		{"PUT", "/berths/7/8", false},
		{"PUT", "/berths/", false},
		{"POST", "/berths/7", false},
		{"DELETE", "/lookups/a/b", true},
		{"POST", "/lookups", false},
		{"POST", "/lookups/../bookings", false},
		{"POST", "/lookups/%2e%2e/bookings", false},
		{"POST", "/lookups//bookings", false},
		{"POST", "/lookups/a%2Fb", false},
		{"POST", "/a/x/b/c", true},
		{"POST", "/a/x/c/c", false},
		{"get", "/bookings", false},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			is.New(t).Equal(m.IsRepeatable(c.method, c.path), c.want)
		})
	}
}
