package rosesupervisor

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// requestAbstention extends the time for which this proxy holds its locks while
// the store can't be reached: if every proxy that is registered or linked promises
// to claim none, the locks stay with this proxy even if its lease expires in the
// store. A proxy that reaches the store refuses. One that has registered since the
// members were listed is linked.
func (l *LockManager) requestAbstention(ctx context.Context) {
	l.mu.Lock()
	useful := l.config.Peers != nil && l.storeFailing && len(l.held) > 0
	members := l.members
	l.mu.Unlock()
	if !useful {
		return
	}
	sentAt := l.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, abstainTimeout)
	defer cancel()
	promised, required := l.config.Peers.RequestAbstention(ctx)
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
	l.mu.Lock()
	provenUntil := l.heldUntil()
	l.peersAbstainUntil = sentAt.Add(abstainDuration - abstainMargin)
	l.mu.Unlock()
	l.reportExtension("extended", "promised", len(promised), "provenFor", provenUntil.Sub(sentAt))
}

// reportExtension logs whether the locks are kept beyond the lease, if that has changed.
func (l *LockManager) reportExtension(outcome string, details ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome == l.reportedExtension {
		return
	}
	l.reportedExtension = outcome
	klog.InfoS("duty "+outcome, append([]any{"duties", len(l.held), "lease", l.lease, "generations", l.generations()}, details...)...)
}

// generations returns the generations of the locks that this proxy has claimed, by group. The
// caller holds the lock.
func (l *LockManager) generations() map[string]int64 {
	generations := make(map[string]int64, len(l.held))
	for group, claim := range l.held {
		generations[group] = generation(l.epoch.number, claim.revision)
	}
	return generations
}

// Abstain promises another proxy to claim no lock for abstainDuration, if this one can't
// reach the store.
func (l *LockManager) Abstain(asker rosemary.ProxyID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeFailing {
		l.reportPromise(asker, "refused", "the store answers")
		return false
	}
	l.abstainUntil = l.config.Clock.Now().Add(abstainDuration)
	l.reportPromise(asker, "promised", "the store doesn't answer")
	return true
}

// reportPromise logs the reply to a proxy that has asked for a promise, if it has changed. The
// caller holds the lock.
func (l *LockManager) reportPromise(asker rosemary.ProxyID, reply, why string) {
	if l.reportedPromises[asker] == reply+why {
		return
	}
	l.reportedPromises[asker] = reply + why
	klog.InfoS("abstention "+reply, "to", asker, "why", why, "generations", l.generations())
}

// forgetReports has the next extension and the next promises logged again. The caller holds the
// lock.
func (l *LockManager) forgetReports() {
	l.reportedExtension = ""
	clear(l.reportedPromises)
}
