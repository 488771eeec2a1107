// Package rosenet simulates a network for the demo, the load tool and the tests.
// Its streams have a one-way delay and can be blocked, unblocked or stalled. It
// runs over loopback TCP, or in memory so that it works with the fake clock of
// testing/synctest.
package rosenet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// Host is a named machine in an availability zone.
type Host struct {
	Name string
	Zone string
}

// Config configures a Network.
type Config struct {
	// Delay returns the one-way delay between two hosts. Nil means no delay.
	Delay func(from, to Host) time.Duration
	// InMemory keeps streams within the process, without sockets.
	InMemory bool
	// Bandwidth returns the bytes per second that a host can send, and receive, on all of its
	// streams together; zero for no limit. Nil means no limits.
	Bandwidth func(Host) int
}

// Network connects hosts. Its methods may be called concurrently.
type Network struct {
	config Config
	// ctx is canceled by Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is closed and replaced whenever blocked or blockedOneWay changes.
	changed chan struct{}
	// hosts maps the address of a listener to its host. It keeps the addresses
	// of closed listeners.
	hosts     map[string]Host
	listeners map[string]*memoryListener
	blocked   func(from, to Host) bool
	// blockedOneWay reports whether data from a sender to a receiver is blocked.
	blockedOneWay func(sender, receiver Host) bool

	streams map[*stream]struct{}
	// links are the links of the hosts with a limited bandwidth, and received the bytes that
	// each host has received.
	links    map[string]*link
	received map[string]int
	tasks    sync.WaitGroup
}

// NewNetwork returns a network without hosts.
func NewNetwork(config Config) *Network {
	if config.Delay == nil {
		config.Delay = func(Host, Host) time.Duration { return 0 }
	}
	if config.Bandwidth == nil {
		config.Bandwidth = func(Host) int { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		config:    config,
		ctx:       ctx,
		cancel:    cancel,
		changed:   make(chan struct{}),
		hosts:     make(map[string]Host),
		listeners: make(map[string]*memoryListener),
		streams:   make(map[*stream]struct{}),
		links:     make(map[string]*link),
		received:  make(map[string]int),
	}
}

// Listen opens a listener on a host. If address is empty, it picks a free one.
func (n *Network) Listen(host Host, address string) (net.Listener, error) {
	if n.config.InMemory {
		return n.listenInMemory(host, address), nil
	}
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[listener.Addr().String()] = host
	return listener, nil
}

// SetBlocked sets the predicate that reports whether streams from a dialing to a
// listening host are blocked, in both directions; nil unblocks all. As with TCP,
// data on a blocked stream is delivered once it is unblocked, unless the dialing host has
// reset the stream, or stallTimeout has passed and closed it.
func (n *Network) SetBlocked(blocked func(from, to Host) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetBlockedOneWay sets the predicate that reports whether data from a sender to a receiver is
// blocked, whichever of them dialed; nil unblocks all. It works beside SetBlocked.
func (n *Network) SetBlockedOneWay(blocked func(sender, receiver Host) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedOneWay = blocked
	close(n.changed)
	n.changed = make(chan struct{})
}

// StallStreams stops all delivery on open streams to or from the host, which
// SetBlocked can't undo. Streams opened later work.
func (n *Network) StallStreams(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.streams {
		if s.from.Name == name || s.to.Name == name {
			s.stall()
		}
	}
}

// Close cancels pending dials, closes all streams and waits for their
// goroutines. Listeners stay open.
func (n *Network) Close() {
	n.cancel()
	n.mu.Lock()
	for s := range n.streams {
		s.cancel()
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// Blocked returns the result of the predicate of SetBlocked, or false without one.
func (n *Network) Blocked(from, to Host) bool {
	blocked, _ := n.pathState(from, to)
	return blocked
}

// Delay returns the one-way delay between two hosts.
func (n *Network) Delay(from, to Host) time.Duration {
	return n.config.Delay(from, to)
}

// pathState returns whether the path is blocked, and a channel that is closed
// when this may have changed.
func (n *Network) pathState(from, to Host) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked != nil && n.blocked(from, to), n.changed
}

// oneWayBlocked reports whether data from a sender to a receiver is blocked in this direction.
func (n *Network) oneWayBlocked(sender, receiver Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedOneWay != nil && n.blockedOneWay(sender, receiver)
}

func (n *Network) waitReachable(ctx context.Context, from, to Host) error {
	for {
		blocked, changed := n.pathState(from, to)
		if !blocked && !n.oneWayBlocked(from, to) && !n.oneWayBlocked(to, from) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "%s can't reach %s", from.Name, to.Name)
		}
	}
}

// Dialer returns a dialer for a process on a host.
func (n *Network) Dialer(from Host) *Dialer {
	return &Dialer{network: n, from: from}
}

// Dialer opens streams from one host.
type Dialer struct {
	network *Network
	from    Host
}

// Dial opens a stream to the address of a listener of the network. It waits while
// the hosts are blocked, and fails with trace.ConnectionProblem if nothing listens
// there or ctx ends.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := d.network
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	n.mu.Lock()
	to, known := n.hosts[address]
	n.mu.Unlock()
	if !known {
		return nil, trace.ConnectionProblem(nil, "nothing listens on %s", address)
	}
	if err := n.waitReachable(ctx, d.from, to); err != nil {
		return nil, err
	}
	// The TCP handshake takes one round trip.
	if !roseclock.Sleep(ctx, 2*n.config.Delay(d.from, to)) {
		return nil, trace.ConnectionProblem(ctx.Err(), "can't connect to %s", address)
	}
	listenerConn, err := n.dialListener(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't connect to %s", address)
	}
	return n.newStream(d.from, to, listenerConn), nil
}

// dialListener connects to a listener without the simulated delay.
func (n *Network) dialListener(ctx context.Context, address string) (net.Conn, error) {
	if !n.config.InMemory {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	if listener == nil {
		return nil, trace.ConnectionProblem(syscall.ECONNREFUSED, "connection refused")
	}
	return listener.dial(ctx)
}
