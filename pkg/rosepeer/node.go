package rosepeer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// State is what is known of a member's life. At one incarnation a higher
// state overrides a lower one.
type State uint8

// States of a member.
const (
	// StateAlive members take part.
	StateAlive State = iota
	// StateSuspect members were not heard; they may refute it.
	StateSuspect
	// StateLeaving members have said that they shut down.
	StateLeaving
	// StateDead members were suspected without an answer.
	StateDead
)

// NodeConfig sets up a Node.
type NodeConfig struct {
	Self rosemary.Member
	// Incarnation grows with each start of the proxy.
	Incarnation uint64
	// Heartbeat separates heartbeats to one neighbour.
	HeartbeatInterval time.Duration
	// MeshSize is the number of members up to which all are neighbours.
	FullMeshSize int
	// Select replaces the choice of neighbours beyond MeshSize; both ends
	// must choose each other. Nil takes rings.
	SelectNeighbours func(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID
}

const (
	defaultHeartbeat = 200 * time.Millisecond
	defaultMeshSize  = 8
	// suspectBeats is the number of missed heartbeats that raise suspicion.
	suspectBeats = 4
	// refuteBeats is the number of heartbeats that a suspect has to refute.
	refuteBeats = 3
	// forgetAfter is how long a dead member is remembered, so that old news
	// doesn't bring it back.
	forgetAfter = 10 * time.Minute
	// meshHeartbeatSize is the number of members above which heartbeats are
	// sent more seldom.
	meshHeartbeatSize = 64
	// largeFactor is how much more seldom.
	largeFactor = 5
)

// peer is what a node knows of another.
type peer struct {
	member      rosemary.Member
	incarnation uint64
	state       State
	// proven is set once the member was heard, by anyone.
	proven  bool
	heardAt time.Time
	// watchedAt is since when the peer is a neighbour; zero if it isn't.
	watchedAt time.Time
	changedAt time.Time
	version   uint64
}

// Envelope is a message on its way to one proxy.
type Envelope struct {
	To      rosemary.ProxyID
	Message rosewire.Message
}

// Event is something that others of the process act on.
type Event struct {
	// Member and State are set when a member's state changed.
	Member rosemary.Member
	State  State
	// Lead is set when a primary changed.
	Primary *rosewire.Lead
	// Version and From are set when a newer bundle is known.
	BundleVersion uint64
	From          rosemary.ProxyID
}

// Node is the membership as one proxy sees it. It isn't safe for concurrent
// use, and it keeps time only by the times that it is given.
type Node struct {
	config      NodeConfig
	incarnation uint64
	peers       map[rosemary.ProxyID]*peer
	// unsettled names the peers that aren't alive, so that a tick doesn't
	// look at all.
	unsettled  map[rosemary.ProxyID]struct{}
	leads      map[string]rosewire.Lead
	neighbours []rosemary.ProxyID
	stale      bool
	version    uint64
	newest     uint64
	beatAt     time.Time
	draining   bool
	news       rosewire.News
	newsFrom   rosemary.ProxyID
}

// NewNode returns a node that knows only itself.
func NewNode(config NodeConfig) *Node {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeat
	}
	if config.FullMeshSize == 0 {
		config.FullMeshSize = defaultMeshSize
	}
	return &Node{
		config:      config,
		incarnation: max(config.Incarnation, 1),
		peers:       make(map[rosemary.ProxyID]*peer),
		unsettled:   make(map[rosemary.ProxyID]struct{}),
		leads:       make(map[string]rosewire.Lead),
		stale:       true,
	}
}

// AddMembers takes in members from settings or the platform's list. They are
// contacted, but count as live only once they were heard.
func (n *Node) AddMembers(now time.Time, members []rosemary.Member) {
	for _, m := range members {
		if m.Proxy == n.config.Self.Proxy || m.Leaving {
			continue
		}
		known := n.peers[m.Proxy]
		switch {
		case known == nil:
			n.peers[m.Proxy] = &peer{member: m, changedAt: now, heardAt: now}
			n.stale = true
		case !known.proven && known.member != m:
			known.member = m
			n.stale = true
		}
	}
}

// LiveMembers returns the members that take part, this one included.
func (n *Node) LiveMembers() []rosemary.Member {
	live := []rosemary.Member{n.config.Self}
	for _, p := range n.peers {
		if p.proven && p.state <= StateSuspect {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b rosemary.Member) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return live
}

// Find returns the member of that name, whatever its state.
func (n *Node) Find(id rosemary.ProxyID) (rosemary.Member, bool) {
	p := n.peers[id]
	if p == nil {
		return rosemary.Member{}, false
	}
	return p.member, true
}

// MemberView is a member as operators see it.
type MemberView struct {
	rosemary.Member
	State         string
	Confirmed     bool
	BundleVersion uint64
	LastSeen      time.Time
}

var stateNames = []string{"alive", "suspect", "leaving", "dead"}

// String names the state.
func (s State) String() string { return stateNames[s] }

// View lists what is known of every other member.
func (n *Node) View() []MemberView {
	var views []MemberView
	for _, p := range n.peers {
		views = append(views, MemberView{p.member, stateNames[p.state], p.proven, p.version, p.heardAt})
	}
	slices.SortFunc(views, func(a, b MemberView) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return views
}

// SetBundleVersion records the version of the bundle in force here.
func (n *Node) SetBundleVersion(version uint64) {
	n.version = max(n.version, version)
	if version > n.newest {
		n.newest = version
		n.news.BundleVersion = &version
		n.newsFrom = n.config.Self.Proxy
	}
}

// BundleVersions returns the version in force here, and the newest heard of.
func (n *Node) BundleVersions() (uint64, uint64) { return n.version, n.newest }

// AnnouncePrimary passes on a change of a primary.
func (n *Node) AnnouncePrimary(lead rosewire.Lead) {
	if n.takeLead(lead) {
		n.news.Leads = append(n.news.Leads, lead)
	}
}

// Leave tells everyone that this proxy shuts down.
func (n *Node) Leave() {
	n.draining = true
	n.news.Members = append(n.news.Members, n.selfNews(StateLeaving))
}

func (n *Node) selfNews(state State) rosewire.Member {
	self := n.config.Self
	return rosewire.Member{
		Proxy:       string(self.Proxy),
		Zone:        string(self.Zone),
		Address:     self.Address,
		Incarnation: n.incarnation,
		State:       uint8(state),
	}
}

// Hello returns the message that opens a connection.
func (n *Node) Hello() rosewire.Message {
	self := n.config.Self
	return rosewire.Message{Hello: &rosewire.Hello{
		Proxy:       string(self.Proxy),
		Zone:        string(self.Zone),
		Address:     self.Address,
		Incarnation: n.incarnation,
	}}
}

// Tick does what is due at now.
func (n *Node) Tick(now time.Time) ([]Envelope, []Event) {
	events := n.watch(now)
	envelopes := n.flush()
	if now.Sub(n.beatAt) < n.interval() {
		return envelopes, events
	}
	n.beatAt = now
	beat := rosewire.Message{Heartbeat: &rosewire.Heartbeat{
		Incarnation:   n.incarnation,
		BundleVersion: n.version,
		Draining:      n.draining,
	}}
	for _, id := range n.Neighbours() {
		envelopes = append(envelopes, Envelope{id, beat})
	}
	return envelopes, events
}

// interval is the time between heartbeats: a large membership beats more
// seldom, as each proxy then watches over few.
func (n *Node) interval() time.Duration {
	if len(n.peers) > meshHeartbeatSize {
		return largeFactor * n.config.HeartbeatInterval
	}
	return n.config.HeartbeatInterval
}

// watch raises suspicion against neighbours that went silent, gives up on
// suspects, and forgets the dead.
func (n *Node) watch(now time.Time) []Event {
	var events []Event
	limit := suspectBeats * n.interval()
	for _, id := range n.Neighbours() {
		p := n.peers[id]
		if p == nil {
			continue
		}
		if p.watchedAt.IsZero() {
			p.watchedAt = now
		}
		silent := min(now.Sub(p.heardAt), now.Sub(p.watchedAt))
		if p.proven && p.state == StateAlive && silent > limit {
			events = append(events, n.change(now, p, StateSuspect))
		}
	}
	for id := range n.unsettled {
		p := n.peers[id]
		switch {
		case p.state == StateSuspect && now.Sub(p.changedAt) > refuteBeats*n.interval():
			events = append(events, n.change(now, p, StateDead))
		case p.state >= StateLeaving && now.Sub(p.changedAt) > forgetAfter:
			delete(n.peers, id)
			delete(n.unsettled, id)
			n.stale = true
		}
	}
	return events
}

// change sets a member's state and makes news of it.
func (n *Node) change(now time.Time, p *peer, state State) Event {
	p.state = state
	p.changedAt = now
	if state == StateAlive {
		delete(n.unsettled, p.member.Proxy)
	} else {
		n.unsettled[p.member.Proxy] = struct{}{}
	}
	n.stale = true
	n.news.Members = append(n.news.Members, p.news())
	return Event{Member: p.member, State: state}
}

func (p *peer) news() rosewire.Member {
	return rosewire.Member{
		Proxy:       string(p.member.Proxy),
		Zone:        string(p.member.Zone),
		Address:     p.member.Address,
		Incarnation: p.incarnation,
		State:       uint8(p.state),
	}
}

// flush sends the news that gathered to every neighbour but its source.
func (n *Node) flush() []Envelope {
	if len(n.news.Members) == 0 && len(n.news.Leads) == 0 && n.news.BundleVersion == nil {
		return nil
	}
	news := n.news
	source := n.newsFrom
	n.news = rosewire.News{}
	n.newsFrom = ""
	var envelopes []Envelope
	for _, id := range n.Neighbours() {
		if id != source {
			envelopes = append(envelopes, Envelope{id, rosewire.Message{News: &news}})
		}
	}
	return envelopes
}
