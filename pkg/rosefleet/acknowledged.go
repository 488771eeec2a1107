package rosefleet

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// noSuccessorTime is how long no primary is expected after the lock's holder has said that it can't
// have a successor promoted. It tries again, and says so again, more often.
const noSuccessorTime = 2 * time.Second

// Acknowledged is what this process knows of the commits of which callers were told.
type Acknowledged struct {
	// Position is at or after each of them.
	Position rosemary.Position
	// Since is from when on this process has recorded them.
	Since time.Time
	// Listed are the targets that may have received them: those that were registered at any time
	// since the last change of primary.
	Listed []rosemary.TargetID
}

// Acknowledged returns what this process knows of the acknowledged commits of the group.
func (g *Group) Acknowledged() Acknowledged {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Acknowledged{Position: g.acknowledged, Since: g.createdAt, Listed: slices.Sorted(maps.Keys(g.listed))}
}

// recordAcknowledged records the answer to a statement at the primary, before its caller gets it. The
// answer to a commit carries the position of the primary's whole log, which may be later.
func (l *ConnLease) recordAcknowledged(statement rosemary.Statement, answer rosemary.Answer) {
	if l.term == 0 || answer.Digest == "" || statement.Kind != rosemary.StatementCommit && !statement.Writes {
		return
	}
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	if answer.Position.Compare(l.group.acknowledged) > 0 {
		l.group.acknowledged = answer.Position
	}
}

// ObserveNoSuccessor records that the holder of the failover lock can't have a successor of the
// primary of a term promoted for now, as none is proved to hold every acknowledged commit.
func (g *Group) ObserveNoSuccessor(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	if !now.Before(g.noSuccessorUntil) || g.noSuccessorTerm != term {
		klog.InfoS("no primary expected", "group", g.config.Name, "term", term, "why", "no target is proved to hold every acknowledged commit")
	}
	g.noSuccessorTerm, g.noSuccessorUntil = term, now.Add(noSuccessorTime)
	g.notifyWaiters()
}

// expectsNoPrimary reports whether a request that needs the primary would wait for nothing.
func (g *Group) expectsNoPrimary() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Clock.Now().Before(g.noSuccessorUntil) && g.primaryTracker.Term() <= g.noSuccessorTerm
}
