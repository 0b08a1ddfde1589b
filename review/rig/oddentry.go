package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

// runOddEntry has another writer put an entry among those of the servers that lacks fields. It checks that no client gets a
// success without the proof of a server.
func runOddEntry(f *fleet, hasTrouble bool) (isBroken bool, err error) {
	frontends, _, err := f.startBookings()
	if err != nil {
		return false, err
	}
	if hasTrouble {
		text := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"State":"ready"}`, bookingsService, frontends[0].ip+":"+readinessPort, zones[0])
		f.store.PutRecord(wirenames.TopicEndpoints, "odd", []byte(text))
		f.record.add("another writer puts the entry %q: %s", "odd", text)
	}
	time.Sleep(2 * time.Second)
	return f.countUnsigned(frontends) > 0, nil
}

// startBookings starts a plain service with one server in each zone, and the entry hosts.
func (f *fleet) startBookings() ([]*process, []*server, error) {
	if err := f.putConfig(newConfig([]route{plainRoute("r-read", "/read/", "idempotent", bookingsService)}, plainService(bookingsService))); err != nil {
		return nil, nil, err
	}
	servers, err := f.startServers(bookingsService, kindBookings)
	if err != nil {
		return nil, nil, err
	}
	frontends, err := f.startFrontends()
	return frontends, servers, err
}

// countUnsigned sends requests to all entry hosts and returns the number of successes without the proof of a server.
func (f *fleet) countUnsigned(frontends []*process) int {
	const requestsPerHost = 30
	unsigned := 0
	for _, p := range frontends {
		c := newClient(p, f.record)
		for range requestsPerHost {
			if c.send(http.MethodGet, "/read/1", "", plainTimeout).isUnsigned() {
				unsigned++
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.record.conclude("%d of %d requests got a success without a signature", unsigned, requestsPerHost*len(frontends))
	return unsigned
}
