package rosesupervisor

import (
	"context"
	"slices"

	"k8s.io/klog/v2"
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
			klog.V(1).InfoS("duty not extended", "withoutThePromiseOf", proxy)
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersAbstainUntil = sentAt.Add(abstainDuration - abstainMargin)
}

// Abstain promises to claim no lock for abstainDuration, if this proxy can't
// reach the store.
func (l *LockManager) Abstain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeFailing {
		return false
	}
	l.abstainUntil = l.config.Clock.Now().Add(abstainDuration)
	return true
}
