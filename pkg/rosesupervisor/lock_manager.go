package rosesupervisor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// leaseLifetime is the time to live of a proxy's lease in the store. It
	// outlasts most outages of the store, so that a holder can fail over
	// during them. The locks of a dead holder are claimed by others after this
	// time, or earlier by the holder itself after a restart.
	leaseLifetime = 8 * time.Second
	renewInterval = 2 * time.Second
	// urgentRenewInterval applies while a group lacks a primary, so that free
	// locks are found sooner, and while the cluster may be starting, so that
	// new members are found sooner.
	urgentRenewInterval = 300 * time.Millisecond
	// clusterStartTime is how long after its own start a proxy expects other
	// members to be starting too.
	clusterStartTime = 3 * time.Second
	// claimCheckInterval is how often this proxy checks whether its turn to
	// claim a free lock has come; it is a fraction of claimStagger, and a check
	// makes no call to the store.
	claimCheckInterval = 100 * time.Millisecond
	// renewRetryDelay follows a failed renewal of a proxy that holds a lock. Other proxies
	// double it with each further failure, up to maxRenewRetryDelay.
	renewRetryDelay    = 200 * time.Millisecond
	maxRenewRetryDelay = 1600 * time.Millisecond
	// idleListInterval is how often a proxy that may claim no lock lists the members.
	idleListInterval = 6 * time.Second
	// clusterStartScale is the number of members above which urgentRenewInterval is
	// longer at the start of the cluster, in proportion.
	clusterStartScale = 24
	// leaseMargin shortens the lifetime of the lease for its holder, which
	// stops acting before the store lets another proxy claim its locks.
	leaseMargin      = 300 * time.Millisecond
	storeCallTimeout = 500 * time.Millisecond
	// claimStagger is the delay between the turns of two successive proxies to
	// claim a free lock.
	claimStagger = 400 * time.Millisecond
	// unknownZoneDelay is added to the delay of a claim while the availability
	// zone of the group's primary is unknown, as proxies of that zone are to
	// claim last.
	unknownZoneDelay = 1500 * time.Millisecond
	// handOverDelay is how long a primary has to be in the holder's own zone
	// before the holder releases the lock to another proxy.
	handOverDelay = 6 * time.Second
	// notClaimableDelay is how long a proxy keeps a lock that it may no longer claim, as
	// members may come and go.
	notClaimableDelay = time.Second
	// abstainDuration is how long a proxy that has promised to abstain claims
	// no lock.
	abstainDuration = 2 * time.Second
	// abstainMargin shortens abstainDuration for the holder, which stops acting
	// before the promises end.
	abstainMargin = 300 * time.Millisecond
	// unsettledClaimTime is for how long the store may carry out a claim that it hasn't
	// answered, and a list may not show it.
	unsettledClaimTime = 10 * time.Second
	// abstainTimeout bounds the wait for the promises of all other proxies.
	abstainTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the deletion of this proxy's keys at shutdown.
	releaseTimeout = 500 * time.Millisecond
	// maxReleasedKeys is the number of keys deleted in one change, each of which
	// has a precondition; the store accepts 32 entries.
	maxReleasedKeys = 16
)

const (
	memberPrefix = "Members/"
	lockPrefix   = "Duties/"
	// settledKey exists once locks may be claimed in the store's epoch.
	settledKey = "Settled"
)

// LockManagerConfig configures a LockManager.
type LockManagerConfig struct {
	Store rosemary.MetadataStore
	// Clock has to advance while the VM is suspended.
	Clock roseclock.Clock
	Self  rosemary.Member
	// Incarnation differs for each start of this proxy.
	Incarnation string
	// FirstStart is set if the whole system starts for the first time, so that no
	// proxy can have held a lock before.
	FirstStart bool
	// Prefix is put before every key.
	Prefix string
	// Groups lists the groups whose locks this proxy may claim.
	Groups func() []string
	// Contenders returns those members that may claim the lock of a group; nil means
	// all.
	Contenders func(group string, members []rosemary.Member) []rosemary.Member
	// Peers is nil if there are no other proxies.
	Peers Peers
	// PrimaryZone returns the availability zone of a group's primary, and since
	// when the primary has been there; the zone is empty if unknown. Holders in
	// other zones are preferred, as they survive the loss of that zone.
	PrimaryZone func(group string) (rosemary.Zone, time.Time)
	// PrimaryMissing reports whether a group lacks a primary.
	PrimaryMissing func() bool
	// PrimaryAnswers reports whether a group's primary is valid and answers. A lock
	// isn't handed over without it, as the holder may be replacing the primary.
	PrimaryAnswers func(group string) bool
	// OnTargetSet is called with each newer target set of a group. It must not block, and may be
	// nil.
	OnTargetSet func(group string, set rosegroup.TargetSet)
	// OnRestore is called when the store has been restored from an older copy. It
	// must not block, and may be nil.
	OnRestore func()
}

// Peers sends requests about locks to the other proxies.
type Peers interface {
	// RequestAbstention asks all not to claim locks for abstainDuration, so that this
	// proxy keeps those of claims. It returns the promises, and all that were asked.
	RequestAbstention(ctx context.Context, claims []ClaimedLock) (promises []Promise, asked []rosemary.ProxyID)
	// NotifyLockReleased tells a proxy that a group's lock is free, so that it claims
	// the lock without waiting for its next refresh.
	NotifyLockReleased(ctx context.Context, to rosemary.ProxyID, group string)
}

// LockManager keeps this proxy registered in the store, and holds the failover
// locks of some groups: only the holder may replace the primary. A lock is a
// key under the proxy's lease. Its generation consists of the store's epoch and
// the revision at which it was claimed, so a later holder always has a greater
// one; it serves as a fencing token. Log events and store keys call the lock a
// duty.
type LockManager struct {
	config LockManagerConfig
	// refreshNow makes Run refresh at once.
	refreshNow chan struct{}

	mu sync.Mutex
	// startedAt is when Run began, listedAt when members and locks were last listed.
	startedAt, listedAt time.Time
	// listFresh is set while the next listing has to be a fresh one.
	listFresh bool
	// epoch is the store's epoch that the fields below belong to.
	epoch    epochState
	lease    int64
	lifetime time.Duration
	// renewedAt is when the last successful renewal was sent.
	renewedAt time.Time
	// memberRevision is the revision of this proxy's member key.
	memberRevision int64
	// held maps the groups whose locks are held to their claims.
	held map[string]lockClaim
	// holders maps the groups to the proxies that held their locks at the last listing.
	holders map[string]rosemary.ProxyID
	members []rosemary.Member
	// sets are the target sets of the groups.
	sets map[string]storedSet
	// freshListAt is when the last fresh list of all keys was requested, and listedLease the
	// lease under which this proxy was registered then.
	freshListAt time.Time
	listedLease int64
	// usageHosts are the hosts of usage caps, replaced as a whole.
	usageHosts map[rosemary.Zone]UsageHosts
	// freeSince is when the lock of a group was first seen to be free.
	freeSince map[string]time.Time
	// notClaimableSince is since when this proxy holds the lock of a group that it may no
	// longer claim.
	notClaimableSince map[string]time.Time
	// storeFailing is set while the store can't be reached to renew or grant a
	// lease.
	storeFailing bool
	// newestClaims maps groups to the greatest generation with which their locks are known to
	// have been claimed, and claimedAt to when this process last claimed them.
	newestClaims map[string]int64
	claimedAt    map[string]time.Time
	// unsettledClaims maps groups to when a claim was sent that the store has neither
	// confirmed nor refused, and may still carry out.
	unsettledClaims map[string]time.Time
	// peersAbstainUntil is the time until which every other proxy has promised
	// to claim no lock, and has claimed none since the lease, and abstainUntil that of
	// this proxy's own promise.
	peersAbstainUntil time.Time
	abstainUntil      time.Time
	// reportedExtension and reportedPromises are what was last logged about the locks kept
	// beyond the lease, and about the promises asked for by other proxies.
	reportedExtension string
	reportedPromises  map[rosemary.ProxyID]string
}

// lockClaim is a lock that this proxy holds.
type lockClaim struct {
	// revision is that of the lock's key.
	revision int64
	// at is when the claim was confirmed.
	at time.Time
}

// lockRecord is the stored value of a lock's key.
type lockRecord struct {
	Proxy       rosemary.ProxyID
	Incarnation string
}

// memberRecord is the stored value of a member's key.
type memberRecord struct {
	Zone    rosemary.Zone
	Address string
	Weight  int
}

// NewLockManager returns a lock manager that holds nothing; Run starts it.
func NewLockManager(config LockManagerConfig) *LockManager {
	if config.Contenders == nil {
		config.Contenders = func(_ string, members []rosemary.Member) []rosemary.Member { return members }
	}
	if config.OnRestore == nil {
		config.OnRestore = func() {}
	}
	if config.OnTargetSet == nil {
		config.OnTargetSet = func(string, rosegroup.TargetSet) {}
	}
	return &LockManager{
		config:     config,
		refreshNow: make(chan struct{}, 1),
		held:       make(map[string]lockClaim),
		holders:    make(map[string]rosemary.ProxyID),
		freeSince:  make(map[string]time.Time),
		sets:       make(map[string]storedSet),
		listFresh:  true,

		notClaimableSince: make(map[string]time.Time),
		reportedPromises:  make(map[rosemary.ProxyID]string),
		newestClaims:      make(map[string]int64),
		claimedAt:         make(map[string]time.Time),
		unsettledClaims:   make(map[string]time.Time),
	}
}

// RefreshNow has the lease renewed and free locks claimed at once, as a lock was
// released, or another call has found that the store was restored. A stale list may
// not show that yet, so the next one is fresh.
func (l *LockManager) RefreshNow() {
	l.requireFreshList()
	select {
	case l.refreshNow <- struct{}{}:
	default:
	}
}

// Run renews the lease and claims free locks until ctx ends, and then revokes
// the lease.
func (l *LockManager) Run(ctx context.Context) {
	startedAt := l.config.Clock.Now()
	l.mu.Lock()
	l.startedAt = startedAt
	l.mu.Unlock()
	startupUntil := startedAt.Add(clusterStartTime)
	l.learnEpoch(ctx)
	retryDelay := renewRetryDelay
	for ctx.Err() == nil {
		delay := renewInterval
		switch {
		case l.config.PrimaryMissing():
			delay = urgentRenewInterval
		case l.config.Clock.Now().Before(startupUntil):
			delay = l.startupInterval()
		}
		if l.refresh(ctx) {
			retryDelay = renewRetryDelay
		} else {
			l.requestAbstention(ctx)
			delay = retryDelay
			if !l.holdsAny() {
				retryDelay = min(2*retryDelay, maxRenewRetryDelay)
			}
		}
		l.waitForRefresh(ctx, delay)
	}
	l.release()
}

// startupInterval returns the interval of renewals while the cluster may be starting. It
// is longer with many members, most of which claim no lock.
func (l *LockManager) startupInterval() time.Duration {
	count := len(l.Members())
	if count <= clusterStartScale {
		return urgentRenewInterval
	}
	return min(urgentRenewInterval*time.Duration(count)/clusterStartScale, renewInterval)
}

// holdsAny reports whether this proxy holds a lock.
func (l *LockManager) holdsAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) > 0
}

// waitForRefresh waits for delay, or less if this proxy's turn to claim a free
// lock comes sooner, as claims are staggered more finely than renewals. A failed
// claim is not repeated before renewRetryDelay.
func (l *LockManager) waitForRefresh(ctx context.Context, delay time.Duration) {
	deadline := l.config.Clock.Now().Add(delay)
	roseclock.Sleep(ctx, min(delay, renewRetryDelay))
	for {
		remaining := deadline.Sub(l.config.Clock.Now())
		if remaining <= 0 || ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		free := maps.Clone(l.freeSince)
		members := l.members
		l.mu.Unlock()
		for group, since := range free {
			if l.config.Clock.Now().Sub(since) >= l.claimDelay(group, members) {
				return
			}
		}
		if len(free) > 0 {
			remaining = min(remaining, claimCheckInterval)
		}
		if l.sleep(ctx, remaining) {
			return
		}
	}
}

// sleep waits for delay, or until ctx ends or a refresh is requested; it reports the
// latter.
func (l *LockManager) sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-l.refreshNow:
		return true
	}
	return false
}

// refresh renews the lease, and claims free locks. It reports false when the
// store did not answer.
func (l *LockManager) refresh(ctx context.Context) bool {
	if !l.ensureLease(ctx) {
		return false
	}
	groups := l.config.Groups()
	if len(groups) == 0 && !l.holdsAny() && !l.listDue() {
		return true
	}
	locks, listed := l.list(ctx, groups)
	if !listed {
		return false
	}
	l.forgetFreeLocks(groups)
	if len(groups) > 0 {
		l.settle(ctx)
	}
	for _, group := range groups {
		l.considerClaim(ctx, group, locks[group])
	}
	l.releaseOthers(ctx, groups)
	if l.setsUnread() {
		// A new holder may not act before.
		l.requireFreshList()
		_, _ = l.list(ctx, groups)
	}
	return true
}

// list lists the store's keys, and returns the lock keys by group. It reports false if the store
// did not answer.
func (l *LockManager) list(ctx context.Context, groups []string) (map[string]rosemary.Item, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	prefix := l.currentPrefix()
	required := l.takeFreshListRequirement()
	stale := !required && l.staleListSuffices(groups)
	sentAt := l.config.Clock.Now()
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	items, _, err := l.config.Store.List(ctx, prefix, stale)
	if err != nil || l.syncEpoch() {
		if required {
			l.requireFreshList()
		}
		return nil, false
	}
	locks := l.applyListing(prefix, items)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listedAt = l.config.Clock.Now()
	l.settleClaims(l.listedAt)
	if !stale {
		l.freshListAt, l.listedLease = sentAt, lease
	}
	return locks, true
}

// setsUnread reports whether this proxy holds a lock whose group's target set it has to read.
func (l *LockManager) setsUnread() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, claim := range l.held {
		if !l.hasReadSet(claim) {
			return true
		}
	}
	return false
}

// HasListed reports whether this process has ever read the store's keys.
func (l *LockManager) HasListed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.freshListAt.IsZero()
}

// listDue reports whether a proxy that may claim no lock has to list the members: it hasn't
// for a while, it knows few as the cluster may be starting, or a fresh list is required.
func (l *LockManager) listDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	starting := now.Sub(l.startedAt) < 2*clusterStartTime
	return l.listFresh || starting || now.Sub(l.listedAt) >= idleListInterval
}

// forgetFreeLocks drops the free locks of groups that this proxy may no longer claim,
// for which it would list the store again and again.
func (l *LockManager) forgetFreeLocks(claimable []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.freeSince, func(group string, _ time.Time) bool { return !slices.Contains(claimable, group) })
}

// requireFreshList makes the next listing a fresh one.
func (l *LockManager) requireFreshList() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listFresh = true
}

// takeFreshListRequirement reports whether this listing has to be a fresh one.
func (l *LockManager) takeFreshListRequirement() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	required := l.listFresh
	l.listFresh = false
	return required
}

// staleListSuffices reports whether a stale list of locks and members, which is cheaper,
// is sufficient: no lock was seen to be free, and no primary needs its holder. A claim
// based on it can't succeed wrongly, as it names the revision.
func (l *LockManager) staleListSuffices(groups []string) bool {
	missing := l.config.PrimaryMissing()
	l.mu.Lock()
	defer l.mu.Unlock()
	allHeld := !slices.ContainsFunc(groups, func(group string) bool { return l.holders[group] == "" })
	return len(groups) == 0 || allHeld && len(l.freeSince) == 0 && !missing
}

// Registered reports whether this proxy's lease is certain to be in force, and the target sets were
// read under it: what was confirmed by all while it was not registered is known here then.
func (l *LockManager) Registered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != 0 && l.lease == l.listedLease && l.config.Clock.Now().Before(l.renewedAt.Add(l.lifetime-leaseMargin))
}

// ReadMembers reads the registered proxies from the store. It fails while proxies
// may not have registered again after a restore of the store.
func (l *LockManager) ReadMembers(ctx context.Context) ([]rosemary.Member, error) {
	prefix := l.currentPrefix()
	items, _, err := l.config.Store.List(ctx, prefix+memberPrefix, false)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	complete := l.epoch.number == l.config.Store.Epoch() && l.epoch.claimable()
	l.mu.Unlock()
	if !complete {
		return nil, trace.CompareFailed("proxies may not have registered since the store was restored")
	}
	l.applyListing(prefix, items)
	return l.Members(), nil
}

// Members returns the registered proxies as last read from the store. What the store
// returned may be seconds old, and lack this proxy.
func (l *LockManager) Members() []rosemary.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members
}

// KnowsOthers reports whether another proxy is among the members.
func (l *LockManager) KnowsOthers() bool {
	return slices.ContainsFunc(l.Members(), func(m rosemary.Member) bool { return m.Proxy != l.config.Self.Proxy })
}

// Holds reports whether this proxy may replace the primary of a group now, under
// which generation of the lock, and until when.
func (l *LockManager) Holds(group string) (int64, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	claim, held := l.held[group]
	until := l.heldUntil()
	current := l.epoch.number == l.config.Store.Epoch()
	return generation(l.epoch.number, claim.revision), until, held && current && l.config.Clock.Now().Before(until)
}

// HeldSince returns when this proxy claimed the lock that it holds; zero if it holds
// none.
func (l *LockManager) HeldSince(group string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[group].at
}

// Holder returns the proxy that held a group's lock when the store was last read.
func (l *LockManager) Holder(group string) (rosemary.ProxyID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	holder, known := l.holders[group]
	return holder, known
}

// heldUntil returns until when the locks stay with this proxy. The caller holds the
// lock.
func (l *LockManager) heldUntil() time.Time {
	until := l.renewedAt.Add(l.lifetime - leaseMargin)
	if l.storeFailing && l.peersAbstainUntil.After(until) {
		until = l.peersAbstainUntil
	}
	return until
}
