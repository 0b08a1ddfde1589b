package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// countUnsigned sends requests to all entry hosts at once for noiseTime and returns the number of successes without the proof
// of a server.
func (f *fleet) countUnsigned(frontends []*process) int {
	const noiseTime = 8 * time.Second
	var unsigned, sent atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(noiseTime)
	for _, p := range frontends {
		clients.Go(func() {
			for c := newClient(p, f.record); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				sent.Add(1)
				if c.send(http.MethodGet, "/read/1", "", plainTimeout).isUnsigned() {
					unsigned.Add(1)
				}
			}
		})
	}
	clients.Wait()
	f.record.conclude("%d of %d requests got a success without a signature", unsigned.Load(), sent.Load())
	return int(unsigned.Load())
}
