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
	// maxTransferTime bounds the time that a text takes to arrive from the store.
	maxTransferTime = 10 * time.Second
	// controlConnections is the number of a target's connections that are
	// reserved for status and control calls.
	controlConnections = 3
)

// followConfiguration applies each new configuration in the store. A proxy that hears of it
// from readers asks the store only if their news is too old.
func (n *Node) followConfiguration(ctx context.Context) {
	f := configurationFollower{node: n, epoch: n.config.Store.Epoch(), retryDelay: minRetryDelay}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// configurationFollower is what followConfiguration knows of the store.
//
// Only an answer of the store about the configuration itself shows that a version is the newest: a
// watch that tells of no change may not have been told of it.
type configurationFollower struct {
	node  *Node
	epoch uint64
	// watchFrom is the store's revision at the last read if a watch is next, else 0.
	watchFrom int64
	// read is the revision of the newest configuration that was read in this epoch, whether or
	// not it is in force.
	read int64
	// refused is why the last one that was malformed was refused.
	refused string
	// failures is the number of reads in a row that failed, and lost is set while they do.
	failures   int
	lost       bool
	retryDelay time.Duration
	// watched is set if the last watch told of no change.
	watched bool
}

// step reads or watches once, or waits until that is due.
func (f *configurationFollower) step(ctx context.Context) {
	n := f.node
	if newest := n.config.Store.Epoch(); newest != f.epoch {
		// Revisions of an earlier epoch are void.
		f.epoch, f.watchFrom, f.read = newest, 0, 0
		n.locks.RefreshNow()
	}
	budget := n.newsBudget()
	if len(n.askedReaders()) > 0 {
		f.watchFrom = 0
		if !n.needsRead(ctx, budget) {
			return
		}
	}
	sentAt, source := n.config.Clock.Now(), sourceRead
	if f.watchFrom > 0 {
		source = sourceWatch
	}
	configuration, seen, err := f.call(ctx, source, budget)
	if errors.Is(err, errSuperseded) {
		f.watchFrom = 0
		return
	}
	if n.config.Store.Epoch() != f.epoch && configuration == nil {
		// What was compared are revisions of two epochs.
		return
	}
	if err == nil || trace.IsBadParameter(err) {
		f.accept(configuration, seen, err, source, sentAt)
		return
	}
	f.fail(ctx, source, sentAt, budget, err)
}

// needsRead waits until the next check and reports false, or reports true if the store has to be
// asked because the news of readers is too old, or for a version that no peer has.
func (n *Node) needsRead(ctx context.Context, budget rosedecision.NewsBudget) bool {
	maxAge := budget.MaxAge
	if n.readsForZone() {
		maxAge = budget.ReaderMaxAge
	}
	if n.configurationAge() > maxAge && !n.transfer.fromPeers.underway() {
		return true
	}
	timer := time.NewTimer(newsCheckInterval)
	defer timer.Stop()
	select {
	case <-n.transfer.readNow:
		return !n.transfer.fromPeers.underway()
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// call watches or reads. A call ends when its answer makes no progress, as a text may take long
// to arrive.
func (f *configurationFollower) call(ctx context.Context, source string, budget rosedecision.NewsBudget) (*rosemary.Configuration, rosemary.ConfigurationRevision, error) {
	n := f.node
	pause := budget.ReadTimeoutAfter(f.failures, storeReadTimeout)
	timeout := pause
	if source == sourceWatch {
		timeout = budget.Wait + budget.WatchMargin
	}
	ctx, cancelTransfer := context.WithTimeout(ctx, timeout+maxTransferTime)
	defer cancelTransfer()
	ctx, cancelSuperseded := n.transfer.cancelWhenApplied(ctx)
	defer cancelSuperseded()
	ctx, cancel := roseclock.WithIdleTimeout(ctx, timeout, pause)
	defer cancel()
	ctx = roseclock.WithProgress(ctx, n.transfer.fromStore.record)
	var configuration *rosemary.Configuration
	var seen rosemary.ConfigurationRevision
	var err error
	if source == sourceWatch {
		configuration, seen, err = n.config.Configurations.Await(ctx, f.watchFrom, budget.Wait)
	} else {
		configuration, seen, err = n.config.Configurations.Fetch(ctx, f.known())
	}
	if err != nil && errors.Is(context.Cause(ctx), errSuperseded) {
		err = errSuperseded
	}
	return configuration, seen, err
}

// known returns the newest revision of the configuration that is known in this epoch.
func (f *configurationFollower) known() int64 {
	configuration := f.node.configuration.Load()
	if configuration == nil || configuration.Origin.Epoch != f.epoch {
		return f.read
	}
	return max(configuration.Origin.Revision, f.read)
}

// accept applies what a call has returned. err tells that it contains a malformed configuration.
func (f *configurationFollower) accept(configuration *rosemary.Configuration, seen rosemary.ConfigurationRevision, err error, source string, sentAt time.Time) {
	n := f.node
	if f.watched && source == sourceRead && configuration != nil && !n.hasVersion(configuration.Version) {
		n.metrics.countMissedNotification()
		klog.InfoS("watch missed a configuration", "version", configuration.Version, "revision", seen.Store)
	}
	f.watched = source == sourceWatch && configuration == nil && err == nil
	f.read = max(f.read, seen.Item)
	if err != nil {
		if err.Error() != f.refused {
			// The last well-formed version stays in force until the next change.
			klog.ErrorS(nil, "configuration refused", "from", "store", "revision", seen.Store, "err", roselog.ErrorMessage(err))
			f.refused = err.Error()
		}
	} else if configuration != nil {
		f.refused = ""
	}
	if f.lost {
		klog.InfoS("store regained", "for", "configuration", "failures", f.failures)
	}
	f.lost, f.failures, f.retryDelay = false, 0, minRetryDelay
	n.apply(configuration, source)
	f.watchFrom = 0
	if source == sourceRead {
		n.confirmConfiguration(sentAt)
		f.watchFrom = seen.Store
	}
}

// fail waits before the next call if time hasn't passed already.
func (f *configurationFollower) fail(ctx context.Context, source string, sentAt time.Time, budget rosedecision.NewsBudget, err error) {
	n := f.node
	took := n.config.Clock.Now().Sub(sentAt)
	switch {
	case errors.Is(err, rosemary.ErrCompacted):
		klog.InfoS("configuration read anew", "why", roselog.ErrorMessage(err))
	case ctx.Err() == nil && !f.lost:
		f.lost = true
		klog.InfoS("store lost", "for", "configuration", "call", source, "tookMs", took.Milliseconds(),
			"configurationAgeMs", n.configurationAge().Milliseconds(), "err", roselog.ErrorMessage(err))
	}
	f.watched, f.watchFrom = false, 0
	if source == sourceWatch && took >= budget.ReadTimeout {
		return
	}
	if source == sourceRead {
		f.failures++
	}
	roseclock.Sleep(ctx, f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
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
		if configuration.Version == current.Version && configuration.Origin.Revision > 0 {
			n.configuration.Store(current.WithOrigin(configuration.Origin))
		}
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
	n.transfer.recordApplied()
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
	// What is learned from now on is passed to the group.
	g.AdoptTargetSet(n.locks.TargetSet(name))
	g.replacer = rosesupervisor.NewReplacer(rosesupervisor.ReplacerConfig{
		Self: n.config.Self.Proxy, Group: g.Group, Locks: n.locks, Promoter: n.config.Promoter, Clock: n.config.Clock,
		Voters:     n.peers(),
		ProxyCount: func() int { return n.usersOf(name) },
		SyncReplicas: func() int {
			configuration := n.configuration.Load()
			if configuration == nil {
				return 0
			}
			return configuration.Groups[name].SyncReplicas
		},
	})
	n.goroutines.Go(func() { g.replacer.Run(ctx) })
	return g
}
