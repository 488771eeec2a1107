package rosepeer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// link is one open connection to a peer.
type link struct {
	id     rosemary.ProxyID
	conn   *websocket.Conn
	queue  chan []byte
	cancel context.CancelFunc
}

func (m *Mesh) dial(ctx context.Context, member rosemary.Member) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialing, m.scheme+member.Address+"/peer", &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return
	}
	m.carry(ctx, conn, member.Proxy)
}

func (m *Mesh) servePeer(w http.ResponseWriter, r *http.Request) {
	select {
	case <-m.done:
		http.Error(w, "this proxy has shut down", http.StatusServiceUnavailable)
		return
	default:
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.carry(r.Context(), conn, certifiedName(r))
}

// certifiedName returns the peer's name by its certificate, if it has one.
func certifiedName(r *http.Request) rosemary.ProxyID {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	return rosemary.ProxyID(r.TLS.PeerCertificates[0].Subject.CommonName)
}

// carry exchanges messages over conn until it ends. A name given must be the
// peer's.
func (m *Mesh) carry(ctx context.Context, conn *websocket.Conn, name rosemary.ProxyID) {
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
	if write(ctx, conn, hello) != nil {
		return
	}
	first, err := read(ctx, conn)
	if err != nil || first.Hello == nil || name != "" && first.Hello.Proxy != string(name) {
		return
	}
	l := &link{id: rosemary.ProxyID(first.Hello.Proxy), conn: conn, queue: make(chan []byte, queueMessages), cancel: cancel}
	if !m.attach(l) {
		return
	}
	defer m.detach(l)
	m.tasks.Go(func() { l.write(ctx) })
	m.receive(l.id, first)
	m.mu.Lock()
	m.send(Envelope{l.id, m.node.FullState()})
	m.mu.Unlock()
	for {
		message, err := read(ctx, conn)
		if err != nil {
			return
		}
		m.receive(l.id, message)
	}
}

// attach makes l the link to its peer, in place of an older one.
func (m *Mesh) attach(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.links[l.id] = l
	return true
}

func (m *Mesh) detach(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.id] == l {
		delete(m.links, l.id)
	}
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case body := <-l.queue:
			sending, cancel := context.WithTimeout(ctx, sendTimeout)
			err := l.conn.Write(sending, websocket.MessageBinary, body)
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

func write(ctx context.Context, conn *websocket.Conn, message rosewire.Message) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, body)
}

func read(ctx context.Context, conn *websocket.Conn) (rosewire.Message, error) {
	var message rosewire.Message
	ctx, cancel := context.WithTimeout(ctx, linkSilence)
	defer cancel()
	_, body, err := conn.Read(ctx)
	if err != nil {
		return message, err
	}
	return message, trace.Wrap(cbor.Unmarshal(body, &message))
}
