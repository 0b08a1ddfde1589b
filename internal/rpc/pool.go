package rpc

import (
	"context"
	"net"
	"sync"
)

// Pool holds one client for each address. The zero value is empty.
type Pool struct {
	// Dial opens the connections. If it is nil, a net.Dialer with dialTimeout does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[string]*Client
}

// Client returns the client for an address.
func (p *Pool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = make(map[string]*Client)
	}
	c, ok := p.clients[address]
	if !ok {
		c = &Client{Address: address, Dial: p.Dial}
		p.clients[address] = c
	}
	return c
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		_ = c.Close()
	}
}
