package rosenode

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// statusPollInterval is how often this proxy polls the statuses of targets
	// from the proxies that sample them.
	statusPollInterval = 250 * time.Millisecond
	// statusPollTimeout bounds the wait for a reply.
	statusPollTimeout = 200 * time.Millisecond
	// minSharedLag is the least lag told by a target that is passed on.
	minSharedLag = time.Second
)

// pollStatuses polls the statuses of targets from other proxies. One proxy
// samples the targets of a group for the others, so that targets don't have to
// answer every proxy.
func (n *Node) pollStatuses(ctx context.Context) {
	unanswered := make(map[rosemary.ProxyID]bool)
	for roseclock.Sleep(ctx, statusPollInterval) {
		for _, source := range n.statusSources() {
			answered := n.pollStatusesFrom(ctx, source)
			if !answered && !unanswered[source] {
				// The source may be on the other side of a partition, like the
				// targets that it has sampled for this proxy.
				n.zoneSuspected.Store(true)
			}
			unanswered[source] = !answered
		}
	}
}

// statusSources returns the other proxies that sample the targets of this proxy's
// home groups.
func (n *Node) statusSources() []rosemary.ProxyID {
	seen := map[rosemary.ProxyID]bool{n.config.Self.Proxy: true}
	var sources []rosemary.ProxyID
	for _, name := range n.homeGroups() {
		entry, _ := n.homesOf(name)
		liveHomes := n.mesh.FilterLive(entry.homes)
		if len(liveHomes) == 0 {
			continue
		}
		source := rosepeer.RendezvousOrder("sample/"+name, liveHomes)[0].Proxy
		if !seen[source] {
			seen[source] = true
			sources = append(sources, source)
		}
	}
	return sources
}

// pollStatusesFrom asks a proxy for the statuses that it has sampled, and passes
// them to this proxy's groups. Their ages count from before the question was
// sent, so that the transfer of the reply makes no status look newer than it is. It
// reports whether the proxy answered.
func (n *Node) pollStatusesFrom(ctx context.Context, source rosemary.ProxyID) bool {
	ctx, cancel := context.WithTimeout(ctx, statusPollTimeout)
	defer cancel()
	askedAt := n.config.Clock.Now()
	reply, answered := n.mesh.Query(ctx, source, rosewire.Question{About: rosepeer.AboutTargetStatuses})
	if !answered {
		return false
	}
	byGroup := make(map[string][]rosegroup.SharedStatus)
	for _, f := range reply.Facts {
		byGroup[f.Group] = append(byGroup[f.Group], decodeStatus(f, askedAt))
	}
	for name, statuses := range byGroup {
		if g, found := n.Group(name); found {
			g.ObserveShared(statuses)
		}
	}
	return true
}

// recentStatuses returns the recent statuses that this proxy has sampled itself.
func (n *Node) recentStatuses() []rosewire.Fact {
	now := n.config.Clock.Now()
	var facts []rosewire.Fact
	for _, name := range n.groupNames() {
		g, found := n.Group(name)
		if !found {
			continue
		}
		for _, s := range g.RecentStatuses() {
			facts = append(facts, encodeStatus(name, s, now))
		}
	}
	return facts
}

func encodeStatus(group string, s rosegroup.SharedStatus, now time.Time) rosewire.Fact {
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
		// Rounded up, as an age must not be understated.
		AgeMs: uint64(now.Sub(s.SentAt).Milliseconds()) + 1,
	}
	if !s.UnfencedSince.IsZero() {
		fact.FreeMs = uint64(s.SentAt.Sub(s.UnfencedSince).Milliseconds())
	}
	if lag := s.Status.ReportedLag; lag >= minSharedLag {
		lagMs := uint64(lag.Milliseconds())
		fact.LagMs = &lagMs
	}
	return fact
}

func decodeStatus(f rosewire.Fact, askedAt time.Time) rosegroup.SharedStatus {
	role := rosemary.RoleReplica
	if f.Primary {
		role = rosemary.RolePrimary
	}
	lag := time.Duration(0)
	if f.LagMs != nil {
		lag = time.Duration(*f.LagMs) * time.Millisecond
	}
	sentAt := askedAt.Add(-time.Duration(f.AgeMs) * time.Millisecond)
	return rosegroup.SharedStatus{
		Status: rosemary.Status{
			Target:     rosemary.TargetID(f.Target),
			Role:       role,
			Term:       f.Term,
			PausedTerm: f.Held, ReportedLag: lag,
			Position: rosemary.Position{LogTerm: f.LogTerm, Offset: f.Offset},
			Applied:  rosemary.Position{LogTerm: f.AppliedTerm, Offset: f.AppliedOffset},
		},
		SentAt: sentAt,
		// Without a FreeMs, the target counts as unfenced from sentAt on.
		UnfencedSince: sentAt.Add(-time.Duration(f.FreeMs) * time.Millisecond),
	}
}
