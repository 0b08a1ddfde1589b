package main

import (
	"fmt"
	"net/http"
	"time"
)

// runEncodedPath has a server lose answers to requests that are not idempotent. Their paths have an encoded slash where the
// prefix of an idempotent route has a slash, so that this prefix does not begin them. It checks that none runs twice.
func runEncodedPath(f *fleet, hasTrouble bool) (isBroken bool, err error) {
	const (
		prefix             = "/book/"
		lossTime, interval = 4 * time.Second, 50 * time.Millisecond
	)
	c := newConfig([]route{
		plainRoute("r-book", prefix, "non_idempotent", bookingsService), plainRoute("r-status", prefix+"status/", "idempotent", bookingsService),
	}, plainService(bookingsService))
	if err := f.putConfig(c); err != nil {
		return false, err
	}
	servers, err := f.startServers(bookingsService, kindBookings)
	if err != nil {
		return false, err
	}
	frontends, err := f.startFrontends()
	if err != nil {
		return false, err
	}
	servers[0].setLosesAnswers(hasTrouble)
	caller := newClient(frontends[0], f.record)
	sent, twice := 0, 0
	for end := time.Now().Add(lossTime); time.Now().Before(end); time.Sleep(interval) {
		a := caller.send(http.MethodPost, fmt.Sprintf("%sstatus%%2f%d", prefix, sent), "gate", plainTimeout)
		sent++
		runs := 0
		for _, s := range servers {
			runs += s.runsOf(a.id)
		}
		if runs > 1 {
			f.record.add("request %s has run %d times", a.id, runs)
			twice++
		}
	}
	f.record.conclude("%d of %d requests that are not idempotent ran more than once", twice, sent)
	return twice > 0, nil
}
