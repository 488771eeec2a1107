package rosesupervisor

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	// settleTime is how long after the beginning of an epoch no lock is claimed but
	// by its holder. A holder in the earlier epoch that hasn't noticed the restore
	// stops within it, by its own clock.
	settleTime = leaseLifetime + abstainDuration
	// registrationSpacing spreads the registrations after a restore: they take it
	// times the number of proxies, two writes each.
	registrationSpacing = 10 * time.Millisecond
	// revisionBits is the number of low bits of a generation that hold the revision.
	revisionBits = 40
)

// generation returns the fencing token of a lock that was claimed at a revision. A
// restored store gives out revisions again, but in a later epoch, so tokens rise
// over restores too.
func generation(epoch uint64, revision int64) int64 {
	return int64(epoch)<<revisionBits | revision
}

// epochState is what a LockManager knows of the store's current epoch. The zero
// value is that of a store without epochs, or of one that hasn't answered yet.
type epochState struct {
	number uint64
	// since is when this proxy first saw the epoch.
	since time.Time
	// settled is set once locks may be claimed by proxies that didn't hold them at
	// the end of the earlier epoch.
	settled bool
	// recorded is set once the store tells other proxies that the epoch is settled.
	recorded bool
	// heldBefore contains the groups whose locks this proxy still held when it
	// noticed the epoch. No other proxy held them when the earlier epoch ended, so
	// this one may claim them before the epoch is settled.
	heldBefore map[string]bool
	// earlierMembers are the proxies registered in the earlier epoch, until settled.
	earlierMembers []rosemary.Member
	// registerAfter is when this proxy registers in the epoch.
	registerAfter time.Time
}

// claimable reports whether every proxy may claim locks. A store without epochs
// isn't restored.
func (e *epochState) claimable() bool { return e.settled || e.number == 0 }

// settle allows claims by every proxy.
func (e *epochState) settle() { e.settled, e.heldBefore, e.earlierMembers = true, nil, nil }

// withEarlierMembers adds the proxies that may not have registered again yet.
func (e *epochState) withEarlierMembers(members []rosemary.Member) []rosemary.Member {
	for _, earlier := range e.earlierMembers {
		if !slices.ContainsFunc(members, func(m rosemary.Member) bool { return m.Proxy == earlier.Proxy }) {
			members = append(members, earlier)
		}
	}
	return members
}

// keyPrefix returns the prefix of the keys of the current epoch. Each epoch has keys
// of its own, so that a change by a proxy that has missed a restore can't affect
// them, even if its preconditions match revisions that were given out again. The
// caller holds the lock.
func (l *LockManager) keyPrefix() string {
	if l.epoch.number == 0 {
		return l.config.Prefix
	}
	return l.config.Prefix + "Epochs/" + strconv.FormatUint(l.epoch.number, 10) + "/"
}

func (l *LockManager) currentPrefix() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keyPrefix()
}

// syncEpoch reports whether the store is in a later epoch than at the last call. If
// so, it gives up what belongs to the earlier one.
func (l *LockManager) syncEpoch() bool {
	number := l.config.Store.Epoch()
	l.mu.Lock()
	defer l.mu.Unlock()
	if number == l.epoch.number {
		return false
	}
	now := l.config.Clock.Now()
	if l.lease == 0 && l.epoch.number == 0 {
		// This proxy has just started, and can't tell whether the epoch has.
		l.epoch = epochState{number: number, since: now, settled: l.config.FirstStart}
		return true
	}
	next := epochState{
		number:         number,
		since:          now,
		heldBefore:     make(map[string]bool, len(l.held)),
		earlierMembers: l.members,
		registerAfter:  now.Add(rand.N(registrationSpacing * time.Duration(len(l.members)+1))),
	}
	for group, claim := range l.held {
		next.heldBefore[group] = now.Before(l.heldUntil())
		klog.InfoS("duty void", "why", "the store was restored", "group", group, "generation", generation(l.epoch.number, claim.revision),
			"heldUntil", l.heldUntil().Sub(now))
	}
	klog.InfoS("store restored", "epoch", number, "earlierEpoch", l.epoch.number, "lease", l.lease, "duties", len(l.held),
		"members", len(l.members), "registersIn", next.registerAfter.Sub(now))
	l.epoch = next
	l.lease, l.renewedAt, l.storeFailing, l.peersAbstainUntil = 0, time.Time{}, false, time.Time{}
	clear(l.held)
	clear(l.freeSince)
	l.forgetUsageHostRevisions()
	l.forgetSetRevisions()
	l.listFresh = true
	l.config.OnRestore()
	return true
}

// mayRegister reports whether this proxy's turn to register in the epoch has come.
func (l *LockManager) mayRegister() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.config.Clock.Now().Before(l.epoch.registerAfter)
}

// learnEpoch reads the epoch by a cheap call, as a lease of an unknown epoch is of no
// use. A failure shows again in the calls that follow.
func (l *LockManager) learnEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, _, _ = l.config.Store.List(ctx, l.config.Prefix+settledKey, true)
}

// settle records in the store that the epoch is settled, once settleTime has passed.
// Proxies do it in turn.
func (l *LockManager) settle(ctx context.Context) {
	l.mu.Lock()
	key := l.keyPrefix() + settledKey
	epoch, members := l.epoch, l.members
	l.mu.Unlock()
	if epoch.number == 0 || epoch.recorded {
		return
	}
	age := l.config.Clock.Now().Sub(epoch.since)
	delay := time.Duration(rosepeer.RendezvousRank("settle", members, l.config.Self.Proxy)) * claimStagger
	if !epoch.settled {
		delay += settleTime
	}
	if age < delay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := l.config.Store.Apply(ctx, rosemary.Change{
		Preconditions: []rosemary.Precondition{{Key: key}},
		Writes:        []rosemary.Item{{Key: key, Value: []byte(l.config.Self.Proxy)}},
	})
	klog.InfoS("epoch settled", "epoch", epoch.number, "age", age, "err", roselog.ErrorMessage(err))
}
