package rosepeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	defaultTick = 25 * time.Millisecond
	// redialPause separates attempts to connect to one neighbour.
	redialPause = 250 * time.Millisecond
	dialTimeout = time.Second
	sendTimeout = 2 * time.Second
	// linkSilence ends a link that carried nothing for this long.
	linkSilence = 15 * time.Second
	// queueMessages bounds the messages that wait for one link; a link that
	// falls further behind is closed and opened again.
	queueMessages = 512
	// maxMessageBytes bounds one message.
	maxMessageBytes = 2 << 20
)

// Config sets up a Mesh.
type Config struct {
	Node   NodeConfig
	Dialer rosemary.Dialer
	// TLS authenticates both ends; nil trusts the network.
	TLS *tls.Config
	// OnEvent is told of changes. It must not block.
	OnEvent func(Event)
	// OnCancel is told of a cancel request that a peer could not place.
	OnCancel func(pid, secret uint32)
	// Provide returns the part of the bundle with that digest, or the
	// manifest in force for an empty one.
	BundlePart func(digest string) (string, bool)
	// OnAsk answers a peer's ask for connections.
	OnConnectionRequest func(from rosemary.ProxyID, ask rosewire.Ask) rosewire.Grant
	// OnGrant is told of a peer's grant.
	OnConnectionGrant func(rosewire.Grant)
	// OnQuestion answers a peer's question, and may take its time; nil
	// answers none.
	OnQuestion func(from rosemary.ProxyID, question rosewire.Question) rosewire.Reply
	// Tick separates looks at what is due; zero means defaultTick.
	TickInterval time.Duration
	// MayTunnel reports whether a peer may reach that address through here.
	AllowTunnel func(address string) bool
}

// Mesh carries a node's messages. Its methods may be called concurrently.
type Mesh struct {
	config Config
	client *http.Client
	scheme string
	tasks  sync.WaitGroup
	// done closes once the mesh is over, for links that peers opened.
	done chan struct{}

	mu      sync.Mutex
	node    *Node
	links   map[rosemary.ProxyID]*link
	dialing map[rosemary.ProxyID]time.Time
	pulls   map[pullKey][]chan string
	surveys map[uint64]chan<- PeerReply
	asked   uint64
	closed  bool
	sent    Traffic
}

// Traffic counts what was sent to peers.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

type pullKey struct {
	from   rosemary.ProxyID
	digest string
}

// NewMesh returns a mesh; Run starts it and Handler serves peers.
func NewMesh(config Config) *Mesh {
	if config.TickInterval <= 0 {
		config.TickInterval = defaultTick
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return config.Dialer.Dial(ctx, address)
		},
		TLSClientConfig:   config.TLS,
		DisableKeepAlives: true,
	}
	m := &Mesh{
		config:  config,
		client:  &http.Client{Transport: transport},
		scheme:  "ws://",
		done:    make(chan struct{}),
		node:    NewNode(config.Node),
		links:   make(map[rosemary.ProxyID]*link),
		dialing: make(map[rosemary.ProxyID]time.Time),
		pulls:   make(map[pullKey][]chan string),
		surveys: make(map[uint64]chan<- PeerReply),
	}
	if config.TLS != nil {
		m.scheme = "wss://"
	}
	return m
}

// Handler serves peers.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", m.servePeer)
	mux.HandleFunc("GET /tunnel", m.serveTunnel)
	return mux
}

// Run keeps links to the neighbours until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(m.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.tick(ctx)
		case <-ctx.Done():
			m.close()
			return
		}
	}
}

func (m *Mesh) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	close(m.done)
	m.tasks.Wait()
}

func (m *Mesh) tick(ctx context.Context) {
	now := time.Now()
	m.do(func(n *Node) ([]Envelope, []Event) { return n.Tick(now) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.node.Neighbours() {
		if m.links[id] != nil || now.Sub(m.dialing[id]) < redialPause+dialTimeout {
			continue
		}
		m.dialing[id] = now
		if member, found := m.node.Find(id); found {
			m.tasks.Go(func() { m.dial(ctx, member) })
		}
	}
}

// do runs a step of the node, sends what it decided and tells the events.
func (m *Mesh) do(step func(*Node) ([]Envelope, []Event)) {
	m.mu.Lock()
	envelopes, events := step(m.node)
	for _, e := range envelopes {
		m.send(e)
	}
	m.mu.Unlock()
	for _, e := range events {
		m.config.OnEvent(e)
	}
}

// send puts a message in the queue of its link. The lock is held.
func (m *Mesh) send(e Envelope) {
	l := m.links[e.To]
	if l == nil {
		return
	}
	body, err := cbor.Marshal(e.Message)
	if err != nil {
		return
	}
	select {
	case l.queue <- body:
		m.sent.Messages++
		m.sent.Bytes += uint64(len(body))
	default:
		l.cancel()
	}
}

func (m *Mesh) receive(from rosemary.ProxyID, message rosewire.Message) {
	switch {
	case message.Cancel != nil:
		m.config.OnCancel(uint32(message.Cancel.ProcessID), uint32(message.Cancel.Secret))
	case message.Pull != nil:
		body, _ := m.config.BundlePart(message.Pull.Digest)
		m.sendTo(from, rosewire.Message{Content: &rosewire.Content{Digest: message.Pull.Digest, Body: body}})
	case message.Content != nil:
		m.deliver(from, *message.Content)
	case message.Ask != nil:
		grant := m.config.OnConnectionRequest(from, *message.Ask)
		m.sendTo(from, rosewire.Message{Grant: &grant})
	case message.Grant != nil:
		m.config.OnConnectionGrant(*message.Grant)
	case message.Question != nil:
		m.answer(from, *message.Question)
	case message.Reply != nil:
		m.replied(from, *message.Reply)
	default:
		now := time.Now()
		m.do(func(n *Node) ([]Envelope, []Event) { return n.Receive(now, from, message) })
	}
}

func (m *Mesh) sendTo(to rosemary.ProxyID, message rosewire.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.send(Envelope{to, message})
}

// RequestConnections asks a peer for connections to a target; the answer comes by OnGrant.
func (m *Mesh) RequestConnections(to rosemary.ProxyID, ask rosewire.Ask) {
	m.sendTo(to, rosewire.Message{Ask: &ask})
}

func (m *Mesh) deliver(from rosemary.ProxyID, content rosewire.Content) {
	key := pullKey{from, content.Digest}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, waiting := range m.pulls[key] {
		waiting <- content.Body
	}
	delete(m.pulls, key)
}

// FetchPart asks a peer for a part of its bundle. Errors are trace.NotFound when it
// lacks the part, and trace.ConnectionProblem.
func (m *Mesh) FetchPart(ctx context.Context, from rosemary.ProxyID, digest string) (string, error) {
	answer := make(chan string, 1)
	key := pullKey{from, digest}
	m.mu.Lock()
	if m.links[from] == nil {
		m.mu.Unlock()
		return "", trace.ConnectionProblem(nil, "no link to %s", from)
	}
	m.pulls[key] = append(m.pulls[key], answer)
	m.send(Envelope{from, rosewire.Message{Pull: &rosewire.Pull{Digest: digest}}})
	m.mu.Unlock()
	select {
	case body := <-answer:
		if body == "" {
			return "", trace.NotFound("%s has no part %q", from, digest)
		}
		return body, nil
	case <-ctx.Done():
		m.mu.Lock()
		delete(m.pulls, key)
		m.mu.Unlock()
		return "", trace.ConnectionProblem(ctx.Err(), "pull from %s", from)
	}
}

// ForwardCancel passes a cancel request to every linked peer.
func (m *Mesh) ForwardCancel(pid, secret uint32) {
	message := rosewire.Message{Cancel: &rosewire.Cancel{ProcessID: uint64(pid), Secret: uint64(secret)}}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.links {
		m.send(Envelope{id, message})
	}
}

// AnnouncePrimary passes on a change of a primary.
func (m *Mesh) AnnouncePrimary(lead rosewire.Lead) {
	m.change(func(n *Node) { n.AnnouncePrimary(lead) })
}

// SetBundleVersion records the version of the bundle in force here.
func (m *Mesh) SetBundleVersion(version uint64) {
	m.change(func(n *Node) { n.SetBundleVersion(version) })
}

// Leave tells the peers that this proxy shuts down.
func (m *Mesh) Leave() {
	m.change(func(n *Node) { n.Leave() })
}

// AddMembers takes in members from settings or the platform's list.
func (m *Mesh) AddMembers(members []rosemary.Member) {
	m.change(func(n *Node) { n.AddMembers(time.Now(), members) })
}

// change changes the node and sends what follows from it at once.
func (m *Mesh) change(step func(*Node)) {
	m.do(func(n *Node) ([]Envelope, []Event) {
		step(n)
		return n.flush(), nil
	})
}

// LiveMembers returns the members that take part, this one included.
func (m *Mesh) LiveMembers() []rosemary.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.LiveMembers()
}

// View lists what is known of every other member.
func (m *Mesh) View() []MemberView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.View()
}

// LinkedPeers lists the peers that this proxy has a link to.
func (m *Mesh) LinkedPeers() []rosemary.ProxyID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]rosemary.ProxyID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	return ids
}

// SentTraffic returns what was sent to peers so far.
func (m *Mesh) SentTraffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent
}
