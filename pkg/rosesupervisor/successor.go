package rosesupervisor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// proxyMemory is how long a proxy that is gone may still be needed as evidence.
	proxyMemory = 5 * time.Minute
	// acknowledgeMargin is how long before the last status of a primary proxies that were gone by then
	// may have passed on acknowledgements that it doesn't include.
	acknowledgeMargin = time.Second
)

// Stopped is what a proxy tells that has stopped to use a primary.
type Stopped struct {
	Proxy rosemary.ProxyID
	// Acknowledged are the commits of which it has told callers. RecordsFor is for how long its
	// process has recorded them, zero if it doesn't.
	Acknowledged rosefleet.Acknowledged
	RecordsFor   time.Duration
}

// proxiesOf returns the proxies that have stopped.
func proxiesOf(stopped []Stopped) []rosemary.ProxyID {
	ids := make([]rosemary.ProxyID, 0, len(stopped))
	for _, s := range stopped {
		ids = append(ids, s.Proxy)
	}
	return ids
}

// SuccessorEvidence is what is known of where the acknowledged commits of a term are, of a group whose
// primary acknowledges a commit once SyncReplicas replicas have received it.
type SuccessorEvidence struct {
	SyncReplicas int
	// Unfenced are the targets that may have received commits and aren't fenced, but for the
	// primary.
	Unfenced []rosemary.TargetID
	// Received is the greatest position of the targets that are fenced, not all of which may be
	// promoted.
	Received rosemary.Position
	// Acknowledged is a position at or after each commit of which a caller was told, if AllTold is set.
	// Otherwise Untold is a proxy whose acknowledgements aren't known.
	Acknowledged rosemary.Position
	AllTold      bool
	Untold       rosemary.ProxyID
	// SteppedDown is the position of the primary after it has stepped down, zero if it hasn't.
	SteppedDown rosemary.Position
}

// Check returns why it isn't proved that a candidate holds every acknowledged commit; nil if it is
// proved.
func (e SuccessorEvidence) Check(candidate rosemary.Status) error {
	switch {
	case e.SyncReplicas == 0:
		// Commits are acknowledged before any replica has received them.
		return nil
	case !e.SteppedDown.IsZero() && candidate.Position.AtLeast(e.SteppedDown):
		return nil
	case len(e.Unfenced) < e.SyncReplicas && candidate.Position.AtLeast(e.Received):
		// Each commit was received by a fenced one too.
		return nil
	case e.AllTold && candidate.Position.AtLeast(e.Acknowledged):
		return nil
	}
	return trace.CompareFailed("target %s at %s isn't proved to hold every acknowledged commit: "+
		"fenced targets have received up to %s, %v may have received commits too, callers may have been told of commits up to %s, or beyond by %q; start one of those targets",
		candidate.Target, candidate.Position, e.Received, e.Unfenced, e.Acknowledged, e.Untold)
}

// recordProxies records which proxies are known, as one that is gone when the primary is replaced may
// have passed on acknowledgements.
func (r *Replacer) recordProxies() {
	if r.config.SyncReplicas() == 0 {
		clear(r.known)
		return
	}
	now := r.config.Clock.Now()
	for _, m := range r.config.Locks.Members() {
		r.known[m.Proxy] = now
	}
	if r.config.Voters != nil {
		for _, id := range r.config.Voters.Others() {
			r.known[id] = now
		}
	}
	maps.DeleteFunc(r.known, func(_ rosemary.ProxyID, at time.Time) bool { return now.Sub(at) > proxyMemory })
}

// successorEvidence gathers what is known of the acknowledged commits once no proxy uses the old
// primary any more. fenced are the targets whose fences were verified.
func (r *Replacer) successorEvidence(ctx context.Context, view rosefleet.View, fenced []rosemary.Status, oldPrimary rosemary.Status) SuccessorEvidence {
	e := SuccessorEvidence{SyncReplicas: r.config.SyncReplicas(), SteppedDown: oldPrimary.Position}
	if e.SyncReplicas == 0 || oldPrimary.Target != "" {
		return e
	}
	if !r.attempt.allStopped && r.config.Voters != nil {
		r.revokeOnAllProxies(ctx, view.Term)
	}
	own := r.config.Group.Acknowledged()
	primary, seenAt := r.replacedPrimary(view), r.config.Group.LastPrimarySeenAt()
	last, _ := r.config.Group.LastPrimary()
	e.Acknowledged = greaterPosition(own.Position, last.Position)
	received := slices.Concat(registered(view), r.attempt.set.Members, r.attempt.set.Retiring, own.Listed)
	if r.attempt.set.FormerTerm >= view.Term {
		received = append(received, r.attempt.set.Former...)
	}
	for _, s := range fenced {
		e.Received = greaterPosition(e.Received, s.Position)
	}
	for _, s := range r.attempt.stopped {
		e.Acknowledged = greaterPosition(e.Acknowledged, s.Acknowledged.Position)
		received = append(received, s.Acknowledged.Listed...)
	}
	isFenced := func(id rosemary.TargetID) bool {
		return id == primary || slices.ContainsFunc(fenced, func(s rosemary.Status) bool { return s.Target == id })
	}
	e.Unfenced = slices.Compact(slices.Sorted(slices.Values(slices.DeleteFunc(received, isFenced))))
	e.Untold, e.AllTold = r.untoldProxy(primary == last.Target && last.Term >= view.Term, seenAt)
	return e
}

// untoldProxy returns a proxy that may have passed on acknowledgements since the last status of the
// primary and hasn't told of them, or true if there is none. It is empty if it isn't known which.
func (r *Replacer) untoldProxy(lastKnown bool, lastSeenAt time.Time) (rosemary.ProxyID, bool) {
	if !lastKnown || !r.attempt.allStopped {
		return "", false
	}
	since := lastSeenAt.Add(-acknowledgeMargin)
	if r.config.Group.Acknowledged().Since.After(since) {
		return r.config.Self, false
	}
	needed := r.config.Clock.Now().Sub(since)
	told := map[rosemary.ProxyID]bool{r.config.Self: true}
	for _, s := range r.attempt.stopped {
		if s.RecordsFor < needed {
			return s.Proxy, false
		}
		told[s.Proxy] = true
	}
	for id, at := range r.known {
		if !told[id] && !at.Before(since) {
			return id, false
		}
	}
	return "", true
}

// reportNoSuccessor logs why no target is promoted, and has the proxies refuse what needs the
// primary.
func (r *Replacer) reportNoSuccessor(ctx context.Context, view rosefleet.View, e SuccessorEvidence, err error) {
	klog.InfoS("successor not proved", "group", r.config.Group.Name(), "term", view.Term, "syncReplicas", e.SyncReplicas, "unfenced", e.Unfenced,
		"acknowledged", e.Acknowledged.String(), "allTold", e.AllTold, "untold", e.Untold, "err", roselog.ErrorMessage(err))
	r.config.Group.ObserveNoSuccessor(view.Term)
	if r.config.Voters != nil {
		r.config.Voters.ReportNoSuccessor(ctx, r.config.Group.Name(), view.Term)
	}
}

func greaterPosition(a, b rosemary.Position) rosemary.Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}
