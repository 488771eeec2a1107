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

// requestAbstention extends the time for which this proxy holds its locks while
// the store can't be reached: if every proxy that is registered or linked promises
// to claim none, the locks stay with this proxy even if its lease expires in the
// store. A proxy that reaches the store refuses. One that has registered since the
// members were listed is linked.
//
// Promises only continue what is proved when they are given. Once the lease, or the
// extension before, has ended, another proxy may have claimed the locks, and the store
// alone can tell.
func (l *LockManager) requestAbstention(ctx context.Context) {
	l.mu.Lock()
	useful := l.config.Peers != nil && l.storeFailing && len(l.held) > 0
	lapsed := !l.config.Clock.Now().Before(l.heldUntil())
	members, lease, claims := l.members, l.lease, l.claimedLocks()
	l.mu.Unlock()
	if !useful {
		return
	}
	if lapsed {
		l.reportExtension("lapsed")
		return
	}
	sentAt := l.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, abstainTimeout)
	defer cancel()
	promised, required := l.config.Peers.RequestAbstention(ctx, claims)
	for _, m := range members {
		if m.Proxy != l.config.Self.Proxy {
			required = append(required, m.Proxy)
		}
	}
	for _, proxy := range required {
		if !slices.Contains(promised, proxy) {
			l.reportExtension("not extended", "withoutThePromiseOf", proxy)
			return
		}
	}
	if provenFor, extended := l.extend(lease, sentAt); extended {
		l.reportExtension("extended", "promised", len(promised), "provenFor", provenFor)
	} else {
		l.reportExtension("lapsed", "promised", len(promised), "provenFor", provenFor)
	}
}

// extend keeps the locks of a lease by promises asked for at a time, unless they have lapsed
// before all promises were there. It returns for how long the locks were proved without them.
func (l *LockManager) extend(lease int64, askedAt time.Time) (provenFor time.Duration, extended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	provenFor = l.heldUntil().Sub(l.config.Clock.Now())
	if l.lease != lease || provenFor <= 0 {
		return provenFor, false
	}
	l.peersAbstainUntil = askedAt.Add(abstainDuration - abstainMargin)
	return provenFor, true
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
// no lock for abstainDuration. This proxy refuses if it reaches the store, or has claimed one of
// the locks later. A build that doesn't name its claims may have lost any of them to this proxy.
func (l *LockManager) Abstain(asker rosemary.ProxyID, claims []ClaimedLock) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropVoidClaims(asker, claims)
	if !l.storeFailing {
		l.reportPromise(asker, "refused", "the store answers")
		return false
	}
	if len(claims) == 0 && len(l.held) > 0 {
		l.reportPromise(asker, "refused", "the asker names no claims, and locks are held here")
		return false
	}
	for _, c := range claims {
		if _, held := l.held[c.Group]; held {
			l.reportPromise(asker, "refused", "the lock of "+c.Group+" was claimed here later")
			return false
		}
	}
	l.abstainUntil = l.config.Clock.Now().Add(abstainDuration)
	l.reportPromise(asker, "promised", "the store doesn't answer")
	return true
}

// dropVoidClaims gives up the locks that another proxy has claimed since, which the store, had
// it answered, would have told. The caller holds the lock.
func (l *LockManager) dropVoidClaims(other rosemary.ProxyID, claims []ClaimedLock) {
	for _, c := range claims {
		claim, held := l.held[c.Group]
		if own := generation(l.epoch.number, claim.revision); held && own < c.Generation {
			klog.InfoS("duty void", "why", "claimed since by another proxy", "group", c.Group, "generation", own, "by", other, "later", c.Generation)
			delete(l.held, c.Group)
		}
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
