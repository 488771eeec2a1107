package rosesupervisor

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	// dutyLifetime is the time to live of a proxy's lease in the store. It
	// outlasts most outages of the store, so that a holder can act in them;
	// a dead holder's duties are taken over after it, or by its own restart.
	dutyLifetime = 8 * time.Second
	// dutyTick separates renewals.
	dutyTick = 2 * time.Second
	// urgentTick separates looks at vacant duties while a group lacks a
	// primary, and looks at the members while an installation may be starting.
	urgentTick = 300 * time.Millisecond
	// formingTime is how long that may take.
	formingTime = 3 * time.Second
	// claimTick separates looks at whether this proxy's turn to claim a vacant
	// duty has come; it is a fraction of takeoverPause and calls no store.
	claimTick = 100 * time.Millisecond
	// dutyRetry follows a renewal that failed.
	dutyRetry = 200 * time.Millisecond
	// dutyMargin is taken off the lifetime for a holder's own use: it stops
	// before the store lets another in.
	dutyMargin = 300 * time.Millisecond
	// dutyCallTimeout bounds one call of a renewal.
	dutyCallTimeout = 500 * time.Millisecond
	// takeoverPause is how long each further proxy in the order of a group
	// lets the ones before it go first.
	takeoverPause = 400 * time.Millisecond
	// avoidPause is how long a claim waits for the group's primary to be
	// known, and with it the zone to avoid.
	avoidPause = 1500 * time.Millisecond
	// handOverAfter is how long a primary has to lead in a holder's own zone
	// before the duty goes to another.
	handOverAfter = 6 * time.Second
	// abstainTime is how long a proxy that promised it claims no duty.
	abstainTime = 2 * time.Second
	// abstainMargin is taken off it for the holder's own use.
	abstainMargin = 300 * time.Millisecond
	// surveyTimeout bounds the wait for the promises of all.
	surveyTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the return of the lease at a shutdown.
	releaseTimeout = 500 * time.Millisecond
)

const (
	memberPrefix = "Members/"
	dutyPrefix   = "Duties/"
)

// LockManagerConfig sets up a Duty.
type LockManagerConfig struct {
	Store rosemary.KeyValue
	// Clock counts suspended time.
	Clock roseclock.Clock
	Self  rosemary.Member
	// Incarnation tells the starts of this proxy apart.
	Incarnation string
	// Prefix is put before every key.
	Prefix string
	// Groups lists the groups that need a holder.
	Groups func() []string
	// Peers asks the other proxies; nil for none.
	Peers Peers
	// Avoid names the availability zone of a group's primary, and since when
	// it is there: a holder elsewhere outlasts the loss of that zone. Empty
	// means unknown.
	PrimaryZone func(group string) (rosemary.Zone, time.Time)
	// Urgent reports whether a group lacks a primary.
	PrimaryMissing func() bool
}

// Peers asks the other proxies for their word.
type Peers interface {
	// Abstain asks all not to claim duties for abstainTime, and returns
	// those that promised.
	Abstain(ctx context.Context) []rosemary.ProxyID
}

// LockManager keeps this proxy registered, and holds for some groups the sole right
// to replace their primary. The right is a key under the proxy's lease; its
// generation is the store's revision at which it was taken, so a later holder
// always has a greater one.
type LockManager struct {
	config LockManagerConfig

	mu       sync.Mutex
	lease    int64
	lifetime time.Duration
	// renewedAt is when the last renewal that succeeded was sent.
	renewedAt time.Time
	held      map[string]int64
	members   []rosemary.Member
	vacant    map[string]time.Time
	// failing is set while renewals fail without the store's word.
	failing bool
	// promisedTill is until when every other proxy has promised to claim
	// nothing, and abstainTill until when this one has.
	promisedTill time.Time
	abstainTill  time.Time
}

// claimRecord is the value of a duty's key.
type claimRecord struct {
	Proxy       rosemary.ProxyID
	Incarnation string
}

// memberRecord is the value of a member's key.
type memberRecord struct {
	Zone    rosemary.Zone
	Address string
	Weight  int
}

// NewLockManager returns a duty that holds nothing; Run starts it.
func NewLockManager(config LockManagerConfig) *LockManager {
	return &LockManager{config: config, held: make(map[string]int64), vacant: make(map[string]time.Time)}
}

// Run renews the lease and claims vacant duties until ctx ends, and then
// returns what it holds.
func (d *LockManager) Run(ctx context.Context) {
	settled := d.config.Clock.Now().Add(formingTime)
	for ctx.Err() == nil {
		pause := dutyTick
		if d.config.PrimaryMissing() || d.config.Clock.Now().Before(settled) {
			pause = urgentTick
		}
		if !d.tick(ctx) {
			d.ask(ctx)
			pause = dutyRetry
		}
		d.rest(ctx, pause)
	}
	d.release()
}

// rest lets a pause go by, or less if this proxy's turn to claim a vacant duty
// comes sooner: the order of claims is finer than the renewals. A claim that
// fails is not repeated before dutyRetry.
func (d *LockManager) rest(ctx context.Context, pause time.Duration) {
	until := d.config.Clock.Now().Add(pause)
	roseclock.Sleep(ctx, min(pause, dutyRetry))
	for {
		left := until.Sub(d.config.Clock.Now())
		if left <= 0 || ctx.Err() != nil {
			return
		}
		d.mu.Lock()
		vacant := maps.Clone(d.vacant)
		members := d.members
		d.mu.Unlock()
		for group, since := range vacant {
			if d.config.Clock.Now().Sub(since) >= d.claimPause(group, members) {
				return
			}
		}
		if len(vacant) > 0 {
			left = min(left, claimTick)
		}
		roseclock.Sleep(ctx, left)
	}
}

// release gives the duties and the registration back at once.
func (d *LockManager) release() {
	d.mu.Lock()
	lease := d.lease
	d.lease = 0
	clear(d.held)
	d.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.config.Store.RevokeLease(ctx, lease); err != nil {
		klog.InfoS("lease not returned, it will expire", "lease", lease, "err", roselog.Err(err))
	}
}

// tick renews the lease, and looks for vacant duties. It reports false when
// the store did not answer.
func (d *LockManager) tick(ctx context.Context) bool {
	if !d.keepLease(ctx) {
		return false
	}
	groups := d.config.Groups()
	listing, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	// Who claims nothing needs the members alone, and a cheap list does.
	items, _, err := d.config.Store.List(listing, d.config.Prefix, len(groups) == 0)
	cancel()
	if err != nil {
		return false
	}
	claims := d.read(items)
	for _, group := range groups {
		d.consider(ctx, group, claims[group])
	}
	return true
}

// ask has the other proxies promise to claim nothing while the store is out of
// reach for all: a lease that has run out unseen then still has no successor.
// Every proxy that was registered has to promise; one that reaches the store
// doesn't.
func (d *LockManager) ask(ctx context.Context) {
	d.mu.Lock()
	needed := d.config.Peers != nil && d.failing && len(d.held) > 0
	members := d.members
	d.mu.Unlock()
	if !needed {
		return
	}
	askedAt := d.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	promised := d.config.Peers.Abstain(ctx)
	for _, m := range members {
		if m.Proxy != d.config.Self.Proxy && !slices.Contains(promised, m.Proxy) {
			klog.V(1).InfoS("duty not extended", "withoutThePromiseOf", m.Proxy)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.promisedTill = askedAt.Add(abstainTime - abstainMargin)
}

// Abstain promises to claim no duty for a while, if this proxy can't reach the
// store either and holds none.
func (d *LockManager) Abstain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failing {
		return false
	}
	d.abstainTill = d.config.Clock.Now().Add(abstainTime)
	return true
}

// keepLease renews the lease, or gets one, and reports whether there is one.
func (d *LockManager) keepLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	sentAt := d.config.Clock.Now()
	if lease != 0 {
		err := d.config.Store.RenewLease(ctx, lease)
		switch {
		case err == nil:
			d.mu.Lock()
			d.renewedAt = sentAt
			d.failing = false
			d.mu.Unlock()
			return true
		case !trace.IsNotFound(err):
			d.fail(lease, err)
			return false
		}
		d.mu.Lock()
		klog.InfoS("lease ended, duties lost", "lease", lease, "duties", len(d.held))
		d.lease, d.failing = 0, false
		clear(d.held)
		d.mu.Unlock()
	}
	return d.register(ctx)
}

// fail records that the store did not renew the lease, nor end it.
func (d *LockManager) fail(lease int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failing {
		klog.InfoS("store lost", "for", "lease", "lease", lease, "duties", len(d.held), "err", roselog.Err(err))
	}
	d.failing = true
}

// register gets a lease and writes this proxy's member key.
func (d *LockManager) register(ctx context.Context) bool {
	sentAt := d.config.Clock.Now()
	lease, lifetime, err := d.config.Store.GrantLease(ctx, dutyLifetime)
	if err != nil {
		d.fail(0, err)
		return false
	}
	value, err := json.Marshal(memberRecord{
		Zone: d.config.Self.Zone, Address: d.config.Self.Address, Weight: d.config.Self.Weight,
	})
	if err != nil {
		return false
	}
	_, err = d.config.Store.Apply(ctx, rosemary.Change{Writes: []rosemary.Item{{
		Key: d.config.Prefix + memberPrefix + string(d.config.Self.Proxy), Value: value, Lease: lease,
	}}})
	if err != nil {
		d.fail(lease, err)
		return false
	}
	klog.InfoS("registered", "proxy", d.config.Self.Proxy, "lease", lease, "lifetime", lifetime)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease, d.lifetime, d.renewedAt, d.failing = lease, lifetime, sentAt, false
	return true
}

// read takes in the members, and returns the claims by group.
func (d *LockManager) read(items []rosemary.Item) map[string]rosemary.Item {
	claims := make(map[string]rosemary.Item)
	var members []rosemary.Member
	for _, item := range items {
		key := strings.TrimPrefix(item.Key, d.config.Prefix)
		if group, ok := strings.CutPrefix(key, dutyPrefix); ok {
			claims[group] = item
			continue
		}
		name, ok := strings.CutPrefix(key, memberPrefix)
		var record memberRecord
		if !ok || json.Unmarshal(item.Value, &record) != nil {
			continue
		}
		members = append(members, rosemary.Member{
			Proxy: rosemary.ProxyID(name), Zone: record.Zone, Address: record.Address, Weight: record.Weight,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	return claims
}

// Registered reports whether the store holds this proxy's lease for certain.
func (d *LockManager) Registered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease != 0 && d.config.Clock.Now().Before(d.renewedAt.Add(d.lifetime-dutyMargin))
}

// ReadMembers reads the proxies that are registered now.
func (d *LockManager) ReadMembers(ctx context.Context) ([]rosemary.Member, error) {
	items, _, err := d.config.Store.List(ctx, d.config.Prefix+memberPrefix, false)
	if err != nil {
		return nil, err
	}
	d.read(items)
	return d.Members(), nil
}

// Members returns the registered proxies, this one included once it is.
func (d *LockManager) Members() []rosemary.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

// consider claims the duty of a group that nobody holds, or that an earlier
// start of this proxy held.
func (d *LockManager) consider(ctx context.Context, group string, item rosemary.Item) {
	d.mu.Lock()
	generation, mine := d.held[group]
	members := d.members
	lease := d.lease
	if mine {
		delete(d.vacant, group)
		d.mu.Unlock()
		if item.Revision == generation {
			d.handOver(ctx, group, generation)
		}
		return
	}
	var holder claimRecord
	if item.Revision != 0 && json.Unmarshal(item.Value, &holder) == nil && holder.Proxy != d.config.Self.Proxy {
		delete(d.vacant, group)
		d.mu.Unlock()
		return
	}
	now := d.config.Clock.Now()
	if now.Before(d.abstainTill) {
		d.mu.Unlock()
		return
	}
	since, known := d.vacant[group]
	if !known {
		since = now
		d.vacant[group] = now
	}
	d.mu.Unlock()
	if item.Revision == 0 && now.Sub(since) < d.claimPause(group, members) {
		return
	}
	d.claim(ctx, group, item.Revision, lease)
}

// claimPause is how long this proxy leaves a vacant duty to others.
func (d *LockManager) claimPause(group string, members []rosemary.Member) time.Duration {
	pause := time.Duration(d.rank(group, members)) * takeoverPause
	if zone, _ := d.config.PrimaryZone(group); zone == "" {
		pause += avoidPause
	}
	return pause
}

// rank is this proxy's place in the order in which a group's duty is claimed.
// Proxies in the zone of its primary come last.
func (d *LockManager) rank(group string, members []rosemary.Member) int {
	zone, _ := d.config.PrimaryZone(group)
	var before []rosemary.Member
	elsewhere := 0
	for _, m := range members {
		if (m.Zone == zone) == (d.config.Self.Zone == zone) {
			before = append(before, m)
		} else if m.Zone != zone {
			elsewhere++
		}
	}
	return elsewhere + rosepeer.RendezvousRank("supervise/"+group, before, d.config.Self.Proxy)
}

// handOver gives a duty back if its group's primary has long been in this
// proxy's own zone and another proxy isn't.
func (d *LockManager) handOver(ctx context.Context, group string, generation int64) {
	zone, since := d.config.PrimaryZone(group)
	settled := zone == d.config.Self.Zone && d.config.Clock.Now().Sub(since) > handOverAfter
	elsewhere := slices.ContainsFunc(d.Members(), func(m rosemary.Member) bool { return m.Zone != zone })
	if !settled || !elsewhere {
		return
	}
	d.mu.Lock()
	delete(d.held, group)
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	key := d.config.Prefix + dutyPrefix + group
	_, err := d.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: key, Revision: generation}},
		Deletes:       []string{key},
	})
	klog.InfoS("duty handed over", "group", group, "generation", generation, "zone", zone, "err", roselog.Err(err))
}

// claim takes a duty whose key is at revision.
func (d *LockManager) claim(ctx context.Context, group string, revision, lease int64) {
	ctx, cancel := context.WithTimeout(ctx, 2*dutyCallTimeout)
	defer cancel()
	key := d.config.Prefix + dutyPrefix + group
	value, err := json.Marshal(claimRecord{Proxy: d.config.Self.Proxy, Incarnation: d.config.Incarnation})
	if err != nil {
		return
	}
	generation, err := d.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: key, Revision: revision}},
		Writes:        []rosemary.Item{{Key: key, Value: value, Lease: lease}},
	})
	if err != nil {
		// A change without an answer may have taken effect.
		item, readErr := d.config.Store.Read(ctx, key)
		if readErr != nil || string(item.Value) != string(value) || item.Lease != lease {
			klog.V(1).InfoS("duty not claimed", "group", group, "err", roselog.Err(err))
			return
		}
		generation = item.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease != lease {
		return
	}
	d.held[group] = generation
	klog.InfoS("duty claimed", "group", group, "generation", generation, "lease", lease)
}

// Holds returns the generation under which this proxy may replace the primary
// of a group now, and until when.
func (d *LockManager) Holds(group string) (int64, time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	generation, held := d.held[group]
	until := d.renewedAt.Add(d.lifetime - dutyMargin)
	if d.failing && d.promisedTill.After(until) {
		until = d.promisedTill
	}
	return generation, until, held && d.config.Clock.Now().Before(until)
}
