package rosesupervisor

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

// considerClaim claims a group's lock if it is free and this proxy's turn has
// come, or if an earlier incarnation of this proxy holds it.
func (l *LockManager) considerClaim(ctx context.Context, group string, item rosemary.Item) {
	l.mu.Lock()
	claim, held := l.held[group]
	members := l.members
	lease := l.lease
	if held {
		delete(l.freeSince, group)
		claimable := l.epoch.claimable()
		l.mu.Unlock()
		if item.Revision == claim.revision && claimable {
			l.handOver(ctx, group, claim.revision)
		}
		return
	}
	var holder lockRecord
	if item.Revision != 0 && json.Unmarshal(item.Value, &holder) == nil && holder.Proxy != l.config.Self.Proxy {
		delete(l.freeSince, group)
		l.mu.Unlock()
		return
	}
	now := l.config.Clock.Now()
	if now.Before(l.abstainUntil) || item.Revision == 0 && now.Before(l.earlierPromiseEnd()) {
		l.mu.Unlock()
		return
	}
	since, seen := l.freeSince[group]
	if !seen {
		since = now
		l.freeSince[group] = now
	}
	inherited, claimable := l.epoch.heldBefore[group], l.epoch.claimable()
	l.mu.Unlock()
	turn := inherited || claimable && now.Sub(since) >= l.claimDelay(group, members)
	if item.Revision != 0 || turn {
		l.claim(ctx, group, item.Revision, lease)
	}
}

// recordUnsettledClaim records that the store may carry a claim out without telling.
func (l *LockManager) recordUnsettledClaim(group string, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsettledClaims[group] = sentAt
}

// settleClaims forgets the unsettled claims that would show in the list just read. The caller holds
// the lock.
func (l *LockManager) settleClaims(now time.Time) {
	maps.DeleteFunc(l.unsettledClaims, func(_ string, sentAt time.Time) bool { return now.Sub(sentAt) > unsettledClaimTime })
}

// earlierPromiseEnd returns until when a promise of an earlier incarnation of this proxy to claim
// no lock may last. A lock that has stayed with that one was claimed before it promised. The
// caller holds the lock.
func (l *LockManager) earlierPromiseEnd() time.Time {
	if l.config.FirstStart {
		return time.Time{}
	}
	return l.startedAt.Add(abstainDuration)
}

// claimDelay returns how long a lock has to be free before this proxy claims it.
func (l *LockManager) claimDelay(group string, members []rosemary.Member) time.Duration {
	delay := time.Duration(l.claimRank(group, members)) * claimStagger
	if zone, _ := l.config.PrimaryZone(group); zone == "" {
		delay += unknownZoneDelay
	}
	return delay
}

// claimRank returns this proxy's place in the order in which proxies claim a
// group's lock.
func (l *LockManager) claimRank(group string, members []rosemary.Member) int {
	order := l.claimOrder(group, members)
	rank := slices.IndexFunc(order, func(m rosemary.Member) bool { return m.Proxy == l.config.Self.Proxy })
	if rank < 0 {
		return len(order)
	}
	return rank
}

// claimOrder returns the order in which proxies claim a group's lock. Those in the
// zone of its primary come last.
func (l *LockManager) claimOrder(group string, members []rosemary.Member) []rosemary.Member {
	zone, _ := l.config.PrimaryZone(group)
	inZone := func(m rosemary.Member) bool { return m.Zone == zone }
	order := rosepeer.RendezvousOrder("supervise/"+group, l.config.Contenders(group, members))
	last := slices.Clone(order)
	order = slices.DeleteFunc(order, inZone)
	last = slices.DeleteFunc(last, func(m rosemary.Member) bool { return !inZone(m) })
	return append(order, last...)
}

// handOver releases a lock if the group's primary answers and has been in this
// proxy's own zone for handOverDelay, and there are proxies in other zones to claim it.
func (l *LockManager) handOver(ctx context.Context, group string, revision int64) {
	zone, since := l.config.PrimaryZone(group)
	settled := zone == l.config.Self.Zone && l.config.Clock.Now().Sub(since) > handOverDelay
	order := l.claimOrder(group, l.Members())
	otherZones := len(order) > 0 && order[0].Zone != zone
	if !settled || !otherZones || !l.config.PrimaryAnswers(group) {
		return
	}
	l.releaseTo(ctx, group, revision, order, "the primary is in this proxy's zone")
}

// releaseOthers releases the locks of groups that this proxy may no longer claim, as it no
// longer uses their targets and couldn't replace their primaries.
func (l *LockManager) releaseOthers(ctx context.Context, claimable []string) {
	now := l.config.Clock.Now()
	due := make(map[string]int64)
	l.mu.Lock()
	for group, claim := range l.held {
		if slices.Contains(claimable, group) {
			delete(l.notClaimableSince, group)
			continue
		}
		since, noticed := l.notClaimableSince[group]
		if !noticed {
			l.notClaimableSince[group] = now
		} else if now.Sub(since) >= notClaimableDelay {
			due[group] = claim.revision
			delete(l.notClaimableSince, group)
		}
	}
	l.mu.Unlock()
	for group, revision := range due {
		l.releaseTo(ctx, group, revision, l.claimOrder(group, l.Members()), "this proxy uses the group's targets no longer")
	}
}

// releaseTo releases a lock, and tells the first proxy that may claim it.
func (l *LockManager) releaseTo(ctx context.Context, group string, revision int64, order []rosemary.Member, why string) {
	l.mu.Lock()
	delete(l.held, group)
	key := l.keyPrefix() + lockPrefix + group
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := l.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: key, Revision: revision}},
		Deletes:       []string{key},
	})
	var to rosemary.ProxyID
	if len(order) > 0 {
		to = order[0].Proxy
	}
	klog.InfoS("duty handed over", "group", group, "revision", revision, "why", why, "to", to, "err", roselog.ErrorMessage(err))
	if err == nil && l.config.Peers != nil && to != "" && to != l.config.Self.Proxy {
		l.config.Peers.NotifyLockReleased(ctx, to, group)
	}
}

// claim claims a lock if its key is still at revision; zero stands for an absent
// key.
func (l *LockManager) claim(ctx context.Context, group string, revision, lease int64) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	key := l.currentPrefix() + lockPrefix + group
	value, err := json.Marshal(lockRecord{Proxy: l.config.Self.Proxy, Incarnation: l.config.Incarnation})
	if err != nil {
		return
	}
	sentAt := l.config.Clock.Now()
	claimedAt, err := l.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: key, Revision: revision}},
		Writes:        []rosemary.Item{{Key: key, Value: value, Lease: lease}},
	})
	if err != nil {
		if !trace.IsCompareFailed(err) && !trace.IsNotFound(err) {
			l.recordUnsettledClaim(group, sentAt)
		}
		// A change that got no answer may have taken effect.
		item, readErr := l.config.Store.Read(ctx, key)
		if readErr != nil || string(item.Value) != string(value) || item.Lease != lease {
			klog.V(1).InfoS("duty not claimed", "group", group, "err", roselog.ErrorMessage(err))
			return
		}
		claimedAt = item.Revision
	}
	// A restore in between ends the lease.
	l.syncEpoch()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != lease {
		return
	}
	now := l.config.Clock.Now()
	l.recordClaim(group, generation(l.epoch.number, claimedAt), l.config.Self.Proxy)
	l.held[group] = lockClaim{claimedAt, now}
	l.forgetUnsettledSet(group)
	delete(l.unsettledClaims, group)
	l.claimedAt[group] = now
	l.holders[group] = l.config.Self.Proxy
	klog.InfoS("duty claimed", "group", group, "generation", generation(l.epoch.number, claimedAt), "epoch", l.epoch.number, "revision", claimedAt, "lease", lease)
}
