package rosesupervisor

import (
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Guarantee returns for how long this proxy guarantees to another that the primary of
// term isn't replaced, zero if it can't. As the holder of the failover lock it is the
// only one to replace it, provided that no order of an earlier holder, or of its own,
// is still to take effect: the replicas must have proved the primary after the last of
// them could have.
func (r *Replacer) Guarantee(to rosemary.ProxyID, term uint64) time.Duration {
	_, until, holds := r.config.Locks.Holds(r.config.Group.Name())
	proof := r.newPrimaryProof()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !holds || r.replacing || proof.term != term || !r.isCurrent(proof) {
		return 0
	}
	now := r.config.Clock.Now()
	duration := max(min(until.Sub(now), rosegroup.PrimaryLeaseTime), 0)
	if end := now.Add(duration); end.After(r.guarantees[to]) {
		r.guarantees[to] = end
	}
	return duration
}

// ordersSettled reports whether every order of an earlier holder of the lock, or of this
// process, has taken effect or never will.
func (r *Replacer) ordersSettled() bool {
	now := r.config.Clock.Now()
	heldSince := r.config.Locks.HeldSince(r.config.Group.Name())
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(heldSince) >= rosegroup.MaxPromotionTime && now.Sub(r.orderedAt) >= rosegroup.MaxPromotionTime
}

// setReplacing begins or ends an attempt. Guarantees given before it end within
// rosegroup.PrimaryLeaseTime, for which the attempt waits.
func (r *Replacer) setReplacing(replacing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replacing = replacing
}

// guaranteedBut returns a proxy to which a guarantee is still in force and that is not
// among those given.
func (r *Replacer) guaranteedBut(but []rosemary.ProxyID) (rosemary.ProxyID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	for proxy, until := range r.guarantees {
		if !now.Before(until) {
			delete(r.guarantees, proxy)
		} else if !slices.Contains(but, proxy) {
			return proxy, true
		}
	}
	return "", false
}
