package explain_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/explain"
)

// Guards against changes of the output that operators read, and against a key in the address.
func TestExplainRequestPrintsTheDecision(t *testing.T) {
	is := is.New(t)
	body, err := os.ReadFile("../../../internal/gateway/testdata/explanation.golden")
	is.NoErr(err)
	var queries []url.Values
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, messages.ExplainPath)
		is.Equal(r.Header.Get("Authorization"), "Bearer k")
		queries = append(queries, r.URL.Query())
		_, _ = w.Write(body)
	}))
	defer server.Close()
	var out bytes.Buffer
	f := &factory.Factory{Out: &out, IsTerminal: true}
	args := explain.Args{Name: "api.example/v1/chat", Request: true, GatewayURL: server.URL + "/", Key: "k", Model: "m", Tokens: 900, Prefix: []string{"part"}}
	is.NoErr(explain.Command(f, args)(context.Background()))
	want, err := os.ReadFile("testdata/request.golden")
	is.NoErr(err)
	is.Equal(out.String(), string(want))
	is.Equal(queries, []url.Values{{"host": {"api.example"}, "path": {"/v1/chat"}, "model": {"m"}, "tokens": {"900"}, "prefix": {"part"}}})
}

// Guards against an error of the server or of the arguments that is taken for a decision.
func TestExplainRequestReportsErrors(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	for _, args := range []explain.Args{
		{Name: "api.example/v1", Request: true, GatewayURL: server.URL},
		{Name: "api.example/v1", Request: true},
		{Name: "api.example", Request: true, GatewayURL: server.URL},
	} {
		var out bytes.Buffer
		is.True(explain.Command(&factory.Factory{Out: &out}, args)(context.Background()) != nil)
		is.Equal(out.Len(), 0)
	}
}
