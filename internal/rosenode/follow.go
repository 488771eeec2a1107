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
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store,
	// which doubles with each further one.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// newsCheckInterval is how often a proxy that hears of the store from readers checks
	// whether their news has become too old.
	newsCheckInterval = 250 * time.Millisecond
	// storeReadTimeout bounds one read of the targets, and one of the configuration after
	// others that failed.
	storeReadTimeout = 1500 * time.Millisecond
	// controlConnections is the number of a target's connections that are
	// reserved for status and control calls.
	controlConnections = 3
)

// followConfiguration applies each new configuration in the store. A proxy that hears of it
// from readers reads it only if their news is too old.
//
// Only a read of the whole configuration shows that a version is the newest: a watch that
// tells of no change may not have been told of it.
func (n *Node) followConfiguration(ctx context.Context) {
	// watchFrom is the revision of the last read if a watch is next, else 0.
	watchFrom := int64(0)
	epoch := n.config.Store.Epoch()
	lost, retryDelay := false, minRetryDelay
	// failures is the number of reads in a row that failed.
	failures := 0
	watched, refused := false, ""
	for ctx.Err() == nil {
		if newest := n.config.Store.Epoch(); newest != epoch {
			// Revisions of an earlier epoch are void.
			epoch, watchFrom = newest, 0
			n.locks.RefreshNow()
		}
		budget := n.newsBudget()
		asksReaders := len(n.askedReaders()) > 0
		if asksReaders {
			watchFrom = 0
			if n.configurationAge() <= budget.MaxAge {
				roseclock.Sleep(ctx, newsCheckInterval)
				continue
			}
		}
		var err error
		var configuration *rosemary.Configuration
		sentAt, source := n.config.Clock.Now(), sourceRead
		revision := watchFrom
		if watchFrom == 0 {
			callCtx, cancel := context.WithTimeout(ctx, budget.ReadTimeoutAfter(failures, storeReadTimeout))
			configuration, revision, err = n.config.Configurations.Fetch(callCtx)
			cancel()
			if watched && configuration != nil && !n.hasVersion(configuration.Version) {
				n.metrics.countMissedNotification()
				klog.InfoS("watch missed a configuration", "version", configuration.Version, "revision", revision)
			}
		} else {
			source = sourceWatch
			callCtx, cancel := context.WithTimeout(ctx, budget.Wait+budget.WatchMargin)
			configuration, _, err = n.config.Configurations.Await(callCtx, watchFrom, budget.Wait)
			cancel()
		}
		watched = source == sourceWatch && configuration == nil && err == nil
		malformed := trace.IsBadParameter(err)
		if malformed && err.Error() != refused {
			// The last well-formed version stays in force until the next change.
			klog.ErrorS(nil, "configuration refused", "from", "store", "revision", revision, "err", roselog.ErrorMessage(err))
			refused = err.Error()
		}
		if err == nil || malformed {
			if lost {
				klog.InfoS("store regained", "for", "configuration", "failures", failures)
			}
			lost, failures, retryDelay = false, 0, minRetryDelay
			if configuration != nil && !malformed {
				refused = ""
			}
			n.apply(configuration, source)
			watchFrom = 0
			if source == sourceRead {
				n.confirmConfiguration(sentAt)
				watchFrom = revision
			}
			continue
		}
		switch {
		case errors.Is(err, rosemary.ErrCompacted):
			klog.InfoS("configuration read anew", "why", roselog.ErrorMessage(err))
		case ctx.Err() == nil && !lost:
			lost = true
			klog.InfoS("store lost", "for", "configuration", "call", source, "tookMs", n.config.Clock.Now().Sub(sentAt).Milliseconds(),
				"configurationAgeMs", n.configurationAge().Milliseconds(), "err", roselog.ErrorMessage(err))
		}
		watchFrom = 0
		if source == sourceWatch && n.config.Clock.Now().Sub(sentAt) >= budget.ReadTimeout {
			// Time has passed already.
			continue
		}
		if source == sourceRead {
			failures++
		}
		roseclock.Sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// newsBudget returns how the time in which a change has to be in force is spent.
func (n *Node) newsBudget() rosedecision.NewsBudget {
	return rosedecision.NewNewsBudget(n.config.ConfigurationTime, n.readsForOthers())
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
		"unconfirmedMs", unconfirmed.Milliseconds(), "namedMs", namedBefore.Milliseconds(), "bytes", len(configuration.Text), "routes", len(configuration.Routes), "groups", len(configuration.Groups),
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
