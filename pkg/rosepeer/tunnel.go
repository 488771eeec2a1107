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
	// directTimeout bounds a direct connection attempt to a target, so that a
	// tunnel, or the next peer, can still be tried.
	directTimeout = 250 * time.Millisecond
	// directRetryDelay is how long direct attempts are skipped for an address
	// that timed out.
	directRetryDelay = 2 * time.Second
	// maxTunnelPeers is the number of peers tried for a tunnel.
	maxTunnelPeers = 3
)

// serveTunnel connects a peer to a target that the peer can't reach directly.
func (m *Mesh) serveTunnel(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	if !m.config.AllowTunnel(address) {
		http.Error(w, "address is not a target of the bundle in force", http.StatusForbidden)
		return
	}
	dialCtx, cancel := context.WithTimeout(r.Context(), directTimeout)
	target, err := m.config.Dialer.Dial(dialCtx, address)
	cancel()
	if err != nil {
		http.Error(w, "target is not reachable from this proxy either", http.StatusBadGateway)
		return
	}
	defer target.Close()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(-1)
	pipe(newTunnelConn(r.Context(), conn), target)
}

// tunnelConn is a stream over a WebSocket. Like that of a TCP connection, its
// Close doesn't wait for the other end.
type tunnelConn struct {
	net.Conn
	socket *websocket.Conn
}

func newTunnelConn(ctx context.Context, socket *websocket.Conn) *tunnelConn {
	return &tunnelConn{websocket.NetConn(ctx, socket, websocket.MessageBinary), socket}
}

// Close closes the stream at once.
func (c *tunnelConn) Close() error { return c.socket.CloseNow() }

// pipe copies in both directions until one side ends.
func pipe(a, b net.Conn) {
	var copies sync.WaitGroup
	copyStream := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
	}
	copies.Go(func() { copyStream(a, b) })
	copies.Go(func() { copyStream(b, a) })
	copies.Wait()
}

// TunnelDialer connects to targets directly, or through a peer when the network
// path from this proxy times out. It implements rosemary.Dialer.
type TunnelDialer struct {
	direct rosemary.Dialer
	mesh   func() *Mesh

	mu         sync.Mutex
	timedOutAt map[string]time.Time
}

var _ rosemary.Dialer = (*TunnelDialer)(nil)

// NewTunnelDialer returns a dialer that tries direct first. mesh returns the
// mesh, or nil before there is one.
func NewTunnelDialer(direct rosemary.Dialer, mesh func() *Mesh) *TunnelDialer {
	return &TunnelDialer{direct: direct, mesh: mesh, timedOutAt: make(map[string]time.Time)}
}

// Dial opens a stream to address. If both paths fail, the error is that of the
// direct attempt, if one was made.
func (d *TunnelDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	mesh := d.mesh()
	if mesh == nil || len(mesh.LinkedPeers()) == 0 {
		return d.direct.Dial(ctx, address)
	}
	d.mu.Lock()
	skipDirect := time.Since(d.timedOutAt[address]) < directRetryDelay
	d.mu.Unlock()
	var firstErr error
	if !skipDirect {
		directCtx, cancel := context.WithTimeout(ctx, directTimeout)
		conn, err := d.direct.Dial(directCtx, address)
		timedOut := directCtx.Err() != nil
		cancel()
		if err == nil || !timedOut {
			return conn, err
		}
		firstErr = err
		d.mu.Lock()
		d.timedOutAt[address] = time.Now()
		d.mu.Unlock()
	}
	conn, err := mesh.Tunnel(ctx, address)
	if err != nil && firstErr == nil {
		firstErr = err
	}
	if err != nil {
		return nil, firstErr
	}
	return conn, nil
}

// Tunnel opens a stream to a target through a linked peer, trying peers of
// other zones first. The error is a trace.ConnectionProblem.
func (m *Mesh) Tunnel(ctx context.Context, address string) (net.Conn, error) {
	for _, member := range m.tunnelPeers() {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		endpoint := m.scheme + member.Address + "/tunnel?address=" + url.QueryEscape(address)
		conn, _, err := websocket.Dial(dialCtx, endpoint, &websocket.DialOptions{HTTPClient: m.client})
		cancel()
		if err != nil {
			continue
		}
		conn.SetReadLimit(-1)
		return newTunnelConn(context.WithoutCancel(ctx), conn), nil
	}
	return nil, trace.ConnectionProblem(nil, "no linked peer can reach %s", address)
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
