package rosesupervisor

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
)

// awaitLeaseExpiry returns once no proxy uses the old primary any more: when the
// longest possible primary lease has expired, or as soon as all proxies confirm
// that they have stopped. The latter suffices only if the primary's VM refuses
// connections, as a proxy unknown to this one then can't use the primary either.
func (r *Replacer) awaitLeaseExpiry(ctx context.Context, view rosefleet.View) bool {
	r.attempt.step = "wait for leases"
	fencedAt := time.Now()
	if view.HasPrimaryTarget && view.PrimaryTarget.ConnectionRefused && r.config.Voters != nil && r.revokeOnAllProxies(ctx, view.Term) {
		return true
	}
	return roseclock.Sleep(ctx, time.Until(fencedAt.Add(leaseWait)))
}

// awaitLeaseTime returns once every primary lease that is not extended has expired.
func (r *Replacer) awaitLeaseTime(ctx context.Context) bool { return roseclock.Sleep(ctx, leaseWait) }

// answersAgain reports whether a primary that was unresponsive answers now, so
// that it doesn't have to be replaced.
func (r *Replacer) answersAgain(view rosefleet.View) bool {
	current := r.config.Group.View()
	return view.HasPrimaryTarget && view.PrimaryTarget.UnreachableFor > 0 && !view.PrimaryTarget.ConnectionRefused &&
		current.HasPrimaryTarget && current.PrimaryLease.Target == view.PrimaryLease.Target && current.PrimaryTarget.UnreachableFor == 0
}

// revokeOnAllProxies asks every proxy to stop using the primary of term, and
// reports whether all that are registered, or live as far as is known, have. They have to
// be a majority: one that is neither may use the primary while a majority knows it.
func (r *Replacer) revokeOnAllProxies(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	r.config.Group.RevokePrimary(term)
	if r.config.Clock.Now().Sub(r.config.Locks.HeldSince(r.config.Group.Name())) < rosegroup.PrimaryLeaseTime {
		// Guarantees of the lock's last holder, which aren't known here, may last.
		return false
	}
	members, err := r.config.Locks.ReadMembers(ctx)
	if err != nil {
		return false
	}
	replies, required := r.config.Voters.RevokePrimary(ctx, r.config.Group.Name(), term)
	r.attempt.stopped = replies
	stopped := proxiesOf(replies)
	if proxy, found := r.guaranteedBut(append(stopped, r.config.Self)); found {
		klog.InfoS("not all have stopped", "group", r.config.Group.Name(), "term", term, "guaranteed", proxy)
		return false
	}
	if missing, found := r.missingFrom(stopped, members, required); found {
		klog.InfoS("not all have stopped", "group", r.config.Group.Name(), "term", term, "missing", missing)
		return false
	}
	if !r.config.Voters.IsMajority(len(stopped) + 1) {
		klog.InfoS("not all have stopped", "group", r.config.Group.Name(), "term", term, "stopped", stopped, "why", "no majority")
		return false
	}
	r.attempt.allStopped = true
	return true
}
