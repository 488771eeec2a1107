package rosenode

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// factsInterval separates questions for the statuses that others sample.
	factsInterval = 250 * time.Millisecond
	// factsTimeout bounds the wait for a reply.
	factsTimeout = 200 * time.Millisecond
)

// followFacts gets the statuses of targets from the proxies that sample them:
// one for each group, so that targets aren't asked by every proxy.
func (n *Node) followFacts(ctx context.Context) {
	for roseclock.Sleep(ctx, factsInterval) {
		for _, source := range n.sources() {
			n.askFacts(ctx, source)
		}
	}
}

// sources returns the proxies that sample a group for this one.
func (n *Node) sources() []rosemary.ProxyID {
	c := n.configuration.Load()
	if c == nil {
		return nil
	}
	live := n.mesh.LiveMembers()
	seen := map[rosemary.ProxyID]bool{n.config.Self.Proxy: true}
	var sources []rosemary.ProxyID
	for _, name := range n.homeGroups() {
		all := n.homesOf(name, c)
		serving := slices.DeleteFunc(slices.Clone(live), func(m rosemary.Member) bool { return !isHome(m.Proxy, all) })
		if len(serving) == 0 {
			continue
		}
		first := rosepeer.RendezvousOrder("sample/"+name, serving)[0].Proxy
		if !seen[first] {
			seen[first] = true
			sources = append(sources, first)
		}
	}
	return sources
}

// askFacts takes in the statuses that a proxy has sampled. Their age counts
// from before the question was sent, so the way of the reply makes no status
// look younger than it is.
func (n *Node) askFacts(ctx context.Context, source rosemary.ProxyID) {
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	askedAt := n.config.Clock.Now()
	reply, answered := n.mesh.Query(ctx, source, rosewire.Question{About: rosepeer.AboutTargetStatuses})
	if !answered {
		return
	}
	byGroup := make(map[string][]rosegroup.SharedStatus)
	for _, f := range reply.Facts {
		byGroup[f.Group] = append(byGroup[f.Group], sharedOf(f, askedAt))
	}
	for name, shared := range byGroup {
		if g, found := n.Group(name); found {
			g.ObserveShared(shared)
		}
	}
}

// facts returns the statuses that this proxy has sampled itself.
func (n *Node) facts() []rosewire.Fact {
	now := n.config.Clock.Now()
	var facts []rosewire.Fact
	for _, name := range n.groupNames() {
		g, found := n.Group(name)
		if !found {
			continue
		}
		for _, s := range g.RecentStatuses() {
			facts = append(facts, factOf(name, s, now))
		}
	}
	return facts
}

func factOf(group string, s rosegroup.SharedStatus, now time.Time) rosewire.Fact {
	fact := rosewire.Fact{
		Group:         group,
		Target:        string(s.Status.Target),
		Primary:       s.Status.Role == rosemary.RolePrimary,
		Term:          s.Status.Term,
		Held:          s.Status.PausedTerm,
		LogTerm:       s.Status.Position.LogTerm,
		Offset:        s.Status.Position.Offset,
		AppliedTerm:   s.Status.Applied.LogTerm,
		AppliedOffset: s.Status.Applied.Offset,
		// Rounded up: an age must not be understated.
		AgeMs: uint64(now.Sub(s.SentAt).Milliseconds()) + 1,
	}
	if !s.UnfencedSince.IsZero() {
		fact.FreeMs = uint64(s.SentAt.Sub(s.UnfencedSince).Milliseconds())
	}
	return fact
}

func sharedOf(f rosewire.Fact, askedAt time.Time) rosegroup.SharedStatus {
	role := rosemary.RoleReplica
	if f.Primary {
		role = rosemary.RolePrimary
	}
	sentAt := askedAt.Add(-time.Duration(f.AgeMs) * time.Millisecond)
	return rosegroup.SharedStatus{
		Status: rosemary.Status{
			Target:     rosemary.TargetID(f.Target),
			Role:       role,
			Term:       f.Term,
			PausedTerm: f.Held,
			Position:   rosemary.Position{LogTerm: f.LogTerm, Offset: f.Offset},
			Applied:    rosemary.Position{LogTerm: f.AppliedTerm, Offset: f.AppliedOffset},
		},
		SentAt:        sentAt,
		UnfencedSince: sentAt.Add(-time.Duration(f.FreeMs) * time.Millisecond),
	}
}
