// Package authorizer decides what an operator's token may do.
package authorizer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

const bearerPrefix = "Bearer "

// Role is what a token may do: read, or also change the configuration.
type Role string

// Roles of tokens.
const (
	Reader   Role = "reader"
	Operator Role = "operator"
)

// Token is an operator's access token.
type Token struct {
	// Name is the author of the changes made with the token.
	Name ident.Author `json:"name"`
	Role Role         `json:"role"`
	// SecretDigest is the SHA-256 sum of the secret.
	SecretDigest ident.Digest `json:"digest"`
	// Organisations are those whose objects the token may change. None means all objects, templates included.
	Organisations []ident.Organisation `json:"organisations,omitempty"`
}

// RefusalError reports that a request or change was refused.
type RefusalError struct {
	// Status is the HTTP status that fits the refusal.
	Status int
	// Name is the token's name, if the token is known.
	Name ident.Author
	Text string
}

// Error returns the text.
func (e *RefusalError) Error() string {
	return e.Text
}

// Authorizer checks requests against the known tokens. Set its fields before use.
type Authorizer struct {
	Tokens []Token
}

// LoadTokens reads the tokens from a JSON file.
func LoadTokens(path string) (*Authorizer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tokens file: %w", err)
	}
	var tokens []Token
	if err := json.Unmarshal(data, &tokens); err != nil {
		return nil, fmt.Errorf("decode tokens file %s: %w", path, err)
	}
	for i, t := range tokens {
		if t.Name == "" || len(t.SecretDigest) != 64 || (t.Role != Reader && t.Role != Operator) {
			return nil, fmt.Errorf("tokens file %s: entry %d needs name, role (reader or operator) and digest (SHA-256 in hexadecimal)", path, i)
		}
	}
	return &Authorizer{Tokens: tokens}, nil
}

// Authorize returns the token of a request, if it has at least the given role.
func (a *Authorizer) Authorize(r *http.Request, role Role) (Token, error) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || secret == "" {
		return Token{}, &RefusalError{Status: http.StatusUnauthorized, Text: "no token; send Authorization: Bearer TOKEN"}
	}
	digest := manifest.DigestOf([]byte(secret))
	i := slices.IndexFunc(a.Tokens, func(t Token) bool { return t.SecretDigest == digest })
	if i < 0 {
		return Token{}, &RefusalError{Status: http.StatusUnauthorized, Text: "token is not known; ask for a valid one"}
	}
	t := a.Tokens[i]
	if role == Operator && t.Role != Operator {
		return Token{}, &RefusalError{Status: http.StatusForbidden, Name: t.Name, Text: fmt.Sprintf("token %q may only read", t.Name)}
	}
	return t, nil
}

// MayChange returns an error unless the token may change the object.
func (t Token) MayChange(o ident.ObjectPath) error {
	if len(t.Organisations) == 0 {
		return nil
	}
	for _, org := range t.Organisations {
		if strings.HasPrefix(string(o), string(ident.DeploymentObject(org, ""))) {
			return nil
		}
	}
	return &RefusalError{Status: http.StatusForbidden, Name: t.Name, Text: fmt.Sprintf("token %q may not change %s", t.Name, o)}
}
