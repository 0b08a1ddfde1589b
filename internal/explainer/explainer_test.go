package explainer_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/explainer"
)

func read(t *testing.T, id string) *explainer.Explainer {
	is := is.New(t)
	f, err := os.Open("testdata/day.log")
	is.NoErr(err)
	defer f.Close()
	e := &explainer.Explainer{AttemptID: id}
	n, err := e.Read(f)
	is.NoErr(err)
	is.Equal(n, 8)
	return e
}

func TestTimelineHasLinesOfRequestHostAndEndpoints(t *testing.T) {
	is := is.New(t)
	lines, err := read(t, "r1").Timeline()
	is.NoErr(err)
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%s %s %d %s\n", l.Time.Format("15:04:05.000"), l.Host, l.Event, l.FieldList())
	}
	want, err := os.ReadFile("testdata/r1.golden")
	is.NoErr(err)
	is.Equal(b.String(), string(want))
}

func TestRequestWithoutLinesIsNotFound(t *testing.T) {
	is := is.New(t)
	_, err := read(t, "r9").Timeline()
	is.True(errors.Is(err, explainer.ErrNotFound))
}
