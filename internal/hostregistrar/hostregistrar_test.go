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

var discardLogger = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

func TestWriteIsRetriedUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		values := make(map[string][]byte)
		attempts := 0
		registrar := &hostregistrar.Registrar{
			Entry: hostregistrar.Entry{Zone: "z", Address: netip.MustParseAddrPort("10.1.0.4:7700")}, Logger: discardLogger,
			Put: func(ctx context.Context, key string, value []byte) error {
				attempts++
				if attempts == 1 {
					<-ctx.Done() // a store that does not respond
					return ctx.Err()
				}
				if attempts < 4 {
					return errors.New("busy")
				}
				values[key] = value
				return nil
			},
		}
		startedAt := time.Now()
		is.NoErr(registrar.Run(context.Background()))
		is.True(time.Since(startedAt) < 5*time.Second)
		values["entry/x"] = []byte("{")
		values["entry/y"] = nil
		values["other/z"] = []byte("{}")
		got := hostregistrar.ParseEntries(values, discardLogger)
		is.Equal(got, []hostregistrar.Entry{registrar.Entry})
		is.Equal(got[0].Host(), ident.Host("10.1.0.4"))
	})
}

// The store has been restored from an older copy, which lacks the entry although its write was acknowledged.
func TestEntryIsWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		restored, writes := make(chan struct{}), make(chan string, 10)
		ctx, cancel := context.WithCancel(context.Background())
		registrar := &hostregistrar.Registrar{
			Entry: hostregistrar.Entry{Zone: "z", Address: netip.MustParseAddrPort("10.1.0.4:7700")}, Logger: discardLogger, Restored: restored,
			Put: func(_ context.Context, key string, _ []byte) error {
				writes <- key
				return nil
			},
		}
		done := make(chan error, 1)
		go func() { done <- registrar.Run(ctx) }()
		time.Sleep(time.Minute)
		is.Equal(len(writes), 1)
		restored <- struct{}{}
		time.Sleep(time.Second)
		is.Equal(len(writes), 2)
		cancel()
		is.NoErr(<-done)
	})
}
