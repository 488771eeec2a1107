package rosenode

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// guaranteeCheckInterval is how often the primary leases are checked.
	guaranteeCheckInterval = 100 * time.Millisecond
	// minLeaseRemaining is the remaining time of a primary lease below which the
	// holder of the group's failover lock is asked for a guarantee. A lease that
	// replicas extend has more left.
	minLeaseRemaining = 250 * time.Millisecond
	// guaranteeTimeout bounds the wait for a guarantee.
	guaranteeTimeout = 150 * time.Millisecond
)

// pollGuarantees asks for guarantees of primaries whose leases the replicas don't
// extend, as when they can't be reached from here.
func (n *Node) pollGuarantees(ctx context.Context) {
	for !n.config.Omit.Guarantees && roseclock.Sleep(ctx, guaranteeCheckInterval) {
		var tasks errgroup.Group
		for _, name := range n.groupNames() {
			tasks.Go(func() error {
				n.pollGuarantee(ctx, name)
				return nil
			})
		}
		_ = tasks.Wait()
	}
}

// pollGuarantee asks the holder of a group's failover lock for a guarantee if its
// primary lease is about to end.
func (n *Node) pollGuarantee(ctx context.Context, name string) {
	g, found := n.Group(name)
	if !found {
		return
	}
	term, needed := g.NeedsGuarantee(minLeaseRemaining)
	holder, known := n.locks.Holder(name)
	if !needed || !known {
		return
	}
	// The guarantee counts from before the question, so that the transfer of the reply
	// doesn't lengthen it.
	askedAt := n.config.Clock.Now()
	if duration := n.requestGuarantee(ctx, holder, name, term); duration > 0 {
		g.ObserveGuarantee(term, askedAt, askedAt.Add(duration))
	}
}

// requestGuarantee returns for how long the holder of a group's lock, which may be this
// proxy, guarantees that the primary of term isn't replaced.
func (n *Node) requestGuarantee(ctx context.Context, holder rosemary.ProxyID, name string, term uint64) time.Duration {
	if holder == n.config.Self.Proxy {
		n.mu.Lock()
		g := n.groups[name]
		n.mu.Unlock()
		if g == nil {
			return 0
		}
		return g.replacer.Guarantee(holder, term)
	}
	ctx, cancel := context.WithTimeout(ctx, guaranteeTimeout)
	defer cancel()
	reply, answered := n.mesh.Query(ctx, holder, rosewire.Question{About: rosepeer.AboutGuarantee, Group: name, Term: term})
	if !answered || reply.ForMs == nil {
		return 0
	}
	return time.Duration(*reply.ForMs) * time.Millisecond
}
