package main

import (
	"io"
	"net"
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
