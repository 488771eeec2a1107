package rosesupervisor

import (
	"context"
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
	// relieveInterval separates moves of a primary for its replicas' sake, each of which
	// interrupts the group.
	relieveInterval = 30 * time.Second
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
	// ProxyCount returns the number of proxies that use the group's targets, this one
	// included.
	ProxyCount func() int
	// SyncReplicas returns the number of replicas that have received a commit when the primary
	// acknowledges it.
	SyncReplicas func() int
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
	// those that have, and all that should.
	RevokePrimary(ctx context.Context, group string, term uint64) (stopped []Stopped, required []rosemary.ProxyID)
	// Others returns the other proxies that live as far as is known.
	Others() []rosemary.ProxyID
	// ReportNoSuccessor tells all that no target is proved to hold every acknowledged commit of a
	// term, so that they refuse at once what needs its primary.
	ReportNoSuccessor(ctx context.Context, group string, term uint64)
	// ConfirmTargetSet asks the members, and all others that live, to go by a target set. It returns
	// those that do, and all others that live.
	ConfirmTargetSet(ctx context.Context, group string, set rosegroup.TargetSet, members []rosemary.Member) (confirmed, required []rosemary.ProxyID)
	// IsMajority reports whether count proxies are more than half of those that this one
	// knows of and that haven't left.
	IsMajority(count int) bool
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
	// pending is the last order to promote if its outcome is unknown. It ends with its
	// term, or once it can no longer take effect.
	pending pendingOrder
	// reported is the newest primary that other proxies knew, asked for at reportedAt.
	reported   rosemary.Status
	reportedAt time.Time
	// plannedAfter is when a primary that answers may be replaced, after an attempt
	// that had to promote it again.
	plannedAfter time.Time
	// relieveAfter is when a primary may be moved again for its replicas' sake.
	relieveAfter time.Time
	// promotions is what is known of the platform's acceptance of promotions.
	promotions promotionCheck
	// generation is that of the lock under which the current attempt began.
	generation int64
	// attempt is what the current attempt has done.
	attempt attempt
	// known are the proxies known, and when they last were. It is kept only for groups with
	// synchronous replicas.
	known map[rosemary.ProxyID]time.Time
	// aloneSince is since when the primary has been the only member of the target set that is
	// registered.
	aloneSince time.Time

	mu      sync.Mutex
	reports map[rosemary.ProxyID]unreachableReport
	// replacing is set during an attempt, in which nothing is guaranteed.
	replacing bool
	// orderedAt is when the last request for a promotion ended at the latest.
	orderedAt time.Time
	// ordered are the last orders.
	ordered orders
	// guarantees maps proxies to the ends of the guarantees given to them.
	guarantees map[rosemary.ProxyID]time.Time
}

// pendingOrder is an order to promote that may still take effect.
type pendingOrder struct {
	successor rosemary.TargetID
	// term is the one that the successor would begin.
	term uint64
}

// unreachableReport is another proxy's report that it can't reach a target.
type unreachableReport struct {
	target rosemary.TargetID
	at     time.Time
}

// NewReplacer returns a replacer; Run starts it.
func NewReplacer(config ReplacerConfig) *Replacer {
	if config.SyncReplicas == nil {
		config.SyncReplicas = func() int { return 0 }
	}
	return &Replacer{config: config, reports: make(map[rosemary.ProxyID]unreachableReport), guarantees: make(map[rosemary.ProxyID]time.Time), known: make(map[rosemary.ProxyID]time.Time)}
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
	var keeper errgroup.Group
	keeper.Go(func() error {
		r.keepTargetSet(ctx)
		return nil
	})
	defer func() { _ = keeper.Wait() }()
	for roseclock.Sleep(ctx, replacerInterval) {
		r.recordProxies()
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
	if action == ActionRelieve && now.Before(r.relieveAfter) {
		action = ActionNone
	}
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
		r.promoteAlone(ctx, view)
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
	if !due || action.switchover() && !r.promotionsAccepted(ctx, view) {
		return
	}
	if !r.confirmedByPeers(ctx, action, view) {
		return
	}
	klog.InfoS("replacement begins", "group", r.config.Group.Name(), "need", action.String(), "primary", view.PrimaryLease.Target,
		"term", view.Term, "failingFor", view.PrimaryTarget.UnreachableFor, "refused", view.PrimaryTarget.ConnectionRefused, "leaving", view.PrimaryTarget.Leaving)
	if action == ActionRelieve {
		r.relieveAfter = r.config.Clock.Now().Add(relieveInterval)
	}
	r.setReplacing(true)
	err := r.beginAttempt(view)
	if err == nil {
		err = r.replace(ctx, action, view)
	}
	if err != nil {
		r.giveUp(ctx, action, err)
	}
	r.setReplacing(false)
	if err != nil {
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
	members := r.config.ProxyCount()
	if action.switchover() || r.config.Voters == nil || !r.config.Locks.KnowsOthers() {
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
		Members: members, PrimaryKnown: view.HasPrimaryTarget, ReplicasAnswer: r.countingAnswer(view),
	})
	agreed := poll.Agreed()
	klog.InfoS("primary in doubt", "group", r.config.Group.Name(), "target", view.PrimaryLease.Target, "refused", view.PrimaryTarget.ConnectionRefused,
		"failingFor", view.PrimaryTarget.UnreachableFor, "members", members, "replied", poll.Replied, "reachedBy", poll.ReachedBy, "missedBy", poll.NotReachedBy,
		"replicasAnswer", poll.ReplicasAnswer, "replace", agreed)
	return agreed
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
	if primary := view.PrimaryLease.Target; r.attempt.set.SelfProven(primary) && !r.revokeOnAllProxies(ctx, view.Term) {
		return trace.CompareFailed("primary %s may prove its own lease to a proxy, until all have confirmed the target set", primary)
	}
	if !r.awaitLeaseExpiry(ctx, view) {
		return ctx.Err()
	}
	if r.answersAgain(view) {
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
		return r.promoteBest(ctx, view, nil, append(statuses, oldPrimary), oldPrimary)
	}
	fenced, err := r.fence(ctx, view, term)
	if err != nil {
		klog.InfoS("old primary promoted again", "group", r.config.Group.Name(), "target", oldPrimary.Target, "err", roselog.ErrorMessage(err))
		r.plannedAfter = r.config.Clock.Now().Add(plannedRetryDelay)
		return r.promote(ctx, term, oldPrimary.Target)
	}
	if !r.awaitLeaseTime(ctx) {
		return ctx.Err()
	}
	return r.promoteFenced(ctx, view, term, fenced, append(fenced, oldPrimary), oldPrimary)
}

// promotionsAccepted reports whether the platform is known to accept promotions, and
// checks it if that is due.
func (r *Replacer) promotionsAccepted(ctx context.Context, view rosefleet.View) bool {
	primary, term := view.PrimaryLease.Target, view.PrimaryLease.Term
	askedAt := r.config.Clock.Now()
	if r.promotions.due(primary, term, askedAt) {
		err := r.requestPromotion(ctx, primary)
		r.promotions = r.promotions.withResult(primary, term, askedAt, r.config.Clock.Now(), err == nil)
		klog.InfoS("promotions checked", "group", r.config.Group.Name(), "primary", primary, "term", term, "accepted", err == nil, "err", roselog.ErrorMessage(err))
	}
	return r.promotions.allowsStepDown(primary, term, r.config.Clock.Now())
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
	if !view.HasPrimaryTarget || !action.switchover() && view.PrimaryTarget.UnreachableFor > 0 {
		return false, rosemary.Status{}
	}
	status, err := r.controlTarget(ctx, view.PrimaryLease.Target, "step down", func(c rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return c.StepDown(deadline, term)
	})
	return err == nil && status.Role == rosemary.RoleReplica, status
}
