// Package rosenet is a small stand-in network for the demo, the load tool and
// the tests: streams with a one-way delay that can be cut, healed or silenced.
// It runs over loopback TCP, or in memory so that a paused clock can drive it.
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

// Config sets up a Network.
type Config struct {
	// Delay returns the one-way delay between two places.
	Delay func(from, to Host) time.Duration
	// InMemory keeps streams within the process, without sockets.
	InMemory bool
}

// Network connects places. Its methods may be called concurrently.
type Network struct {
	config Config
	// ctx ends with the network.
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	changed   chan struct{}
	places    map[string]Host
	listeners map[string]*memoryListener
	blocked   func(from, to Host) bool
	links     map[*link]struct{}
	tasks     sync.WaitGroup
}

// NewNetwork returns a network without places.
func NewNetwork(config Config) *Network {
	if config.Delay == nil {
		config.Delay = func(Host, Host) time.Duration { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		config:    config,
		ctx:       ctx,
		cancel:    cancel,
		changed:   make(chan struct{}),
		places:    make(map[string]Host),
		listeners: make(map[string]*memoryListener),
		links:     make(map[*link]struct{}),
	}
}

// Listen opens a listener at place. An empty address takes a free one.
func (n *Network) Listen(place Host, address string) (net.Listener, error) {
	if n.config.InMemory {
		return n.listenInMemory(place, address), nil
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
	n.places[listener.Addr().String()] = place
	return listener, nil
}

// SetBlocked installs the predicate that tells which places can't reach each
// other. Streams between them stall, as TCP does, until they are healed.
func (n *Network) SetBlocked(blocked func(from, to Host) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
	close(n.changed)
	n.changed = make(chan struct{})
}

// StallStreams stalls for good every stream that is open now to or from name.
// Streams opened later work.
func (n *Network) StallStreams(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.from.Name == name || l.to.Name == name {
			l.silence()
		}
	}
}

// Close ends every stream and waits until nothing of the network runs.
func (n *Network) Close() {
	n.cancel()
	n.mu.Lock()
	for l := range n.links {
		l.cancel()
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// Blocked reports whether from and to can't reach each other.
func (n *Network) Blocked(from, to Host) bool {
	blocked, _ := n.state(from, to)
	return blocked
}

// Delay returns the one-way delay between two places.
func (n *Network) Delay(from, to Host) time.Duration {
	return n.config.Delay(from, to)
}

func (n *Network) state(from, to Host) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked != nil && n.blocked(from, to), n.changed
}

func (n *Network) waitOpen(ctx context.Context, from, to Host) error {
	for {
		blocked, changed := n.state(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.ConnectionProblem(ctx.Err(), "%s can't reach %s", from.Name, to.Name)
		}
	}
}

// Dialer returns a dialer for a process at place.
func (n *Network) Dialer(from Host) *Dialer {
	return &Dialer{network: n, from: from}
}

// Dialer opens streams from one place.
type Dialer struct {
	network *Network
	from    Host
}

// Dial opens a delayed stream to address, which a listener of the network
// holds. It fails with trace.ConnectionProblem when nobody listens there.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := d.network
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	n.mu.Lock()
	to, known := n.places[address]
	n.mu.Unlock()
	if !known {
		return nil, trace.ConnectionProblem(nil, "nothing listens on %s", address)
	}
	if err := n.waitOpen(ctx, d.from, to); err != nil {
		return nil, err
	}
	if !roseclock.Sleep(ctx, 2*n.config.Delay(d.from, to)) {
		return nil, trace.ConnectionProblem(ctx.Err(), "dial %s", address)
	}
	inner, err := n.dialInner(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dial %s", address)
	}
	return n.join(d.from, to, inner), nil
}

func (n *Network) dialInner(ctx context.Context, address string) (net.Conn, error) {
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
