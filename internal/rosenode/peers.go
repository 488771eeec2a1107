package rosenode

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	peerHeartbeatInterval = time.Second
	// peerFullMeshSize is the number of proxies up to which each connects to
	// every other one. Above it, each connects to a bounded number on rings, and to
	// the other homes of its groups.
	peerFullMeshSize = 32
	peerTickInterval = 100 * time.Millisecond
	// peerHeaderTimeout bounds the time to receive a peer's request headers.
	peerHeaderTimeout = 5 * time.Second
	// membersInterval is how often the registered proxies are passed to the mesh.
	membersInterval = time.Second
	// peerFetchDelay is how long a proxy that reads the store waits for a new configuration to
	// begin to arrive from there before it fetches it from a peer that has it.
	peerFetchDelay = 300 * time.Millisecond
	// reachabilityTimeout bounds the check of a target for a peer.
	reachabilityTimeout = 250 * time.Millisecond
	// notifyTimeout bounds the delivery of a notification to all peers.
	notifyTimeout = 200 * time.Millisecond
)

// peers queries the other proxies. It implements rosesupervisor.Peers and
// rosesupervisor.Voters. Above peerFullMeshSize a proxy isn't linked to all: what needs
// the word of all is then done without, and what needs that of a group's homes is asked of
// those, which are linked to each other.
type peers struct {
	mesh *rosepeer.Mesh
	self rosemary.ProxyID
	// dialer reaches proxies that this one isn't linked to.
	dialer rosemary.Dialer
	// homes returns the homes of a group.
	homes func(group string) []rosemary.Member
}

// users returns the linked proxies that use a group's targets: its homes, or all before
// those are known.
func (p peers) users(group string) []rosemary.ProxyID {
	linked, homes := p.mesh.LinkedPeers(), p.homes(group)
	if len(homes) == 0 {
		return linked
	}
	return slices.DeleteFunc(linked, func(id rosemary.ProxyID) bool { return !isHome(id, homes) })
}

var (
	_ rosesupervisor.Peers  = peers{}
	_ rosesupervisor.Voters = peers{}
)

func (n *Node) newMesh() *rosepeer.Mesh {
	piece := n.sendPiece
	if n.config.Omit.Pieces {
		piece = nil
	}
	return rosepeer.NewMesh(rosepeer.Config{
		Node: rosepeer.NodeConfig{
			Self: n.config.Self,
			// It has to increase with each start; Config.Incarnation only differs.
			Incarnation:       uint64(time.Now().UnixMilli()),
			HeartbeatInterval: peerHeartbeatInterval,
			FullMeshSize:      peerFullMeshSize,
		},
		Dialer:       n.config.PeerDialer,
		Clock:        n.config.Clock,
		TickInterval: peerTickInterval,
		OnEvent:      n.handlePeerEvent,
		// Proxies on the platform don't forward cancel requests, lend each other
		// connections or tunnel them.
		OnCancel:            func(_, _ uint32) {},
		BundlePart:          n.configurationText,
		Piece:               piece,
		OnLatePart:          n.receiveLatePart,
		OnConnectionRequest: func(rosemary.ProxyID, rosewire.Ask) rosewire.Grant { return rosewire.Grant{} },
		OnConnectionGrant:   func(rosewire.Grant) {},
		OnQuestion:          n.answerQuestion,
		AllowTunnel:         func(string) bool { return false },
	})
}

// ServePeers serves other proxies on listener until it is closed.
func (n *Node) ServePeers(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/", n.mesh.Handler())
	mux.Handle("GET "+roserelay.Path, n.relayServer)
	mux.HandleFunc("GET "+configurationPath, n.serveConfiguration)
	mux.HandleFunc("POST "+targetSetPath, n.serveTargetSet)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
	return server.Serve(listener)
}

// followMembers passes the registered proxies to the mesh, and detects whether
// this proxy is isolated.
func (n *Node) followMembers(ctx context.Context) {
	var known []rosemary.Member
	for roseclock.Sleep(ctx, n.membersPollInterval()) {
		members := n.locks.Members()
		if !slices.Equal(members, known) {
			known = members
			n.mesh.AddMembers(members)
			// Homes and connection limits depend on the members.
			n.updateGroups(false)
		} else if d := n.directory.Load(); d != nil && d.few() {
			// They also depend on the time since a change.
			n.updateGroups(false)
		}
		if isolated := n.isIsolated(n.config.Clock.Now()); n.isolated.Swap(isolated) != isolated {
			klog.InfoS("isolation changed", "isolated", isolated, "members", len(members))
		}
	}
}

// membersPollInterval returns the interval between checks of the registered
// proxies. It is shorter at startup, when other proxies may be starting too.
func (n *Node) membersPollInterval() time.Duration {
	if time.Since(n.startedAt) < startupTime {
		return membersInterval / 5
	}
	return membersInterval
}

// allowPrimary reports whether this proxy may rely on a primary. A proxy whose
// lease in the store has expired and that most others don't hear may not: the
// proxy that replaces a primary doesn't know of it, and can't tell it to stop
// using the old one. This is looked at whenever the primary is used, as a lease may
// end at any time.
func (n *Node) allowPrimary(now time.Time) bool { return n.knowsTargetSets() && !n.isIsolated(now) }

// isIsolated reports whether this proxy is neither registered in the store nor known to
// most of the others.
func (n *Node) isIsolated(now time.Time) bool {
	return !n.mesh.KnownToMost(now) && !n.locks.Registered() && n.locks.KnowsOthers()
}

// configurationText returns the text of the configuration in force, for a peer.
// It is the part with an empty digest; unlike a bundle, a configuration has no
// others.
func (n *Node) configurationText(digest string) (string, bool) {
	configuration := n.configuration.Load()
	if configuration == nil || digest != "" {
		return "", false
	}
	return configuration.Text, true
}

// handlePeerEvent handles a change reported by the mesh. Its bundle version is the
// version of a configuration.
func (n *Node) handlePeerEvent(event rosepeer.Event) {
	switch {
	case event.BundleVersion > 0:
		n.nameVersion(event.From, int64(event.BundleVersion))
	case event.Member.Proxy != "":
		klog.InfoS("peer changed", "peer", event.Member.Proxy, "zone", event.Member.Zone, "state", event.State.String())
	}
}

// applyText puts a configuration that another proxy has passed on into force, and reports
// whether it is well formed.
func (n *Node) applyText(text, from string, origin rosemary.Origin) bool {
	configuration, err := n.config.Configurations.Parse(text)
	if err != nil {
		klog.ErrorS(nil, "configuration refused", "from", from, "err", roselog.ErrorMessage(err))
		return false
	}
	klog.InfoS("configuration pulled", "from", from, "version", configuration.Version)
	n.apply(configuration.WithOrigin(origin), sourcePull)
	return true
}

// answerQuestion replies to a peer's question.
func (n *Node) answerQuestion(from rosemary.ProxyID, question rosewire.Question) rosewire.Reply {
	switch question.About {
	case rosepeer.AboutAbstain:
		unclaimed, promised := n.locks.Abstain(from, decodeLocks(question.Locks))
		unclaimedMs := uint64(unclaimed.Milliseconds())
		return rosewire.Reply{Yes: promised, Known: true, UnclaimedMs: &unclaimedMs}
	case rosepeer.AboutLockReleased:
		n.locks.RefreshNow()
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutZoneSuspected:
		n.zoneSuspected.Store(true)
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutZoneLost:
		n.zoneLostAt.Store(n.config.Clock.Now().UnixNano())
		n.zoneSuspected.Store(true)
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutTargetStatuses:
		return rosewire.Reply{Yes: true, Known: true, Facts: n.recentStatuses()}
	case rosepeer.AboutTargets:
		return n.describeTargets(question)
	case rosepeer.AboutTargetSet:
		return n.answerTargetSet(question)
	case rosepeer.AboutStore:
		return n.describeStore(question)
	case rosepeer.AboutCaps:
		return n.answerCaps(question)
	}
	n.mu.Lock()
	g := n.groups[question.Group]
	n.mu.Unlock()
	if g == nil {
		// The primary of an unknown group isn't in use here.
		return rosewire.Reply{Yes: question.About == rosepeer.AboutPrimaryRevoked}
	}
	target := rosemary.TargetID(question.Target)
	switch question.About {
	case rosepeer.AboutReachability:
		ctx, cancel := context.WithTimeout(n.runContext(), reachabilityTimeout)
		defer cancel()
		yes, known := g.CheckReachable(ctx, target)
		return rosewire.Reply{Yes: yes, Known: known}
	case rosepeer.AboutPrimaryRevoked:
		g.RevokePrimary(question.Term)
		return n.describeStopped(g)
	case rosepeer.AboutNoSuccessor:
		g.ObserveNoSuccessor(question.Term)
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutLastPrimary:
		status, known := g.LastPrimary()
		if !known {
			return rosewire.Reply{}
		}
		fact := encodeStatus(question.Group, rosegroup.SharedStatus{Status: status}, n.config.Clock.Now())
		return rosewire.Reply{Yes: true, Known: true, Facts: []rosewire.Fact{fact}}
	case rosepeer.AboutGuarantee:
		forMs := uint64(g.replacer.Guarantee(from, question.Term).Milliseconds())
		return rosewire.Reply{Yes: forMs > 0, Known: true, ForMs: &forMs}
	case rosepeer.AboutPrimarySuspected:
		g.SampleNow(target)
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutPrimaryUnreachable:
		g.replacer.RecordUnreachable(from, target)
		return rosewire.Reply{Yes: true, Known: true}
	}
	return rosewire.Reply{}
}

// RequestAbstention asks all connected peers not to claim failover locks for a while,
// and returns their promises, and all that were asked. It asks none if this proxy isn't linked
// to all, whose promises are needed.
func (p peers) RequestAbstention(ctx context.Context, claims []rosesupervisor.ClaimedLock) (promises []rosesupervisor.Promise, asked []rosemary.ProxyID) {
	if !p.mesh.FullMesh() {
		return nil, p.others()
	}
	replies, asked := p.mesh.QueryAll(ctx, rosewire.Question{About: rosepeer.AboutAbstain, Locks: encodeLocks(claims)})
	for _, r := range replies {
		if !r.Yes {
			continue
		}
		promise := rosesupervisor.Promise{From: r.From}
		if r.UnclaimedMs != nil {
			promise.Unclaimed = time.Duration(*r.UnclaimedMs) * time.Millisecond
		}
		promises = append(promises, promise)
	}
	return promises, asked
}

func encodeLocks(claims []rosesupervisor.ClaimedLock) []rosewire.ClaimedLock {
	locks := make([]rosewire.ClaimedLock, 0, len(claims))
	for _, c := range claims {
		locks = append(locks, rosewire.ClaimedLock{Group: c.Group, Generation: uint64(c.Generation)})
	}
	return locks
}

func decodeLocks(locks []rosewire.ClaimedLock) []rosesupervisor.ClaimedLock {
	claims := make([]rosesupervisor.ClaimedLock, 0, len(locks))
	for _, lock := range locks {
		claims = append(claims, rosesupervisor.ClaimedLock{Group: lock.Group, Generation: int64(lock.Generation)})
	}
	return claims
}

// others returns the other live proxies, linked or not.
func (p peers) others() []rosemary.ProxyID {
	return p.mesh.LiveOthers()
}

// NotifyLockReleased tells a peer to claim the lock of a group now.
func (p peers) NotifyLockReleased(ctx context.Context, to rosemary.ProxyID, group string) {
	p.mesh.Query(ctx, to, rosewire.Question{About: rosepeer.AboutLockReleased, Group: group})
}

// PollReachability asks the users of the group's targets whether they reach a target,
// until the replies decide. It returns them with the poll.
func (p peers) PollReachability(ctx context.Context, group string, target rosemary.TargetID, poll rosesupervisor.Poll) rosesupervisor.Poll {
	count := func(replies []rosepeer.PeerReply) rosesupervisor.Poll {
		counted := poll
		for _, r := range replies {
			counted = counted.WithReply(r.Yes, r.Known)
		}
		return counted
	}
	question := rosewire.Question{About: rosepeer.AboutReachability, Group: group, Target: string(target)}
	return count(p.mesh.QueryUntil(ctx, question, p.users(group), func(replies []rosepeer.PeerReply) bool { return count(replies).Decided() }))
}

// LastPrimary asks all connected peers for the newest primary that they knew, and
// returns the one of the newest term.
func (p peers) LastPrimary(ctx context.Context, group string) (rosemary.Status, bool) {
	replies, _ := p.mesh.QueryAll(ctx, rosewire.Question{About: rosepeer.AboutLastPrimary, Group: group})
	var newest rosemary.Status
	for _, r := range replies {
		for _, f := range r.Facts {
			if status := decodeStatus(f, time.Time{}).Status; status.Term > newest.Term {
				newest = status
			}
		}
	}
	return newest, newest.Target != ""
}

// RevokePrimary asks all connected peers to stop using the primary of term. It
// returns those that have, and all that should: the others that live, linked or not. If this
// proxy isn't linked to all, it tells the group's homes.
func (p peers) RevokePrimary(ctx context.Context, group string, term uint64) (stopped []rosesupervisor.Stopped, asked []rosemary.ProxyID) {
	question := rosewire.Question{About: rosepeer.AboutPrimaryRevoked, Group: group, Term: term}
	if !p.mesh.FullMesh() {
		return decodeStopped(p.mesh.QueryUntil(ctx, question, p.users(group), nil)), p.others()
	}
	replies, asked := p.mesh.QueryAll(ctx, question)
	// Others know a proxy to which this one has no link.
	for _, id := range p.others() {
		if !slices.Contains(asked, id) {
			asked = append(asked, id)
		}
	}
	return decodeStopped(replies), asked
}

// Others returns the other proxies that live, linked or not.
func (p peers) Others() []rosemary.ProxyID { return p.others() }

// ReportNoSuccessor tells the users of the group's targets that no successor of the primary of term can
// be promoted for now.
func (p peers) ReportNoSuccessor(ctx context.Context, group string, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	p.mesh.QueryUntil(ctx, rosewire.Question{About: rosepeer.AboutNoSuccessor, Group: group, Term: term}, p.users(group), nil)
}

// describeStopped answers a Stop that was obeyed.
func (n *Node) describeStopped(g *group) rosewire.Reply {
	acknowledged := g.Acknowledged()
	recordsFor := uint64(n.config.Clock.Now().Sub(acknowledged.Since).Milliseconds())
	reply := rosewire.Reply{Yes: true, Known: true, AckedForMs: &recordsFor}
	if position := acknowledged.Position; !position.IsZero() {
		reply.AckedTerm, reply.AckedOffset = &position.LogTerm, &position.Offset
	}
	for _, id := range acknowledged.Listed {
		reply.Replicas = append(reply.Replicas, string(id))
	}
	return reply
}

// decodeStopped returns what the peers tell that have stopped to use a primary.
func decodeStopped(replies []rosepeer.PeerReply) []rosesupervisor.Stopped {
	var stopped []rosesupervisor.Stopped
	for _, r := range replies {
		if !r.Yes {
			continue
		}
		s := rosesupervisor.Stopped{Proxy: r.From}
		if r.AckedForMs != nil {
			s.RecordsFor = millis(*r.AckedForMs)
		}
		if r.AckedTerm != nil && r.AckedOffset != nil {
			s.Acknowledged.Position = rosemary.Position{LogTerm: *r.AckedTerm, Offset: *r.AckedOffset}
		}
		for _, id := range r.Replicas {
			s.Acknowledged.Listed = append(s.Acknowledged.Listed, rosemary.TargetID(id))
		}
		stopped = append(stopped, s)
	}
	return stopped
}

// IsMajority reports whether count proxies are more than half of those that haven't left.
func (p peers) IsMajority(count int) bool { return count >= p.mesh.Majority() }

// ReportSuspected tells the users of the group's targets that the target has just failed to
// answer this proxy, so that they sample it at once.
func (p peers) ReportSuspected(ctx context.Context, group string, target rosemary.TargetID) {
	p.notifyAll(ctx, rosepeer.AboutPrimarySuspected, group, target)
}

// ReportUnreachable tells the users of the group's targets that this proxy can't reach the target.
func (p peers) ReportUnreachable(ctx context.Context, group string, target rosemary.TargetID) {
	p.notifyAll(ctx, rosepeer.AboutPrimaryUnreachable, group, target)
}

func (p peers) notifyAll(ctx context.Context, about, group string, target rosemary.TargetID) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	p.mesh.QueryUntil(ctx, rosewire.Question{About: about, Group: group, Target: string(target)}, p.users(group), nil)
}

func agreedPeers(replies []rosepeer.PeerReply) []rosemary.ProxyID {
	var ids []rosemary.ProxyID
	for _, r := range replies {
		if r.Yes {
			ids = append(ids, r.From)
		}
	}
	return ids
}
