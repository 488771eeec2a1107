package rosesupervisor

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// setInterval is how often a holder compares the target set with the targets.
	setInterval = 100 * time.Millisecond
	// setRetryDelay separates the attempts to write a set, or to have it confirmed.
	setRetryDelay = 700 * time.Millisecond
	// setConfirmTimeout bounds the wait for the proxies to confirm a set.
	setConfirmTimeout = 300 * time.Millisecond
	// aloneDelay is how long a primary has to be the only target registered before the platform
	// is asked to promote it again.
	aloneDelay = time.Second
)

// keepTargetSet keeps the group's target set up to date while this proxy holds the failover lock,
// until ctx ends.
func (r *Replacer) keepTargetSet(ctx context.Context) {
	var retryAfter time.Time
	for roseclock.Sleep(ctx, setInterval) {
		_, _, holds := r.config.Locks.Holds(r.config.Group.Name())
		if now := r.config.Clock.Now(); !holds || now.Before(retryAfter) {
			continue
		}
		if !r.updateTargetSet(ctx) || !r.confirmTargetSet(ctx) {
			retryAfter = r.config.Clock.Now().Add(setRetryDelay)
		}
	}
}

// updateTargetSet changes the target set if that is due, and reports whether there is nothing left
// to change.
func (r *Replacer) updateTargetSet(ctx context.Context) bool {
	group := r.config.Group.Name()
	next, due := r.config.Locks.UnsettledSet(group)
	if !due {
		next, due = r.beginSetChange(r.config.Group.View())
	}
	return !due || r.writeTargetSet(ctx, next)
}

// writeTargetSet writes a set that has been begun, and reports whether the store has it.
func (r *Replacer) writeTargetSet(ctx context.Context, set rosegroup.TargetSet) bool {
	err := r.config.Locks.WriteTargetSet(ctx, r.config.Group.Name(), set)
	klog.InfoS("target set written", "group", r.config.Group.Name(), "generation", set.Version.Generation, "number", set.Version.Number,
		"members", set.Members, "retiring", set.Retiring, "former", set.Former, "open", set.Open, "err", roselog.ErrorMessage(err))
	return err == nil
}

// beginSetChange returns the next target set if a change is due and allowed now. An attempt to
// replace the primary that begins later takes it into account.
func (r *Replacer) beginSetChange(view rosefleet.View) (rosegroup.TargetSet, bool) {
	group := r.config.Group.Name()
	proof := r.newPrimaryProof()
	lastPrimary, _ := r.config.Group.LastPrimary()
	synchronous := r.config.SyncReplicas() > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	set, ready := r.config.Locks.DecidedSet(group)
	if !ready || r.replacing || proof.generation == 0 {
		return rosegroup.TargetSet{}, false
	}
	certain := r.isCurrent(proof) && proof.term == view.Term
	next, changed := nextTargetSet(set, view, lastPrimary, certain, synchronous, proof.generation)
	return next, changed && r.config.Locks.BeginSetChange(group, next)
}

// nextTargetSet returns the target set that is due after set, if it differs. What proves more leases
// than before, a new member or a primary that is the only one, waits until the primary is certain
// to be the present one: a proxy might rely on a replaced primary by it.
func nextTargetSet(set rosegroup.TargetSet, view rosefleet.View, lastPrimary rosemary.Status, certain, synchronous bool, generation int64) (rosegroup.TargetSet, bool) {
	if len(view.Targets) == 0 {
		return set, false
	}
	var wanted []rosemary.TargetID
	for _, t := range view.Targets {
		current := !t.SeenAt.IsZero() && t.Status.Term >= view.Term
		if set.IsZero() || set.Contains(t.ID) || certain && current {
			wanted = append(wanted, t.ID)
		}
	}
	if lastPrimary.Target != "" && lastPrimary.Term >= view.Term && (set.IsZero() || set.Contains(lastPrimary.Target)) {
		// It is what a replacement replaces, also if its entry is gone.
		wanted = append(wanted, lastPrimary.Target)
	}
	next := set.WithMembers(wanted, generation)
	if len(next.Members) == 1 && !set.IsZero() && !set.IsSole(next.Members[0]) && !certain {
		kept := slices.IndexFunc(set.Members, func(id rosemary.TargetID) bool { return id != next.Members[0] })
		if kept >= 0 {
			wanted = append(wanted, set.Members[kept])
		}
		next = set.WithMembers(wanted, generation)
	}
	if len(next.Members) == 0 {
		return set, false
	}
	if synchronous {
		next = next.WithFormer(view.Term, slices.Concat(set.Members, set.Retiring))
	}
	return next, !slices.Equal(next.Members, set.Members)
}

// confirmTargetSet has the target set confirmed by every proxy that may use a primary, unless it
// is, and reports whether it is now.
func (r *Replacer) confirmTargetSet(ctx context.Context) bool {
	group := r.config.Group.Name()
	set, ready := r.config.Locks.DecidedSet(group)
	if _, unsettled := r.config.Locks.UnsettledSet(group); !ready || unsettled || set.IsZero() || set.Confirmed() {
		return true
	}
	if missing, confirmed := r.confirmedByAll(ctx, set); !confirmed {
		klog.InfoS("target set not confirmed", "group", group, "generation", set.Version.Generation, "number", set.Version.Number,
			"retiring", set.Retiring, "open", set.Open, "missing", missing)
		return false
	}
	next := set.WithConfirmation()
	return r.config.Locks.BeginSetChange(group, next) && r.writeTargetSet(ctx, next)
}

// confirmedByAll reports whether every proxy that may use a primary goes by a set. Otherwise it
// names a proxy that doesn't, empty if it isn't known.
func (r *Replacer) confirmedByAll(ctx context.Context, set rosegroup.TargetSet) (rosemary.ProxyID, bool) {
	ctx, cancel := context.WithTimeout(ctx, setConfirmTimeout)
	defer cancel()
	members, err := r.config.Locks.ReadMembers(ctx)
	if err != nil {
		return "", false
	}
	if r.config.Voters == nil {
		return "", true
	}
	confirmed, required := r.config.Voters.ConfirmTargetSet(ctx, r.config.Group.Name(), set, members)
	if missing, found := r.missingFrom(confirmed, members, required); found {
		return missing, false
	}
	return "", r.config.Voters.IsMajority(len(confirmed) + 1)
}

// missingFrom returns a proxy among the members and those required that isn't among those given, if
// there is one. This proxy isn't missed.
func (r *Replacer) missingFrom(given []rosemary.ProxyID, members []rosemary.Member, required []rosemary.ProxyID) (rosemary.ProxyID, bool) {
	for _, m := range members {
		if m.Proxy != r.config.Self && !slices.Contains(given, m.Proxy) {
			return m.Proxy, true
		}
	}
	for _, id := range required {
		if !slices.Contains(given, id) {
			return id, true
		}
	}
	return "", false
}

// primaryProof is what proves that a primary is the present one.
type primaryProof struct {
	// term is the newest term known, and at when its primary was last proved; zero if it wasn't.
	term uint64
	at   time.Time
	// heldSince and generation are those of the lock's claim.
	heldSince  time.Time
	generation int64
	// primary is the primary of term if it answers, and seenAt when it was last asked.
	primary rosemary.TargetID
	seenAt  time.Time
}

// newPrimaryProof returns what is known now.
func (r *Replacer) newPrimaryProof() primaryProof {
	view := r.config.Group.View()
	p := primaryProof{heldSince: r.config.Locks.HeldSince(r.config.Group.Name())}
	p.term, p.at = r.config.Group.ProvenAt()
	p.generation, _, _ = r.config.Locks.Holds(r.config.Group.Name())
	if view.HasPrimaryTarget && view.Term == p.term && view.PrimaryTarget.UnreachableFor == 0 {
		p.primary, p.seenAt = view.PrimaryLease.Target, view.PrimaryTarget.SeenAt
	}
	return p
}

// isCurrent reports whether the primary of the newest term is certain to be the present one: it was
// proved after every order of an earlier holder or of this one could have taken effect, or this
// one's orders were all for it, and it has taken over. Only the holder orders another. The caller
// holds the lock.
func (r *Replacer) isCurrent(p primaryProof) bool {
	if p.heldSince.IsZero() {
		return false
	}
	settledAt := p.heldSince.Add(rosegroup.MaxPromotionTime)
	if o := r.ordered; p.primary != "" && o.target == p.primary && o.generation == p.generation {
		if o.term == p.term && !p.seenAt.Before(settledAt) {
			return true
		}
		if again := r.orderedAt.Add(rosegroup.MaxPromotionTime); o.again && !p.seenAt.Before(again) && !p.seenAt.Before(settledAt) {
			return true
		}
	}
	if ordered := r.orderedAt.Add(rosegroup.MaxPromotionTime); ordered.After(settledAt) {
		settledAt = ordered
	}
	return !p.at.Before(settledAt)
}

// orders are the orders to promote that this proxy has given under a generation of the lock since it
// last ordered another target.
type orders struct {
	target     rosemary.TargetID
	generation int64
	// term is one of which the target is known to be the primary, and with which none of the
	// orders interferes; zero if there is none.
	term uint64
	// again is set if the target was ordered as the primary that it was thought to be.
	again bool
}

// recordTakeover records that the successor ordered last is the primary of a term.
func (r *Replacer) recordTakeover(successor rosemary.TargetID, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ordered.target == successor {
		r.ordered.term = term
	}
}

// promoteAlone has the platform promote a primary again if the only other member of the target set
// has gone, and can't prove any more that the primary is the present one. That changes nothing if
// it is. Nobody relies on the other one: its lease would need this one as a replica.
func (r *Replacer) promoteAlone(ctx context.Context, view rosefleet.View) {
	proof, now := r.newPrimaryProof(), r.config.Clock.Now()
	set, ready := r.config.Locks.DecidedSet(r.config.Group.Name())
	if !ready || !isAlone(set, view, proof.primary) {
		r.aloneSince = time.Time{}
		return
	}
	if r.aloneSince.IsZero() {
		r.aloneSince = now
	}
	r.mu.Lock()
	asked := r.ordered.again && r.ordered.target == proof.primary && r.ordered.generation == proof.generation
	due := !r.isCurrent(proof) && !asked
	r.mu.Unlock()
	if !due || now.Sub(r.aloneSince) < aloneDelay || !r.ordersSettled() {
		return
	}
	r.aloneSince = now
	err := r.requestPromotion(ctx, proof.primary)
	klog.InfoS("last member promoted again", "group", r.config.Group.Name(), "target", proof.primary, "term", proof.term, "err", roselog.ErrorMessage(err))
	if err == nil {
		r.mu.Lock()
		r.ordered.again = true
		r.mu.Unlock()
	}
}

// isAlone reports whether a primary is one of two members, and the other one isn't registered.
func isAlone(set rosegroup.TargetSet, view rosefleet.View, primary rosemary.TargetID) bool {
	if !set.Confirmed() || len(set.Members) != 2 || !set.Contains(primary) {
		return false
	}
	return !slices.ContainsFunc(view.Targets, func(t rosefleet.TargetView) bool { return t.ID != primary && set.Contains(t.ID) })
}
