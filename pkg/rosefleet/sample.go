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
	// six samples within rosegroup.PrimaryLeaseTime.
	sampleInterval = 300 * time.Millisecond
	// maxSharedAge is how old a status shared by another proxy may be to replace
	// a sample. What is left of rosegroup.PrimaryLeaseTime then suffices for
	// one sample.
	maxSharedAge = 650 * time.Millisecond
	// searchInterval separates the samples while no primary is certain.
	searchInterval = 50 * time.Millisecond
	// sampleTimeout limits the duration of a sample.
	sampleTimeout = 300 * time.Millisecond
	// dialTimeout limits the time to open a connection.
	dialTimeout = 300 * time.Millisecond
	// probeDelay is how long a call on an idle connection may go unanswered before
	// it is checked whether a new connection can be opened.
	probeDelay = 120 * time.Millisecond
	// probeTimeout limits that check.
	probeTimeout = 150 * time.Millisecond
)

// runSampler samples the target's status until ctx ends.
func (e *endpoint) runSampler(ctx context.Context) {
	requested := true
	for ctx.Err() == nil {
		primaryValid := e.group.PrimaryValid()
		delay := e.sharedValidity()
		if requested || !primaryValid || delay <= 0 {
			e.sampleOnce(ctx)
			delay = sampleInterval - sampleInterval/8 + rand.N(sampleInterval/4)
		}
		requested = false
		if !primaryValid {
			delay = searchInterval - searchInterval/8 + rand.N(searchInterval/4)
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-e.sampleRequests:
			// Sample requests come in bursts; one sample serves them all.
			timer.Stop()
			requested = true
			roseclock.Sleep(ctx, searchInterval/4)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sharedValidity returns how long the status that another proxy has shared still
// replaces a sample.
func (e *endpoint) sharedValidity() time.Duration {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.sharedAt.IsZero() || !e.unreachableSince.IsZero() {
		return 0
	}
	return e.sharedAt.Add(maxSharedAge).Sub(g.config.Clock.Now())
}

// RecentStatuses returns the statuses that this proxy has sampled itself within
// maxSharedAge.
func (g *Group) RecentStatuses() []rosegroup.SharedStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	shared := g.primaryTracker.RecentStatuses(now.Add(-maxSharedAge))
	return slices.DeleteFunc(shared, func(s rosegroup.SharedStatus) bool {
		e := g.endpoints[s.Status.Target]
		return e == nil || now.Sub(e.sharedAt) < maxSharedAge || !e.unreachableSince.IsZero()
	})
}

// ObserveShared records the statuses that another proxy has sampled.
func (g *Group) ObserveShared(shared []rosegroup.SharedStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, _ := g.primaryTracker.Primary()
	now := g.config.Clock.Now()
	for _, s := range shared {
		e := g.endpoints[s.Status.Target]
		if e == nil || !e.unreachableSince.IsZero() {
			continue
		}
		g.primaryTracker.ObserveShared(s)
		e.sharedAt = s.SentAt
		e.observeApplied(s.Status.Applied, s.SentAt)
		if s.Status.Role == rosemary.RolePrimary {
			g.primaryTracker.ObservePosition(e.target.ID, s.Status.Term, s.Status.Position, s.SentAt, now)
		}
	}
	g.handlePrimaryChange(before, "status of another proxy")
	if primary, ok := g.primaryTracker.Primary(); ok && now.Before(primary.ValidUntil) && !now.Before(before.ValidUntil) {
		g.notifyWaiters()
	}
}

// sampleOnce requests the target's status and reports whether the target answers.
func (e *endpoint) sampleOnce(ctx context.Context) bool {
	sentAt := e.group.config.Clock.Now()
	status, err := e.runControl(ctx, sampleTimeout, func(conn rosemary.Conn, deadline time.Time) (rosemary.Status, error) {
		return conn.Status(deadline)
	})
	switch {
	case err == nil:
		e.group.observe(e, status, sentAt)
	case ctx.Err() != nil, trace.IsLimitExceeded(err):
		// An ended ctx doesn't tell whether the target answers, and a target
		// without a free slot or connection is alive.
	default:
		e.group.observeFailure(e, sentAt, err)
		return false
	}
	return true
}

// runControl runs a call on a connection that no session uses.
func (e *endpoint) runControl(ctx context.Context, timeout time.Duration, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) (rosemary.Status, error) {
	for {
		c, ok, hadOpen := e.pool.takeForControl()
		if !ok {
			return rosemary.Status{}, trace.LimitExceeded("no connection to target %s is available", e.target.ID)
		}
		reused := c != nil
		if !reused {
			if !hadOpen {
				// Without an open connection a restart goes unnoticed.
				e.group.observePossibleRestart(e, "no connection was open")
			}
			var err error
			if c, err = e.dial(ctx, ""); err != nil {
				e.pool.releaseOpening("", false)
				return rosemary.Status{}, err
			}
		}
		probe := e.startProbe(ctx, reused)
		status, err := call(c.conn, time.Now().Add(timeout))
		probeErr := probe.stop(err != nil)
		if err == nil || trace.IsLimitExceeded(err) {
			e.pool.put(c)
			return status, err
		}
		e.pool.drop(c)
		if !reused {
			return status, err
		}
		if probeErr != nil && !trace.IsLimitExceeded(probeErr) {
			e.pool.flush()
			return status, probeErr
		}
		// An idle connection may be dead while the target is alive. Close the
		// others too, and try a new one.
		e.group.observePossibleRestart(e, "an idle connection failed, a new one works")
		e.pool.flush()
	}
}

// probe checks whether a new connection can be opened while a call on an idle one goes
// unanswered, so that a target that is gone is told from a dead connection without
// waiting for one after the other.
type probe struct {
	timer  *time.Timer
	cancel context.CancelFunc
	result chan error
}

// startProbe starts a probe after probeDelay; it does nothing if not enabled.
func (e *endpoint) startProbe(ctx context.Context, enabled bool) *probe {
	if !enabled {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &probe{cancel: cancel, result: make(chan error, 1)}
	p.timer = time.AfterFunc(probeDelay, func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		conn, err := e.group.config.Dialer.DialTarget(ctx, e.group.config.Name, e.target, "")
		if err == nil {
			conn.Close()
		}
		p.result <- err
	})
	return p
}

// stop ends the probe. With wait it returns the result, nil if the probe hadn't begun.
func (p *probe) stop(wait bool) error {
	if p == nil {
		return nil
	}
	defer p.cancel()
	if p.timer.Stop() || !wait {
		return nil
	}
	return <-p.result
}

// dial opens a connection that the pool has granted. If it fails, the caller has to release
// the right to open it.
func (e *endpoint) dial(ctx context.Context, team string) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	started := time.Now()
	conn, err := e.group.config.Dialer.DialTarget(ctx, e.group.config.Name, e.target, team)
	if err == nil {
		c := &pooledConn{conn: conn, team: team, takenAt: time.Now()}
		e.pool.opened(c, started)
		return c, nil
	}
	if trace.IsLimitExceeded(err) {
		e.pool.markFull()
		klog.V(1).InfoS("target has no connection left", "group", e.group.config.Name, "target", e.target.ID)
	}
	return nil, err
}

// Control runs a control call on a target and records the status it returns.
func (g *Group) Control(ctx context.Context, id rosemary.TargetID, timeout time.Duration, call func(rosemary.Conn, time.Time) (rosemary.Status, error)) (rosemary.Status, error) {
	g.mu.Lock()
	e := g.endpoints[id]
	g.mu.Unlock()
	if e == nil {
		return rosemary.Status{}, trace.NotFound("group %s has no target %s", g.config.Name, id)
	}
	sentAt := g.config.Clock.Now()
	status, err := e.runControl(ctx, timeout, call)
	if err == nil {
		g.observe(e, status, sentAt)
	}
	return status, err
}
