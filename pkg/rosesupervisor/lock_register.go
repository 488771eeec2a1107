package rosesupervisor

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// release deletes the locks and the registration of this proxy. It doesn't revoke
// the lease: if the store has been restored unnoticed, the lease's number may
// belong to another proxy.
func (l *LockManager) release() {
	l.mu.Lock()
	lease, prefix := l.lease, l.keyPrefix()
	keys := []rosemary.Precondition{{Key: prefix + memberPrefix + string(l.config.Self.Proxy), Revision: l.memberRevision}}
	for group, claim := range l.held {
		keys = append(keys, rosemary.Precondition{Key: prefix + lockPrefix + group, Revision: claim.revision})
	}
	l.lease = 0
	clear(l.held)
	l.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for chunk := range slices.Chunk(keys, maxReleasedKeys) {
		change := rosemary.Change{Preconditions: chunk}
		for _, k := range chunk {
			change.Deletes = append(change.Deletes, k.Key)
		}
		if _, err := l.config.Store.Apply(ctx, change); err != nil {
			klog.InfoS("keys not deleted, their lease will expire", "lease", lease, "keys", len(chunk), "err", roselog.ErrorMessage(err))
		}
	}
}

// ensureLease renews the lease, or gets a new one if there is none or it has
// ended. It reports whether this succeeded.
func (l *LockManager) ensureLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	l.syncEpoch()
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	sentAt := l.config.Clock.Now()
	if lease != 0 {
		err := l.config.Store.RenewLease(ctx, lease)
		switch {
		case l.syncEpoch():
			// The lease may be another proxy's now.
			return false
		case err == nil:
			l.mu.Lock()
			l.renewedAt = sentAt
			l.storeFailing = false
			l.forgetReports()
			l.mu.Unlock()
			return true
		case !trace.IsNotFound(err):
			l.recordStoreFailure(lease, err)
			return false
		}
		l.mu.Lock()
		klog.InfoS("lease ended, duties lost", "lease", lease, "duties", len(l.held))
		l.lease, l.storeFailing, l.peersAbstainUntil = 0, false, time.Time{}
		clear(l.held)
		l.mu.Unlock()
	}
	return l.register(ctx)
}

// recordStoreFailure records that the store neither renewed nor ended the lease.
func (l *LockManager) recordStoreFailure(lease int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeFailing {
		klog.InfoS("store lost", "for", "lease", "lease", lease, "duties", len(l.held), "err", roselog.ErrorMessage(err))
	}
	l.storeFailing = true
}

// register gets a lease and writes this proxy's member key under it.
func (l *LockManager) register(ctx context.Context) bool {
	if !l.mayRegister() {
		return false
	}
	sentAt := l.config.Clock.Now()
	lease, lifetime, err := l.config.Store.GrantLease(ctx, leaseLifetime)
	if l.syncEpoch() {
		// It isn't known which epoch the lease belongs to.
		return false
	}
	if err != nil {
		l.recordStoreFailure(0, err)
		return false
	}
	value, err := json.Marshal(memberRecord{
		Zone: l.config.Self.Zone, Address: l.config.Self.Address, Weight: l.config.Self.Weight,
	})
	if err != nil {
		return false
	}
	revision, err := l.config.Store.Apply(ctx, rosemary.Change{Writes: []rosemary.Item{{
		Key: l.currentPrefix() + memberPrefix + string(l.config.Self.Proxy), Value: value, Lease: lease,
	}}})
	if l.syncEpoch() {
		return false
	}
	if err != nil {
		l.recordStoreFailure(lease, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	klog.InfoS("registered", "proxy", l.config.Self.Proxy, "epoch", l.epoch.number, "lease", lease, "lifetime", lifetime)
	l.lease, l.lifetime, l.renewedAt, l.storeFailing = lease, lifetime, sentAt, false
	l.memberRevision, l.listFresh = revision, true
	return true
}

// applyListing replaces the members known, and returns the lock keys by group.
func (l *LockManager) applyListing(prefix string, items []rosemary.Item) map[string]rosemary.Item {
	locks := make(map[string]rosemary.Item)
	holders := make(map[string]rosemary.ProxyID)
	var members []rosemary.Member
	usageHosts := make(map[rosemary.Zone]UsageHosts)
	sets := make(map[string]rosemary.Item)
	settled := false
	for _, item := range items {
		key := strings.TrimPrefix(item.Key, prefix)
		if key == settledKey {
			settled = true
			continue
		}
		if group, ok := strings.CutPrefix(key, lockPrefix); ok {
			locks[group] = item
			var record lockRecord
			if json.Unmarshal(item.Value, &record) == nil {
				holders[group] = record.Proxy
			}
			continue
		}
		if group, ok := strings.CutPrefix(key, setPrefix); ok {
			sets[group] = item
			continue
		}
		if zone, ok := strings.CutPrefix(key, usageHostsPrefix); ok {
			var record usageHostsRecord
			if json.Unmarshal(item.Value, &record) == nil {
				usageHosts[rosemary.Zone(zone)] = UsageHosts{Hosts: record.Hosts, revision: item.Revision}
			}
			continue
		}
		name, ok := strings.CutPrefix(key, memberPrefix)
		var member memberRecord
		if !ok || json.Unmarshal(item.Value, &member) != nil {
			continue
		}
		members = append(members, rosemary.Member{
			Proxy: rosemary.ProxyID(name), Zone: member.Zone, Address: member.Address, Weight: member.Weight,
		})
	}
	for group, item := range sets {
		var record setRecord
		if json.Unmarshal(item.Value, &record) == nil {
			l.recordSet(group, record.set(), item.Revision)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if settled {
		l.epoch.settle()
		l.epoch.recorded = true
	}
	for group, item := range locks {
		l.newestClaims[group] = max(l.newestClaims[group], generation(l.epoch.number, item.Revision))
	}
	l.members = l.epoch.withEarlierMembers(members)
	for zone, hosts := range usageHosts {
		l.setUsageHosts(zone, hosts)
	}
	if len(locks) > 0 {
		l.holders = holders
	}
	return locks
}
