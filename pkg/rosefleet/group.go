// Package rosefleet manages the targets of a group: it samples their statuses to
// find the primary, pools connections to them, and chooses which one runs a
// statement. It serves groups whose targets the platform promotes; package
// roseroute serves those with a rosegroup.Monitor.
package rosefleet

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Config configures a Group.
type Config struct {
	Name string
	// Zone is the zone of this proxy; targets in it are preferred.
	Zone   rosemary.Zone
	Dialer rosemary.TargetDialer
	// Clock must count suspended time.
	Clock roseclock.Clock
	// LeavingTime is how long after its report a leaving target may get new work, as
	// a primary that no other target has succeeded; DefaultLeavingTime if zero.
	LeavingTime time.Duration
	// AllowPrimary reports whether this proxy may rely on a primary at all at a time
	// of Clock; nil means always.
	AllowPrimary func(now time.Time) bool
	// ZonePartitioned reports whether this proxy knows that it is cut off from
	// the other availability zones. It then refuses at once what it can't serve
	// at once, since other proxies can serve it. Nil means never.
	ZonePartitioned func() bool
}

// DefaultLeavingTime is how long after its report a leaving target may get new work.
const DefaultLeavingTime = 7 * time.Second

// Group manages the targets of one database group. Its methods may be called concurrently.
type Group struct {
	config Config
	tasks  sync.WaitGroup

	mu             sync.Mutex
	primaryTracker *rosegroup.PrimaryTracker
	endpoints      map[rosemary.TargetID]*endpoint
	changed        chan struct{}
	primarySince   time.Time
	// acknowledged is the greatest position up to which callers may have been told of commits, since
	// createdAt.
	acknowledged rosemary.Position
	createdAt    time.Time
	// listed are the targets that were registered since listedTerm began, as far as is known here.
	listed     map[rosemary.TargetID]bool
	listedTerm uint64
	// noSuccessorUntil is until when no primary is expected, as no target is proved to hold every
	// acknowledged commit of noSuccessorTerm.
	noSuccessorUntil time.Time
	noSuccessorTerm  uint64
	// outage estimates when a primary that is missing is back.
	outage rosedecision.Outage
	closed bool
}

// endpoint is one target with its connections.
type endpoint struct {
	group          *Group
	target         rosemary.Target
	pool           *pool
	sampleRequests chan struct{}
	cancel         context.CancelFunc

	// The fields below are guarded by the group's lock.
	slots       int
	incarnation int64
	leaving     bool
	// lastReadyAt is when the target was last known not to be leaving; zero if it
	// never was.
	lastReadyAt time.Time
	// unreachableSince is when the target stopped answering; zero while it
	// answers.
	unreachableSince time.Time
	// connectionRefused is set when the target's VM answered that no process
	// listens on the port.
	connectionRefused bool
	// behindUntil and fullUntil are until when reads avoid the target as a replica,
	// because it had not reached their minimum position or had no connection left.
	behindUntil, fullUntil time.Time
	// lag is how far behind the primary the target was at lagAt.
	lag   time.Duration
	lagAt time.Time
	// sharedAt is when another proxy requested the last status that it shared.
	sharedAt time.Time
	// responseTime is the moving average of the duration of successful exchanges.
	responseTime time.Duration
	// reliability is what the last exchanges say of the target.
	reliability rosedecision.Reliability
	// reported is what was last logged about the use of the target.
	reported reportedUse
}

// NewGroup returns a group without targets.
func NewGroup(config Config) *Group {
	if config.LeavingTime == 0 {
		config.LeavingTime = DefaultLeavingTime
	}
	if config.AllowPrimary == nil {
		config.AllowPrimary = func(time.Time) bool { return true }
	}
	if config.ZonePartitioned == nil {
		config.ZonePartitioned = func() bool { return false }
	}
	g := &Group{
		config:         config,
		primaryTracker: rosegroup.NewPrimaryTracker(),
		endpoints:      make(map[rosemary.TargetID]*endpoint),
		changed:        make(chan struct{}),
		listed:         make(map[rosemary.TargetID]bool),
	}
	if config.Clock != nil {
		g.createdAt = config.Clock.Now()
	}
	return g
}

// Name returns the group's name.
func (g *Group) Name() string { return g.config.Name }

// ConnLimits limits the connections to one target.
type ConnLimits struct {
	// Share is this proxy's share of the connections that a target accepts. Idle
	// connections beyond half of it are closed.
	Share int
	// Max is the maximum number of open connections, at least Share. A control
	// call may open one more.
	Max int
	// MaxInUse is the maximum number of connections in use, which is that of requests at
	// the target at once; Max if zero. Idle connections don't occupy the target.
	MaxInUse int
}

// Update replaces the targets of the group and the connection limits of each.
func (g *Group) Update(registrations []rosemary.TargetRegistration, limits ConnLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	registered := make(map[rosemary.TargetID]bool, len(registrations))
	ids := make([]rosemary.TargetID, 0, len(registrations))
	for _, r := range registrations {
		registered[r.ID], g.listed[r.ID] = true, true
		ids = append(ids, r.ID)
		e := g.endpoints[r.ID]
		if e != nil && (e.target != r.Target || e.incarnation != r.Incarnation) {
			g.remove(e, "its registration changed")
			e = nil
		}
		if e == nil {
			e = g.add(r)
		}
		if r.Leaving != e.leaving {
			klog.InfoS("target leaving", "group", g.config.Name, "target", r.ID, "leaving", r.Leaving,
				"everReady", !r.LastReadyAt.IsZero(), "readyBefore", g.config.Clock.Now().Sub(r.LastReadyAt))
			g.notifyWaiters()
		}
		e.leaving, e.lastReadyAt, e.slots = r.Leaving, r.LastReadyAt, r.Slots
		e.pool.setLimits(limits, r.Slots)
		e.pool.trim()
	}
	for id, e := range g.endpoints {
		if !registered[id] {
			g.remove(e, "it is no longer registered")
		}
	}
	g.primaryTracker.SetTargets(ids)
}

// add creates an endpoint and starts to sample it. The lock must be held.
func (g *Group) add(r rosemary.TargetRegistration) *endpoint {
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{
		group:          g,
		target:         r.Target,
		incarnation:    r.Incarnation,
		pool:           newPool(),
		sampleRequests: make(chan struct{}, 1),
		cancel:         cancel,
	}
	e.pool.group, e.pool.target = g.config.Name, r.ID
	g.endpoints[r.ID] = e
	klog.InfoS("target added", "group", g.config.Name, "target", r.ID, "address", r.Address, "zone", r.Zone, "born", r.Incarnation, "leaving", r.Leaving)
	g.tasks.Go(func() { e.runSampler(ctx) })
	return e
}

// remove closes an endpoint. The lock must be held.
func (g *Group) remove(e *endpoint, reason string) {
	klog.InfoS("target removed", "group", g.config.Name, "target", e.target.ID, "why", reason)
	delete(g.endpoints, e.target.ID)
	g.primaryTracker.ObservePossibleRestart(e.target.ID)
	e.cancel()
	e.pool.close()
	g.notifyWaiters()
}

// Close removes all targets and waits for their goroutines.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	for _, e := range g.endpoints {
		g.remove(e, "the group is closed")
	}
	g.mu.Unlock()
	g.tasks.Wait()
}

// notifyWaiters wakes the requests that wait for a target. The lock must be held.
func (g *Group) notifyWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// observe records a status that was requested at sentAt.
func (g *Group) observe(e *endpoint, status rosemary.Status, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endpoints[e.target.ID] != e {
		return
	}
	before, _ := g.primaryTracker.Primary()
	g.primaryTracker.Observe(status, sentAt)
	if !e.unreachableSince.IsZero() {
		klog.InfoS("target back", "group", g.config.Name, "target", e.target.ID, "after", g.config.Clock.Now().Sub(e.unreachableSince))
	}
	e.unreachableSince, e.connectionRefused = time.Time{}, false
	e.observeApplied(status.Applied, sentAt)
	if status.Role == rosemary.RolePrimary {
		g.primaryTracker.ObservePosition(e.target.ID, status.Term, status.Position, sentAt, g.config.Clock.Now())
	}
	g.handlePrimaryChange(before, "status of "+string(e.target.ID))
	now := g.config.Clock.Now()
	if primary, ok := g.primaryTracker.Primary(); ok && now.Before(primary.ValidUntil) && !now.Before(before.ValidUntil) {
		g.notifyWaiters()
	}
}

// observeApplied records the position that a replica had applied at a time. The
// group's lock must be held.
func (e *endpoint) observeApplied(position rosemary.Position, at time.Time) {
	if !position.IsZero() {
		e.lag, e.lagAt = e.group.primaryTracker.Lag(position, at), at
	}
}

// handlePrimaryChange logs a change of primary, closes the idle connections to the
// old one and has all targets sampled. The lock must be held.
func (g *Group) handlePrimaryChange(before rosegroup.PrimaryLease, cause string) {
	primary, known := g.primaryTracker.Primary()
	if primary.Target == before.Target && primary.Term == before.Term {
		return
	}
	g.primarySince = g.config.Clock.Now()
	if primary.Term > g.listedTerm {
		g.listedTerm = primary.Term
		maps.DeleteFunc(g.listed, func(id rosemary.TargetID, _ bool) bool { return g.endpoints[id] == nil })
	}
	klog.InfoS("primary changed", "group", g.config.Name, "from", before.Target, "fromTerm", before.Term,
		"to", primary.Target, "term", primary.Term, "known", known, "cause", cause)
	for id, e := range g.endpoints {
		if id == before.Target {
			e.pool.flush()
		}
		e.requestSample()
	}
	g.notifyWaiters()
}

// observeFailure records that the target did not answer a request sent at sentAt.
func (g *Group) observeFailure(e *endpoint, sentAt time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endpoints[e.target.ID] != e {
		return
	}
	if e.unreachableSince.IsZero() {
		e.unreachableSince = sentAt
		klog.InfoS("target lost", "group", g.config.Name, "target", e.target.ID, "err", roselog.ErrorMessage(err))
	}
	e.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	g.primaryTracker.ObservePossibleRestart(e.target.ID)
	e.requestSample()
}

// observePossibleRestart records that the target may have restarted, which would
// have ended its fence.
func (g *Group) observePossibleRestart(e *endpoint, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endpoints[e.target.ID] == e {
		klog.InfoS("target may have restarted", "group", g.config.Name, "target", e.target.ID, "why", why)
		g.primaryTracker.ObservePossibleRestart(e.target.ID)
	}
}

// SampleNow has a target sampled at once.
func (g *Group) SampleNow(id rosemary.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.endpoints[id]; e != nil {
		e.requestSample()
	}
}

// SampleAllNow has all targets sampled at once.
func (g *Group) SampleAllNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.endpoints {
		e.requestSample()
	}
}

// requestSample has the target sampled at once.
func (e *endpoint) requestSample() {
	select {
	case e.sampleRequests <- struct{}{}:
	default:
	}
}

// observeNotPrimary records that a target refused work because it isn't the
// primary.
func (g *Group) observeNotPrimary(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, known := g.primaryTracker.Primary()
	if !known || before.Target != e.target.ID {
		return
	}
	g.primaryTracker.ObserveNotPrimary(e.target.ID)
	g.handlePrimaryChange(before, "refused by "+string(e.target.ID))
}

// RevokePrimary ends the lease on the primaries of term and of earlier terms.
func (g *Group) RevokePrimary(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryTracker.RevokePrimary(term, g.config.Clock.Now())
	klog.InfoS("primary not relied on any more", "group", g.config.Name, "term", term)
	for _, e := range g.endpoints {
		e.requestSample()
	}
}

// NeedsGuarantee returns the term of a primary that answers but whose lease ends within
// remaining. It reports false if there is no such primary.
func (g *Group) NeedsGuarantee(remaining time.Duration) (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	primary, known := g.primaryTracker.Primary()
	e := g.endpoints[primary.Target]
	if !known || e == nil || !e.unreachableSince.IsZero() || !g.config.AllowPrimary(now) {
		return 0, false
	}
	return primary.Term, primary.ValidUntil.Sub(now) < remaining
}

// ObserveGuarantee records that the primary of term isn't replaced before until, by the word
// of the lock's holder, which was asked at a time.
func (g *Group) ObserveGuarantee(term uint64, askedAt, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, _ := g.primaryTracker.Primary()
	revoked := g.primaryTracker.Revoked()
	g.primaryTracker.ObserveGuarantee(term, askedAt, until)
	now := g.config.Clock.Now()
	primary, known := g.primaryTracker.Primary()
	if revoked && !g.primaryTracker.Revoked() {
		klog.InfoS("primary relied on again", "group", g.config.Name, "target", primary.Target, "term", term, "why", "its replacement was given up")
	}
	if known && now.Before(primary.ValidUntil) && !now.Before(before.ValidUntil) {
		klog.InfoS("primary guaranteed", "group", g.config.Name, "target", primary.Target, "term", term, "for", until.Sub(now))
		g.notifyWaiters()
	}
}

// LastPrimary returns the last status of the newest known primary, which may have been
// replaced since. It reports false if none was ever known.
func (g *Group) LastPrimary() (rosemary.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryTracker.LastPrimary()
}

// LastPrimarySeenAt returns when the status of LastPrimary was requested.
func (g *Group) LastPrimarySeenAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryTracker.LastPrimarySeenAt()
}

// ProvenAt returns the newest term, and when the replicas last proved that its primary
// had not been replaced.
func (g *Group) ProvenAt() (uint64, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryTracker.ProvenAt()
}

// CheckReachable requests the status of a target now, unless its last request
// failed, and reports whether it answers. known is false if ctx ends first or if
// the group has no such target.
func (g *Group) CheckReachable(ctx context.Context, id rosemary.TargetID) (answers, known bool) {
	g.mu.Lock()
	e := g.endpoints[id]
	unreachable := e != nil && !e.unreachableSince.IsZero()
	g.mu.Unlock()
	if e == nil || unreachable {
		return false, unreachable
	}
	sampled := make(chan bool, 1)
	g.tasks.Go(func() { sampled <- e.sampleOnce(ctx) })
	select {
	case answers = <-sampled:
		return answers, true
	case <-ctx.Done():
		return false, false
	}
}

// CountReachable returns the number of targets, and of those that answer.
func (g *Group) CountReachable() (targets, answering int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.endpoints {
		targets++
		if e.unreachableSince.IsZero() {
			answering++
		}
	}
	return targets, answering
}

// MinPosition returns a position that includes every write acknowledged at least
// maxAge ago. It reports false when none is known.
func (g *Group) MinPosition(maxAge time.Duration) (rosemary.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryTracker.MinPosition(g.config.Clock.Now().Add(-maxAge))
}

// PrimaryValid reports whether a primary is known and may be relied on now.
func (g *Group) PrimaryValid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary, known := g.primaryTracker.Primary()
	now := g.config.Clock.Now()
	return known && g.config.AllowPrimary(now) && now.Before(primary.ValidUntil)
}

// TargetView is a snapshot of one target.
type TargetView struct {
	rosemary.TargetRegistration
	Status rosemary.Status
	// SeenAt is when the status was requested; zero if there is none.
	SeenAt time.Time
	// UnreachableFor is how long the target hasn't answered; zero if it answers.
	UnreachableFor time.Duration
	// ConnectionRefused is set when the target's VM answered that no process
	// listens on the port.
	ConnectionRefused bool
	// ReceivedLag is how far behind the primary the log is that the target had received
	// when its status was requested.
	ReceivedLag time.Duration
	// QueuedFor is how long requests have queued for connections to the target without a
	// pause.
	QueuedFor time.Duration
}

// View is a snapshot of a group.
type View struct {
	// PrimaryLease is the lease of the newest primary, valid if HasPrimaryLease.
	PrimaryLease    rosegroup.PrimaryLease
	HasPrimaryLease bool
	// PrimaryValid is set if this proxy may rely on the primary now.
	PrimaryValid bool
	Term         uint64
	Targets      []TargetView
	// PrimaryTarget is the primary's entry in Targets, valid if HasPrimaryTarget.
	PrimaryTarget    TargetView
	HasPrimaryTarget bool
	// PrimarySince is when this proxy learned of the primary.
	PrimarySince time.Time
}

// View returns a snapshot of the group.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	primary, known := g.primaryTracker.Primary()
	view := View{PrimaryLease: primary, HasPrimaryLease: known, PrimaryValid: known && g.config.AllowPrimary(now) && now.Before(primary.ValidUntil), Term: g.primaryTracker.Term(), PrimarySince: g.primarySince}
	for id, e := range g.endpoints {
		status, seenAt, _ := g.primaryTracker.Status(id)
		t := TargetView{
			TargetRegistration: rosemary.TargetRegistration{Target: e.target, Group: g.config.Name, Slots: e.slots, Leaving: e.leaving, Incarnation: e.incarnation},
			Status:             status, SeenAt: seenAt, ConnectionRefused: e.connectionRefused,
			ReceivedLag: g.primaryTracker.Lag(status.Position, seenAt), QueuedFor: e.pool.queuedFor(),
		}
		if !e.unreachableSince.IsZero() {
			t.UnreachableFor = now.Sub(e.unreachableSince)
		}
		if known && id == primary.Target {
			view.PrimaryTarget, view.HasPrimaryTarget = t, true
		}
		view.Targets = append(view.Targets, t)
	}
	return view
}

// AdoptTargetSet has the group go by a target set if that is newer than the one before.
func (g *Group) AdoptTargetSet(set rosegroup.TargetSet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.primaryTracker.AdoptSet(set) {
		return
	}
	klog.InfoS("target set adopted", "group", g.config.Name, "generation", set.Version.Generation, "number", set.Version.Number, "members", set.Members)
	g.notifyWaiters()
}
