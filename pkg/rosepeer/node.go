package rosepeer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// State is the state of a member. At the same incarnation a higher state
// overrides a lower one.
type State uint8

// States of a member.
const (
	// StateAlive members take part.
	StateAlive State = iota
	// StateSuspect members missed heartbeats; they may refute the suspicion.
	StateSuspect
	// StateLeaving members have announced their shutdown.
	StateLeaving
	// StateDead members did not refute a suspicion in time.
	StateDead
)

// NodeConfig configures a Node.
type NodeConfig struct {
	Self rosemary.Member
	// Incarnation increases with each start of the proxy.
	Incarnation uint64
	// HeartbeatInterval is the time between heartbeats to one neighbour.
	HeartbeatInterval time.Duration
	// FullMeshSize is the number of members up to which all are neighbours.
	FullMeshSize int
	// SelectNeighbours replaces the choice of neighbours beyond FullMeshSize;
	// the choice must be symmetric. Nil selects by rings.
	SelectNeighbours func(self rosemary.Member, members []rosemary.Member) []rosemary.ProxyID
}

const (
	defaultHeartbeatInterval = 200 * time.Millisecond
	defaultFullMeshSize      = 8
	// suspectHeartbeats is the number of missed heartbeats after which a member
	// is suspected.
	suspectHeartbeats = 4
	// refuteHeartbeats is the number of heartbeat intervals that a suspect has
	// to refute the suspicion.
	refuteHeartbeats = 3
	// deadRetention is how long a dead member is remembered, so that outdated
	// updates do not bring it back.
	deadRetention = 10 * time.Minute
	// largeMeshSize is the number of members above which heartbeats are sent
	// less often.
	largeMeshSize = 64
	// largeMeshHeartbeatFactor multiplies the heartbeat interval above
	// largeMeshSize.
	largeMeshHeartbeatFactor = 5
)

// peer is what a node knows of another member.
type peer struct {
	member      rosemary.Member
	incarnation uint64
	state       State
	// confirmed is set once the member itself or a peer has reported it. Until
	// then it is known only from the settings or the VM list.
	confirmed bool
	// lastSeen is when the last heartbeat arrived, or when the member was added
	// or known to have restarted.
	lastSeen time.Time
	// neighbourSince is zero while the peer is not a neighbour.
	neighbourSince time.Time
	stateChangedAt time.Time
	bundleVersion  uint64
	// echo is the SentMs of its last heartbeat, nil if that had none.
	echo *uint64
	// knowsUntil is until when it takes this proxy for live, on the clock of the caller of
	// RecordEcho.
	knowsUntil time.Duration
}

// Envelope is a message addressed to one proxy.
type Envelope struct {
	To      rosemary.ProxyID
	Message rosewire.Message
}

// Event tells the rest of the process what has changed.
type Event struct {
	// Member and State are set when a member's state changed.
	Member rosemary.Member
	State  State
	// Primary is set when a database's primary changed.
	Primary *rosewire.Lead
	// BundleVersion and From are set when a peer reports a newer bundle.
	BundleVersion uint64
	From          rosemary.ProxyID
}

// Node is one proxy's view of the membership. It isn't safe for concurrent use,
// and reads no clock: callers pass the current time.
type Node struct {
	config      NodeConfig
	incarnation uint64
	peers       map[rosemary.ProxyID]*peer
	// notAlive holds the peers whose state isn't StateAlive, so that a tick
	// does not scan all peers.
	notAlive   map[rosemary.ProxyID]struct{}
	primaries  map[string]rosewire.Lead
	neighbours []rosemary.ProxyID
	// companions are neighbours in addition to those on the rings.
	companions      []rosemary.ProxyID
	neighboursStale bool
	fullMesh        bool
	// live and staying count the members, this one included, that are alive or suspected,
	// and those that haven't left: a dead one may be on the other side of a partition.
	live, staying int
	// retainDead keeps dead members from being forgotten.
	retainDead          bool
	bundleVersion       uint64
	newestBundleVersion uint64
	lastHeartbeatSent   time.Time
	draining            bool
	// pending are the updates to send with the next flush, and pendingSource is
	// the peer that they all came from, which does not get them back, or empty.
	pending       rosewire.News
	pendingSource rosemary.ProxyID
}

// NewNode returns a node that knows only itself.
func NewNode(config NodeConfig) *Node {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = defaultHeartbeatInterval
	}
	if config.FullMeshSize == 0 {
		config.FullMeshSize = defaultFullMeshSize
	}
	return &Node{
		config:          config,
		incarnation:     max(config.Incarnation, 1),
		peers:           make(map[rosemary.ProxyID]*peer),
		notAlive:        make(map[rosemary.ProxyID]struct{}),
		primaries:       make(map[string]rosewire.Lead),
		neighboursStale: true,
	}
}

// AddMembers adds members from the settings or the platform's VM list. They are
// contacted, but count as live only once they or a peer report them.
func (n *Node) AddMembers(now time.Time, members []rosemary.Member) {
	for _, m := range members {
		if m.Proxy == n.config.Self.Proxy || m.Leaving {
			continue
		}
		known := n.peers[m.Proxy]
		switch {
		case known == nil:
			n.peers[m.Proxy] = &peer{member: m, stateChangedAt: now, lastSeen: now}
			n.neighboursStale = true
		case !known.confirmed && known.member != m:
			known.member = m
			n.neighboursStale = true
		}
	}
}

// SetCompanions sets the members that are neighbours in addition to those on the rings,
// as this proxy works with them. They should choose this proxy, too.
func (n *Node) SetCompanions(ids []rosemary.ProxyID) {
	if !slices.Equal(ids, n.companions) {
		n.companions = slices.Clone(ids)
		n.neighboursStale = true
	}
}

// FullMesh reports whether all members are neighbours.
func (n *Node) FullMesh() bool {
	n.Neighbours()
	return n.fullMesh
}

// Live reports whether a member is alive or suspected.
func (n *Node) Live(id rosemary.ProxyID) bool {
	if id == n.config.Self.Proxy {
		return true
	}
	p := n.peers[id]
	return p != nil && p.confirmed && p.state <= StateSuspect
}

// LiveMembers returns the alive and suspected members, including this one.
func (n *Node) LiveMembers() []rosemary.Member {
	live := []rosemary.Member{n.config.Self}
	for _, p := range n.peers {
		if p.confirmed && p.state <= StateSuspect {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b rosemary.Member) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return live
}

// LiveOthers returns the other members that are alive or suspected.
func (n *Node) LiveOthers() []rosemary.ProxyID {
	var ids []rosemary.ProxyID
	for id := range n.peers {
		if n.Live(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Find returns the member of that name, whatever its state.
func (n *Node) Find(id rosemary.ProxyID) (rosemary.Member, bool) {
	p := n.peers[id]
	if p == nil {
		return rosemary.Member{}, false
	}
	return p.member, true
}

// MemberView is a member as shown to operators.
type MemberView struct {
	rosemary.Member
	State         string
	Confirmed     bool
	BundleVersion uint64
	LastSeen      time.Time
}

var stateNames = []string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// View returns what is known of every other member.
func (n *Node) View() []MemberView {
	var views []MemberView
	for _, p := range n.peers {
		views = append(views, MemberView{p.member, stateNames[p.state], p.confirmed, p.bundleVersion, p.lastSeen})
	}
	slices.SortFunc(views, func(a, b MemberView) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return views
}

// SetBundleVersion records the version of the bundle in force at this proxy, and tells the
// neighbours that it can be had here.
func (n *Node) SetBundleVersion(version uint64) {
	if version <= n.bundleVersion {
		return
	}
	n.bundleVersion = version
	n.newestBundleVersion = max(n.newestBundleVersion, version)
	n.addPendingSource("")
	n.pending.BundleVersion = &version
}

// BundleVersions returns the version in force at this proxy, and the newest one
// known.
func (n *Node) BundleVersions() (uint64, uint64) { return n.bundleVersion, n.newestBundleVersion }

// AnnouncePrimary queues an update about a new primary.
func (n *Node) AnnouncePrimary(primary rosewire.Lead) {
	if n.recordPrimary(primary) {
		n.addPendingSource("")
		n.pending.Leads = append(n.pending.Leads, primary)
	}
}

// Leave queues an update that this proxy is shutting down.
func (n *Node) Leave() {
	n.draining = true
	n.addPendingSource("")
	n.pending.Members = append(n.pending.Members, n.selfRecord(StateLeaving))
}

func (n *Node) selfRecord(state State) rosewire.Member {
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

// Tick updates the state of members that timed out, and returns the messages
// due at now.
func (n *Node) Tick(now time.Time) ([]Envelope, []Event) {
	events := n.checkTimeouts(now)
	envelopes := n.flush()
	if now.Sub(n.lastHeartbeatSent) < n.heartbeatInterval() {
		return envelopes, events
	}
	n.lastHeartbeatSent = now
	for _, id := range n.Neighbours() {
		envelopes = append(envelopes, Envelope{id, n.heartbeat(id)})
	}
	return envelopes, events
}

// heartbeat returns a heartbeat for a peer. It echoes the peer's last one only while the peer
// counts as live here.
func (n *Node) heartbeat(to rosemary.ProxyID) rosewire.Message {
	heartbeat := rosewire.Heartbeat{
		Incarnation:   n.incarnation,
		BundleVersion: n.bundleVersion,
		Draining:      n.draining,
	}
	if n.Live(to) {
		heartbeat.EchoMs = n.peers[to].echo
	}
	return rosewire.Message{Heartbeat: &heartbeat}
}

// heartbeatInterval returns the time between heartbeats. It is longer for a
// large membership, as each proxy then monitors only a few of the members.
func (n *Node) heartbeatInterval() time.Duration {
	if len(n.peers) > largeMeshSize {
		return largeMeshHeartbeatFactor * n.config.HeartbeatInterval
	}
	return n.config.HeartbeatInterval
}

// RetainDead sets whether dead members are remembered for as long as it takes. A proxy that most
// others don't know can't tell the dead from those behind a partition.
func (n *Node) RetainDead(retain bool) { n.retainDead = retain }

// RecordEcho records that a peer takes this proxy for live until a time of a clock of the caller's.
func (n *Node) RecordEcho(from rosemary.ProxyID, until time.Duration) {
	if p := n.peers[from]; p != nil {
		p.knowsUntil = max(p.knowsUntil, until)
	}
}

// ForgetEcho records that a peer may not take this proxy for live any more, as its process may have
// ended.
func (n *Node) ForgetEcho(from rosemary.ProxyID) {
	if p := n.peers[from]; p != nil {
		p.knowsUntil = 0
	}
}

// Majority returns how many members, this one included, are more than half of those that haven't
// left.
func (n *Node) Majority() int {
	n.Neighbours()
	return n.staying/2 + 1
}

// KnownUntil returns until when, on the clock of RecordEcho, a majority takes this proxy for live.
// Beyond a full mesh, where a few peers monitor it and pass on what they see, one of them has to,
// and this proxy has to see a majority.
func (n *Node) KnownUntil() time.Duration {
	required := max(n.Majority()-1, 1)
	if !n.fullMesh {
		if n.live <= required {
			return 0
		}
		required = 1
	}
	until := make([]time.Duration, 0, len(n.neighbours))
	for _, id := range n.neighbours {
		if p := n.peers[id]; p != nil {
			until = append(until, p.knowsUntil)
		}
	}
	if len(until) < required {
		return 0
	}
	slices.Sort(until)
	return until[len(until)-required]
}

// deathTime returns how long a member is silent before the others take it for dead.
func (n *Node) deathTime() time.Duration {
	return (suspectHeartbeats + refuteHeartbeats) * n.heartbeatInterval()
}

// checkTimeouts suspects silent neighbours, declares suspects dead that did not
// refute in time, and removes members that left or died long ago.
func (n *Node) checkTimeouts(now time.Time) []Event {
	var events []Event
	timeout := suspectHeartbeats * n.heartbeatInterval()
	for _, id := range n.Neighbours() {
		p := n.peers[id]
		if p == nil {
			continue
		}
		if p.neighbourSince.IsZero() {
			p.neighbourSince = now
		}
		silence := min(now.Sub(p.lastSeen), now.Sub(p.neighbourSince))
		if p.confirmed && p.state == StateAlive && silence > timeout {
			events = append(events, n.setState(now, "", p, StateSuspect))
		}
	}
	for id := range n.notAlive {
		p := n.peers[id]
		switch {
		case p.state == StateSuspect && now.Sub(p.stateChangedAt) > refuteHeartbeats*n.heartbeatInterval():
			events = append(events, n.setState(now, "", p, StateDead))
		case p.state >= StateLeaving && now.Sub(p.stateChangedAt) > deadRetention && !(p.state == StateDead && n.retainDead):
			delete(n.peers, id)
			delete(n.notAlive, id)
			n.neighboursStale = true
		}
	}
	return events
}

// setState changes a member's state and queues an update about it for all but source.
func (n *Node) setState(now time.Time, source rosemary.ProxyID, p *peer, state State) Event {
	p.state = state
	p.stateChangedAt = now
	if state == StateAlive {
		delete(n.notAlive, p.member.Proxy)
	} else {
		n.notAlive[p.member.Proxy] = struct{}{}
	}
	n.neighboursStale = true
	n.addPendingSource(source)
	n.pending.Members = append(n.pending.Members, p.record())
	return Event{Member: p.member, State: state}
}

func (p *peer) record() rosewire.Member {
	return rosewire.Member{
		Proxy:       string(p.member.Proxy),
		Zone:        string(p.member.Zone),
		Address:     p.member.Address,
		Incarnation: p.incarnation,
		State:       uint8(p.state),
	}
}

// flushUrgent is flush unless only arrivals of members are pending: those wait for the
// next tick, as many arrive together when proxies start.
func (n *Node) flushUrgent() []Envelope {
	left := func(m rosewire.Member) bool { return State(m.State) != StateAlive }
	if n.pending.BundleVersion == nil && len(n.pending.Leads) == 0 && !slices.ContainsFunc(n.pending.Members, left) {
		return nil
	}
	return n.flush()
}

// addPendingSource records where an update that is about to be queued came from, empty for this
// proxy. Updates of several sources go to all.
func (n *Node) addPendingSource(source rosemary.ProxyID) {
	if !n.hasPending() {
		n.pendingSource = source
	} else if n.pendingSource != source {
		n.pendingSource = ""
	}
}

// hasPending reports whether there are updates to send.
func (n *Node) hasPending() bool {
	return len(n.pending.Members) > 0 || len(n.pending.Leads) > 0 || n.pending.BundleVersion != nil
}

// flush returns the pending updates for every neighbour except the one they
// came from.
func (n *Node) flush() []Envelope {
	if !n.hasPending() {
		return nil
	}
	news := n.pending
	source := n.pendingSource
	n.pending = rosewire.News{}
	n.pendingSource = ""
	var envelopes []Envelope
	for _, id := range n.Neighbours() {
		if id != source {
			envelopes = append(envelopes, Envelope{id, rosewire.Message{News: &news}})
		}
	}
	return envelopes
}
