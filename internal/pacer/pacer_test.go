package pacer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestPacerLimitsRateOnlyDuringLiveRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		isBusy := false
		p := &Pacer{Rate: MaxTransferBytes, IsBusy: func() bool { return isBusy }}
		elapsed := func() time.Duration {
			start := time.Now()
			for range 11 {
				is.NoErr(p.Wait(context.Background(), MaxTransferBytes))
			}
			return time.Since(start)
		}
		is.Equal(elapsed(), time.Duration(0))
		isBusy = true
		is.Equal(elapsed().Round(time.Second), 10*time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(p.Wait(ctx, MaxTransferBytes) != nil)
	})
}
