package attributor_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/attributor"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func TestCheck(t *testing.T) {
	own, other := []ident.RequestID{"a"}, []ident.RequestID{"b"}
	for name, c := range map[string]struct {
		origin attributor.Origin
		id     ident.RequestID
		want   attributor.Reason
	}{
		"signed success":                 {attributor.Origin{Status: 200, IDs: own, Signed: true}, "a", ""},
		"success without signature":      {attributor.Origin{Status: 200, IDs: own}, "a", attributor.NotSigned},
		"another success without it":     {attributor.Origin{Status: 299, IDs: own}, "a", attributor.NotSigned},
		"neither id nor signature":       {attributor.Origin{Status: 200}, "a", attributor.NoID},
		"signed success without an id":   {attributor.Origin{Status: 200, Signed: true}, "a", attributor.NoID},
		"success to another request":     {attributor.Origin{Status: 200, IDs: other, Signed: true}, "a", attributor.OtherRequest},
		"several ids":                    {attributor.Origin{Status: 200, IDs: append(own, other...), Signed: true}, "a", attributor.ManyIDs},
		"the same id twice":              {attributor.Origin{Status: 200, IDs: append(own, own...), Signed: true}, "a", attributor.ManyIDs},
		"encoded success":                {attributor.Origin{Status: 200, IDs: own, Signed: true, IsEncoded: true}, "a", attributor.Encoded},
		"failure":                        {attributor.Origin{Status: 500, IDs: own}, "a", ""},
		"redirection":                    {attributor.Origin{Status: 302, IDs: own}, "a", ""},
		"failure without an id":          {attributor.Origin{Status: 404}, "a", attributor.NoID},
		"encoded failure":                {attributor.Origin{Status: 500, IDs: own, IsEncoded: true}, "a", attributor.Encoded},
		"refusal":                        {attributor.Origin{Status: 503, IDs: own, NotRun: true}, "a", ""},
		"refusal without an id":          {attributor.Origin{Status: 400, NotRun: true}, "a", ""},
		"refusal of another request":     {attributor.Origin{Status: 503, IDs: other, NotRun: true}, "a", attributor.OtherRequest},
		"refusal of several requests":    {attributor.Origin{Status: 503, IDs: append(own, other...), NotRun: true}, "a", attributor.ManyIDs},
		"status 503 without a word":      {attributor.Origin{Status: 503}, "a", attributor.NoID},
		"request without an id":          {attributor.Origin{Status: 200, Signed: true}, "", ""},
		"its response without signature": {attributor.Origin{Status: 200}, "", attributor.NotSigned},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := attributor.Check(c.origin, c.id)
			var e *attributor.Error
			is.Equal(errors.As(err, &e), c.want != "")
			is.True(e == nil || e.Reason == c.want)
		})
	}
}
