package roseload

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// observeInterval is the interval at which the versions in force are polled. It
// limits the resolution of the rollout times.
const observeInterval = 5 * time.Millisecond

// bundleTracker records when each accepted version came into force on each
// proxy.
type bundleTracker struct {
	run *run

	mu         sync.Mutex
	acceptedAt map[uint64]time.Time
	// inForceAt holds the time at which each version came into force, by the name
	// of the proxy.
	inForceAt map[uint64]map[string]time.Time
	// highestVersions holds the highest version of each proxy by name, across
	// restarts. lastVersions holds the last version of each run of a proxy.
	highestVersions map[string]uint64
	lastVersions    map[*rosestack.Proxy]uint64
	// reversions counts changes of a proxy, also by a restart, to an older
	// version.
	reversions int
	raced      int
	// unreachable holds the proxies that were partitioned or down during a
	// rollout. Their rollout times count from reachableAt.
	unreachable map[string]bool
	reachableAt time.Time
}

func newBundleTracker(r *run) *bundleTracker {
	return &bundleTracker{
		run:             r,
		acceptedAt:      make(map[uint64]time.Time),
		inForceAt:       make(map[uint64]map[string]time.Time),
		highestVersions: make(map[string]uint64),
		lastVersions:    make(map[*rosestack.Proxy]uint64),
		unreachable:     make(map[string]bool),
	}
}

// observe polls the versions of the running proxies until ctx ends.
func (b *bundleTracker) observe(ctx context.Context) {
	for roseclock.Sleep(ctx, observeInterval) {
		for _, p := range b.run.stack.RunningProxies() {
			b.record(p, p.BundleVersion())
		}
	}
}

func (b *bundleTracker) record(p *rosestack.Proxy, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.lastVersions[p]
	if version == last {
		return
	}
	b.lastVersions[p] = version
	if version < b.highestVersions[p.Name] {
		b.reversions++
		return
	}
	b.highestVersions[p.Name] = version
	// A version that was skipped counts as in force, as a later one replaced it.
	for v := last + 1; v <= version; v++ {
		if b.inForceAt[v] == nil {
			b.inForceAt[v] = make(map[string]time.Time)
		}
		if b.inForceAt[v][p.Name].IsZero() {
			b.inForceAt[v][p.Name] = time.Now()
		}
	}
}

// propose proposes a changed bundle and records when it was accepted.
func (b *bundleTracker) propose(ctx context.Context, change func(*rosebundle.Content)) error {
	version, err := b.run.stack.ProposeBundle(ctx, change)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acceptedAt[version] = time.Now()
	return nil
}

// markUnreachable records that the proxies of a zone, or the proxy of the given
// name, can't receive bundles.
func (b *bundleTracker) markUnreachable(zone, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.run.stack.Proxies {
		if p.Zone == zone || p.Name == name {
			b.unreachable[p.Name] = true
		}
	}
}

// markReachable records that the unreachable proxies can receive bundles again.
func (b *bundleTracker) markReachable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reachableAt = time.Now()
}

// rolloutTimes returns how long each version took to come into force on each
// proxy, from its acceptance or from when the proxy was reachable again, and
// the number of missing pairs of version and proxy.
func (b *bundleTracker) rolloutTimes() ([]time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var times []time.Duration
	missing := 0
	for version, accepted := range b.acceptedAt {
		for _, p := range b.run.stack.RunningProxies() {
			start := accepted
			if b.unreachable[p.Name] && b.reachableAt.After(accepted) {
				start = b.reachableAt
			}
			inForce := b.inForceAt[version][p.Name]
			if inForce.IsZero() {
				missing++
				continue
			}
			times = append(times, max(inForce.Sub(start), 0))
		}
	}
	return times, missing
}
