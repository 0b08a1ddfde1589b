package capacity

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const samplePoints = `{"role":"entry","load":"idle","endpoints":10,"cpu":0.01,"memory":20971520,"control":1000}
{"role":"entry","load":"idle","endpoints":20,"cpu":0.01,"memory":31457280,"control":2000}
{"role":"endpoint","load":"idle","endpoints":10,"cpu":0.01,"memory":20971520,"control":1000}
{"role":"endpoint","load":"idle","endpoints":20,"cpu":0.01,"memory":20971520,"control":1000}
{"role":"entry","load":"loaded","endpoints":10,"cpu":0.11,"memory":20971520,"control":1000,"tokens":1000}
`

func TestTableMarksQuantitiesOverTheirLimit(t *testing.T) {
	is := is.New(t)
	points, err := ReadPoints(strings.NewReader(samplePoints))
	is.NoErr(err)
	table, err := DaemonTable(points)
	is.NoErr(err)
	is.True(strings.Contains(table, "| entry | control traffic, KB/s | 1.0 | 2.0 | 0.0 | 10.00 | 11.3 | 9.0 | **no** |"))
	is.True(strings.Contains(table, "| endpoint | control traffic, KB/s | 1.0 | 1.0 | 1.0 | 0.00 | 1.0 | 9.0 | yes |"))
}

func TestTokenCostExcludesTheIdleUsage(t *testing.T) {
	is := is.New(t)
	points, err := ReadPoints(strings.NewReader(samplePoints))
	is.NoErr(err)
	cost, err := CPUSecondsPerToken(points)
	is.NoErr(err)
	is.True(cost > 0.99e-4 && cost < 1.01e-4) // 0.1 of a core for 1,000 tokens per second
}
