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
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// repairTargets ends the fences of terms that have begun, and demotes primaries
// of earlier terms.
func (r *Replacer) repairTargets(ctx context.Context, view rosefleet.View) {
	for _, t := range view.Targets {
		if t.SeenAt.IsZero() || t.UnreachableFor > 0 || t.ID == view.PrimaryLease.Target {
			continue
		}
		switch {
		case t.Status.PausedTerm > 0 && t.Status.PausedTerm <= view.PrimaryLease.Term:
			r.controlTarget(ctx, t.ID, "resume", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return c.Resume(deadline) })
		case t.Status.Role == rosemary.RolePrimary && t.Status.Term < view.PrimaryLease.Term:
			r.controlTarget(ctx, t.ID, "step down", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return c.StepDown(deadline, view.PrimaryLease.Term)
			})
		}
	}
}

// liftFences ends the fences for a term that hasn't begun.
func (r *Replacer) liftFences(ctx context.Context, view rosefleet.View) {
	for _, t := range view.Targets {
		if t.Status.PausedTerm > view.Term && t.UnreachableFor == 0 {
			_, _ = r.controlTarget(ctx, t.ID, "resume", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return c.Resume(deadline) })
		}
	}
}

func (r *Replacer) controlTarget(ctx context.Context, id rosemary.TargetID, order string, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) (rosemary.Status, error) {
	status, err := r.config.Group.Control(ctx, id, controlTimeout, call)
	klog.InfoS("order given", "group", r.config.Group.Name(), "target", id, "order", order,
		"role", status.Role, "term", status.Term, "held", status.PausedTerm, "position", status.Position.String(), "err", roselog.ErrorMessage(err))
	return status, err
}

// keepFenced fences the replicas at intervals until ctx ends.
func (r *Replacer) keepFenced(ctx context.Context, term uint64, fenced []rosemary.Status) {
	for roseclock.Sleep(ctx, fenceInterval) {
		for _, s := range fenced {
			_, _ = r.controlTarget(ctx, s.Target, "pause", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return c.Pause(deadline, term)
			})
		}
	}
}

// beginAttempt has the attempt go by the target set as it is now; it doesn't change until the
// attempt has ended.
func (r *Replacer) beginAttempt(view rosefleet.View) error {
	r.attempt = attempt{step: "target set"}
	set, ready := r.config.Locks.DecidedSet(r.config.Group.Name())
	if !ready {
		return trace.CompareFailed("the target set hasn't been read since the lock was claimed")
	}
	r.attempt = attempt{step: "step down", set: set, toFence: set.ToFence(r.replacedPrimary(view), registered(view))}
	return nil
}

// replacedPrimary returns the primary that is replaced, which is the newest one known if none is
// registered. Of all targets it alone need not be fenced: no proxy relies on another one, as a later
// primary would be among those to be fenced, and an earlier one has no lease.
func (r *Replacer) replacedPrimary(view rosefleet.View) rosemary.TargetID {
	if view.HasPrimaryTarget {
		return view.PrimaryLease.Target
	}
	known, _ := r.config.Group.LastPrimary()
	if r.reported.Term > known.Term {
		known = r.reported
	}
	if known.Term < view.Term {
		return ""
	}
	return known.Target
}

// registered returns the IDs of the registered targets.
func registered(view rosefleet.View) []rosemary.TargetID {
	ids := make([]rosemary.TargetID, 0, len(view.Targets))
	for _, t := range view.Targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// countingAnswer reports whether all targets that may prove the primary's lease answer this proxy.
func (r *Replacer) countingAnswer(view rosefleet.View) bool {
	set, ready := r.config.Locks.DecidedSet(r.config.Group.Name())
	if !ready {
		return false
	}
	answers := make(map[rosemary.TargetID]bool, len(view.Targets))
	for _, t := range view.Targets {
		answers[t.ID] = !t.SeenAt.IsZero() && t.UnreachableFor == 0
	}
	for _, id := range set.ToFence(r.replacedPrimary(view), registered(view)) {
		if !answers[id] {
			return false
		}
	}
	return true
}

// fence fences the replicas by Conn.Pause, and returns the statuses of those that are fenced. All
// that may prove the primary's lease have to be, as one that isn't would keep it valid.
func (r *Replacer) fence(ctx context.Context, view rosefleet.View, term uint64) ([]rosemary.Status, error) {
	r.attempt.step, r.attempt.fenced = "fence", notFenced(view)
	replicas, answers, errs := r.controlReplicas(ctx, view, "pause", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return c.Pause(deadline, term)
	})
	var fenced []rosemary.Status
	for i, status := range answers {
		if errs[i] == nil && status.PausedTerm != 0 {
			fenced = append(fenced, status)
		}
	}
	for _, id := range r.attempt.toFence {
		if slices.ContainsFunc(fenced, func(s rosemary.Status) bool { return s.Target == id }) {
			continue
		}
		at := slices.IndexFunc(replicas, func(t rosefleet.TargetView) bool { return t.ID == id })
		switch {
		case at < 0:
			return nil, trace.NotFound("target %s may prove the primary's lease to a proxy, and isn't registered", id)
		case errs[at] != nil:
			return nil, trace.ConnectionProblem(errs[at], "replica %s could not be fenced", id)
		}
		return nil, trace.CompareFailed("target %s didn't accept the fence", id)
	}
	return fenced, nil
}

// queryReplicas returns the statuses of the replicas that answer.
func (r *Replacer) queryReplicas(ctx context.Context, view rosefleet.View) []rosemary.Status {
	_, answers, errs := r.controlReplicas(ctx, view, "status", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return c.Status(deadline)
	})
	var statuses []rosemary.Status
	for i, status := range answers {
		if errs[i] == nil {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// controlReplicas calls all targets but the primary at once, and returns them with their answers.
func (r *Replacer) controlReplicas(ctx context.Context, view rosefleet.View, order string, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) ([]rosefleet.TargetView, []rosemary.Status, []error) {
	replicas := replicasOf(view)
	answers, errs := make([]rosemary.Status, len(replicas)), make([]error, len(replicas))
	var tasks errgroup.Group
	for i, t := range replicas {
		tasks.Go(func() error {
			answers[i], errs[i] = r.controlTarget(ctx, t.ID, order, call)
			return nil
		})
	}
	_ = tasks.Wait()
	return replicas, answers, errs
}

// verifyFences checks that no replica has restarted since it was fenced: a
// restart ends the fence, and the replica would extend the primary lease.
func (r *Replacer) verifyFences(ctx context.Context, fenced []rosemary.Status) error {
	var tasks errgroup.Group
	for _, s := range fenced {
		tasks.Go(func() error {
			status, err := r.config.Group.Control(ctx, s.Target, controlTimeout, func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return c.Status(deadline)
			})
			if err == nil && status.PausedTerm < s.PausedTerm {
				return trace.CompareFailed("target %s is no longer fenced, it may have restarted", s.Target)
			}
			return trace.Wrap(err)
		})
	}
	return tasks.Wait()
}
