package prefixhasher_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
)

func TestPrefixDependsOnStartOfPromptOnly(t *testing.T) {
	is := is.New(t)
	longPrompt := strings.Repeat("You write handover briefings. ", 50)
	p := prefixhasher.Hasher{Organisation: "o", Deployment: "d"}
	is.Equal(p.Prefix("short"), prefixhasher.Prefix(0))
	is.Equal(p.Prefix(longPrompt+"a"), p.Prefix(longPrompt+"b"))                               // the prompts differ after the first KiB
	is.True(p.Prefix("x"+longPrompt) != p.Prefix("y"+longPrompt))                              // the prompts differ at the start
	is.True(p.Prefix(longPrompt) != prefixhasher.Hasher{Organisation: "p"}.Prefix(longPrompt)) // the organisations differ
	is.True(p.Prefix(longPrompt[:100], longPrompt[100:200]) != p.Prefix(longPrompt[:90], longPrompt[90:200]))
}
