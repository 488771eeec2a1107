package rosenode

import (
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// peerBeat separates heartbeats between proxies.
	peerBeat = time.Second
	// peerMesh is the number of proxies up to which all link to all.
	peerMesh = 400
	// peerTick separates looks at what is due for them.
	peerTick = 100 * time.Millisecond
	// peerHeaderTimeout bounds the start of a peer's connection.
	peerHeaderTimeout = 5 * time.Second
	// learnInterval separates looks at the registered proxies.
	learnInterval = time.Second
	// pullAfter is how long the store has to bring a configuration that a
	// peer has already.
	pullAfter = 300 * time.Millisecond
	// pullTimeout bounds one pull of it.
	pullTimeout = time.Second
	// reachTimeout bounds the check of a target for a peer.
	reachTimeout = 250 * time.Millisecond
	// complainTimeout bounds the delivery of a complaint.
	complainTimeout = 200 * time.Millisecond
)

// peers asks the other proxies. It implements rosesupervisor.Peers and Voters.
type peers struct {
	mesh *rosepeer.Mesh
}

var (
	_ rosesupervisor.Peers  = peers{}
	_ rosesupervisor.Voters = peers{}
)

func (n *Node) newMesh() *rosepeer.Mesh {
	return rosepeer.NewMesh(rosepeer.Config{
		Node: rosepeer.NodeConfig{
			Self:              n.config.Self,
			Incarnation:       uint64(time.Now().UnixMilli()),
			HeartbeatInterval: peerBeat,
			FullMeshSize:      peerMesh,
		},
		Dialer:              n.config.PeerDialer,
		TickInterval:        peerTick,
		OnEvent:             n.peerEvent,
		OnCancel:            func(_, _ uint32) {},
		BundlePart:          n.provide,
		OnConnectionRequest: func(rosemary.ProxyID, rosewire.Ask) rosewire.Grant { return rosewire.Grant{} },
		OnConnectionGrant:   func(rosewire.Grant) {},
		OnQuestion:          n.answer,
		AllowTunnel:         func(string) bool { return false },
	})
}

// ServePeers accepts peers from listener until it is closed.
func (n *Node) ServePeers(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/", n.mesh.Handler())
	mux.Handle("GET "+roserelay.Path, n.relays)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
	return server.Serve(listener)
}

const (
	// cutInterval separates looks at whether this proxy is cut off.
	cutInterval = 150 * time.Millisecond
	// cutShare is the share of the targets that answers a proxy at most
	// while its availability zone is cut off: those of one zone in three.
	cutShare = 0.4
	// cutSurveyTimeout bounds the wait for a proxy of another zone.
	cutSurveyTimeout = 250 * time.Millisecond
)

// watchCut keeps watch on whether this proxy's availability zone is cut off
// from the others: most targets are silent, and so is every proxy elsewhere.
func (n *Node) watchCut(ctx context.Context) {
	for roseclock.Sleep(ctx, cutInterval) {
		cut := n.mostSilent() && !n.heardElsewhere(ctx)
		if n.cut.Swap(cut) == cut {
			continue
		}
		klog.InfoS("cut off changed", "cutOff", cut, "zone", n.config.Self.Zone)
		n.config.OnZonePartitioned(cut)
	}
}

// mostSilent reports whether no more targets answer than one zone has.
func (n *Node) mostSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	targets, answering := 0, 0
	for _, g := range n.groups {
		t, a := g.CountReachable()
		targets += t
		answering += a
	}
	return targets > 1 && float64(answering) <= cutShare*float64(targets)
}

// heardElsewhere asks the proxies of other zones for a sign of life. Without
// any there, nobody could serve callers better.
func (n *Node) heardElsewhere(ctx context.Context) bool {
	zones := make(map[rosemary.ProxyID]rosemary.Zone)
	elsewhere := false
	for _, m := range n.duty.Members() {
		zones[m.Proxy] = m.Zone
		elsewhere = elsewhere || m.Zone != n.config.Self.Zone
	}
	if !elsewhere {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, cutSurveyTimeout)
	defer cancel()
	replies, _ := n.mesh.QueryAll(ctx, rosewire.Question{About: rosepeer.AboutReachability})
	for _, r := range replies {
		if zones[r.From] != n.config.Self.Zone {
			return true
		}
	}
	return false
}

// followPeers tells the mesh of the registered proxies, and keeps watch on
// whether this proxy is known to any of them.
func (n *Node) followPeers(ctx context.Context) {
	known := 0
	for roseclock.Sleep(ctx, n.learnPause()) {
		members := n.duty.Members()
		n.mesh.AddMembers(members)
		if len(members) != known {
			// Others' shares of the links depend on how many there are.
			known = len(members)
			n.spread(false)
		}
		isolated := len(members) > 1 && !n.duty.Registered() && len(n.mesh.LinkedPeers()) == 0
		if n.isolated.Swap(isolated) != isolated {
			klog.InfoS("isolation changed", "isolated", isolated, "members", len(members))
		}
	}
}

// learnPause separates looks at the registered proxies, which come quickly while
// an installation starts.
func (n *Node) learnPause() time.Duration {
	if time.Since(n.started) < settleTime {
		return learnInterval / 5
	}
	return learnInterval
}

// trusted reports whether this proxy may rely on a primary. One that neither
// the store nor a peer has heard for the life of a lease may not: who replaces
// a primary doesn't know of it any more, and can't tell it to stop.
func (n *Node) trusted() bool { return !n.isolated.Load() }

// provide returns the configuration in force to a peer.
func (n *Node) provide(digest string) (string, bool) {
	c := n.configuration.Load()
	if c == nil || digest != "" {
		return "", false
	}
	return c.Text, true
}

// peerEvent acts on what a peer told.
func (n *Node) peerEvent(event rosepeer.Event) {
	switch {
	case event.BundleVersion > 0:
		n.pull(event.From, int64(event.BundleVersion))
	case event.Member.Proxy != "":
		klog.InfoS("peer changed", "peer", event.Member.Proxy, "zone", event.Member.Zone, "state", event.State.String())
	}
}

// pull gets a configuration from a peer if the store doesn't bring it.
func (n *Node) pull(from rosemary.ProxyID, version int64) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(n.runContext(), pullTimeout)
		defer cancel()
		roseclock.Sleep(ctx, pullAfter)
		if present := n.configuration.Load(); present != nil && present.Version >= version {
			return
		}
		text, err := n.mesh.FetchPart(ctx, from, "")
		if err != nil {
			klog.InfoS("configuration not pulled", "from", from, "version", version, "err", roselog.Err(err))
			return
		}
		configuration, err := n.config.Configurations.Parse(text)
		klog.InfoS("configuration pulled", "from", from, "version", version, "err", roselog.Err(err))
		if err == nil {
			n.apply(configuration)
		}
	})
}

// answer replies to a peer's question.
func (n *Node) answer(from rosemary.ProxyID, question rosewire.Question) rosewire.Reply {
	switch question.About {
	case rosepeer.AboutAbstain:
		yes := n.duty.Abstain()
		return rosewire.Reply{Yes: yes, Known: true}
	case rosepeer.AboutTargetStatuses:
		return rosewire.Reply{Yes: true, Known: true, Facts: n.facts()}
	}
	n.mu.Lock()
	g := n.groups[question.Group]
	n.mu.Unlock()
	if g == nil {
		// What isn't known here isn't relied on.
		return rosewire.Reply{Yes: question.About == rosepeer.AboutPrimaryRevoked}
	}
	target := rosemary.TargetID(question.Target)
	switch question.About {
	case rosepeer.AboutReachability:
		ctx, cancel := context.WithTimeout(n.runContext(), reachTimeout)
		defer cancel()
		yes, known := g.CheckReachable(ctx, target)
		return rosewire.Reply{Yes: yes, Known: known}
	case rosepeer.AboutPrimaryRevoked:
		g.RevokePrimary(question.Term)
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutPrimarySuspected:
		g.SampleNow(target)
		return rosewire.Reply{Yes: true, Known: true}
	case rosepeer.AboutPrimaryUnreachable:
		g.replacer.RecordUnreachable(from, target)
		return rosewire.Reply{Yes: true, Known: true}
	}
	return rosewire.Reply{}
}

// Abstain asks all not to claim duties, and returns those that promised.
func (p peers) RequestAbstention(ctx context.Context) []rosemary.ProxyID {
	replies, _ := p.mesh.QueryAll(ctx, rosewire.Question{About: rosepeer.AboutAbstain})
	return agreeing(replies)
}

// Reach counts the proxies that replied, those that reach a target, and those
// that don't.
func (p peers) PollReachability(ctx context.Context, group string, target rosemary.TargetID) (replied, reach, miss int) {
	replies, _ := p.mesh.QueryAll(ctx, rosewire.Question{About: rosepeer.AboutReachability, Group: group, Target: string(target)})
	for _, r := range replies {
		switch {
		case r.Yes:
			reach++
		case r.Known:
			miss++
		}
	}
	return len(replies), reach, miss
}

// Stop has all give up relying on the primary of term.
func (p peers) RevokePrimary(ctx context.Context, group string, term uint64) (stopped, asked []rosemary.ProxyID) {
	replies, asked := p.mesh.QueryAll(ctx, rosewire.Question{About: rosepeer.AboutPrimaryRevoked, Group: group, Term: term})
	return agreeing(replies), asked
}

// Suspect tells all that the target has just not answered this proxy.
func (p peers) Suspect(ctx context.Context, group string, target rosemary.TargetID) {
	p.tell(ctx, rosepeer.AboutPrimarySuspected, group, target)
}

// Complain tells all that this proxy can't reach the target.
func (p peers) ReportUnreachable(ctx context.Context, group string, target rosemary.TargetID) {
	p.tell(ctx, rosepeer.AboutPrimaryUnreachable, group, target)
}

func (p peers) tell(ctx context.Context, about, group string, target rosemary.TargetID) {
	ctx, cancel := context.WithTimeout(ctx, complainTimeout)
	defer cancel()
	p.mesh.QueryAll(ctx, rosewire.Question{About: about, Group: group, Target: string(target)})
}

func agreeing(replies []rosepeer.PeerReply) []rosemary.ProxyID {
	var ids []rosemary.ProxyID
	for _, r := range replies {
		if r.Yes {
			ids = append(ids, r.From)
		}
	}
	return ids
}
