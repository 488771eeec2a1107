package rosesupervisor

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// ClaimedLock is a lock that a proxy asks to keep while it can't renew its lease.
type ClaimedLock struct {
	Group string
	// Generation is that of the claim.
	Generation int64
}

// Promise is a proxy's promise to claim no lock for abstainDuration.
type Promise struct {
	From rosemary.ProxyID
	// Unclaimed is for how long the proxy has claimed none of the locks that it was asked about,
	// zero if it doesn't tell.
	Unclaimed time.Duration
}

// requestAbstention extends the time for which this proxy holds its locks while
// the store can't be reached: if every proxy that is registered or linked promises
// to claim none, the locks stay with this proxy even if its lease expires in the
// store. A proxy that reaches the store refuses. One that has registered since the
// members were listed is linked.
//
// Promises only continue what is proved when they are given. Once the lease, or the
// extension before, has ended, another proxy may have claimed the locks. They are kept then
// if all prove that they have claimed none since.
func (l *LockManager) requestAbstention(ctx context.Context) {
	l.mu.Lock()
	useful := l.config.Peers != nil && l.storeFailing && len(l.held) > 0
	members, lease, claims := l.members, l.lease, l.claimedLocks()
	l.mu.Unlock()
	if !useful {
		return
	}
	sentAt := l.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, abstainTimeout)
	defer cancel()
	promises, required := l.config.Peers.RequestAbstention(ctx, claims)
	for _, m := range members {
		if m.Proxy != l.config.Self.Proxy {
			required = append(required, m.Proxy)
		}
	}
	for _, proxy := range required {
		if !slices.ContainsFunc(promises, func(p Promise) bool { return p.From == proxy }) {
			l.reportExtension("not extended", "withoutThePromiseOf", proxy)
			return
		}
	}
	provenFor, extended := l.extend(lease, sentAt, promises)
	outcome := "extended"
	switch {
	case !extended:
		outcome = "lapsed"
	case provenFor <= 0:
		outcome = "resumed"
	}
	l.reportExtension(outcome, "provenFor", provenFor, "promises", promises)
}

// extend keeps the locks of a lease by promises asked for at a time, unless they have lapsed
// before all promises were there and may have been claimed since. It returns for how long the
// locks were proved without the promises.
func (l *LockManager) extend(lease int64, askedAt time.Time, promises []Promise) (provenFor time.Duration, extended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	provenFor = l.heldUntil().Sub(l.config.Clock.Now())
	if l.lease != lease || provenFor <= 0 && !unclaimedFor(promises, -provenFor) {
		return provenFor, false
	}
	l.peersAbstainUntil = askedAt.Add(abstainDuration - abstainMargin)
	return provenFor, true
}

// unclaimedFor reports whether promises prove that nobody has claimed the locks asked about for a
// time.
func unclaimedFor(promises []Promise, duration time.Duration) bool {
	return len(promises) > 0 && !slices.ContainsFunc(promises, func(p Promise) bool { return p.Unclaimed < duration })
}

// claimedLocks returns the locks that this proxy has claimed. The caller holds the lock.
func (l *LockManager) claimedLocks() []ClaimedLock {
	claims := make([]ClaimedLock, 0, len(l.held))
	for group, claim := range l.held {
		claims = append(claims, ClaimedLock{group, generation(l.epoch.number, claim.revision)})
	}
	return claims
}

// reportExtension logs whether the locks are kept beyond the lease, if that has changed.
func (l *LockManager) reportExtension(outcome string, details ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome == l.reportedExtension {
		return
	}
	l.reportedExtension = outcome
	klog.InfoS("duty "+outcome, append([]any{"duties", len(l.held), "lease", l.lease, "claims", l.claimedLocks()}, details...)...)
}

// Abstain promises another proxy, which wants to keep the locks that it has claimed, to claim
// no lock for abstainDuration, and returns for how long this process has claimed none of them.
// It refuses if it reaches the store, or knows of a later claim of one of the locks. A build that
// doesn't name its claims may have lost any of them to this proxy.
func (l *LockManager) Abstain(asker rosemary.ProxyID, claims []ClaimedLock) (unclaimed time.Duration, promised bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range claims {
		l.recordClaim(c.Group, c.Generation, asker)
	}
	if !l.storeFailing {
		l.reportPromise(asker, "refused", "the store answers")
		return 0, false
	}
	if len(claims) == 0 && len(l.held) > 0 {
		l.reportPromise(asker, "refused", "the asker names no claims, and locks are held here")
		return 0, false
	}
	now := l.config.Clock.Now()
	if len(claims) > 0 {
		unclaimed = now.Sub(l.startedAt)
	}
	for _, c := range claims {
		if l.newestClaims[c.Group] > c.Generation {
			l.reportPromise(asker, "refused", "the lock of "+c.Group+" was claimed later")
			return 0, false
		}
		if _, unsettled := l.unsettledClaims[c.Group]; unsettled {
			l.reportPromise(asker, "refused", "a claim of the lock of "+c.Group+" may still take effect")
			return 0, false
		}
		if at, claimed := l.claimedAt[c.Group]; claimed {
			unclaimed = min(unclaimed, now.Sub(at))
		}
	}
	l.abstainUntil = now.Add(abstainDuration)
	l.reportPromise(asker, "promised", "the store doesn't answer")
	return unclaimed, true
}

// recordClaim records a claim of a group's lock by a proxy. It ends an earlier one of this proxy,
// which the store, had it answered, would have told. The caller holds the lock.
func (l *LockManager) recordClaim(group string, claimed int64, by rosemary.ProxyID) {
	l.newestClaims[group] = max(l.newestClaims[group], claimed)
	claim, held := l.held[group]
	if own := generation(l.epoch.number, claim.revision); held && own < claimed {
		klog.InfoS("duty void", "why", "claimed since by another proxy", "group", group, "generation", own, "by", by, "later", claimed)
		delete(l.held, group)
	}
}

// reportPromise logs the reply to a proxy that has asked for a promise, if it has changed. The
// caller holds the lock.
func (l *LockManager) reportPromise(asker rosemary.ProxyID, reply, why string) {
	if l.reportedPromises[asker] == reply+why {
		return
	}
	l.reportedPromises[asker] = reply + why
	klog.InfoS("abstention "+reply, "to", asker, "why", why, "claims", l.claimedLocks())
}

// forgetReports has the next extension and the next promises logged again. The caller holds the
// lock.
func (l *LockManager) forgetReports() {
	l.reportedExtension = ""
	clear(l.reportedPromises)
}
