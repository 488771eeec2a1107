package rosenode

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// settledMembers returns the members that count for homes where not every proxy is one. The
// caller holds the lock.
func (n *Node) settledMembers(members []rosemary.Member, now time.Time) []rosemary.Member {
	if frozen := now.Sub(n.rosterAt); !n.rosterAt.IsZero() && frozen > rosedecision.HandoverTime {
		n.arriveAgainLocked("it stood still")
	}
	n.rosterAt = now
	n.roster = n.roster.WithMembers(members, now)
	return n.roster.Settled(now)
}

// arriveAgain has this proxy give up what it was given of the targets' connections, as
// others may have taken its place, and count as one that arrives.
func (n *Node) arriveAgain(why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arriveAgainLocked(why)
}

func (n *Node) arriveAgainLocked(why string) {
	klog.InfoS("places given up", "why", why)
	n.roster = n.roster.WithArrival(n.config.Self, n.config.Clock.Now())
	for _, g := range n.groups {
		g.handover = rosedecision.Handover{}
	}
}

// observeSettled records that another proxy has long counted this one.
func (n *Node) observeSettled() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster = n.roster.WithSettled(n.config.Self.Proxy, n.config.Clock.Now())
}

// longSettled reports whether this proxy has long counted a home.
func (n *Node) longSettled(home rosemary.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.LongSettled(home.Proxy, n.config.Clock.Now())
}

// connectionWait estimates how long a further request would wait here for a connection to
// a target.
func (n *Node) connectionWait(group string, target rosemary.TargetID) time.Duration {
	g, known := n.Group(group)
	if !known {
		return 0
	}
	return g.ConnectionWait(target)
}
