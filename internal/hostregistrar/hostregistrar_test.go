package hostregistrar_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
)

var quiet = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

func TestEntryIsWrittenUntilItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		values := make(map[string][]byte)
		tries := 0
		e := &hostregistrar.Registrar{
			Self: hostregistrar.Entry{Zone: "z", Address: netip.MustParseAddrPort("10.1.0.4:7700")}, Logger: quiet,
			Put: func(ctx context.Context, key string, value []byte) error {
				tries++
				if tries == 1 {
					<-ctx.Done() // a store that is silent
					return ctx.Err()
				}
				if tries < 4 {
					return errors.New("busy")
				}
				values[key] = value
				return nil
			},
		}
		begun := time.Now()
		is.NoErr(e.Run(context.Background()))
		is.True(time.Since(begun) < 5*time.Second)
		values["entry/x"] = []byte("{")
		values["entry/y"] = nil
		values["other/z"] = []byte("{}")
		got := hostregistrar.Parse(values, quiet)
		is.Equal(got, []hostregistrar.Entry{e.Self})
		is.Equal(got[0].Host(), ident.Host("10.1.0.4"))
	})
}
