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
	// refusedAfter is how long connections to a primary have to be refused
	// before the other proxies are asked about it.
	refusedAfter = 80 * time.Millisecond
	// silentAfter is how long a primary has to be silent before they are. Its
	// replicas are then fenced; the order follows only if it is still silent
	// when permissions have ended.
	silentAfter = 400 * time.Millisecond
	// complainAfter is how long it has to be silent for a proxy before that
	// complains to the holder of the duty, whom it answers.
	complainAfter = 700 * time.Millisecond
	// vacantAfter is how long a group has to be without a primary.
	vacantAfter = 700 * time.Millisecond
	// doubtAfter is how long a primary that answers may go without a
	// witness, as after a promotion that was left half-way.
	doubtAfter = 2 * time.Second
	// orderTimeout bounds one order to a target.
	orderTimeout = 400 * time.Millisecond
	// catchUpTimeout bounds the wait for a successor to receive all of a
	// primary that has stepped down.
	catchUpTimeout = 700 * time.Millisecond
	// promoteTimeout bounds one call that promotes.
	promoteTimeout = 1200 * time.Millisecond
	// promoteTries bounds the calls for one successor whose outcome is
	// unknown.
	promoteTries = 5
	// startTimeout bounds the wait for a successor to lead.
	startTimeout = 2500 * time.Millisecond
	// fenceMargin is added to the wait for permissions to end, for clocks
	// that run at slightly different rates.
	fenceMargin = 20 * time.Millisecond
	// surveyedAfter separates surveys of one group's primary.
	surveyedAfter = 500 * time.Millisecond
	// reachTimeout bounds the wait for the word of the other proxies.
	reachTimeout = 300 * time.Millisecond
	// stopTimeout bounds the wait for the other proxies to stop.
	stopTimeout = 150 * time.Millisecond
	// complaintTime is how long a complaint counts.
	complaintTime = 1500 * time.Millisecond
	// lostShare is the share of the proxies that have to be unable to reach
	// a primary that others reach: beyond it, a replacement's pause costs
	// callers less than the cut.
	lostShare = 1.0 / 3
	// replaceTick separates looks at a group.
	replaceTick = 25 * time.Millisecond
	// replacePause follows a failed replacement.
	replacePause = 100 * time.Millisecond
)

// ReplacerConfig sets up a Replacer.
type ReplacerConfig struct {
	Self     rosemary.ProxyID
	Group    *rosefleet.Group
	Locks    *LockManager
	Promoter rosemary.Promoter
	Clock    roseclock.Clock
	// Voters are the other proxies; nil for none.
	Voters Voters
	// Homes counts the proxies that use the group's targets.
	ProxyCount func() int
}

// Voters are the other proxies, asked about a group's primary.
type Voters interface {
	// Reach returns how many replied, how many of them reach the target,
	// and how many don't.
	PollReachability(ctx context.Context, group string, target rosemary.TargetID) (replied, reach, miss int)
	// Stop has all give up relying on the primary of term. It returns those
	// that have, and all that were asked.
	StopUsingPrimary(ctx context.Context, group string, term uint64) (stopped, asked []rosemary.ProxyID)
	// Suspect tells all that the target has just not answered this proxy.
	Suspect(ctx context.Context, group string, target rosemary.TargetID)
	// Complain tells all that this proxy can't reach the target.
	ReportUnreachable(ctx context.Context, group string, target rosemary.TargetID)
}

// Replacer replaces the primary of a group by the platform's order, while
// this proxy holds that duty.
type Replacer struct {
	config ReplacerConfig
	since  time.Time
	need   Action
	// surveyedAt is when the other proxies were last asked.
	surveyedAt time.Time
	// suspected is set once the others were told that the primary doesn't
	// answer here.
	suspected bool
	// ordered is the successor of an order whose outcome is unknown: it may
	// still take effect, so no other is named while it can be.
	ordered rosemary.TargetID

	mu         sync.Mutex
	complaints map[rosemary.ProxyID]complaint
}

// complaint is another proxy's word that it can't reach a target.
type complaint struct {
	target rosemary.TargetID
	at     time.Time
}

// NewReplacer returns a replacer; Run starts it.
func NewReplacer(config ReplacerConfig) *Replacer {
	return &Replacer{config: config, complaints: make(map[rosemary.ProxyID]complaint)}
}

// RecordUnreachable takes in that another proxy can't reach a target.
func (r *Replacer) RecordUnreachable(from rosemary.ProxyID, target rosemary.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complaints[from] = complaint{target, r.config.Clock.Now()}
}

// complaining counts the proxies that can't reach a target now.
func (r *Replacer) complaining(target rosemary.TargetID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for from, c := range r.complaints {
		if r.config.Clock.Now().Sub(c.at) > complaintTime {
			delete(r.complaints, from)
		} else if c.target == target {
			count++
		}
	}
	return count
}

// Run looks after the group until ctx ends.
func (r *Replacer) Run(ctx context.Context) {
	for roseclock.Sleep(ctx, replaceTick) {
		view := r.config.Group.View()
		need, due := r.assess(view)
		if _, _, holds := r.config.Locks.Holds(r.config.Group.Name()); !holds {
			r.complain(ctx, view)
			continue
		}
		r.step(ctx, view, need, due)
	}
}

// complain tells the holder of the duty that this proxy can't reach the
// group's primary.
func (r *Replacer) complain(ctx context.Context, view rosefleet.View) {
	if r.config.Voters == nil || !view.HasPrimaryView || view.PrimaryView.UnreachableFor == 0 {
		r.suspected = false
		return
	}
	if !r.suspected {
		r.suspected = true
		r.config.Voters.Suspect(ctx, r.config.Group.Name(), view.Primary.Target)
	}
	now := r.config.Clock.Now()
	if view.PrimaryView.UnreachableFor < complainAfter || now.Sub(r.surveyedAt) < surveyedAfter {
		return
	}
	r.surveyedAt = now
	r.config.Voters.ReportUnreachable(ctx, r.config.Group.Name(), view.Primary.Target)
}

// assess returns what the group needs, and whether that has lasted long enough
// to be acted on.
func (r *Replacer) assess(view rosefleet.View) (Action, bool) {
	need, after := AssessReplacement(view)
	if need == ActionNone && r.lostToMany(view) {
		need = ActionReplaceIsolated
	}
	now := r.config.Clock.Now()
	if need != r.need {
		r.need, r.since = need, now
	}
	return need, now.Sub(r.since) >= after || view.PrimaryView.UnreachableFor >= after && view.PrimaryView.UnreachableFor > 0
}

// step acts on a need that is due.
func (r *Replacer) step(ctx context.Context, view rosefleet.View, need Action, due bool) {
	if need == ActionNone {
		r.tidy(ctx, view)
		return
	}
	if !due || !r.confirmed(ctx, need, view) {
		return
	}
	klog.InfoS("replacement begins", "group", r.config.Group.Name(), "need", need.String(), "primary", view.Primary.Target,
		"term", view.Term, "failingFor", view.PrimaryView.UnreachableFor, "refused", view.PrimaryView.ConnectionRefused, "leaving", view.PrimaryView.Leaving)
	err := r.replace(ctx, need, view)
	if err != nil {
		klog.InfoS("replacement failed", "group", r.config.Group.Name(), "need", need.String(), "err", roselog.Err(err))
		roseclock.Sleep(ctx, replacePause)
	}
	r.need = ActionNone
}

// lostToMany reports whether so many other proxies can't reach the primary
// that it is better replaced, though it answers here.
func (r *Replacer) lostToMany(view rosefleet.View) bool {
	lost := r.complaining(view.Primary.Target)
	return lost > 0 && float64(lost) >= lostShare*float64(r.config.ProxyCount())
}

// confirmed asks the other proxies about a primary that doesn't answer here: it
// may be this proxy that is cut off, and a cut may look like a refusal too.
// Half of the proxies have to reply, and enough of them to miss it as well.
func (r *Replacer) confirmed(ctx context.Context, need Action, view rosefleet.View) bool {
	members := len(r.config.Locks.Members())
	if need == ActionSwitchover || r.config.Voters == nil || members <= 1 {
		return true
	}
	now := r.config.Clock.Now()
	if now.Sub(r.surveyedAt) < surveyedAfter {
		return false
	}
	r.surveyedAt = now
	asking, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	replied, reach, miss := r.config.Voters.PollReachability(asking, r.config.Group.Name(), view.Primary.Target)
	agreed := ReplacementAgreed(members, replied, reach, miss, view.HasPrimaryView)
	klog.InfoS("primary in doubt", "group", r.config.Group.Name(), "target", view.Primary.Target, "refused", view.PrimaryView.ConnectionRefused,
		"failingFor", view.PrimaryView.UnreachableFor, "members", members, "replied", replied, "reachedBy", reach, "missedBy", miss, "replace", agreed)
	return agreed
}

// ReplacementAgreed reports whether the replies of the other proxies allow a replacement:
// half of all proxies, this one included, have to be heard, and of those that
// know a primary as many have to miss it as make a replacement worthwhile.
func ReplacementAgreed(members, replied, reach, miss int, primaryKnown bool) bool {
	if 2*(replied+1) < members {
		return false
	}
	if !primaryKnown {
		return true
	}
	return miss > 0 && float64(miss+1) >= lostShare*float64(reach+miss+1)
}

// AssessReplacement returns what the group lacks, and how long that has to
// last before it is acted on.
func AssessReplacement(view rosefleet.View) (Action, time.Duration) {
	lead := view.PrimaryView
	switch {
	case view.Term == 0 || len(view.Targets) < 2:
		return ActionNone, 0
	case (!view.HasPrimary || !view.HasPrimaryView) && unseen(view):
		// The primary may be one that nothing is known of yet.
		return ActionNone, 0
	case !view.HasPrimary || !view.HasPrimaryView:
		return ActionFailover, vacantAfter
	case lead.UnreachableFor > 0 && lead.ConnectionRefused:
		return ActionFailover, refusedAfter
	case lead.UnreachableFor > 0:
		return ActionFailover, silentAfter
	case lead.Leaving:
		return ActionSwitchover, 0
	case !view.PrimaryValid && heldAbove(view):
		return ActionFailover, doubtAfter
	}
	return ActionNone, 0
}

// unseen reports whether nothing is known of a target, neither a status nor
// that it doesn't answer.
func unseen(view rosefleet.View) bool {
	for _, t := range view.Targets {
		if t.SeenAt.IsZero() && t.UnreachableFor == 0 {
			return true
		}
	}
	return false
}

// heldAbove reports whether a replica is fenced for a term that hasn't begun.
func heldAbove(view rosefleet.View) bool {
	for _, t := range view.Targets {
		if t.Status.PausedTerm > view.Term {
			return true
		}
	}
	return false
}

// tidy ends the fences of a term that has begun, and demotes primaries of
// earlier ones.
func (r *Replacer) tidy(ctx context.Context, view rosefleet.View) {
	for _, t := range view.Targets {
		if t.SeenAt.IsZero() || t.UnreachableFor > 0 || t.ID == view.Primary.Target {
			continue
		}
		switch {
		case t.Status.PausedTerm > 0 && t.Status.PausedTerm <= view.Primary.Term:
			r.order(ctx, t.ID, "resume", func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return l.Resume(deadline) })
		case t.Status.Role == rosemary.RolePrimary && t.Status.Term < view.Primary.Term:
			r.order(ctx, t.ID, "step down", func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return l.StepDown(deadline, view.Primary.Term)
			})
		}
	}
}

func (r *Replacer) order(ctx context.Context, id rosemary.TargetID, what string, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) (rosemary.Status, error) {
	status, err := r.config.Group.Control(ctx, id, orderTimeout, call)
	klog.InfoS("order given", "group", r.config.Group.Name(), "target", id, "order", what,
		"role", status.Role, "term", status.Term, "held", status.PausedTerm, "position", status.Position.String(), "err", roselog.Err(err))
	return status, err
}

// replace gives the group a new primary.
func (r *Replacer) replace(ctx context.Context, need Action, view rosefleet.View) error {
	term := view.Term + 1
	if need == ActionSwitchover || need == ActionReplaceIsolated {
		if err := r.reach(ctx); err != nil {
			return err
		}
	}
	steppedDown, old := r.demote(ctx, view, need, term)
	if (need == ActionSwitchover || need == ActionReplaceIsolated) && !steppedDown {
		return trace.ConnectionProblem(nil, "the primary did not step down")
	}
	fenced, err := r.fence(ctx, view, term, steppedDown, old)
	if err != nil {
		return err
	}
	if steppedDown {
		fenced = r.catchUp(ctx, view, old, fenced)
	} else if !r.awaitPermissions(ctx, view) {
		return ctx.Err()
	} else if r.answersAgain(view) {
		r.unfence(ctx, view, fenced)
		return trace.CompareFailed("the primary %s answers again", view.Primary.Target)
	} else if err := r.checkFences(ctx, fenced); err != nil {
		return err
	}
	successor, found := chooseSuccessor(view, fenced, old)
	if !found {
		return trace.CompareFailed("no target can take over")
	}
	if slices.ContainsFunc(fenced, func(s rosemary.Status) bool { return s.Target == r.ordered }) {
		successor = r.ordered
	}
	return r.promote(ctx, successor)
}

// awaitPermissions returns once no proxy relies on the old primary any more:
// after the time that a permission lasts, or as soon as all have said so. The
// short way is taken only if the primary's VM answers that nothing listens, so
// that a proxy which nobody here knows has nothing to rely on.
func (r *Replacer) awaitPermissions(ctx context.Context, view rosefleet.View) bool {
	fencedAt := time.Now()
	if view.HasPrimaryView && view.PrimaryView.ConnectionRefused && r.config.Voters != nil && r.allStopped(ctx, view.Term) {
		return true
	}
	return roseclock.Sleep(ctx, time.Until(fencedAt.Add(rosegroup.PrimaryLeaseTime+fenceMargin)))
}

// answersAgain reports whether a primary that was silent has been heard since,
// and may be relied on again.
func (r *Replacer) answersAgain(view rosefleet.View) bool {
	now := r.config.Group.View()
	return view.HasPrimaryView && view.PrimaryView.UnreachableFor > 0 && !view.PrimaryView.ConnectionRefused &&
		now.HasPrimaryView && now.Primary.Target == view.Primary.Target && now.PrimaryView.UnreachableFor == 0
}

// allStopped has every proxy stop relying on the primary of term, and reports
// whether all that are registered or linked have.
func (r *Replacer) allStopped(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.config.Group.RevokePrimary(term)
	members, err := r.config.Locks.ReadMembers(ctx)
	if err != nil {
		return false
	}
	stopped, asked := r.config.Voters.StopUsingPrimary(ctx, r.config.Group.Name(), term)
	for _, m := range members {
		if m.Proxy != r.config.Self && !slices.Contains(stopped, m.Proxy) {
			klog.InfoS("not all have stopped", "group", r.config.Group.Name(), "term", term, "missing", m.Proxy)
			return false
		}
	}
	return len(stopped) == len(asked)
}

// reach reports whether the platform can be reached, before anybody steps
// down for a successor that it has to be asked for.
func (r *Replacer) reach(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.config.Promoter.Ping(ctx)
}

// demote has the present primary step down: always for a planned replacement,
// and else if it answers.
func (r *Replacer) demote(ctx context.Context, view rosefleet.View, need Action, term uint64) (bool, rosemary.Status) {
	if !view.HasPrimaryView || need != ActionSwitchover && view.PrimaryView.UnreachableFor > 0 {
		return false, rosemary.Status{}
	}
	status, err := r.order(ctx, view.Primary.Target, "step down", func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return l.StepDown(deadline, term)
	})
	return err == nil && status.Role == rosemary.RoleReplica, status
}

// fence pauses every replica and returns their states. Without the step-down
// of the primary, one that isn't fenced could vouch for it, so all have to be.
func (r *Replacer) fence(ctx context.Context, view rosefleet.View, term uint64, steppedDown bool, old rosemary.Status) ([]rosemary.Status, error) {
	var tasks errgroup.Group
	answers := make([]rosemary.Status, len(view.Targets))
	errs := make([]error, len(view.Targets))
	for i, t := range view.Targets {
		if t.ID == view.Primary.Target && view.HasPrimaryView {
			continue
		}
		tasks.Go(func() error {
			if steppedDown {
				answers[i], errs[i] = r.order(ctx, t.ID, "status", func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return l.Status(deadline) })
				return nil
			}
			answers[i], errs[i] = r.order(ctx, t.ID, "pause", func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return l.Pause(deadline, term) })
			return nil
		})
	}
	_ = tasks.Wait()
	var fenced []rosemary.Status
	for i, t := range view.Targets {
		if t.ID == view.Primary.Target && view.HasPrimaryView {
			continue
		}
		held := errs[i] == nil && (steppedDown || answers[i].PausedTerm > 0)
		if held {
			fenced = append(fenced, answers[i])
			continue
		}
		if !steppedDown {
			r.unfence(ctx, view, fenced)
			return nil, trace.ConnectionProblem(errs[i], "target %s could not be fenced", t.ID)
		}
	}
	if old.Target != "" {
		fenced = append(fenced, old)
	}
	return fenced, nil
}

// checkFences makes sure that no replica has restarted since it was fenced: it
// would vouch for the old primary again.
func (r *Replacer) checkFences(ctx context.Context, fenced []rosemary.Status) error {
	var tasks errgroup.Group
	for _, s := range fenced {
		tasks.Go(func() error {
			status, err := r.config.Group.Control(ctx, s.Target, orderTimeout, func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return l.Status(deadline)
			})
			if err == nil && status.PausedTerm < s.PausedTerm {
				return trace.CompareFailed("target %s has lost its fence", s.Target)
			}
			return trace.Wrap(err)
		})
	}
	return tasks.Wait()
}

// unfence ends the fences of an attempt that can't go on: nothing was ordered
// that could take effect yet.
func (r *Replacer) unfence(ctx context.Context, view rosefleet.View, fenced []rosemary.Status) {
	for _, s := range fenced {
		before := slices.IndexFunc(view.Targets, func(t rosefleet.TargetView) bool { return t.ID == s.Target })
		if before >= 0 && view.Targets[before].Status.PausedTerm == 0 {
			_, _ = r.order(ctx, s.Target, "resume", func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) { return l.Resume(deadline) })
		}
	}
}

// catchUp waits for a target that isn't leaving to receive all that the old
// primary had.
func (r *Replacer) catchUp(ctx context.Context, view rosefleet.View, old rosemary.Status, known []rosemary.Status) []rosemary.Status {
	deadline := time.Now().Add(catchUpTimeout)
	for time.Now().Before(deadline) {
		for i, s := range known {
			if s.Target != old.Target && s.Position.AtLeast(old.Position) && !leaving(view, s.Target) {
				return known
			}
			status, err := r.config.Group.Control(ctx, s.Target, orderTimeout, func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
				return l.Status(deadline)
			})
			if err == nil && s.Target != old.Target {
				known[i] = status
			}
		}
		if !roseclock.Sleep(ctx, replaceTick) {
			break
		}
	}
	return known
}

func leaving(view rosefleet.View, id rosemary.TargetID) bool {
	for _, t := range view.Targets {
		if t.ID == id {
			return t.Leaving
		}
	}
	return true
}

// chooseSuccessor returns the target with the most of the log; one that is
// leaving, or has just stepped down, only if none holds as much.
func chooseSuccessor(view rosefleet.View, fenced []rosemary.Status, old rosemary.Status) (rosemary.TargetID, bool) {
	var best rosemary.Status
	found := false
	better := func(a, b rosemary.Status) bool {
		if c := a.Position.Compare(b.Position); c != 0 {
			return c > 0
		}
		return !leaving(view, a.Target) && leaving(view, b.Target) || b.Target == old.Target
	}
	for _, s := range fenced {
		if !found || better(s, best) {
			best, found = s, true
		}
	}
	return best.Target, found
}

// promote orders the promotion and waits for the successor to lead. An order
// whose outcome is unknown is repeated for the same successor: it may still
// take effect.
func (r *Replacer) promote(ctx context.Context, successor rosemary.TargetID) error {
	var err error
	for range promoteTries {
		err = r.callPromote(ctx, successor)
		if err == nil || trace.IsCompareFailed(err) {
			r.ordered = ""
			break
		}
		r.ordered = successor
		if !roseclock.Sleep(ctx, replacePause) {
			return err
		}
	}
	if err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && roseclock.Sleep(ctx, replaceTick) {
		view := r.config.Group.View()
		if view.HasPrimary && view.Primary.Target == successor {
			klog.InfoS("replacement done", "group", r.config.Group.Name(), "primary", successor, "term", view.Primary.Term)
			return nil
		}
	}
	return trace.LimitExceeded("target %s did not begin to lead in time", successor)
}

// callPromote orders a promotion if this proxy holds the duty still.
func (r *Replacer) callPromote(ctx context.Context, target rosemary.TargetID) error {
	generation, until, holds := r.config.Locks.Holds(r.config.Group.Name())
	if !holds {
		return trace.CompareFailed("the duty was lost")
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := r.config.Promoter.Promote(ctx, r.config.Group.Name(), target, string(r.config.Self), generation)
	klog.InfoS("promotion ordered", "group", r.config.Group.Name(), "target", target, "generation", generation,
		"dutyUntil", until.Sub(r.config.Clock.Now()), "err", roselog.Err(err))
	return err
}
