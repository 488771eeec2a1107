package roseload

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// observeInterval separates looks at the versions in force.
const observeInterval = 5 * time.Millisecond

// bundles records when each accepted version came into force on each proxy.
type bundles struct {
	run *run

	mu       sync.Mutex
	accepted map[uint64]time.Time
	inForce  map[uint64]map[string]time.Time
	highest  map[string]uint64
	seen     map[*rosestack.Proxy]uint64
	// reversions counts the proxies that went back to an older version.
	reversions int
	raced      int
	// excused proxies are cut off or down while a version spreads; their
	// time counts from excusedUntil.
	excused      map[string]bool
	excusedUntil time.Time
}

func newBundles(r *run) *bundles {
	return &bundles{
		run:      r,
		accepted: make(map[uint64]time.Time),
		inForce:  make(map[uint64]map[string]time.Time),
		highest:  make(map[string]uint64),
		seen:     make(map[*rosestack.Proxy]uint64),
		excused:  make(map[string]bool),
	}
}

// observe looks at every proxy until ctx ends.
func (b *bundles) observe(ctx context.Context) {
	for roseclock.Sleep(ctx, observeInterval) {
		for _, p := range b.run.stack.RunningProxies() {
			b.look(p, p.BundleVersion())
		}
	}
}

func (b *bundles) look(p *rosestack.Proxy, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.seen[p]
	if version == last {
		return
	}
	b.seen[p] = version
	if version < b.highest[p.Name] {
		b.reversions++
		return
	}
	b.highest[p.Name] = version
	for v := last + 1; v <= version; v++ {
		if b.inForce[v] == nil {
			b.inForce[v] = make(map[string]time.Time)
		}
		if b.inForce[v][p.Name].IsZero() {
			b.inForce[v][p.Name] = time.Now()
		}
	}
}

// propose makes a changed bundle and notes when it was accepted.
func (b *bundles) propose(ctx context.Context, change func(*rosebundle.Content)) error {
	version, err := b.run.stack.ProposeBundle(ctx, change)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted[version] = time.Now()
	return nil
}

// excuse notes that the proxies of a zone, or one, can't hear of a bundle.
func (b *bundles) excuse(zone, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.run.stack.Proxies {
		if p.Zone == zone || p.Name == name {
			b.excused[p.Name] = true
		}
	}
}

// healed notes that the excused proxies can hear again.
func (b *bundles) healed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excusedUntil = time.Now()
}

// times returns how long each version took to come into force on each proxy,
// from its acceptance or the heal of what held the proxy off, and the number
// of proxies that lack a version.
func (b *bundles) times() ([]time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var times []time.Duration
	missing := 0
	for version, at := range b.accepted {
		for _, p := range b.run.stack.RunningProxies() {
			from := at
			if b.excused[p.Name] && b.excusedUntil.After(at) {
				from = b.excusedUntil
			}
			when := b.inForce[version][p.Name]
			if when.IsZero() {
				missing++
				continue
			}
			times = append(times, max(when.Sub(from), 0))
		}
	}
	return times, missing
}
