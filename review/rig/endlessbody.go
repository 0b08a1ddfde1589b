package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// runEndlessBody has one server in trouble send bytes that are no answer: a head without the id of the request and the proof
// of the server, and a body without end. It checks that no client gets a success without the proof of a server.
func runEndlessBody(f *fleet, hasTrouble bool) (isBroken bool, err error) {
	frontends, servers, err := f.startBookings()
	if err != nil {
		return false, err
	}
	if hasTrouble {
		servers[0].setTrouble(sendEndlessBody)
	}
	return f.countUnsigned(frontends) > 0, nil
}

// sendEndlessBody writes until the caller closes the connection.
func sendEndlessBody(conn net.Conn) {
	piece := strings.Repeat("x", 16<<10)
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
	for err == nil {
		_, err = io.WriteString(conn, piece)
		time.Sleep(time.Millisecond)
	}
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
