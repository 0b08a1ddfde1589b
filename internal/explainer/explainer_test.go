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

func TestTimelineOfQuarantinedRequestHasTheCrashes(t *testing.T) {
	is := is.New(t)
	const log = `{"time":"2026-12-04T02:00:00Z","event":1703,"host":"a","id":"r1","endpoint":"i-1","features":"ab f0"}
{"time":"2026-12-04T02:00:01Z","event":1706,"host":"a","endpoint":"i-1","suspects":"ab cd f0"}
{"time":"2026-12-04T02:00:02Z","event":1706,"host":"b","endpoint":"i-2","suspects":"cd f"}
{"time":"2026-12-04T02:00:03Z","event":1703,"host":"b","id":"r2","endpoint":"i-2","features":"cd f"}
{"time":"2026-12-04T02:00:04Z","event":1707,"host":"b","feature":"f0"}
{"time":"2026-12-04T02:00:05Z","event":1701,"host":"a","id":"r3","reason":"quarantined","feature":"f0"}
{"time":"2026-12-04T02:10:00Z","event":1701,"host":"b","id":"r4","reason":"quarantined","feature":"f0"}
`
	e := &explainer.Explainer{AttemptID: "r4"}
	_, err := e.Read(strings.NewReader(log))
	is.NoErr(err)
	lines, err := e.Timeline()
	is.NoErr(err)
	var got []string
	for _, l := range lines {
		got = append(got, fmt.Sprint(l.Host, l.Event))
	}
	is.Equal(got, []string{"a1703", "a1706", "b1707", "b1701"})
}

func TestRequestWithoutLinesIsNotFound(t *testing.T) {
	is := is.New(t)
	_, err := read(t, "r9").Timeline()
	is.True(errors.Is(err, explainer.ErrNotFound))
}
