package estimator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/estimator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func TestInFlightIncludesLocalRequestsSinceTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var e estimator.Estimator
		e.Start("before", false)
		time.Sleep(time.Millisecond)
		e.Report(5, time.Now())
		for i := range 3 {
			time.Sleep(time.Millisecond)
			e.Start(ident.RequestID(fmt.Sprint(i)), false)
		}
		inFlight := e.InFlight(1)
		is.True(inFlight > 7.9 && inFlight <= 8)
	})
}

func TestOldReportCountsLittleDespiteClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const skew = time.Hour
		var e estimator.Estimator
		e.Report(0, time.Now().Add(skew))
		time.Sleep(10 * time.Second)
		e.Report(40, time.Now().Add(skew-5*time.Second))
		is.True(e.ReportAge() > 4900*time.Millisecond)
		is.True(e.ReportAge() < 5100*time.Millisecond)
		is.True(e.InFlight(1) < 4) // a report of 40 that is 5 s old counts for little
	})
}

func TestTimeWithoutFirstTokenGrowsOnlyWithoutFirstTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var e estimator.Estimator
		is.Equal(e.TimeWithoutFirstToken(), time.Duration(0))
		e.Start("a", false)
		e.Start("b", false)
		time.Sleep(time.Second)
		is.Equal(e.TimeWithoutFirstToken(), time.Second)
		e.RecordFirstToken("a")
		is.Equal(e.TimeWithoutFirstToken(), time.Duration(0))
		time.Sleep(time.Second)
		is.Equal(e.TimeWithoutFirstToken(), time.Second)
		is.Equal(len(e.Overdue(time.Second)), 1)
	})
}
