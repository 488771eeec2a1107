package rosesupervisor

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// usageHostsPrefix is put before the availability zone in the keys of UsageHosts.
const usageHostsPrefix = "UsageHosts/"

// UsageHosts are the proxies of an availability zone that host the usage caps of teams, in the
// order of their places. They are kept in the store, so that a proxy that restarts knows that
// it is one, and one place never has two hosts.
type UsageHosts struct {
	Hosts []rosemary.ProxyID
	// revision is that of the key, zero if this proxy knows the hosts from an earlier epoch of
	// the store.
	revision int64
}

// usageHostsRecord is the stored value of UsageHosts.
type usageHostsRecord struct {
	Hosts []rosemary.ProxyID
}

// UsageHosts returns the hosts of each zone, as last read from the store.
func (l *LockManager) UsageHosts() map[rosemary.Zone]UsageHosts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usageHosts
}

// SetUsageHosts replaces the hosts of a zone, unless they have changed since they were read.
func (l *LockManager) SetUsageHosts(ctx context.Context, zone rosemary.Zone, hosts []rosemary.ProxyID) error {
	value, err := json.Marshal(usageHostsRecord{Hosts: hosts})
	if err != nil {
		return trace.Wrap(err)
	}
	l.mu.Lock()
	known, prefix := l.usageHosts[zone], l.keyPrefix()
	l.mu.Unlock()
	key := prefix + usageHostsPrefix + string(zone)
	revision, err := l.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: key, Revision: known.revision}},
		Writes:        []rosemary.Item{{Key: key, Value: value}},
	})
	if l.syncEpoch() {
		return trace.CompareFailed("the store was restored meanwhile")
	}
	if err != nil {
		// Another proxy may have been first.
		l.RefreshNow()
		return trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setUsageHosts(zone, UsageHosts{Hosts: hosts, revision: revision})
	return nil
}

// setUsageHosts records the hosts of a zone, unless newer ones are known. The caller holds the
// lock.
func (l *LockManager) setUsageHosts(zone rosemary.Zone, hosts UsageHosts) {
	if known, found := l.usageHosts[zone]; found && known.revision >= hosts.revision {
		return
	}
	next := maps.Clone(l.usageHosts)
	if next == nil {
		next = make(map[rosemary.Zone]UsageHosts)
	}
	next[zone] = hosts
	l.usageHosts = next
}

// forgetUsageHostRevisions keeps the hosts known from an earlier epoch of the store, whose
// revisions mean nothing in the present one. The caller holds the lock.
func (l *LockManager) forgetUsageHostRevisions() {
	next := make(map[rosemary.Zone]UsageHosts, len(l.usageHosts))
	for zone, hosts := range l.usageHosts {
		next[zone] = UsageHosts{Hosts: hosts.Hosts}
	}
	l.usageHosts = next
}

// Stored reports whether the hosts are those in the store, and not only known from an earlier
// epoch of it.
func (h UsageHosts) Stored() bool { return h.revision > 0 }

// ListedAt returns when members, locks and hosts were last read from the store, zero if never.
func (l *LockManager) ListedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listedAt
}

// RegisteredUntil returns until when this proxy's lease is certain to be in force, zero if it
// has none.
func (l *LockManager) RegisteredUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewedAt.IsZero() {
		return time.Time{}
	}
	return l.renewedAt.Add(l.lifetime - leaseMargin)
}
