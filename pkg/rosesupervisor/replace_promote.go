package rosesupervisor

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// promoteFenced is promoteBest while proxies may hold a primary lease that only the
// fences keep from being extended. It verifies them, and fences the replicas again
// while the promotion is under way, as a restart ends a fence.
func (r *Replacer) promoteFenced(ctx context.Context, view rosefleet.View, term uint64, fenced, candidates []rosemary.Status, oldPrimary rosemary.Status) error {
	r.attempt.step = "verify fences"
	if err := r.verifyFences(ctx, fenced); err != nil {
		return err
	}
	fenceCtx, stopFencing := context.WithCancel(ctx)
	var fencing errgroup.Group
	fencing.Go(func() error {
		r.keepFenced(fenceCtx, term, fenced)
		return nil
	})
	err := r.promoteBest(ctx, view, fenced, candidates, oldPrimary)
	stopFencing()
	_ = fencing.Wait()
	return err
}

// promoteBest promotes the best of the candidates, some of which are fenced, if it is proved to hold
// every acknowledged commit.
func (r *Replacer) promoteBest(ctx context.Context, view rosefleet.View, fenced, candidates []rosemary.Status, oldPrimary rosemary.Status) error {
	r.attempt.step = "choose a successor"
	term := view.Term + 1
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(s rosemary.Status) bool { return !r.attempt.set.MayPromote(s.Target) })
	successor, found := chooseSuccessor(view, candidates, oldPrimary)
	if !found {
		return trace.CompareFailed("no target to promote among the members of the target set, %v", r.attempt.set.Members)
	}
	successor, err := withPendingOrder(successor, r.unsettledOrder(term), candidates)
	if err != nil {
		return err
	}
	evidence := r.successorEvidence(ctx, view, fenced, oldPrimary)
	at := slices.IndexFunc(candidates, func(s rosemary.Status) bool { return s.Target == successor })
	if err := evidence.Check(candidates[at]); err != nil {
		r.reportNoSuccessor(ctx, view, evidence, err)
		return err
	}
	return r.promote(ctx, term, successor)
}

// unsettledOrder returns the successor of an earlier order for a term that may still take
// effect; none if there is no such order.
func (r *Replacer) unsettledOrder(term uint64) rosemary.TargetID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.term != term || r.config.Clock.Now().Sub(r.orderedAt) >= rosegroup.MaxPromotionTime {
		return ""
	}
	return r.pending.successor
}

// withPendingOrder returns the target to promote while an earlier order may still take effect:
// its target, so that there are not two successors. It fails if that target lacks what the
// chosen one holds, as it did not when the order was given.
func withPendingOrder(chosen, pending rosemary.TargetID, candidates []rosemary.Status) (rosemary.TargetID, error) {
	find := func(id rosemary.TargetID) int {
		return slices.IndexFunc(candidates, func(s rosemary.Status) bool { return s.Target == id })
	}
	at := find(pending)
	switch {
	case at < 0:
		return chosen, nil
	case candidates[at].Position.AtLeast(candidates[find(chosen)].Position):
		return pending, nil
	}
	return "", trace.LimitExceeded("an order to promote %s, which is behind %s now, may still take effect", pending, chosen)
}

// awaitCatchUp waits for a target that isn't leaving to receive the whole log of
// the old primary, and returns the statuses with the newest positions.
func (r *Replacer) awaitCatchUp(ctx context.Context, view rosefleet.View, oldPrimary rosemary.Status, statuses []rosemary.Status) []rosemary.Status {
	deadline := time.Now().Add(catchUpTimeout)
	for time.Now().Before(deadline) {
		for i, s := range statuses {
			if s.Target != oldPrimary.Target && s.Position.AtLeast(oldPrimary.Position) && !isLeaving(view, s.Target) {
				return statuses
			}
			status, err := r.config.Group.Control(ctx, s.Target, controlTimeout, func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return c.Status(deadline)
			})
			if err == nil && s.Target != oldPrimary.Target {
				statuses[i] = status
			}
		}
		if !roseclock.Sleep(ctx, replacerInterval) {
			break
		}
	}
	return statuses
}

func isLeaving(view rosefleet.View, id rosemary.TargetID) bool {
	for _, t := range view.Targets {
		if t.ID == id {
			return t.Leaving
		}
	}
	return true
}

// chooseSuccessor returns the target with the greatest position. One that is
// leaving, or has just stepped down, is chosen only if no other has as great a
// position.
func chooseSuccessor(view rosefleet.View, fenced []rosemary.Status, oldPrimary rosemary.Status) (rosemary.TargetID, bool) {
	var best rosemary.Status
	found := false
	better := func(a, b rosemary.Status) bool {
		if c := a.Position.Compare(b.Position); c != 0 {
			return c > 0
		}
		return !isLeaving(view, a.Target) && isLeaving(view, b.Target) || b.Target == oldPrimary.Target
	}
	for _, s := range fenced {
		if !found || better(s, best) {
			best, found = s, true
		}
	}
	return best.Target, found
}

// errLockLost ends an attempt before it requests a promotion.
var errLockLost = trace.AccessDenied("failover lock was lost, or claimed anew, since the replacement began; it starts over if the lock is held")

// promote requests the promotion and waits for the successor to become primary.
// A request whose outcome is unknown is repeated for the same successor, as it
// may still take effect.
func (r *Replacer) promote(ctx context.Context, term uint64, successor rosemary.TargetID) error {
	var err error
	for range promoteAttempts {
		err = r.requestPromotion(ctx, successor)
		if trace.IsAccessDenied(err) {
			break
		}
		if err == nil || trace.IsCompareFailed(err) {
			r.pending = pendingOrder{}
			break
		}
		r.pending = pendingOrder{successor: successor, term: term}
		if !roseclock.Sleep(ctx, replaceRetryDelay) {
			return err
		}
	}
	if err != nil {
		return err
	}
	r.attempt.step = "takeover"
	deadline := time.Now().Add(takeoverTimeout)
	for time.Now().Before(deadline) && roseclock.Sleep(ctx, replacerInterval) {
		view := r.config.Group.View()
		if view.HasPrimaryLease && view.PrimaryLease.Target == successor {
			r.recordTakeover(successor, view.PrimaryLease.Term)
			klog.InfoS("replacement done", "group", r.config.Group.Name(), "primary", successor, "term", view.PrimaryLease.Term)
			return nil
		}
	}
	return trace.LimitExceeded("target %s did not become primary in time", successor)
}

// requestPromotion requests a promotion if this proxy still holds the failover lock
// under the generation with which the attempt began.
func (r *Replacer) requestPromotion(ctx context.Context, target rosemary.TargetID) error {
	generation, until, holds := r.config.Locks.Holds(r.config.Group.Name())
	if !holds || generation != r.generation {
		return errLockLost
	}
	r.recordCurrent(target)
	now := r.config.Clock.Now()
	timeout := orderTimeout(now, until)
	r.attempt.step, r.attempt.ordered = "order", true
	r.recordOrder(now.Add(timeout), target)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.config.Promoter.Promote(ctx, r.config.Group.Name(), target, string(r.config.Self), generation)
	klog.InfoS("promotion ordered", "group", r.config.Group.Name(), "target", target, "generation", generation,
		"dutyUntil", until.Sub(r.config.Clock.Now()), "took", r.config.Clock.Now().Sub(now), "err", roselog.ErrorMessage(err))
	// The call may have lasted longer than its timeout if the VM was suspended.
	r.recordOrder(r.config.Clock.Now(), target)
	return err
}

// orderTimeout returns how long an order may take that is given under a lock held until a time,
// as it must not outlive the lock.
func orderTimeout(now, heldUntil time.Time) time.Duration {
	return min(promoteTimeout, heldUntil.Sub(now))
}

// recordCurrent records before an order that its target is the present primary, which the order
// doesn't change.
func (r *Replacer) recordCurrent(target rosemary.TargetID) {
	proof := r.newPrimaryProof()
	r.mu.Lock()
	defer r.mu.Unlock()
	if proof.primary == target && r.isCurrent(proof) {
		r.ordered = orders{target: target, generation: r.generation, term: proof.term}
	}
}

// recordOrder records that a request for a promotion ends at a time at the latest.
func (r *Replacer) recordOrder(end time.Time, target rosemary.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ordered.target != target || r.ordered.generation != r.generation {
		r.ordered = orders{target: target, generation: r.generation}
	}
	if end.After(r.orderedAt) {
		r.orderedAt = end
	}
}
