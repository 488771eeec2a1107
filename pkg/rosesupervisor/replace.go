package rosesupervisor

import (
	"context"
	"slices"
	"sync"
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

const (
	// connRefusedDelay is how long connections to a primary have to be refused
	// before the other proxies are polled about it.
	connRefusedDelay = 80 * time.Millisecond
	// unresponsiveDelay is how long a primary has to be unresponsive before the
	// other proxies are polled. If they agree, its replicas are fenced; a
	// successor is promoted only if the primary is still unresponsive when the
	// primary lease has expired.
	unresponsiveDelay = 400 * time.Millisecond
	// reportDelay is how long a primary has to be unresponsive for a proxy before
	// that proxy reports it to the holder of the failover lock, to whom the
	// primary may still respond.
	reportDelay = 700 * time.Millisecond
	// unknownPrimaryDelay is how long a group has to be without a primary
	// before one is promoted.
	unknownPrimaryDelay = 700 * time.Millisecond
	// controlTimeout bounds one control call to a target.
	controlTimeout = 400 * time.Millisecond
	// catchUpTimeout bounds the wait for a successor to receive the whole log of
	// a primary that has stepped down.
	catchUpTimeout = 700 * time.Millisecond
	// promoteTimeout bounds one request for a promotion.
	promoteTimeout = 1200 * time.Millisecond
	// promoteAttempts bounds the requests to promote one successor while their
	// outcome is unknown.
	promoteAttempts = 5
	// takeoverTimeout bounds the wait for a successor to become primary.
	takeoverTimeout = 2500 * time.Millisecond
	// clockRateMargin is added to the wait for the primary lease to expire, as
	// clocks of different VMs run at slightly different rates.
	clockRateMargin = 20 * time.Millisecond
	// leaseWait is how long after the last fence every primary lease has expired.
	leaseWait = rosegroup.PrimaryLeaseTime + clockRateMargin
	// peerPollInterval is the least time between polls of, or reports to, the
	// other proxies about one group's primary.
	peerPollInterval = 500 * time.Millisecond
	// peerPollTimeout bounds the wait for the replies of the other proxies.
	peerPollTimeout = 300 * time.Millisecond
	// revokeTimeout bounds the wait for the other proxies to stop using a primary.
	revokeTimeout = 150 * time.Millisecond
	// reportLifetime is how long a report of an unreachable primary counts.
	reportLifetime = 1500 * time.Millisecond
	// replacerInterval is the polling interval of a Replacer.
	replacerInterval = 25 * time.Millisecond
	// fenceInterval separates the fences while a promotion is under way. It is a
	// fraction of the time after which a replica that has restarted would extend a
	// primary lease again.
	fenceInterval = 500 * time.Millisecond
	// plannedRetryDelay separates attempts to replace a primary that answers, each of
	// which interrupts writes.
	plannedRetryDelay = 2 * time.Second
	// replaceRetryDelay follows a failed replacement or promotion request.
	replaceRetryDelay = 100 * time.Millisecond
)

// ReplacerConfig configures a Replacer.
type ReplacerConfig struct {
	Self     rosemary.ProxyID
	Group    *rosefleet.Group
	Locks    *LockManager
	Promoter rosemary.Promoter
	Clock    roseclock.Clock
	// Voters is nil if there are no other proxies.
	Voters Voters
	// ProxyCount returns the number of proxies that use the group's targets.
	ProxyCount func() int
}

// Voters sends requests and reports about a group's primary to the other proxies.
type Voters interface {
	// PollReachability asks all whether they reach the target, until their replies
	// decide the poll, and returns it with the replies.
	PollReachability(ctx context.Context, group string, target rosemary.TargetID, poll Poll) Poll
	// LastPrimary returns the status of the newest primary that any of them knew, as it
	// was while it was primary. It reports false if none knew any.
	LastPrimary(ctx context.Context, group string) (rosemary.Status, bool)
	// RevokePrimary asks all to stop using the primary of term. It returns
	// those that have, and all that were asked.
	RevokePrimary(ctx context.Context, group string, term uint64) (stopped, asked []rosemary.ProxyID)
	// ReportSuspected tells all that the target has just failed to answer this
	// proxy, so that they sample it at once.
	ReportSuspected(ctx context.Context, group string, target rosemary.TargetID)
	// ReportUnreachable tells all that this proxy can't reach the target.
	ReportUnreachable(ctx context.Context, group string, target rosemary.TargetID)
}

// Replacer replaces the primary of a group through the platform's promoter,
// while this proxy holds the group's failover lock.
type Replacer struct {
	config      ReplacerConfig
	actionSince time.Time
	action      Action
	// polledAt is when the other proxies were last polled or sent a report.
	polledAt time.Time
	// suspicionSent is set once the other proxies were told that the primary
	// doesn't answer this one.
	suspicionSent bool
	// pendingSuccessor is the target of a promotion request whose outcome is
	// unknown. The request may still take effect, so no other target is promoted
	// while this one is fenced.
	pendingSuccessor rosemary.TargetID
	// reported is the newest primary that other proxies knew, asked for at reportedAt.
	reported   rosemary.Status
	reportedAt time.Time
	// plannedAfter is when a primary that answers may be replaced, after an attempt
	// that had to promote it again.
	plannedAfter time.Time
	// generation is that of the lock under which the current attempt began.
	generation int64

	mu      sync.Mutex
	reports map[rosemary.ProxyID]unreachableReport
	// replacing is set during an attempt, in which nothing is guaranteed.
	replacing bool
	// orderedAt is when the last request for a promotion ended at the latest.
	orderedAt time.Time
	// guarantees maps proxies to the ends of the guarantees given to them.
	guarantees map[rosemary.ProxyID]time.Time
}

// unreachableReport is another proxy's report that it can't reach a target.
type unreachableReport struct {
	target rosemary.TargetID
	at     time.Time
}

// NewReplacer returns a replacer; Run starts it.
func NewReplacer(config ReplacerConfig) *Replacer {
	return &Replacer{config: config, reports: make(map[rosemary.ProxyID]unreachableReport), guarantees: make(map[rosemary.ProxyID]time.Time)}
}

// RecordUnreachable records that another proxy can't reach a target.
func (r *Replacer) RecordUnreachable(from rosemary.ProxyID, target rosemary.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports[from] = unreachableReport{target, r.config.Clock.Now()}
}

// countReports counts the proxies that have recently reported that they can't
// reach a target.
func (r *Replacer) countReports(target rosemary.TargetID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for from, report := range r.reports {
		if r.config.Clock.Now().Sub(report.at) > reportLifetime {
			delete(r.reports, from)
		} else if report.target == target {
			count++
		}
	}
	return count
}

// Run supervises the group until ctx ends.
func (r *Replacer) Run(ctx context.Context) {
	for roseclock.Sleep(ctx, replacerInterval) {
		view := r.config.Group.View()
		generation, _, holds := r.config.Locks.Holds(r.config.Group.Name())
		if !holds {
			r.assess(view)
			r.reportPrimary(ctx, view)
			continue
		}
		view = r.withReportedPrimary(ctx, view)
		action, due := r.assess(view)
		r.generation = generation
		r.step(ctx, view, action, due)
	}
}

// reportPrimary tells the other proxies, among them the holder of the failover
// lock, that this one can't reach the group's primary.
func (r *Replacer) reportPrimary(ctx context.Context, view rosefleet.View) {
	if r.config.Voters == nil || !view.HasPrimaryTarget || view.PrimaryTarget.UnreachableFor == 0 {
		r.suspicionSent = false
		return
	}
	if !r.suspicionSent {
		r.suspicionSent = true
		r.config.Voters.ReportSuspected(ctx, r.config.Group.Name(), view.PrimaryLease.Target)
	}
	now := r.config.Clock.Now()
	if view.PrimaryTarget.UnreachableFor < reportDelay || now.Sub(r.polledAt) < peerPollInterval {
		return
	}
	r.polledAt = now
	r.config.Voters.ReportUnreachable(ctx, r.config.Group.Name(), view.PrimaryLease.Target)
}

// withReportedPrimary completes a view without a primary, as of a proxy that started
// after the primary failed: if the newest primary that other proxies knew doesn't answer
// this one, it is the one to be replaced. Of all targets it alone need not be fenced.
func (r *Replacer) withReportedPrimary(ctx context.Context, view rosefleet.View) rosefleet.View {
	if view.HasPrimaryLease || view.Term == 0 || r.config.Voters == nil {
		return view
	}
	if now := r.config.Clock.Now(); now.Sub(r.reportedAt) >= peerPollInterval {
		r.reportedAt = now
		ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
		defer cancel()
		if reported, known := r.config.Voters.LastPrimary(ctx, r.config.Group.Name()); known && reported.Term >= r.reported.Term {
			r.reported = reported
		}
	}
	for _, t := range view.Targets {
		if t.ID == r.reported.Target && t.UnreachableFor > 0 && r.reported.Term >= view.Term {
			view.PrimaryLease = rosegroup.PrimaryLease{Target: t.ID, Term: r.reported.Term}
			view.Term = r.reported.Term
			view.PrimaryTarget, view.HasPrimaryLease, view.HasPrimaryTarget = t, true, true
		}
	}
	return view
}

// assess returns the action that the group requires, and whether the condition
// for it has persisted long enough. The time for which the primary has been
// unreachable counts too, also if another action was required meanwhile.
func (r *Replacer) assess(view rosefleet.View) (Action, bool) {
	action, delay := AssessReplacement(view)
	if action == ActionNone && r.unreachableForMany(view) {
		action = ActionReplaceIsolated
	}
	now := r.config.Clock.Now()
	if action != r.action {
		r.action, r.actionSince = action, now
	}
	return action, now.Sub(r.actionSince) >= delay || view.PrimaryTarget.UnreachableFor >= delay && view.PrimaryTarget.UnreachableFor > 0
}

// step takes the action if it is due and the other proxies confirm it. If no
// action is required, it repairs targets.
func (r *Replacer) step(ctx context.Context, view rosefleet.View, action Action, due bool) {
	if action == ActionNone {
		r.repairTargets(ctx, view)
		return
	}
	if action == ActionUnfence {
		if due && r.ordersSettled() {
			r.liftFences(ctx, view)
		}
		return
	}
	if action.planned() && r.config.Clock.Now().Before(r.plannedAfter) {
		return
	}
	if !due || !r.confirmedByPeers(ctx, action, view) {
		return
	}
	klog.InfoS("replacement begins", "group", r.config.Group.Name(), "need", action.String(), "primary", view.PrimaryLease.Target,
		"term", view.Term, "failingFor", view.PrimaryTarget.UnreachableFor, "refused", view.PrimaryTarget.ConnectionRefused, "leaving", view.PrimaryTarget.Leaving)
	r.setReplacing(true)
	err := r.replace(ctx, action, view)
	r.setReplacing(false)
	if err != nil {
		klog.InfoS("replacement failed", "group", r.config.Group.Name(), "need", action.String(), "err", roselog.ErrorMessage(err))
		roseclock.Sleep(ctx, replaceRetryDelay)
	}
	r.action = ActionNone
}

// unreachableForMany reports whether so many other proxies can't reach the
// primary that it should be replaced, though it answers this one.
func (r *Replacer) unreachableForMany(view rosefleet.View) bool {
	reports := r.countReports(view.PrimaryLease.Target)
	return reports > 0 && float64(reports) >= unreachableShare*float64(r.config.ProxyCount())
}

// confirmedByPeers polls the other proxies before a primary is replaced: it may
// be this proxy that is partitioned, and a partition may look like a refused
// connection too.
func (r *Replacer) confirmedByPeers(ctx context.Context, action Action, view rosefleet.View) bool {
	members := len(r.config.Locks.Members())
	if action == ActionSwitchover || r.config.Voters == nil || members <= 1 {
		return true
	}
	now := r.config.Clock.Now()
	if now.Sub(r.polledAt) < peerPollInterval {
		return false
	}
	r.polledAt = now
	pollCtx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	poll := r.config.Voters.PollReachability(pollCtx, r.config.Group.Name(), view.PrimaryLease.Target, Poll{
		Members: members, PrimaryKnown: view.HasPrimaryTarget, ReplicasAnswer: replicasAnswer(view),
	})
	agreed := poll.Agreed()
	klog.InfoS("primary in doubt", "group", r.config.Group.Name(), "target", view.PrimaryLease.Target, "refused", view.PrimaryTarget.ConnectionRefused,
		"failingFor", view.PrimaryTarget.UnreachableFor, "members", members, "replied", poll.Replied, "reachedBy", poll.ReachedBy, "missedBy", poll.NotReachedBy,
		"replicasAnswer", poll.ReplicasAnswer, "replace", agreed)
	return agreed
}

// AssessReplacement returns the action that the group requires, and how long the
// condition for the action has to persist.
func AssessReplacement(view rosefleet.View) (Action, time.Duration) {
	primary := view.PrimaryTarget
	switch {
	case view.Term == 0 || len(view.Targets) < 2:
		return ActionNone, 0
	case (!view.HasPrimaryLease || !view.HasPrimaryTarget) && anyStatusUnknown(view):
		// The primary may be a target about which nothing is known yet.
		return ActionNone, 0
	case !view.HasPrimaryLease || !view.HasPrimaryTarget:
		return ActionFailover, unknownPrimaryDelay
	case primary.UnreachableFor > 0 && primary.ConnectionRefused:
		return ActionFailover, connRefusedDelay
	case primary.UnreachableFor > 0:
		return ActionFailover, unresponsiveDelay
	case primary.Leaving:
		return ActionSwitchover, 0
	case !view.PrimaryValid && pausedForNewerTerm(view):
		return ActionUnfence, rosegroup.MaxPromotionTime
	}
	return ActionNone, 0
}

// anyStatusUnknown reports whether there is a target of which neither a status
// is known nor that it doesn't answer.
func anyStatusUnknown(view rosefleet.View) bool {
	for _, t := range view.Targets {
		if t.SeenAt.IsZero() && t.UnreachableFor == 0 {
			return true
		}
	}
	return false
}

// pausedForNewerTerm reports whether a replica is fenced for a term that hasn't
// begun.
func pausedForNewerTerm(view rosefleet.View) bool {
	for _, t := range view.Targets {
		if t.Status.PausedTerm > view.Term {
			return true
		}
	}
	return false
}

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

// replace has the primary step down if it answers, and otherwise fences its
// replicas. Once no proxy uses the primary any more, it has a successor promoted.
func (r *Replacer) replace(ctx context.Context, action Action, view rosefleet.View) error {
	term := view.Term + 1
	planned := action.planned()
	if planned {
		if err := r.pingPromoter(ctx); err != nil {
			return err
		}
	}
	steppedDown, oldPrimary := r.demote(ctx, view, action, term)
	if steppedDown {
		return r.replaceSteppedDown(ctx, view, term, oldPrimary)
	}
	if planned {
		return trace.ConnectionProblem(nil, "primary did not step down")
	}
	fenced, err := r.fence(ctx, view, term)
	if err != nil {
		return err
	}
	if !r.awaitLeaseExpiry(ctx, view) {
		return ctx.Err()
	}
	if r.answersAgain(view) {
		r.unfence(ctx, view, fenced)
		return trace.CompareFailed("primary %s answers again, replacement is given up", view.PrimaryLease.Target)
	}
	return r.promoteFenced(ctx, view, term, fenced, fenced, rosemary.Status{})
}

// replaceSteppedDown has the successor of a primary that has stepped down promoted,
// once a replica has received its whole log and no proxy takes answers of the old
// primary for those of a primary. A proxy that hasn't confirmed this relies on the old
// primary until its lease expires, which the replicas extend unless they are fenced.
// If they can't be, the old primary itself is promoted again.
func (r *Replacer) replaceSteppedDown(ctx context.Context, view rosefleet.View, term uint64, oldPrimary rosemary.Status) error {
	var revocation errgroup.Group
	revoked := false
	revocation.Go(func() error {
		revoked = r.config.Voters == nil || r.revokeOnAllProxies(ctx, view.Term)
		return nil
	})
	statuses := r.awaitCatchUp(ctx, view, oldPrimary, r.queryReplicas(ctx, view))
	_ = revocation.Wait()
	if revoked {
		return r.promoteBest(ctx, view, append(statuses, oldPrimary), oldPrimary)
	}
	fenced, err := r.fence(ctx, view, term)
	if err != nil {
		klog.InfoS("old primary promoted again", "group", r.config.Group.Name(), "target", oldPrimary.Target, "err", roselog.ErrorMessage(err))
		r.plannedAfter = r.config.Clock.Now().Add(plannedRetryDelay)
		return r.promote(ctx, oldPrimary.Target)
	}
	if !r.awaitLeaseTime(ctx) {
		return ctx.Err()
	}
	return r.promoteFenced(ctx, view, term, fenced, append(fenced, oldPrimary), oldPrimary)
}

// promoteFenced is promoteBest while proxies may hold a primary lease that only the
// fences keep from being extended. It verifies them, and fences the replicas again
// while the promotion is under way, as a restart ends a fence.
func (r *Replacer) promoteFenced(ctx context.Context, view rosefleet.View, term uint64, fenced, candidates []rosemary.Status, oldPrimary rosemary.Status) error {
	if err := r.verifyFences(ctx, fenced); err != nil {
		return err
	}
	fenceCtx, stopFencing := context.WithCancel(ctx)
	var fencing errgroup.Group
	fencing.Go(func() error {
		r.keepFenced(fenceCtx, term, fenced)
		return nil
	})
	err := r.promoteBest(ctx, view, candidates, oldPrimary)
	stopFencing()
	_ = fencing.Wait()
	return err
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

// promoteBest promotes the best of the candidates, or the one of an earlier request
// whose outcome is unknown.
func (r *Replacer) promoteBest(ctx context.Context, view rosefleet.View, candidates []rosemary.Status, oldPrimary rosemary.Status) error {
	successor, found := chooseSuccessor(view, candidates, oldPrimary)
	if !found {
		return trace.CompareFailed("no target to promote")
	}
	if slices.ContainsFunc(candidates, func(s rosemary.Status) bool { return s.Target == r.pendingSuccessor }) {
		successor = r.pendingSuccessor
	}
	return r.promote(ctx, successor)
}

// awaitLeaseExpiry returns once no proxy uses the old primary any more: when the
// longest possible primary lease has expired, or as soon as all proxies confirm
// that they have stopped. The latter suffices only if the primary's VM refuses
// connections, as a proxy unknown to this one then can't use the primary either.
func (r *Replacer) awaitLeaseExpiry(ctx context.Context, view rosefleet.View) bool {
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
// reports whether all that are registered or linked have.
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
	stopped, asked := r.config.Voters.RevokePrimary(ctx, r.config.Group.Name(), term)
	if proxy, found := r.guaranteedBut(append(stopped, r.config.Self)); found {
		klog.InfoS("not all have stopped", "group", r.config.Group.Name(), "term", term, "guaranteed", proxy)
		return false
	}
	for _, m := range members {
		if m.Proxy != r.config.Self && !slices.Contains(stopped, m.Proxy) {
			klog.InfoS("not all have stopped", "group", r.config.Group.Name(), "term", term, "missing", m.Proxy)
			return false
		}
	}
	return len(stopped) == len(asked)
}

// pingPromoter checks that the platform can be reached, as a primary must not
// step down for a successor that can't be promoted.
func (r *Replacer) pingPromoter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return r.config.Promoter.Ping(ctx)
}

// demote has the current primary step down: always for a switchover, and
// otherwise only if it answers.
func (r *Replacer) demote(ctx context.Context, view rosefleet.View, action Action, term uint64) (bool, rosemary.Status) {
	if !view.HasPrimaryTarget || action != ActionSwitchover && view.PrimaryTarget.UnreachableFor > 0 {
		return false, rosemary.Status{}
	}
	status, err := r.controlTarget(ctx, view.PrimaryLease.Target, "step down", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return c.StepDown(deadline, term)
	})
	return err == nil && status.Role == rosemary.RoleReplica, status
}

// fence fences every replica by Conn.Pause, and returns their statuses. All have to
// be fenced, as one that isn't would keep the primary lease valid; otherwise fence
// ends the fences and fails.
func (r *Replacer) fence(ctx context.Context, view rosefleet.View, term uint64) ([]rosemary.Status, error) {
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
		r.unfence(ctx, view, fenced)
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
	replicas := slices.DeleteFunc(slices.Clone(view.Targets), func(t rosefleet.TargetView) bool {
		return t.ID == view.PrimaryLease.Target && view.HasPrimaryTarget
	})
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

// unfence ends the fences of an attempt that is given up before it requests a
// promotion. Fences of earlier attempts stay, as a promotion that those have
// requested may still take effect.
func (r *Replacer) unfence(ctx context.Context, view rosefleet.View, fenced []rosemary.Status) {
	for _, s := range fenced {
		before := slices.IndexFunc(view.Targets, func(t rosefleet.TargetView) bool { return t.ID == s.Target })
		if before >= 0 && view.Targets[before].Status.PausedTerm == 0 {
			_, _ = r.controlTarget(ctx, s.Target, "resume", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return c.Resume(deadline) })
		}
	}
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
func (r *Replacer) promote(ctx context.Context, successor rosemary.TargetID) error {
	var err error
	for range promoteAttempts {
		err = r.requestPromotion(ctx, successor)
		if trace.IsAccessDenied(err) {
			break
		}
		if err == nil || trace.IsCompareFailed(err) {
			r.pendingSuccessor = ""
			break
		}
		r.pendingSuccessor = successor
		if !roseclock.Sleep(ctx, replaceRetryDelay) {
			return err
		}
	}
	if err != nil {
		return err
	}
	deadline := time.Now().Add(takeoverTimeout)
	for time.Now().Before(deadline) && roseclock.Sleep(ctx, replacerInterval) {
		view := r.config.Group.View()
		if view.HasPrimaryLease && view.PrimaryLease.Target == successor {
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
	r.mu.Lock()
	r.orderedAt = r.config.Clock.Now().Add(promoteTimeout)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := r.config.Promoter.Promote(ctx, r.config.Group.Name(), target, string(r.config.Self), generation)
	klog.InfoS("promotion ordered", "group", r.config.Group.Name(), "target", target, "generation", generation,
		"dutyUntil", until.Sub(r.config.Clock.Now()), "err", roselog.ErrorMessage(err))
	return err
}
