package rosesupervisor

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// attempt is what an attempt to replace a primary has done so far.
type attempt struct {
	// step names what it does now, in logs.
	step string
	// fenced are the replicas that it has told to be fenced and that weren't before. Fences
	// of earlier attempts stay, as a promotion that those have ordered may still take effect.
	fenced []rosemary.TargetID
	// set is the target set by which it goes, and toFence are the targets that may prove the
	// primary's lease by it.
	set     rosegroup.TargetSet
	toFence []rosemary.TargetID
	// stopped are the proxies that have stopped to use the primary, and allStopped is set if they
	// are all that may.
	stopped    []Stopped
	allStopped bool
	// ordered is set once a promotion may have been ordered.
	ordered bool
}

// giveUp undoes what an attempt has done: its fences, unless a promotion that it ordered may
// still take effect. Those, and what can't be lifted now, are lifted by this proxy or the next
// holder of the lock as ActionUnfence. A primary that the attempt had revoked is used again
// after Guarantee.
func (r *Replacer) giveUp(ctx context.Context, action Action, err error) {
	generation, _, holds := r.config.Locks.Holds(r.config.Group.Name())
	// The fences may be those of the lock's next holder.
	own := holds && generation == r.generation
	klog.InfoS("replacement failed", "group", r.config.Group.Name(), "need", action.String(), "step", r.attempt.step,
		"fenced", len(r.attempt.fenced), "ordered", r.attempt.ordered, "holdsLock", own, "err", roselog.ErrorMessage(err))
	if r.attempt.ordered || !own {
		return
	}
	var tasks errgroup.Group
	for _, id := range r.attempt.fenced {
		tasks.Go(func() error {
			_, _ = r.controlTarget(ctx, id, "resume", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return c.Resume(deadline) })
			return nil
		})
	}
	_ = tasks.Wait()
}

// replicasOf returns all targets but the primary.
func replicasOf(view rosefleet.View) []rosefleet.TargetView {
	return slices.DeleteFunc(slices.Clone(view.Targets), func(t rosefleet.TargetView) bool {
		return t.ID == view.PrimaryLease.Target && view.HasPrimaryTarget
	})
}

// notFenced returns the replicas that aren't fenced.
func notFenced(view rosefleet.View) []rosemary.TargetID {
	var ids []rosemary.TargetID
	for _, t := range replicasOf(view) {
		if t.Status.PausedTerm == 0 {
			ids = append(ids, t.ID)
		}
	}
	return ids
}
