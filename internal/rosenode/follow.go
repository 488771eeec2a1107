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
	// awaitTimeout bounds one wait for a new configuration, and thus the delay of
	// a new version if the watch stalls.
	awaitTimeout = 1800 * time.Millisecond
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 150 * time.Millisecond
	// fetchInterval is how often the whole configuration is read in addition to
	// the watch, as the store may drop the notification of a change.
	fetchInterval = 10 * time.Second
	// targetsInterval is how often a home proxy reads the list of targets.
	targetsInterval = 1400 * time.Millisecond
	// storeReadTimeout bounds one read of the targets or of the configuration.
	storeReadTimeout = 1500 * time.Millisecond
	// maxUnscaledProxies is the number of proxies up to which they call the store
	// at their normal intervals.
	maxUnscaledProxies = 12.0
	// maxIntervalScale bounds the factor by which more proxies lengthen
	// the intervals.
	maxIntervalScale = 4.0
	// nonHomeIntervalFactor lengthens targetsInterval for a proxy that is home
	// to no group, as it needs the targets only when no home proxy is reachable.
	nonHomeIntervalFactor = 6
	// reregistrationTime is how long targets that are missing from the list are
	// kept after an outage of the store, which gives them time to register again.
	reregistrationTime = 2500 * time.Millisecond
	// controlConnections is the number of a target's connections that are
	// reserved for status and control calls.
	controlConnections = 3
)

// followConfiguration applies each new configuration in the store.
func (n *Node) followConfiguration(ctx context.Context) {
	revision, fetchedAt := int64(0), time.Time{}
	epoch := n.config.Store.Epoch()
	lost := false
	for ctx.Err() == nil {
		var configuration *rosemary.Configuration
		var err error
		if newest := n.config.Store.Epoch(); newest != epoch {
			// Revisions of an earlier epoch are void.
			epoch, revision = newest, 0
			n.locks.RefreshNow()
		}
		if revision == 0 || time.Since(fetchedAt) > n.scaleInterval(fetchInterval) {
			callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
			configuration, revision, err = n.config.Configurations.Fetch(callCtx)
			cancel()
			fetchedAt = time.Now()
		} else {
			configuration, revision, err = n.config.Configurations.Await(ctx, revision, n.scaleInterval(awaitTimeout))
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
			klog.InfoS("configuration read anew", "why", roselog.ErrorMessage(err))
		case ctx.Err() == nil && !lost:
			lost = true
			klog.InfoS("store lost", "for", "configuration", "err", roselog.ErrorMessage(err))
		}
		revision = 0
		roseclock.Sleep(ctx, retryDelay)
	}
}

// scaleInterval lengthens an interval if there are many proxies, so that the load
// on the store grows more slowly than their number. New configurations don't
// depend on the intervals alone, as proxies also fetch them from each other.
func (n *Node) scaleInterval(interval time.Duration) time.Duration {
	factor := float64(len(n.locks.Members())) / maxUnscaledProxies
	return time.Duration(float64(interval) * min(max(factor, 1), maxIntervalScale))
}

// targetsReadInterval returns the interval between reads of the targets. Once
// they have been read and the groups are known, it is longer for a proxy that serves
// no group.
func (n *Node) targetsReadInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.targetsLoaded || len(n.groups) == 0 {
		return targetsInterval
	}
	for _, g := range n.groups {
		if g.home || g.servedTemporarily() {
			return targetsInterval
		}
	}
	return nonHomeIntervalFactor * targetsInterval
}

// apply puts a configuration into force if it is newer than the current one.
func (n *Node) apply(configuration *rosemary.Configuration) {
	if configuration == nil {
		return
	}
	n.applying.Lock()
	defer n.applying.Unlock()
	current := n.configuration.Load()
	if current != nil && configuration.Version <= current.Version {
		return
	}
	n.configuration.Store(configuration)
	n.metrics.setConfigurationVersion(configuration.Version)
	n.mesh.SetBundleVersion(uint64(configuration.Version))
	klog.InfoS("configuration in force", "version", configuration.Version, "routes", len(configuration.Routes), "groups", len(configuration.Groups))
	n.updateGroups(false)
}

// followTargets updates the groups with the targets registered in the store.
func (n *Node) followTargets(ctx context.Context) {
	failed := false
	epoch := n.config.Store.Epoch()
	var regainedAt time.Time
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		sentAt := n.config.Clock.Now()
		registrations, unreadable, err := n.config.Targets.Targets(callCtx)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			if !failed {
				klog.InfoS("store lost", "for", "targets", "targetsAgeMs", n.lockedTargetsAge().Milliseconds(), "err", roselog.ErrorMessage(err))
			}
			failed = true
		case err == nil:
			if failed {
				klog.InfoS("store regained", "for", "targets", "targets", len(registrations), "targetsAgeMs", n.lockedTargetsAge().Milliseconds())
				regainedAt = time.Now()
			}
			failed = false
			if newest := n.config.Store.Epoch(); newest != epoch {
				epoch, regainedAt = newest, time.Now()
			}
			n.metrics.setUnreadableEntries(unreadable)
			n.replaceTargets(registrations, sentAt, time.Since(regainedAt) < reregistrationTime)
		}
		n.awaitTargetsRead(ctx)
	}
}

// requestTargetsRead has the targets read at once, as those known may be outdated.
func (n *Node) requestTargetsRead() {
	select {
	case n.readTargetsNow <- struct{}{}:
	default:
	}
}

// awaitTargetsRead waits until the targets are due to be read again.
func (n *Node) awaitTargetsRead(ctx context.Context) {
	timer := time.NewTimer(n.targetsReadInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.readTargetsNow:
	case <-ctx.Done():
	}
}

// targetsAge returns how long ago the read of the known targets was sent; zero before
// the first. The caller holds the lock.
func (n *Node) targetsAge() time.Duration {
	if n.targetsReadAt.IsZero() {
		return 0
	}
	return n.config.Clock.Now().Sub(n.targetsReadAt)
}

func (n *Node) lockedTargetsAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.targetsAge()
}

// replaceTargets replaces the known targets by those of a read sent at sentAt. With
// keepNewer, it keeps those that aren't in registrations, and newer registrations
// than those.
func (n *Node) replaceTargets(registrations []rosemary.TargetRegistration, sentAt time.Time, keepNewer bool) {
	n.mu.Lock()
	registrations = withLastReady(n.registrations, registrations, sentAt)
	if keepNewer {
		registrations = mergeRegistrations(n.registrations, registrations)
	}
	n.registrations, n.targetsLoaded, n.targetsReadAt = registrations, true, sentAt
	n.mu.Unlock()
	n.updateGroups(true)
}

// withLastReady returns the registrations of a read sent at sentAt with the times at
// which their targets were last known not to be leaving. A target that is leaving
// keeps the time of its known registration.
func withLastReady(known, read []rosemary.TargetRegistration, sentAt time.Time) []rosemary.TargetRegistration {
	stamped := slices.Clone(read)
	for i, r := range stamped {
		if !r.Leaving {
			stamped[i].LastReadyAt = sentAt
			continue
		}
		for _, k := range known {
			if k.ID == r.ID && k.Incarnation == r.Incarnation {
				stamped[i].LastReadyAt = k.LastReadyAt
			}
		}
	}
	return stamped
}

// mergeRegistrations returns read, with the known registrations that are missing in
// it or were made later by the same incarnation of a target: a store that has been
// away or was restored may lack them for a while.
func mergeRegistrations(known, read []rosemary.TargetRegistration) []rosemary.TargetRegistration {
	merged := slices.Clone(read)
	for _, k := range known {
		i := slices.IndexFunc(merged, func(r rosemary.TargetRegistration) bool { return r.ID == k.ID })
		switch {
		case i < 0:
			merged = append(merged, k)
		case merged[i].Incarnation == k.Incarnation && merged[i].Sequence < k.Sequence:
			merged[i] = k
		}
	}
	return merged
}

// updateGroups passes the targets and connection limits to the groups, and
// starts and stops groups as configured. fromStore tells that the targets have
// just been read from the store; a group that is served temporarily is updated
// only then.
func (n *Node) updateGroups(fromStore bool) {
	configuration := n.configuration.Load()
	if configuration == nil {
		return
	}
	members := n.locks.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.context == nil || n.context.Err() != nil {
		return
	}
	for name, settings := range configuration.Groups {
		g := n.groups[name]
		if g == nil {
			g = n.startGroup(name)
		}
		var registrations []rosemary.TargetRegistration
		for _, r := range n.registrations {
			if r.Group == name {
				registrations = append(registrations, r)
			}
		}
		slots := minSlots(name, n.registrations)
		available := availableConns(settings, slots)
		groupHomes := homes(name, available, members)
		limits := connLimits(available, n.config.Self, groupHomes)
		if time.Since(n.startedAt) < startupTime {
			limits = limitToSlots(limits, slots)
		}
		wasHome := g.home
		g.home = isHome(n.config.Self.Proxy, groupHomes)
		if g.home != wasHome {
			klog.InfoS("home changed", "group", name, "home", g.home, "homes", len(groupHomes), "members", len(members),
				"targetsAgeMs", n.targetsAge().Milliseconds())
		}
		if g.home && !wasHome && !fromStore {
			n.requestTargetsRead()
		}
		if !g.home && g.servedTemporarily() && !fromStore {
			continue
		}
		if !g.home && !g.servedTemporarily() {
			registrations = nil
		}
		if n.targetsLoaded {
			g.Update(registrations, limits)
		}
	}
	for name, g := range n.groups {
		if _, configured := configuration.Groups[name]; !configured {
			delete(n.groups, name)
			n.goroutines.Go(func() {
				g.cancel()
				g.Close()
			})
		}
	}
}

// startGroup starts a group and its replacer. The caller holds the lock.
func (n *Node) startGroup(name string) *group {
	ctx, cancel := context.WithCancel(n.context)
	g := &group{
		Group: rosefleet.NewGroup(rosefleet.Config{
			Name: name, Zone: n.config.Self.Zone, Dialer: n.config.TargetDialer, Clock: n.config.Clock,
			AllowPrimary: n.allowPrimary, ZonePartitioned: n.zonePartitioned.Load,
		}),
		cancel: cancel,
	}
	n.groups[name] = g
	g.replacer = rosesupervisor.NewReplacer(rosesupervisor.ReplacerConfig{
		Self: n.config.Self.Proxy, Group: g.Group, Locks: n.locks, Promoter: n.config.Promoter, Clock: n.config.Clock,
		Voters:     peers{n.mesh},
		ProxyCount: func() int { return n.homeCount(name) },
	})
	n.goroutines.Go(func() { g.replacer.Run(ctx) })
	return g
}
