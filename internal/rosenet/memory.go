package rosenet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

// memoryListener accepts connections from within the process.
type memoryListener struct {
	network   *Network
	address   string
	incoming  chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

func (n *Network) listenInMemory(host Host, address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		address = host.Name + ":" + strconv.Itoa(len(n.hosts)+1)
	}
	listener := &memoryListener{
		network:  n,
		address:  address,
		incoming: make(chan net.Conn),
		done:     make(chan struct{}),
	}
	n.hosts[address] = host
	n.listeners[address] = listener
	return listener
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.incoming <- serverConn:
		return clientConn, nil
	case <-l.done:
		return nil, trace.ConnectionProblem(syscall.ECONNREFUSED, "connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next incoming connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address to pass to Dial.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }
