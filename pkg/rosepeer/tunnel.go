package rosepeer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// directTimeout bounds a direct attempt while peers may reach the target.
	directTimeout = 250 * time.Millisecond
	// directPause is how long an address that timed out isn't tried directly.
	directPause = 2 * time.Second
	// maxTunnelPeers bounds the peers that are asked for a tunnel.
	maxTunnelPeers = 3
)

// serveTunnel joins a peer to a target that only this proxy may reach.
func (m *Mesh) serveTunnel(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	if !m.config.AllowTunnel(address) {
		http.Error(w, "the address is no target of the bundle in force", http.StatusForbidden)
		return
	}
	dialing, cancel := context.WithTimeout(r.Context(), directTimeout)
	target, err := m.config.Dialer.Dial(dialing, address)
	cancel()
	if err != nil {
		http.Error(w, "the target can't be reached from here either", http.StatusBadGateway)
		return
	}
	defer target.Close()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(-1)
	join(newTunnelConn(r.Context(), conn), target)
}

// tunnelConn is a stream within a WebSocket. Its Close doesn't wait for the
// other end, as that of a socket doesn't.
type tunnelConn struct {
	net.Conn
	socket *websocket.Conn
}

func newTunnelConn(ctx context.Context, socket *websocket.Conn) *tunnelConn {
	return &tunnelConn{websocket.NetConn(ctx, socket, websocket.MessageBinary), socket}
}

// Close ends the stream at once.
func (c *tunnelConn) Close() error { return c.socket.CloseNow() }

// join copies both ways until one side ends.
func join(a, b net.Conn) {
	var copies sync.WaitGroup
	one := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
	}
	copies.Go(func() { one(a, b) })
	copies.Go(func() { one(b, a) })
	copies.Wait()
}

// TunnelDialer reaches targets directly, or through a peer when the network
// doesn't let this proxy through. It implements rosemary.Dialer.
type TunnelDialer struct {
	direct rosemary.Dialer
	mesh   func() *Mesh

	mu      sync.Mutex
	blocked map[string]time.Time
}

var _ rosemary.Dialer = (*TunnelDialer)(nil)

// NewTunnelDialer returns a dialer over direct and the mesh that mesh returns.
func NewTunnelDialer(direct rosemary.Dialer, mesh func() *Mesh) *TunnelDialer {
	return &TunnelDialer{direct: direct, mesh: mesh, blocked: make(map[string]time.Time)}
}

// Dial opens a stream to address. The error is that of the direct attempt.
func (d *TunnelDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	mesh := d.mesh()
	if mesh == nil || len(mesh.LinkedPeers()) == 0 {
		return d.direct.Dial(ctx, address)
	}
	d.mu.Lock()
	blocked := time.Since(d.blocked[address]) < directPause
	d.mu.Unlock()
	var failure error
	if !blocked {
		direct, cancel := context.WithTimeout(ctx, directTimeout)
		conn, err := d.direct.Dial(direct, address)
		timedOut := direct.Err() != nil
		cancel()
		if err == nil || !timedOut {
			return conn, err
		}
		failure = err
		d.mu.Lock()
		d.blocked[address] = time.Now()
		d.mu.Unlock()
	}
	conn, err := mesh.Tunnel(ctx, address)
	if err != nil && failure == nil {
		failure = err
	}
	if err != nil {
		return nil, failure
	}
	return conn, nil
}

// Tunnel opens a stream to a target through a linked peer, those of other
// zones first. The error is a trace.ConnectionProblem.
func (m *Mesh) Tunnel(ctx context.Context, address string) (net.Conn, error) {
	for _, member := range m.tunnelPeers() {
		dialing, cancel := context.WithTimeout(ctx, dialTimeout)
		target := m.scheme + member.Address + "/tunnel?address=" + url.QueryEscape(address)
		conn, _, err := websocket.Dial(dialing, target, &websocket.DialOptions{HTTPClient: m.client})
		cancel()
		if err != nil {
			continue
		}
		conn.SetReadLimit(-1)
		return newTunnelConn(context.WithoutCancel(ctx), conn), nil
	}
	return nil, trace.ConnectionProblem(nil, "no peer reaches %s", address)
}

func (m *Mesh) tunnelPeers() []rosemary.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []rosemary.Member
	for id := range m.links {
		if member, found := m.node.Find(id); found {
			peers = append(peers, member)
		}
	}
	own := m.config.Node.Self.Zone
	slices.SortFunc(peers, func(a, b rosemary.Member) int {
		if (a.Zone == own) != (b.Zone == own) {
			if a.Zone == own {
				return 1
			}
			return -1
		}
		return slices.Compare([]byte(a.Proxy), []byte(b.Proxy))
	})
	return peers[:min(len(peers), maxTunnelPeers)]
}
