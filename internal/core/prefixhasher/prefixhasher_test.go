package prefixhasher_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
)

func TestPrefix(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("You write handover briefings. ", 50)
	p := prefixhasher.Hasher{Organisation: "o", Deployment: "d"}
	is.Equal(p.Prefix("short"), prefixhasher.Prefix(0))
	is.Equal(p.Prefix(long+"a"), p.Prefix(long+"b"))                               // they differ behind the first KiB only
	is.True(p.Prefix("x"+long) != p.Prefix("y"+long))                              // and these at the start
	is.True(p.Prefix(long) != prefixhasher.Hasher{Organisation: "p"}.Prefix(long)) // organisations share nothing
	is.True(p.Prefix(long[:100], long[100:200]) != p.Prefix(long[:90], long[90:200]))
}
