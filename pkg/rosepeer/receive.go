package rosepeer

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// Receive takes in a message of a peer.
func (n *Node) Receive(now time.Time, from rosemary.ProxyID, message rosewire.Message) ([]Envelope, []Event) {
	var events []Event
	switch {
	case message.Hello != nil:
		events = n.receiveHello(now, *message.Hello)
	case message.Heartbeat != nil:
		events = n.receiveHeartbeat(now, from, *message.Heartbeat)
	case message.News != nil:
		n.newsFrom = from
		events = n.receiveNews(now, from, *message.News)
	}
	return n.flush(), events
}

// FullState returns all that a proxy with a new connection should know.
func (n *Node) FullState() rosewire.Message {
	news := rosewire.News{BundleVersion: &n.newest}
	for _, p := range n.peers {
		if p.proven && p.state < StateDead {
			news.Members = append(news.Members, p.news())
		}
	}
	for _, l := range n.leads {
		news.Leads = append(news.Leads, l)
	}
	return rosewire.Message{News: &news}
}

func (n *Node) receiveHello(now time.Time, hello rosewire.Hello) []Event {
	return n.takeMember(now, rosewire.Member{
		Proxy:       hello.Proxy,
		Zone:        hello.Zone,
		Address:     hello.Address,
		Incarnation: hello.Incarnation,
	})
}

func (n *Node) receiveHeartbeat(now time.Time, from rosemary.ProxyID, beat rosewire.Heartbeat) []Event {
	p := n.peers[from]
	if p == nil {
		return nil
	}
	p.heardAt = now
	p.version = beat.BundleVersion
	if beat.Draining || beat.Incarnation < p.incarnation {
		return nil
	}
	var events []Event
	if p.state != StateAlive && p.state != StateLeaving || beat.Incarnation > p.incarnation || !p.proven {
		p.incarnation = beat.Incarnation
		p.proven = true
		events = append(events, n.change(now, p, StateAlive))
	}
	return append(events, n.hearVersion(from, beat.BundleVersion)...)
}

func (n *Node) receiveNews(now time.Time, from rosemary.ProxyID, news rosewire.News) []Event {
	var events []Event
	for _, m := range news.Members {
		events = append(events, n.takeMember(now, m)...)
	}
	for _, l := range news.Leads {
		if n.takeLead(l) {
			lead := l
			n.news.Leads = append(n.news.Leads, lead)
			events = append(events, Event{Primary: &lead})
		}
	}
	if news.BundleVersion != nil {
		events = append(events, n.hearVersion(from, *news.BundleVersion)...)
	}
	return events
}

// hearVersion notes a newer bundle, and passes the news on at once: peers
// then pull it along the way that the news came.
func (n *Node) hearVersion(from rosemary.ProxyID, version uint64) []Event {
	if version <= n.version {
		return nil
	}
	if version > n.newest {
		n.newest = version
	}
	return []Event{{BundleVersion: version, From: from}}
}

// takeMember takes in what a peer says of a member.
func (n *Node) takeMember(now time.Time, m rosewire.Member) []Event {
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
		p = &peer{heardAt: now}
		n.peers[id] = p
	} else if p.proven && !newer(m.Incarnation, state, p) {
		return nil
	}
	restarted := m.Incarnation > p.incarnation
	p.member = rosemary.Member{Proxy: id, Zone: rosemary.Zone(m.Zone), Address: m.Address}
	p.incarnation = m.Incarnation
	p.proven = true
	if restarted {
		p.heardAt = now
	}
	return []Event{n.change(now, p, state)}
}

func newer(incarnation uint64, state State, p *peer) bool {
	if incarnation != p.incarnation {
		return incarnation > p.incarnation
	}
	return state > p.state
}

// refute answers a rumour that this proxy is gone.
func (n *Node) refute(m rosewire.Member) {
	if State(m.State) == StateAlive || m.Incarnation < n.incarnation || n.draining {
		return
	}
	n.incarnation = m.Incarnation + 1
	n.news.Members = append(n.news.Members, n.selfNews(StateAlive))
}

// takeLead reports whether a lead is new.
func (n *Node) takeLead(l rosewire.Lead) bool {
	if known, ok := n.leads[l.Database]; ok && known.Term >= l.Term {
		return false
	}
	n.leads[l.Database] = l
	return true
}
