package gatewayserver

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
)

// callerSendBuffer is the send buffer of a connection to a caller. The kernel doubles it, and would otherwise let it grow to
// some megabytes for a caller that does not read. At 6 ms of round-trip time it still allows 10 MB/s.
const callerSendBuffer = 64 << 10

// initBuffers bounds what the gateway buffers, if the memory of the host is known.
func (h *Server) initBuffers(registry prometheus.Registerer) {
	limiter := bufferlimiter.New(h.Memory)
	if limiter == nil {
		return
	}
	limiter.OnPressure = h.gateway.HandleMemoryPressure
	h.gateway.Buffers = limiter
	gateway.RegisterBuffers(registry, limiter)
}

// sendBufferListener bounds the send buffers of the connections that it accepts.
type sendBufferListener struct {
	net.Listener
}

// Accept waits for a connection.
func (l *sendBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSendBuffer) // a connection that has ended already fails at its first use
	}
	return conn, nil
}
