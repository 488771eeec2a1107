package rosepeer

import (
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// Receive handles a message from a peer.
func (n *Node) Receive(now time.Time, from rosemary.ProxyID, message rosewire.Message) ([]Envelope, []Event) {
	var events []Event
	switch {
	case message.Hello != nil:
		events = n.receiveHello(now, *message.Hello)
	case message.Heartbeat != nil:
		events = n.receiveHeartbeat(now, from, *message.Heartbeat)
		if _, chosen := slices.BinarySearch(n.Neighbours(), from); !chosen {
			return append(n.flushUrgent(), Envelope{from, n.heartbeat(from)}), events
		}
	case message.News != nil:
		events = n.receiveNews(now, from, *message.News)
	}
	return n.flushUrgent(), events
}

// FullState returns the confirmed members that aren't dead, the primaries and
// the version of the bundle in force, to be sent on a new link.
func (n *Node) FullState() rosewire.Message {
	version := n.bundleVersion
	news := rosewire.News{BundleVersion: &version}
	for _, p := range n.peers {
		if p.confirmed && p.state < StateDead {
			news.Members = append(news.Members, p.record())
		}
	}
	for _, p := range n.primaries {
		news.Leads = append(news.Leads, p)
	}
	return rosewire.Message{News: &news}
}

func (n *Node) receiveHello(now time.Time, hello rosewire.Hello) []Event {
	return n.mergeMember(now, "", rosewire.Member{
		Proxy:       hello.Proxy,
		Zone:        hello.Zone,
		Address:     hello.Address,
		Incarnation: hello.Incarnation,
	})
}

func (n *Node) receiveHeartbeat(now time.Time, from rosemary.ProxyID, heartbeat rosewire.Heartbeat) []Event {
	p := n.peers[from]
	if p == nil {
		return nil
	}
	p.lastSeen = now
	p.echo = heartbeat.SentMs
	p.bundleVersion = heartbeat.BundleVersion
	if heartbeat.Draining || heartbeat.Incarnation < p.incarnation {
		return nil
	}
	var events []Event
	if p.state != StateAlive && p.state != StateLeaving || heartbeat.Incarnation > p.incarnation || !p.confirmed {
		p.incarnation = heartbeat.Incarnation
		p.confirmed = true
		events = append(events, n.setState(now, "", p, StateAlive))
	}
	return append(events, n.recordBundleVersion(from, heartbeat.BundleVersion)...)
}

func (n *Node) receiveNews(now time.Time, from rosemary.ProxyID, news rosewire.News) []Event {
	var events []Event
	for _, m := range news.Members {
		events = append(events, n.mergeMember(now, from, m)...)
	}
	for _, p := range news.Leads {
		if n.recordPrimary(p) {
			primary := p
			n.addPendingSource(from)
			n.pending.Leads = append(n.pending.Leads, primary)
			events = append(events, Event{Primary: &primary})
		}
	}
	if news.BundleVersion != nil {
		events = append(events, n.recordBundleVersion(from, *news.BundleVersion)...)
	}
	return events
}

// recordBundleVersion records the version that a peer reports, and returns an
// event if it is newer than the one in force. The event repeats with every
// heartbeat until that bundle is in force, so a failed fetch is tried again,
// from the peer that has it.
func (n *Node) recordBundleVersion(from rosemary.ProxyID, version uint64) []Event {
	if version <= n.bundleVersion {
		return nil
	}
	if version > n.newestBundleVersion {
		n.newestBundleVersion = version
	}
	return []Event{{BundleVersion: version, From: from}}
}

// mergeMember applies a peer's report about a member. The update about a change isn't sent to
// source.
func (n *Node) mergeMember(now time.Time, source rosemary.ProxyID, m rosewire.Member) []Event {
	id := rosemary.ProxyID(m.Proxy)
	if id == n.config.Self.Proxy {
		n.refute(m)
		return nil
	}
	state := min(State(m.State), StateDead)
	p := n.peers[id]
	if p == nil {
		if state == StateDead {
			return nil
		}
		p = &peer{lastSeen: now}
		n.peers[id] = p
	} else if p.confirmed && !overrides(m.Incarnation, state, p) {
		return nil
	}
	restarted := m.Incarnation > p.incarnation
	p.member = rosemary.Member{Proxy: id, Zone: rosemary.Zone(m.Zone), Address: m.Address}
	p.incarnation = m.Incarnation
	p.confirmed = true
	if restarted {
		p.lastSeen = now
	}
	return []Event{n.setState(now, source, p, state)}
}

func overrides(incarnation uint64, state State, p *peer) bool {
	if incarnation != p.incarnation {
		return incarnation > p.incarnation
	}
	return state > p.state
}

// refute increments the incarnation to override a report that this proxy is
// suspected or gone.
func (n *Node) refute(m rosewire.Member) {
	if State(m.State) == StateAlive || m.Incarnation < n.incarnation || n.draining {
		return
	}
	n.incarnation = m.Incarnation + 1
	// It is news to the sender of the report, too.
	n.addPendingSource("")
	n.pending.Members = append(n.pending.Members, n.selfRecord(StateAlive))
}

// recordPrimary records a primary and reports whether it is new.
func (n *Node) recordPrimary(primary rosewire.Lead) bool {
	if known, ok := n.primaries[primary.Database]; ok && known.Term >= primary.Term {
		return false
	}
	n.primaries[primary.Database] = primary
	return true
}
