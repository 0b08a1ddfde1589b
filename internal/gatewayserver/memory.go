package gatewayserver

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
)

// socketBuffer is the size of the buffers in the kernel of a connection to a caller or an endpoint. The kernel doubles it,
// and would otherwise let them grow to some megabytes: 166 MB were queued for 300 callers that did not read. They are part
// of bufferlimiter.RequestBytes. At a round-trip time of 6 ms they still allow about 3 MB/s for one response.
const socketBuffer = 16 << 10

// initBuffers bounds what the gateway buffers, if the memory of the host is known.
func (h *Server) initBuffers(registry prometheus.Registerer) {
	limiter := bufferlimiter.New(h.Memory)
	if limiter == nil {
		return
	}
	limiter.OnPressure = h.gateway.HandleMemoryPressure
	h.gateway.Buffers = limiter
	h.gateway.Sender.Dial = (&dialer.Dialer{ConnectTimeout: connectTimeout, Buffer: socketBuffer}).DialContext
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
		_ = tcp.SetWriteBuffer(socketBuffer) // a connection that has ended already fails at its first use
	}
	return conn, nil
}
