// Package rosefleet keeps the targets of a group at hand: it samples who leads
// them, holds links to them, and chooses which one runs a statement.
package rosefleet

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Config sets up a Group.
type Config struct {
	Name string
	// Zone is that of this proxy; targets in it are preferred.
	Zone   rosemary.Zone
	Dialer rosemary.TargetDialer
	// Clock counts suspended time.
	Clock roseclock.Clock
	// Trusted reports whether this proxy may rely on a primary at all; nil
	// means always.
	AllowPrimary func() bool
	// CutOff reports whether this proxy knows that it is cut off from the
	// other availability zones: what it can't serve at once it refuses at
	// once, as others can. Nil means never.
	ZonePartitioned func() bool
}

// Group is the targets of one group as this proxy uses them. Its methods may
// be called concurrently.
type Group struct {
	config Config
	tasks  sync.WaitGroup

	mu         sync.Mutex
	leadership *rosegroup.Leadership
	places     map[rosemary.TargetID]*place
	changed    chan struct{}
	leadSince  time.Time
	closed     bool
}

// place is one target with its links.
type place struct {
	group  *Group
	target rosemary.Target
	pool   *pool
	wake   chan struct{}
	cancel context.CancelFunc

	// The fields below are under the group's lock.
	slots   int
	born    int64
	leaving bool
	// leavingSince is when the target was first seen to be leaving.
	leavingSince time.Time
	// failingSince is when the target stopped answering; zero while it does.
	failingSince time.Time
	// refused is set when its VM answered that nothing listens.
	refused bool
	// behindTill is until when reads with a floor pass the target over.
	behindTill time.Time
	// lag is how far behind the primary the target was at lagAt.
	lag   time.Duration
	lagAt time.Time
	// sharedAt is when another proxy asked for the status that was taken in
	// last.
	sharedAt time.Time
	// answerTime is the mean time of an exchange.
	answerTime time.Duration
}

// New returns a group without targets.
func New(config Config) *Group {
	if config.AllowPrimary == nil {
		config.AllowPrimary = func() bool { return true }
	}
	if config.ZonePartitioned == nil {
		config.ZonePartitioned = func() bool { return false }
	}
	return &Group{
		config:     config,
		leadership: rosegroup.NewLeadership(),
		places:     make(map[rosemary.TargetID]*place),
		changed:    make(chan struct{}),
	}
}

// Name returns the group's name.
func (g *Group) Name() string { return g.config.Name }

// ConnLimits bounds the links to one target.
type ConnLimits struct {
	// Share is this proxy's part of the connections that a target accepts.
	Share int
	// Most is the number that it may open while others leave theirs unused.
	Max int
}

// Update replaces the targets of the group.
func (g *Group) Update(listings []rosemary.TargetRegistration, links ConnLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	listed := make(map[rosemary.TargetID]bool, len(listings))
	ids := make([]rosemary.TargetID, 0, len(listings))
	for _, l := range listings {
		listed[l.ID] = true
		ids = append(ids, l.ID)
		p := g.places[l.ID]
		if p != nil && (p.target != l.Target || p.born != l.Incarnation) {
			g.remove(p, "it has started anew")
			p = nil
		}
		if p == nil {
			p = g.add(l)
		}
		if l.Leaving != p.leaving {
			klog.InfoS("target leaving", "group", g.config.Name, "target", l.ID, "leaving", l.Leaving)
			p.leavingSince = g.config.Clock.Now()
			g.wakeWaiters()
		}
		p.leaving, p.slots = l.Leaving, l.Slots
		p.pool.setLimit(links.Share, links.Max)
		p.pool.trim()
	}
	for id, p := range g.places {
		if !listed[id] {
			g.remove(p, "the platform doesn't list it any more")
		}
	}
	g.leadership.SetTargets(ids)
}

// add starts a place. The lock is held.
func (g *Group) add(l rosemary.TargetRegistration) *place {
	ctx, cancel := context.WithCancel(context.Background())
	p := &place{
		group:  g,
		target: l.Target,
		born:   l.Incarnation,
		pool:   newPool(),
		wake:   make(chan struct{}, 1),
		cancel: cancel,
	}
	g.places[l.ID] = p
	klog.InfoS("target added", "group", g.config.Name, "target", l.ID, "address", l.Address, "zone", l.Zone, "born", l.Incarnation)
	g.tasks.Go(func() { p.sample(ctx) })
	return p
}

// remove ends a place. The lock is held.
func (g *Group) remove(p *place, why string) {
	klog.InfoS("target removed", "group", g.config.Name, "target", p.target.ID, "why", why)
	delete(g.places, p.target.ID)
	g.leadership.ObservePossibleRestart(p.target.ID)
	p.cancel()
	p.pool.close()
	g.wakeWaiters()
}

// Close ends the group.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	for _, p := range g.places {
		g.remove(p, "the group is closed")
	}
	g.mu.Unlock()
	g.tasks.Wait()
}

// wakeWaiters tells who waits for a primary to look again. The lock is held.
func (g *Group) wakeWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// note takes in a status and tells of a change of primary.
func (g *Group) note(p *place, status rosemary.Status, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.places[p.target.ID] != p {
		return
	}
	before, _ := g.leadership.Primary()
	g.leadership.Observe(status, sentAt)
	p.failingSince, p.refused = time.Time{}, false
	p.noteApplied(status.Applied, sentAt)
	if status.Role == rosemary.RolePrimary {
		g.leadership.ObservePosition(p.target.ID, status.Term, status.Position, sentAt, g.config.Clock.Now())
	}
	g.compareLead(before, "status of "+string(p.target.ID))
	now := g.config.Clock.Now()
	if lead, ok := g.leadership.Primary(); ok && now.Before(lead.ValidUntil) && !now.Before(before.ValidUntil) {
		g.wakeWaiters()
	}
}

// noteApplied takes in what a replica had applied at a time. The group's lock is
// held.
func (p *place) noteApplied(position rosemary.Position, at time.Time) {
	if !position.IsZero() {
		p.lag, p.lagAt = p.group.leadership.Lag(position, at), at
	}
}

// compareLead logs a change of primary. The lock is held.
func (g *Group) compareLead(before rosegroup.PrimaryLease, cause string) {
	lead, known := g.leadership.Primary()
	if lead.Target == before.Target && lead.Term == before.Term {
		return
	}
	g.leadSince = g.config.Clock.Now()
	klog.InfoS("primary changed", "group", g.config.Name, "from", before.Target, "fromTerm", before.Term,
		"to", lead.Target, "term", lead.Term, "known", known, "cause", cause)
	for id, p := range g.places {
		if id == before.Target {
			p.pool.flush()
		}
		p.nudge()
	}
	g.wakeWaiters()
}

// fail takes in that the target did not answer what was sent at sentAt.
func (g *Group) fail(p *place, sentAt time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.places[p.target.ID] != p {
		return
	}
	if p.failingSince.IsZero() {
		p.failingSince = sentAt
		klog.InfoS("target lost", "group", g.config.Name, "target", p.target.ID, "err", roselog.Err(err))
	}
	p.refused = errors.Is(err, syscall.ECONNREFUSED)
	g.leadership.ObservePossibleRestart(p.target.ID)
	p.nudge()
}

// unseat forgets how long the target was seen without a fence: it may have
// restarted.
func (g *Group) unseat(p *place) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.places[p.target.ID] == p {
		g.leadership.ObservePossibleRestart(p.target.ID)
	}
}

// SampleNow has a target sampled at once.
func (g *Group) SampleNow(id rosemary.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.places[id]; p != nil {
		p.nudge()
	}
}

func (p *place) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// deposed takes in that a target refused work as it doesn't lead.
func (g *Group) deposed(p *place) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, known := g.leadership.Primary()
	if !known || before.Target != p.target.ID {
		return
	}
	g.leadership.ObserveNotPrimary(p.target.ID)
	g.compareLead(before, "refused by "+string(p.target.ID))
}

// RevokePrimary gives up the permission to rely on the primary of term.
func (g *Group) RevokePrimary(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leadership.RevokePrimary(term)
	klog.InfoS("primary not relied on any more", "group", g.config.Name, "term", term)
	for _, p := range g.places {
		p.nudge()
	}
}

// CheckReachable asks a target for its status now, and reports whether it answers,
// and whether that is known before ctx ends.
func (g *Group) CheckReachable(ctx context.Context, id rosemary.TargetID) (answers, known bool) {
	g.mu.Lock()
	p := g.places[id]
	failing := p != nil && !p.failingSince.IsZero()
	g.mu.Unlock()
	if p == nil || failing {
		return false, failing
	}
	sampled := make(chan bool, 1)
	g.tasks.Go(func() { sampled <- p.sampleOnce(ctx) })
	select {
	case answers = <-sampled:
		return answers, true
	case <-ctx.Done():
		return false, false
	}
}

// CountReachable counts the targets, and those that answer.
func (g *Group) CountReachable() (targets, answering int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.places {
		targets++
		if p.failingSince.IsZero() {
			answering++
		}
	}
	return targets, answering
}

// MinPosition returns a position that holds all that was acknowledged maxAge ago.
func (g *Group) MinPosition(maxAge time.Duration) (rosemary.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadership.MinPosition(g.config.Clock.Now().Add(-maxAge))
}

// PrimaryValid reports whether a primary is known and may be relied on now.
func (g *Group) PrimaryValid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lead, known := g.leadership.Primary()
	return known && g.config.AllowPrimary() && g.config.Clock.Now().Before(lead.ValidUntil)
}

// TargetView is what is known of one target.
type TargetView struct {
	rosemary.TargetRegistration
	Status rosemary.Status
	// SeenAt is when the status was asked for; zero for never.
	SeenAt time.Time
	// FailingFor is how long the target hasn't answered.
	UnreachableFor time.Duration
	// Refused is set when its VM answered that nothing listens.
	ConnectionRefused bool
}

// View is what is known of a group.
type View struct {
	Primary        rosegroup.PrimaryLease
	HasPrimary     bool
	PrimaryValid   bool
	Term           uint64
	Targets        []TargetView
	PrimaryView    TargetView
	HasPrimaryView bool
	// LeadSince is since when this proxy has known the primary.
	PrimarySince time.Time
}

// View returns what is known now.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	lead, known := g.leadership.Primary()
	view := View{Primary: lead, HasPrimary: known, PrimaryValid: known && g.config.AllowPrimary() && now.Before(lead.ValidUntil), Term: g.leadership.Term(), PrimarySince: g.leadSince}
	for id, p := range g.places {
		status, seenAt, _ := g.leadership.Status(id)
		t := TargetView{
			TargetRegistration: rosemary.TargetRegistration{Target: p.target, Group: g.config.Name, Slots: p.slots, Leaving: p.leaving, Incarnation: p.born},
			Status:             status, SeenAt: seenAt, ConnectionRefused: p.refused,
		}
		if !p.failingSince.IsZero() {
			t.UnreachableFor = now.Sub(p.failingSince)
		}
		if known && id == lead.Target {
			view.PrimaryView, view.HasPrimaryView = t, true
		}
		view.Targets = append(view.Targets, t)
	}
	return view
}
