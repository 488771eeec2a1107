package rosedaemon

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselend"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// loan is the number of connections to one target that this proxy may use beyond
// its reserved ones.
type loan struct {
	connections int
	expiresAt   time.Time
	requestedAt time.Time
}

// borrow requests connections to targets for which statements wait, and stops
// using expired loans.
func (d *Daemon) borrow(ctx context.Context) {
	for d.awaitDemand(ctx) {
		d.mu.Lock()
		requests := d.connectionRequests(time.Now())
		d.mu.Unlock()
		for _, request := range requests {
			d.requestConnections(request)
		}
	}
}

// minRequestInterval is the minimum time between two rounds of requests.
const minRequestInterval = 20 * time.Millisecond

// awaitDemand returns when a statement had to wait, or after RequestInterval to
// renew or end loans. It returns false if ctx has ended.
func (d *Daemon) awaitDemand(ctx context.Context) bool {
	if !roseclock.Sleep(ctx, minRequestInterval) {
		return false
	}
	timer := time.NewTimer(roselend.RequestInterval)
	defer timer.Stop()
	select {
	case <-d.queued:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (d *Daemon) signalQueued() {
	select {
	case d.queued <- struct{}{}:
	default:
	}
}

// connectionRequests returns the requests to send and ends expired loans. The
// caller holds d.mu.
func (d *Daemon) connectionRequests(now time.Time) []rosewire.Ask {
	var requests []rosewire.Ask
	for _, b := range d.backends {
		for id := range b.pools {
			current := b.loans[id]
			if current.connections > 0 && now.After(current.expiresAt) {
				current.connections = 0
				b.loans[id] = current
				b.applyLimit(id)
			}
			if demand := b.demand(id); demand > 0 {
				current.requestedAt = now
				b.loans[id] = current
				requests = append(requests, rosewire.Ask{Target: string(id), Want: uint64(demand)})
			}
		}
	}
	return requests
}

// demand returns how many connections beyond the reserved ones would be used
// now. If the target itself is the bottleneck, the adaptive limit is below its
// maximum and more connections would not help.
func (b *backend) demand(id rosemary.TargetID) int {
	load := b.queues[id].Load()
	if load.Limit < load.MaxInFlight {
		return min(max(load.InFlight-b.quota.Reserved, 0), b.quota.Lendable)
	}
	return min(max(load.InFlight+load.Queued-b.quota.Reserved, 0), b.quota.Lendable)
}

// applyLimit limits a target's pool and queue to the reserved and borrowed
// connections.
func (b *backend) applyLimit(id rosemary.TargetID) {
	limit := b.quota.Reserved + b.loans[id].connections
	b.pools[id].SetLimit(limit)
	b.queues[id].SetMaxInFlight(limit)
}

// requestConnections sends a request to the target's lender, which is the first
// live proxy in rendezvous order.
func (d *Daemon) requestConnections(request rosewire.Ask) {
	lender := rosepeer.RendezvousOrder("lend/"+request.Target, d.mesh.LiveMembers())[0].Proxy
	if lender == d.config.Name {
		d.applyGrant(d.lend(d.config.Name, request))
		return
	}
	d.mesh.RequestConnections(lender, request)
}

// lend answers a proxy's request for connections to a target whose lender this
// proxy is.
func (d *Daemon) lend(from rosemary.ProxyID, request rosewire.Ask) rosewire.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := rosemary.TargetID(request.Target)
	b := d.backendOf(id)
	if b == nil {
		return rosewire.Grant{Target: request.Target}
	}
	want := int(min(request.Want, uint64(b.quota.Lendable)))
	extra := d.lender.Grant(time.Now(), id, from, want, b.quota.Lendable)
	return rosewire.Grant{Target: request.Target, Extra: uint64(extra)}
}

// applyGrant applies a grant. The loan expires LoanDuration after the last
// request was sent. The lender counts from the arrival of the request, so it
// doesn't lend the connections to others before the loan has expired.
func (d *Daemon) applyGrant(grant rosewire.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := rosemary.TargetID(grant.Target)
	b := d.backendOf(id)
	if b == nil {
		return
	}
	current := b.loans[id]
	current.connections = int(min(grant.Extra, uint64(b.quota.Lendable)))
	current.expiresAt = current.requestedAt.Add(roselend.LoanDuration)
	b.loans[id] = current
	b.applyLimit(id)
}

// backendOf returns the backend of a target's database, or nil. The caller
// holds d.mu.
func (d *Daemon) backendOf(id rosemary.TargetID) *backend {
	for _, b := range d.backends {
		if b.pools[id] != nil {
			return b
		}
	}
	return nil
}
