package rosefleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// sampleInterval separates the samples of one target. Two replicas give
	// six samples within rosegroup.PermissionTime.
	sampleInterval = 300 * time.Millisecond
	// sharedTime is how old the status of another proxy may be that saves a
	// sample. What is left of rosegroup.PermissionTime then suffices for one.
	sharedTime = 650 * time.Millisecond
	// searchInterval separates them while no primary is certain.
	searchInterval = 50 * time.Millisecond
	// sampleTimeout bounds one sample.
	sampleTimeout = 300 * time.Millisecond
	// dialTimeout bounds the opening of a link.
	dialTimeout = 300 * time.Millisecond
)

// sample follows the target's status until ctx ends.
func (p *place) sample(ctx context.Context) {
	nudged := true
	for ctx.Err() == nil {
		certain := p.group.PrimaryValid()
		rest := p.sharedFor()
		if nudged || !certain || rest <= 0 {
			p.sampleOnce(ctx)
			rest = sampleInterval - sampleInterval/8 + rand.N(sampleInterval/4)
		}
		nudged = false
		if !certain {
			rest = searchInterval - searchInterval/8 + rand.N(searchInterval/4)
		}
		timer := time.NewTimer(rest)
		select {
		case <-timer.C:
		case <-p.wake:
			// Nudges come in bursts; one sample answers them.
			timer.Stop()
			nudged = true
			roseclock.Sleep(ctx, searchInterval/4)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sharedFor returns how long the status that another proxy has sampled still
// saves a sample.
func (p *place) sharedFor() time.Duration {
	g := p.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.sharedAt.IsZero() || !p.failingSince.IsZero() {
		return 0
	}
	return p.sharedAt.Add(sharedTime).Sub(g.config.Clock.Now())
}

// RecentStatuses returns the statuses that this proxy has sampled itself of late.
func (g *Group) RecentStatuses() []rosegroup.SharedStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	shared := g.leadership.RecentStatuses(now.Add(-sharedTime))
	return slices.DeleteFunc(shared, func(s rosegroup.SharedStatus) bool {
		p := g.places[s.Status.Target]
		return p == nil || now.Sub(p.sharedAt) < sharedTime || !p.failingSince.IsZero()
	})
}

// ObserveShared takes in the statuses that another proxy has sampled.
func (g *Group) ObserveShared(shared []rosegroup.SharedStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, _ := g.leadership.Primary()
	now := g.config.Clock.Now()
	for _, s := range shared {
		p := g.places[s.Status.Target]
		if p == nil || !p.failingSince.IsZero() {
			continue
		}
		g.leadership.ObserveShared(s)
		p.sharedAt = s.SentAt
		p.noteApplied(s.Status.Applied, s.SentAt)
		if s.Status.Role == rosemary.RolePrimary {
			g.leadership.ObservePosition(p.target.ID, s.Status.Term, s.Status.Position, s.SentAt, now)
		}
	}
	g.compareLead(before, "status of another proxy")
	if lead, ok := g.leadership.Primary(); ok && now.Before(lead.ValidUntil) && !now.Before(before.ValidUntil) {
		g.wakeWaiters()
	}
}

// sampleOnce asks the target for its status and reports whether it answers.
func (p *place) sampleOnce(ctx context.Context) bool {
	sentAt := p.group.config.Clock.Now()
	status, err := p.control(ctx, sampleTimeout, func(l rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return l.Status(deadline)
	})
	switch {
	case err == nil:
		p.group.note(p, status, sentAt)
	case ctx.Err() != nil, trace.IsLimitExceeded(err):
		// A target without a free slot or connection is alive.
	default:
		p.group.fail(p, sentAt, err)
		return false
	}
	return true
}

// control runs a call on a link of its own.
func (p *place) control(ctx context.Context, timeout time.Duration, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) (rosemary.Status, error) {
	for {
		h, ok, others := p.pool.takeForControl()
		if !ok {
			return rosemary.Status{}, trace.LimitExceeded("all links to target %s are in use", p.target.ID)
		}
		used := h != nil
		if !used {
			if !others {
				// No link would have told of a restart.
				p.group.unseat(p)
			}
			var err error
			if h, err = p.dial(ctx); err != nil {
				return rosemary.Status{}, err
			}
		}
		status, err := call(h.link, time.Now().Add(timeout))
		if err == nil || trace.IsLimitExceeded(err) {
			p.pool.put(h)
			return status, err
		}
		p.pool.drop(h)
		if !used {
			return status, err
		}
		// An old link may be dead while the target lives: the other old
		// ones go too, and a new one tells.
		p.group.unseat(p)
		p.pool.flush()
	}
}

// dial opens a link that the pool has granted.
func (p *place) dial(ctx context.Context) (*held, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := p.group.config.Dialer.DialTarget(ctx, p.group.config.Name, p.target)
	if err == nil {
		return &held{link: l, takenAt: time.Now()}, nil
	}
	if trace.IsLimitExceeded(err) {
		p.pool.full()
		klog.V(1).InfoS("target has no connection left", "group", p.group.config.Name, "target", p.target.ID)
	}
	p.pool.drop(nil)
	return nil, err
}

// Control runs a control call on a target.
func (g *Group) Control(ctx context.Context, id rosemary.TargetID, timeout time.Duration, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) (rosemary.Status, error) {
	g.mu.Lock()
	p := g.places[id]
	g.mu.Unlock()
	if p == nil {
		return rosemary.Status{}, trace.NotFound("group %s has no target %s", g.config.Name, id)
	}
	sentAt := g.config.Clock.Now()
	status, err := p.control(ctx, timeout, call)
	if err == nil {
		g.note(p, status, sentAt)
	}
	return status, err
}
