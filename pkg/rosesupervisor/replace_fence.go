package rosesupervisor

import (
	"context"
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

// fence fences every replica by Conn.Pause, and returns their statuses. All have to
// be fenced, as one that isn't would keep the primary lease valid.
func (r *Replacer) fence(ctx context.Context, view rosefleet.View, term uint64) ([]rosemary.Status, error) {
	r.attempt.step, r.attempt.fenced = "fence", notFenced(view)
	answers, errs := r.controlReplicas(ctx, view, "pause", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return c.Pause(deadline, term)
	})
	var fenced []rosemary.Status
	var failed error
	for i, status := range answers {
		switch {
		case errs[i] != nil:
			failed = errs[i]
		case status.PausedTerm == 0:
			failed = trace.CompareFailed("target %s didn't accept the fence", status.Target)
		default:
			fenced = append(fenced, status)
		}
	}
	if failed != nil {
		return nil, trace.ConnectionProblem(failed, "a replica could not be fenced")
	}
	return fenced, nil
}

// queryReplicas returns the statuses of the replicas that answer.
func (r *Replacer) queryReplicas(ctx context.Context, view rosefleet.View) []rosemary.Status {
	answers, errs := r.controlReplicas(ctx, view, "status", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
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

// controlReplicas calls all targets but the primary at once.
func (r *Replacer) controlReplicas(ctx context.Context, view rosefleet.View, order string, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) ([]rosemary.Status, []error) {
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
	return answers, errs
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
