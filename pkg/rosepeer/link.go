package rosepeer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// link is an open connection to a peer.
type link struct {
	peer   rosemary.ProxyID
	conn   *websocket.Conn
	queue  chan []byte
	cancel context.CancelFunc
	// sendsPieces is set if the peer answers a Pull with a Piece.
	sendsPieces bool
	// receivedAt is when the last message arrived, in nanoseconds of the Unix time.
	receivedAt atomic.Int64
}

func (m *Mesh) dial(ctx context.Context, member rosemary.Member) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, m.scheme+member.Address+"/peer", &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return
	}
	m.runLink(ctx, conn, member.Proxy)
}

func (m *Mesh) servePeer(w http.ResponseWriter, r *http.Request) {
	select {
	case <-m.done:
		http.Error(w, "proxy is shut down", http.StatusServiceUnavailable)
		return
	default:
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.runLink(r.Context(), conn, certificateName(r))
}

// certificateName returns the common name of the peer's certificate, empty
// without one.
func certificateName(r *http.Request) rosemary.ProxyID {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	return rosemary.ProxyID(r.TLS.PeerCertificates[0].Subject.CommonName)
}

// runLink exchanges messages over conn until it ends. If expected is set, the
// peer must report that name.
func (m *Mesh) runLink(ctx context.Context, conn *websocket.Conn, expected rosemary.ProxyID) {
	conn.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.CloseNow()
	go func() {
		select {
		case <-m.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	m.mu.Lock()
	hello := m.node.Hello()
	m.mu.Unlock()
	if m.config.Piece != nil {
		sendsPieces := true
		hello.Hello.SendsPieces = &sendsPieces
	}
	if writeMessage(ctx, conn, hello) != nil {
		return
	}
	first, err := readMessage(ctx, conn)
	if err != nil || first.Hello == nil || expected != "" && first.Hello.Proxy != string(expected) {
		return
	}
	l := &link{peer: rosemary.ProxyID(first.Hello.Proxy), conn: conn, queue: make(chan []byte, sendQueueLength), cancel: cancel}
	l.sendsPieces = first.Hello.SendsPieces != nil && *first.Hello.SendsPieces
	if !m.addLink(l) {
		return
	}
	defer m.removeLink(l)
	l.receivedAt.Store(time.Now().UnixNano())
	m.tasks.Go(func() { l.writeLoop(ctx) })
	m.receive(l.peer, first)
	m.mu.Lock()
	m.send(Envelope{l.peer, m.node.FullState()})
	m.mu.Unlock()
	for {
		message, err := readMessage(ctx, conn)
		if err != nil {
			return
		}
		l.receivedAt.Store(time.Now().UnixNano())
		m.receive(l.peer, message)
	}
}

// addLink makes l the link for messages to its peer; an older link stays open
// for receiving. It returns false if the mesh is closed.
func (m *Mesh) addLink(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.links[l.peer] = l
	return true
}

func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
		m.node.ForgetEcho(l.peer)
		m.knownUntil.Store(int64(m.node.KnownUntil()))
	}
}

func (l *link) writeLoop(ctx context.Context) {
	for {
		select {
		case body := <-l.queue:
			writeCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			err := l.conn.Write(writeCtx, websocket.MessageBinary, body)
			cancel()
			if err != nil {
				l.cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func writeMessage(ctx context.Context, conn *websocket.Conn, message rosewire.Message) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, body)
}

func readMessage(ctx context.Context, conn *websocket.Conn) (rosewire.Message, error) {
	var message rosewire.Message
	ctx, cancel := context.WithTimeout(ctx, linkIdleTimeout)
	defer cancel()
	_, body, err := conn.Read(ctx)
	if err != nil {
		return message, err
	}
	return message, trace.Wrap(cbor.Unmarshal(body, &message))
}
