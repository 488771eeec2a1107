package rosenode

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
)

const (
	// awaitTimeout bounds one wait for a new configuration, and thus the delay of
	// a new version if the watch stalls.
	awaitTimeout = 1800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store,
	// which doubles with each further one.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// newsCheckInterval is how often a proxy that hears of the store from readers checks
	// whether their news has become too old.
	newsCheckInterval = 250 * time.Millisecond
	// fetchInterval is how often the whole configuration is read in addition to
	// the watch, as the store may drop the notification of a change.
	fetchInterval = 10 * time.Second
	// storeReadTimeout bounds one read of the targets or of the configuration.
	storeReadTimeout = 1500 * time.Millisecond
	// controlConnections is the number of a target's connections that are
	// reserved for status and control calls.
	controlConnections = 3
)

// followConfiguration applies each new configuration in the store. A proxy that hears of it
// from readers reads it only if their news is too old.
func (n *Node) followConfiguration(ctx context.Context) {
	revision, fetchedAt := int64(0), time.Time{}
	epoch := n.config.Store.Epoch()
	lost, retryDelay := false, minRetryDelay
	refused := ""
	for ctx.Err() == nil {
		source := sourceWatch
		if newest := n.config.Store.Epoch(); newest != epoch {
			// Revisions of an earlier epoch are void.
			epoch, revision = newest, 0
			n.locks.RefreshNow()
		}
		asksReaders := len(n.askedReaders()) > 0
		if asksReaders && n.configurationAge() <= maxConfigurationAge {
			revision = 0
			roseclock.Sleep(ctx, newsCheckInterval)
			continue
		}
		var err error
		var confirmedAt time.Time
		sentAt := n.config.Clock.Now()
		var configuration *rosemary.Configuration
		if revision == 0 || asksReaders || time.Since(fetchedAt) > fetchInterval {
			watched := revision != 0 && !asksReaders
			source = sourceRead
			callCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
			configuration, revision, err = n.config.Configurations.Fetch(callCtx)
			cancel()
			fetchedAt, confirmedAt = time.Now(), sentAt
			if watched && configuration != nil && !n.hasVersion(configuration.Version) {
				n.metrics.countMissedNotification()
				klog.InfoS("watch missed a configuration", "version", configuration.Version, "revision", revision)
			}
		} else {
			configuration, revision, err = n.config.Configurations.Await(ctx, revision, awaitTimeout)
			confirmedAt = sentAt
			if answered := sentAt.Add(awaitTimeout); configuration == nil && !n.config.Clock.Now().Before(answered) {
				// The store has waited before it answered.
				confirmedAt = answered
			}
		}
		switch {
		case err == nil:
			if lost {
				klog.InfoS("store regained", "for", "configuration")
			}
			lost, retryDelay = false, minRetryDelay
			if configuration != nil {
				refused = ""
			}
			n.apply(configuration, source)
			n.confirmConfiguration(confirmedAt)
			if asksReaders {
				roseclock.Sleep(ctx, awaitTimeout)
			}
			continue
		case trace.IsBadParameter(err):
			// The last well-formed version stays in force until the next change.
			if err.Error() != refused {
				klog.ErrorS(nil, "configuration refused", "from", "store", "revision", revision, "err", roselog.ErrorMessage(err))
			}
			refused, lost, retryDelay = err.Error(), false, minRetryDelay
			n.apply(configuration, source)
			n.confirmConfiguration(confirmedAt)
			if asksReaders {
				roseclock.Sleep(ctx, awaitTimeout)
			}
			continue
		case errors.Is(err, rosemary.ErrCompacted):
			klog.InfoS("configuration read anew", "why", roselog.ErrorMessage(err))
		case ctx.Err() == nil && !lost:
			lost = true
			klog.InfoS("store lost", "for", "configuration", "err", roselog.ErrorMessage(err))
		}
		revision = 0
		roseclock.Sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// Where a proxy got a configuration from, in logs and metrics.
const (
	sourceWatch = "watch"
	sourceRead  = "read"
	sourcePull  = "pull"
)

// apply puts a configuration into force if it is newer than the current one.
func (n *Node) apply(configuration *rosemary.Configuration, source string) {
	if configuration == nil {
		return
	}
	n.applying.Lock()
	defer n.applying.Unlock()
	current := n.configuration.Load()
	if current != nil && configuration.Version <= current.Version {
		return
	}
	if current != nil {
		configuration = configuration.WithTeams(configuration.Teams.WithPredecessor(current.Teams))
	}
	n.configuration.Store(configuration)
	n.metrics.setConfigurationVersion(configuration.Version)
	unconfirmed, namedBefore := n.configurationDelays(configuration.Version)
	if current != nil {
		n.metrics.observeConfigurationDelay(source, unconfirmed)
	}
	n.mesh.SetBundleVersion(uint64(configuration.Version))
	klog.InfoS("configuration in force", "version", configuration.Version, "source", source,
		"unconfirmedMs", unconfirmed.Milliseconds(), "namedMs", namedBefore.Milliseconds(), "routes", len(configuration.Routes), "groups", len(configuration.Groups),
		"teams", configuration.Teams.Len())
	n.updateGroups(false)
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
	now := n.config.Clock.Now()
	settled := n.settledMembers(members, now)
	directory := n.updateDirectory(members, settled)
	byGroup := make(map[string][]rosemary.TargetRegistration, len(configuration.Groups))
	for _, r := range n.registrations {
		byGroup[r.Group] = append(byGroup[r.Group], r)
	}
	for name := range configuration.Groups {
		g := n.groups[name]
		if g == nil {
			g = n.startGroup(name)
		}
		registrations := byGroup[name]
		entry := directory.groups[name]
		gave := g.handover.Usable(now)
		g.handover = g.handover.WithPart(entry.part, now)
		limits := entry.connLimits(g.handover.Usable(now))
		if time.Since(n.startedAt) < startupTime {
			limits = limitToSlots(limits, directory.slots[name])
		}
		wasHome := g.home
		g.home = entry.home
		if g.home != wasHome {
			klog.InfoS("home changed", "group", name, "home", g.home, "settled", isAmong(n.config.Self.Proxy, entry.settled),
				"connections", limits.Max, "homes", len(entry.homes), "members", len(members),
				"targetsAgeMs", n.targetsAgeLocked().Milliseconds())
		}
		if g.home && !wasHome && !fromStore {
			n.requestTargetsRead()
		}
		if wasHome && !g.home && entry.few && gave.Open > 0 && time.Since(n.startedAt) > startupTime {
			// What waits here is still served.
			g.temporaryUntil = time.Now().Add(givingUpTime)
		}
		if !g.home && !wasHome && g.servedTemporarily() && !fromStore {
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

// givingUpTime is how long a proxy that is no longer a home of a group goes on serving it,
// with the reserve, for requests that wait or were relayed before others knew.
const givingUpTime = 4 * time.Second

// startGroup starts a group and its replacer. The caller holds the lock.
func (n *Node) startGroup(name string) *group {
	ctx, cancel := context.WithCancel(n.context)
	g := &group{
		Group: rosefleet.NewGroup(rosefleet.Config{
			Name: name, Zone: n.config.Self.Zone, Dialer: n.config.TargetDialer, Clock: n.config.Clock,
			LeavingTime: n.config.LeavingTime, AllowPrimary: n.allowPrimary, ZonePartitioned: n.zonePartitioned.Load,
		}),
		cancel: cancel,
		// A group that is added later may be one that was removed a moment ago.
		handover: rosedecision.NewHandover(n.config.FirstStart && time.Since(n.startedAt) < startupTime),
	}
	n.groups[name] = g
	g.replacer = rosesupervisor.NewReplacer(rosesupervisor.ReplacerConfig{
		Self: n.config.Self.Proxy, Group: g.Group, Locks: n.locks, Promoter: n.config.Promoter, Clock: n.config.Clock,
		Voters:     n.peers(),
		ProxyCount: func() int { return n.usersOf(name) },
	})
	n.goroutines.Go(func() { g.replacer.Run(ctx) })
	return g
}
