package rosepeer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	defaultTickInterval = 25 * time.Millisecond
	// redialInterval is the time between the time-out of one connection attempt
	// to a neighbour and the next attempt.
	redialInterval = 250 * time.Millisecond
	dialTimeout    = time.Second
	sendTimeout    = 2 * time.Second
	// linkIdleTimeout closes a link on which nothing was received for this
	// long.
	linkIdleTimeout = 15 * time.Second
	// sendQueueLength is the number of messages that may wait on one link; a
	// link that falls further behind is closed and reopened.
	sendQueueLength = 512
	// silentHeartbeats is the number of heartbeat intervals after which one is overdue on a link.
	silentHeartbeats = 2
	// maxFirstSentMs bounds the random start of SentMs, which mustn't overflow.
	maxFirstSentMs = 1 << 62
	// maxMessageBytes is the largest message accepted from a peer.
	maxMessageBytes = 2 << 20
)

// Config configures a Mesh.
type Config struct {
	Node   NodeConfig
	Dialer rosemary.Dialer
	// Clock dates heartbeats. It should advance while the VM is suspended; nil stands for the
	// runtime's.
	Clock roseclock.Clock
	// TLS authenticates both ends; nil disables it.
	TLS *tls.Config
	// OnEvent receives changes. It must not block.
	OnEvent func(Event)
	// OnCancel receives a cancel request for a session that isn't at the peer
	// that sent it.
	OnCancel func(pid, secret uint32)
	// BundlePart returns the bundle part with that digest, or the manifest in
	// force for an empty digest.
	BundlePart func(digest string) (string, bool)
	// Piece returns a piece of the configuration for a peer; nil if it isn't sent in pieces.
	Piece func(from rosemary.ProxyID, request rosewire.PieceRequest) rosewire.Piece
	// OnLatePart receives a bundle part that nobody waits for any more. It may be nil.
	OnLatePart func(from rosemary.ProxyID, content rosewire.Content)
	// OnConnectionRequest answers a peer's request for additional connections
	// to a target.
	OnConnectionRequest func(from rosemary.ProxyID, ask rosewire.Ask) rosewire.Grant
	// OnConnectionGrant receives the answer to RequestConnections.
	OnConnectionGrant func(rosewire.Grant)
	// OnQuestion answers a peer's question, and may block; nil leaves questions
	// unanswered.
	OnQuestion func(from rosemary.ProxyID, question rosewire.Question) rosewire.Reply
	// TickInterval is the time between calls to Node.Tick; zero means
	// defaultTickInterval.
	TickInterval time.Duration
	// AllowTunnel reports whether peers may tunnel to that address through this
	// proxy.
	AllowTunnel func(address string) bool
}

// Mesh exchanges a node's messages with its peers. Its methods may be called
// concurrently.
type Mesh struct {
	config Config
	client *http.Client
	scheme string
	tasks  sync.WaitGroup
	// done is closed when Run ends, to stop links that peers opened.
	done chan struct{}

	// created is the time of Config.Clock at which SentMs of heartbeats was firstSentMs. That
	// is random, so that an echo of an earlier process of this proxy isn't taken for one of this.
	created     time.Time
	firstSentMs uint64
	// knownUntil is until when most peers take this proxy for live, in nanoseconds since
	// created.
	knownUntil atomic.Int64

	mu    sync.Mutex
	node  *Node
	links map[rosemary.ProxyID]*link
	// dialedAt is when a neighbour without a link was last dialed, or was left to dial
	// this proxy.
	dialedAt map[rosemary.ProxyID]time.Time
	// fetches holds the callers of FetchPart and FetchPiece that wait for a part.
	fetches map[fetchKey][]chan rosewire.Content
	// queries holds the reply channels of open queries by number.
	queries   map[uint64]chan<- PeerReply
	lastQuery uint64
	closed    bool
	sent      Traffic
}

// Traffic counts messages and bytes sent to peers.
type Traffic struct {
	Messages uint64
	Bytes    uint64
	// UnusedBytes is the size of the bundle parts that were received when nobody waited for
	// them any more.
	UnusedBytes uint64
}

type fetchKey struct {
	from   rosemary.ProxyID
	digest string
}

// NewMesh returns a mesh; Run starts it and Handler serves peers.
func NewMesh(config Config) *Mesh {
	if config.TickInterval <= 0 {
		config.TickInterval = defaultTickInterval
	}
	if config.Clock == nil {
		config.Clock = roseclock.Runtime{}
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return config.Dialer.Dial(ctx, address)
		},
		TLSClientConfig:   config.TLS,
		DisableKeepAlives: true,
	}
	m := &Mesh{
		config:   config,
		client:   &http.Client{Transport: transport},
		scheme:   "ws://",
		done:     make(chan struct{}),
		created:  config.Clock.Now(),
		node:     NewNode(config.Node),
		links:    make(map[rosemary.ProxyID]*link),
		dialedAt: make(map[rosemary.ProxyID]time.Time),
		fetches:  make(map[fetchKey][]chan rosewire.Content),
		queries:  make(map[uint64]chan<- PeerReply),

		firstSentMs: rand.Uint64N(maxFirstSentMs),
	}
	if config.TLS != nil {
		m.scheme = "wss://"
	}
	return m
}

// Handler serves peers' links and tunnels.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", m.servePeer)
	mux.HandleFunc("GET /tunnel", m.serveTunnel)
	return mux
}

// Run maintains links to the neighbours until ctx ends.
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
	known := m.KnownToMost(m.config.Clock.Now())
	m.runStep(func(n *Node) ([]Envelope, []Event) {
		n.RetainDead(!known)
		return n.Tick(now)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownUntil.Store(int64(m.node.KnownUntil()))
	for _, id := range m.node.Neighbours() {
		if m.links[id] != nil || now.Sub(m.dialedAt[id]) < redialInterval+dialTimeout {
			continue
		}
		_, missing := m.dialedAt[id]
		m.dialedAt[id] = now
		if !missing && id < m.config.Node.Self.Proxy {
			// The other end dials. If it doesn't, this one does next time.
			continue
		}
		if member, found := m.node.Find(id); found {
			m.tasks.Go(func() { m.dial(ctx, member) })
		}
	}
}

// runStep runs a step of the node, sends the resulting messages and reports the
// events.
func (m *Mesh) runStep(step func(*Node) ([]Envelope, []Event)) {
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

// send queues a message on the link to its peer, dropping it if there is no
// link. A link whose queue is full is closed. m.mu must be held.
func (m *Mesh) send(e Envelope) {
	l := m.links[e.To]
	if l == nil {
		return
	}
	if e.Message.Heartbeat != nil {
		sentMs := m.firstSentMs + uint64(m.elapsed().Milliseconds())
		e.Message.Heartbeat.SentMs = &sentMs
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
	case message.Pull != nil && message.Pull.Piece != nil && m.config.Piece != nil:
		m.sendPiece(from, *message.Pull)
	case message.Pull != nil:
		body, _ := m.config.BundlePart(message.Pull.Digest)
		m.sendTo(from, rosewire.Message{Content: &rosewire.Content{Digest: message.Pull.Digest, Body: body}})
	case message.Content != nil:
		m.completeFetch(from, *message.Content)
	case message.Ask != nil:
		grant := m.config.OnConnectionRequest(from, *message.Ask)
		m.sendTo(from, rosewire.Message{Grant: &grant})
	case message.Grant != nil:
		m.config.OnConnectionGrant(*message.Grant)
	case message.Question != nil:
		m.answerQuestion(from, *message.Question)
	case message.Reply != nil:
		m.deliverReply(from, *message.Reply)
	default:
		now := time.Now()
		m.runStep(func(n *Node) ([]Envelope, []Event) { return n.Receive(now, from, message) })
	}
	if message.Heartbeat != nil && message.Heartbeat.EchoMs != nil {
		m.receiveEcho(from, *message.Heartbeat.EchoMs)
	}
}

// receiveEcho records that a peer has received the heartbeat of sentMs. It takes this proxy for
// live until the heartbeats that follow are overdue.
func (m *Mesh) receiveEcho(from rosemary.ProxyID, sentMs uint64) {
	elapsed := m.elapsed()
	if sentMs < m.firstSentMs || sentMs-m.firstSentMs > uint64(elapsed.Milliseconds()) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.RecordEcho(from, time.Duration(sentMs-m.firstSentMs)*time.Millisecond+m.node.deathTime())
	m.knownUntil.Store(int64(m.node.KnownUntil()))
}

// elapsed returns the time since the mesh was created.
func (m *Mesh) elapsed() time.Duration { return m.config.Clock.Now().Sub(m.created) }

func (m *Mesh) sendTo(to rosemary.ProxyID, message rosewire.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.send(Envelope{to, message})
}

// RequestConnections asks a peer for additional connections to a target;
// Config.OnConnectionGrant receives the answer.
func (m *Mesh) RequestConnections(to rosemary.ProxyID, ask rosewire.Ask) {
	m.sendTo(to, rosewire.Message{Ask: &ask})
}

// sendPiece sends a piece of the configuration in the background, as the text may have to be
// compressed first.
func (m *Mesh) sendPiece(to rosemary.ProxyID, pull rosewire.Pull) {
	m.tasks.Go(func() {
		piece := m.config.Piece(to, *pull.Piece)
		m.sendTo(to, rosewire.Message{Content: &rosewire.Content{Digest: pull.Digest, Piece: &piece}})
	})
}

func (m *Mesh) completeFetch(from rosemary.ProxyID, content rosewire.Content) {
	key := fetchKey{from, content.Digest}
	m.mu.Lock()
	waiters := m.fetches[key]
	delete(m.fetches, key)
	if len(waiters) == 0 {
		m.sent.UnusedBytes += uint64(contentBytes(content))
	}
	m.mu.Unlock()
	if len(waiters) == 0 {
		klog.InfoS("bundle part arrived too late", "from", from, "bytes", contentBytes(content))
		if m.config.OnLatePart != nil {
			m.config.OnLatePart(from, content)
		}
	}
	for _, waiter := range waiters {
		waiter <- content
	}
}

func contentBytes(content rosewire.Content) int {
	if content.Piece != nil {
		return len(content.Piece.Data)
	}
	return len(content.Body)
}

// FetchPart fetches a part of a peer's bundle. Errors are trace.NotFound when
// the peer lacks the part, and trace.ConnectionProblem.
func (m *Mesh) FetchPart(ctx context.Context, from rosemary.ProxyID, digest string) (string, error) {
	content, err := m.fetch(ctx, from, rosewire.Pull{Digest: digest})
	if err == nil && content.Body == "" {
		return "", trace.NotFound("peer %s has no bundle part %q", from, digest)
	}
	return content.Body, err
}

// LinkedPeer is a peer that this proxy has a link to.
type LinkedPeer struct {
	rosemary.Member
	// SendsPieces is set if the peer sends its configuration in pieces.
	SendsPieces bool
	// Silent is set if a heartbeat of the peer is overdue on the link.
	Silent bool
}

// Linked returns a peer, and whether this proxy has a link to it.
func (m *Mesh) Linked(id rosemary.ProxyID) (LinkedPeer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[id]
	if l == nil {
		return LinkedPeer{}, false
	}
	member, _ := m.node.Find(id)
	silence := time.Since(time.Unix(0, l.receivedAt.Load()))
	return LinkedPeer{Member: member, SendsPieces: l.sendsPieces, Silent: silence > silentHeartbeats*m.node.heartbeatInterval()}, true
}

// FetchPiece fetches a piece of a peer's configuration. A peer that sends none answers with all of
// its text. The error is a trace.ConnectionProblem.
func (m *Mesh) FetchPiece(ctx context.Context, from rosemary.ProxyID, request rosewire.PieceRequest) (rosewire.Content, error) {
	return m.fetch(ctx, from, rosewire.Pull{Piece: &request})
}

func (m *Mesh) fetch(ctx context.Context, from rosemary.ProxyID, pull rosewire.Pull) (rosewire.Content, error) {
	result := make(chan rosewire.Content, 1)
	key := fetchKey{from, pull.Digest}
	m.mu.Lock()
	if m.links[from] == nil {
		m.mu.Unlock()
		return rosewire.Content{}, trace.ConnectionProblem(nil, "no link to peer %s", from)
	}
	m.fetches[key] = append(m.fetches[key], result)
	m.send(Envelope{from, rosewire.Message{Pull: &pull}})
	m.mu.Unlock()
	select {
	case content := <-result:
		return content, nil
	case <-ctx.Done():
		m.mu.Lock()
		delete(m.fetches, key)
		m.mu.Unlock()
		return rosewire.Content{}, trace.ConnectionProblem(ctx.Err(), "peer %s did not answer the request for a bundle part", from)
	}
}

// ForwardCancel sends a cancel request to every linked peer.
func (m *Mesh) ForwardCancel(pid, secret uint32) {
	message := rosewire.Message{Cancel: &rosewire.Cancel{ProcessID: uint64(pid), Secret: uint64(secret)}}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.links {
		m.send(Envelope{id, message})
	}
}

// AnnouncePrimary tells the peers of a new primary.
func (m *Mesh) AnnouncePrimary(primary rosewire.Lead) {
	m.update(func(n *Node) { n.AnnouncePrimary(primary) })
}

// SetBundleVersion records the version of the bundle in force at this proxy.
func (m *Mesh) SetBundleVersion(version uint64) {
	m.update(func(n *Node) { n.SetBundleVersion(version) })
}

// Leave tells the peers that this proxy is shutting down.
func (m *Mesh) Leave() {
	m.update(func(n *Node) { n.Leave() })
}

// AddMembers adds members from the settings or the platform's VM list.
func (m *Mesh) AddMembers(members []rosemary.Member) {
	m.update(func(n *Node) { n.AddMembers(time.Now(), members) })
}

// update changes the node and sends the resulting messages at once.
func (m *Mesh) update(step func(*Node)) {
	m.runStep(func(n *Node) ([]Envelope, []Event) {
		step(n)
		return n.flush(), nil
	})
}

// SetCompanions sets the members that this proxy is linked to in addition to those on
// the rings of a large mesh.
func (m *Mesh) SetCompanions(ids []rosemary.ProxyID) {
	m.update(func(n *Node) { n.SetCompanions(ids) })
}

// FullMesh reports whether this proxy links to all members, as it does up to
// NodeConfig.FullMeshSize.
func (m *Mesh) FullMesh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.FullMesh()
}

// FilterLive returns the members that are alive or suspected, in the same order.
func (m *Mesh) FilterLive(members []rosemary.Member) []rosemary.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make([]rosemary.Member, 0, len(members))
	for _, member := range members {
		if m.node.Live(member.Proxy) {
			live = append(live, member)
		}
	}
	return live
}

// LiveMembers returns the alive and suspected members, including this one.
func (m *Mesh) LiveMembers() []rosemary.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.LiveMembers()
}

// LiveOthers returns the other members that are alive or suspected, linked or not.
func (m *Mesh) LiveOthers() []rosemary.ProxyID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.LiveOthers()
}

// View returns what is known of every other member.
func (m *Mesh) View() []MemberView {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.View()
}

// KnownToMost reports whether more than half of the members that haven't left have confirmed
// heartbeats of this proxy that were sent so lately that they don't take it for dead. Neither an
// open link nor a message of a peer proves that, and a build that doesn't confirm heartbeats proves
// nothing. Any two such majorities have a member in common. The current time is that of
// Config.Clock. It takes no lock.
func (m *Mesh) KnownToMost(now time.Time) bool {
	return int64(now.Sub(m.created)) < m.knownUntil.Load()
}

// Majority returns how many members, this one included, are more than half of those that haven't
// left.
func (m *Mesh) Majority() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Majority()
}

// LinkedPeers returns the peers that this proxy has a link to.
func (m *Mesh) LinkedPeers() []rosemary.ProxyID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]rosemary.ProxyID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	return ids
}

// LinkedMembers returns the members that this proxy has a link to.
func (m *Mesh) LinkedMembers() []rosemary.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]rosemary.Member, 0, len(m.links))
	for id := range m.links {
		if member, known := m.node.Find(id); known {
			members = append(members, member)
		}
	}
	return members
}

// SentTraffic returns the traffic sent to peers so far.
func (m *Mesh) SentTraffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent
}
