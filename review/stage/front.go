package stage

import (
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/nutmegdock/nutmegdock/platform/standin/backend"
)

// front takes the channels of an engine and passes them on to the stand-in, so that the engine can stop taking new ones while
// it finishes the requests in progress.
type front struct {
	target string
	ln     net.Listener
}

// addFront puts a front before an engine that has not started.
func (s *Stage) addFront(b *backend.Backend) error {
	host, _, err := net.SplitHostPort(b.PublicAddress)
	if err != nil {
		return fmt.Errorf("add a front: %w", err)
	}
	ln, err := net.Listen("tcp4", b.PublicAddress)
	if err != nil {
		return fmt.Errorf("add a front: %w", err)
	}
	b.ListenAddress = net.JoinHostPort(host, strconv.Itoa(innerPort))
	f := &front{target: b.ListenAddress, ln: ln}
	s.fronts[b] = f
	go f.run()
	return nil
}

// StopListening makes an engine take no new channels. Those that are open stay.
func (s *Stage) StopListening(b *backend.Backend) {
	s.Record.Add("%s takes no new channels from now on", b.ID())
	_ = s.fronts[b].ln.Close() // it is open
}

func (f *front) run() {
	for {
		conn, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.pass(conn)
	}
}

func (f *front) pass(conn net.Conn) {
	defer conn.Close()
	server, err := net.Dial("tcp4", f.target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, conn) // ends with either channel
		_ = server.Close()
	}()
	_, _ = io.Copy(conn, server)
}
