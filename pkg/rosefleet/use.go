package rosefleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// farBehind is by how much a replica has to be too far behind for a read not to be tried on
// it. Below that the estimate of its lag is too coarse.
const farBehind = 500 * time.Millisecond

// useReportInterval separates the log lines about the use of one target.
const useReportInterval = time.Second

// reportedUse is what was last logged about the use of a target for reads.
type reportedUse struct {
	unused rosedecision.Unused
	at     time.Time
	// changes counts the changes since that weren't logged.
	changes int
	last    rosedecision.Unused
}

// use returns what is known of e for a read that needs position. The lock must be held.
func (g *Group) use(e *endpoint, primary rosegroup.PrimaryLease, valid bool, now time.Time, position rosemary.Position) rosedecision.Use {
	status, _, seen := g.primaryTracker.Status(e.target.ID)
	isPrimary := e.target.ID == primary.Target
	use := rosedecision.Use{
		Seen: seen, Lost: !e.unreachableSince.IsZero(), Leaving: e.leaving,
		Primary: isPrimary, Certain: valid, ClaimsPrimary: status.Role != rosemary.RoleReplica,
		PositionKnown: !position.IsZero(), BehindUntil: e.behindUntil, FullUntil: e.fullUntil,
	}
	if isPrimary {
		use.Leaving = e.pastLeavingGrace(now)
		return use
	}
	if now.Before(e.behindUntil) || now.Before(e.fullUntil) {
		use.CaughtUp = g.caughtUp(e, now, position)
	}
	use.FarBehind = g.isFarBehind(e, now, position)
	return use
}

// isFarBehind reports whether a replica is known to be farBehind or more from position. The
// lock must be held.
func (g *Group) isFarBehind(e *endpoint, now time.Time, position rosemary.Position) bool {
	if e.lag <= farBehind || now.Sub(e.lagAt) > maxLagAge {
		return false
	}
	reachedAt := g.primaryTracker.ReachedAt(position)
	return reachedAt.IsZero() || now.Add(farBehind-e.lag).Before(reachedAt)
}

// reportUse logs whether and why not e is used for reads when that changes, at most once
// in useReportInterval. The lock must be held.
func (g *Group) reportUse(e *endpoint, unused rosedecision.Unused, now time.Time, wanted rosemary.Position) {
	r := &e.reported
	if unused != r.last {
		r.last = unused
		r.changes++
	}
	if unused == r.unused || now.Sub(r.at) < useReportInterval {
		return
	}
	status, seenAt, _ := g.primaryTracker.Status(e.target.ID)
	klog.InfoS("use of target changed", "group", g.config.Name, "target", e.target.ID, "unused", string(unused), "before", string(r.unused),
		"changes", r.changes, "lag", e.lag, "lagAge", now.Sub(e.lagAt), "saysLag", status.ReportedLag, "applied", status.Applied, "received", status.Position, "wanted", wanted,
		"paused", status.PausedTerm, "statusAge", now.Sub(seenAt))
	r.unused, r.at, r.changes = unused, now, 0
}

// viewedMaxAge is the age of the data that a read accepts for which Uses tells the use of the
// targets.
const viewedMaxAge = time.Second

// TargetUse tells whether a target is used for reads, and if not, why.
type TargetUse struct {
	Group  string
	Target rosemary.TargetID
	Zone   rosemary.Zone
	Role   rosemary.Role
	// Unused is empty if the target is used.
	Unused rosedecision.Unused
	// Lag is how far behind the primary the target was LagAge ago. ReportedLag is what it
	// tells itself, if this proxy knows that.
	Lag, LagAge, ReportedLag time.Duration
	// Applied and Received are its positions StatusAge ago.
	Applied, Received string
	StatusAge         time.Duration
}

// Uses returns the use of the group's targets for a read that accepts data one second old.
func (g *Group) Uses() []TargetUse {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	primary, known := g.primaryTracker.Primary()
	valid := known && g.config.AllowPrimary(now) && now.Before(primary.ValidUntil)
	position, _ := g.primaryTracker.MinPosition(now.Add(-viewedMaxAge))
	var uses []TargetUse
	for id, e := range g.endpoints {
		status, seenAt, seen := g.primaryTracker.Status(id)
		use := TargetUse{Group: g.config.Name, Target: id, Zone: e.target.Zone, Unused: g.use(e, primary, valid, now, position).Unused(now)}
		if seen {
			use.Role, use.ReportedLag, use.StatusAge = status.Role, status.ReportedLag, now.Sub(seenAt)
			use.Applied, use.Received = status.Applied.String(), status.Position.String()
		}
		if !e.lagAt.IsZero() {
			use.Lag, use.LagAge = e.lag, now.Sub(e.lagAt)
		}
		uses = append(uses, use)
	}
	return uses
}
