package rosenode

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
)

const (
	// awaitTime is how long a wait for a new configuration lasts: a watch
	// that has gone silent delays a version by no more.
	awaitTime = 1800 * time.Millisecond
	// followPause follows a failed call.
	followPause = 150 * time.Millisecond
	// fetchInterval separates reads of the whole configuration beside the
	// watch, which may miss a change that the store has dropped.
	fetchInterval = 10 * time.Second
	// targetsInterval separates reads of the list of targets.
	targetsInterval = 1400 * time.Millisecond
	// targetsTimeout bounds one read of it.
	targetsTimeout = 1500 * time.Millisecond
	// smallFleet is the number of proxies up to which each asks the store as
	// often as it can use.
	smallFleet = 12.0
	// mostStretch bounds how much less often a proxy of a large fleet asks.
	mostStretch = 4.0
	// visitorPauses is how many times less often a proxy reads the targets
	// that it only needs when no home is reached.
	visitorPauses = 6
	// returnTime is how long the targets that are missing from the list
	// after an outage of the store have to come back.
	returnTime = 2500 * time.Millisecond
	// controlConnections are left of a target's connections for control.
	controlConnections = 3
)

// followConfiguration brings each new configuration into force.
func (n *Node) followConfiguration(ctx context.Context) {
	revision, fetchedAt := int64(0), time.Time{}
	lost := false
	for ctx.Err() == nil {
		var configuration *rosemary.Configuration
		var err error
		if revision == 0 || time.Since(fetchedAt) > n.stretch(fetchInterval) {
			calling, cancel := context.WithTimeout(ctx, targetsTimeout)
			configuration, revision, err = n.config.Configurations.Fetch(calling)
			cancel()
			fetchedAt = time.Now()
		} else {
			configuration, revision, err = n.config.Configurations.Await(ctx, revision, n.stretch(awaitTime))
		}
		switch {
		case err == nil:
			if lost {
				klog.InfoS("store regained", "for", "configuration")
			}
			lost = false
			n.apply(configuration)
			continue
		case errors.Is(err, rosemary.ErrCompacted):
			klog.InfoS("configuration read anew", "why", roselog.Err(err))
		case ctx.Err() == nil && !lost:
			lost = true
			klog.InfoS("store lost", "for", "configuration", "err", roselog.Err(err))
		}
		revision = 0
		roseclock.Sleep(ctx, followPause)
	}
}

// stretch lengthens an interval with the fleet, so that calls of the store
// grow more slowly than it: what one proxy learns the others hear from it.
func (n *Node) stretch(interval time.Duration) time.Duration {
	factor := float64(len(n.duty.Members())) / smallFleet
	return time.Duration(float64(interval) * min(max(factor, 1), mostStretch))
}

// targetsPause separates reads of the targets: seldom for a proxy that is no
// group's home.
func (n *Node) targetsPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.listed {
		return targetsInterval
	}
	for _, g := range n.groups {
		if g.home || g.visited() {
			return targetsInterval
		}
	}
	return visitorPauses * targetsInterval
}

// apply brings a configuration into force if it is newer.
func (n *Node) apply(c *rosemary.Configuration) {
	if c == nil {
		return
	}
	present := n.configuration.Load()
	if present != nil && c.Version <= present.Version {
		return
	}
	n.configuration.Store(c)
	n.metrics.configured(c.Version)
	n.mesh.SetBundleVersion(uint64(c.Version))
	klog.InfoS("configuration in force", "version", c.Version, "routes", len(c.Routes), "groups", len(c.Groups))
	n.spread(false)
}

// followTargets keeps the groups' targets up to date.
func (n *Node) followTargets(ctx context.Context) {
	failed := false
	var returned time.Time
	for ctx.Err() == nil {
		calling, cancel := context.WithTimeout(ctx, targetsTimeout)
		listings, unreadable, err := n.config.Targets.Targets(calling)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			if !failed {
				klog.InfoS("store lost", "for", "targets", "err", roselog.Err(err))
			}
			failed = true
		case err == nil:
			if failed {
				klog.InfoS("store regained", "for", "targets", "targets", len(listings))
				returned = time.Now()
			}
			failed = false
			n.metrics.unreadable(unreadable)
			n.take(listings, time.Since(returned) < returnTime)
		}
		n.restTargets(ctx)
	}
}

// restTargets waits until the targets are due to be read again.
func (n *Node) restTargets(ctx context.Context) {
	timer := time.NewTimer(n.targetsPause())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.readTargets:
	case <-ctx.Done():
	}
}

// take replaces the targets known; keepMissing leaves those that the list
// lacks.
func (n *Node) take(listings []rosemary.TargetRegistration, keepMissing bool) {
	n.mu.Lock()
	if keepMissing {
		for _, old := range n.listings {
			same := func(l rosemary.TargetRegistration) bool { return l.ID == old.ID }
			if !slices.ContainsFunc(listings, same) {
				listings = append(listings, old)
			}
		}
	}
	n.listings, n.listed = listings, true
	n.mu.Unlock()
	n.spread(true)
}

// spread hands the targets to their groups. A group whose homes are elsewhere
// gets them only fresh from the store.
func (n *Node) spread(fresh bool) {
	c := n.configuration.Load()
	if c == nil {
		return
	}
	members := n.duty.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.context == nil || n.context.Err() != nil {
		return
	}
	for name, rule := range c.Groups {
		g := n.groups[name]
		if g == nil {
			g = n.startGroup(name)
		}
		var own []rosemary.TargetRegistration
		for _, l := range n.listings {
			if l.Group == name {
				own = append(own, l)
			}
		}
		slots := slotsOf(name, n.listings)
		free := freeConnections(rule, slots)
		all := homes(name, free, members)
		links := linksOf(free, n.config.Self, all)
		if time.Since(n.started) < settleTime {
			links = modest(links, slots)
		}
		g.home = isHome(n.config.Self.Proxy, all)
		if !g.home && g.visited() && !fresh {
			continue
		}
		if !g.home && !g.visited() {
			own = nil
		}
		if n.listed {
			g.Update(own, links)
		}
	}
	for name, g := range n.groups {
		if _, configured := c.Groups[name]; !configured {
			delete(n.groups, name)
			n.tasks.Go(func() {
				g.cancel()
				g.Close()
			})
		}
	}
}

// startGroup begins to look after a group. The lock is held.
func (n *Node) startGroup(name string) *group {
	ctx, cancel := context.WithCancel(n.context)
	g := &group{
		Group: rosefleet.New(rosefleet.Config{
			Name: name, Zone: n.config.Self.Zone, Dialer: n.config.TargetDialer, Clock: n.config.Clock,
			AllowPrimary: n.trusted, ZonePartitioned: n.cut.Load,
		}),
		cancel: cancel,
	}
	n.groups[name] = g
	g.replacer = rosesupervisor.NewReplacer(rosesupervisor.ReplacerConfig{
		Self: n.config.Self.Proxy, Group: g.Group, Locks: n.duty, Promoter: n.config.Promoter, Clock: n.config.Clock,
		Voters:     peers{n.mesh},
		ProxyCount: func() int { return n.homeCount(name) },
	})
	n.tasks.Go(func() { g.replacer.Run(ctx) })
	return g
}
