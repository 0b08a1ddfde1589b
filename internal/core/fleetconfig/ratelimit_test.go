package fleetconfig_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// statement returns a statement of a request that was sent and answered at the given seconds; a negative rate states no
// limit.
func statement(id uint64, rate ident.Rate, sent, received int) fleetconfig.RateLimit {
	start := time.Unix(1000, 0)
	l := fleetconfig.RateLimit{ID: id, SentAt: start.Add(time.Duration(sent) * time.Second), ReceivedAt: start.Add(time.Duration(received) * time.Second)}
	if rate >= 0 {
		l.IsLimited, l.Rate = true, rate
	}
	return l
}

func TestMergedLimitIsTheLaterOrTheStricter(t *testing.T) {
	const none = -1
	for name, c := range map[string]struct {
		a, b fleetconfig.RateLimit
		want uint64
	}{
		"nothing known":                      {fleetconfig.RateLimit{}, statement(2, 1, 0, 1), 2},
		"later request without a limit":      {statement(1, 1, 0, 1), statement(2, none, 2, 3), 2},
		"response that began before":         {statement(1, 1, 3, 4), statement(2, none, 0, 5), 1},
		"response that was sent before":      {statement(1, none, 0, 9), statement(2, 1, 3, 4), 2},
		"later higher limit":                 {statement(1, 1, 0, 1), statement(2, 5, 2, 3), 2},
		"higher limit at the same time":      {statement(1, 1, 0, 2), statement(2, 5, 1, 3), 1},
		"lower limit at the same time":       {statement(1, 5, 0, 2), statement(2, 0, 1, 3), 2},
		"same limit, answered later":         {statement(1, 1, 0, 2), statement(2, 1, 1, 3), 2},
		"same limit, answered before":        {statement(1, 1, 1, 3), statement(2, 1, 0, 2), 1},
		"the same statement, passed on late": {statement(1, 1, 0, 1), statement(1, 1, 5, 6), 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			merged := c.a.Merge(c.b)
			is.Equal(merged.ID, c.want)
			if c.a.IsKnown() && c.a.ID != c.b.ID {
				is.Equal(c.b.Merge(c.a).ID, c.want) // in any order
			}
		})
	}
}
