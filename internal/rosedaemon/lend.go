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

// loan is what this proxy has beyond its floor of one target.
type loan struct {
	extra   int
	until   time.Time
	askedAt time.Time
}

// borrow asks for connections where statements wait for them, and gives loans
// back when their time is over.
func (d *Daemon) borrow(ctx context.Context) {
	for d.awaitDemand(ctx) {
		d.mu.Lock()
		asks := d.asks(time.Now())
		d.mu.Unlock()
		for _, ask := range asks {
			d.ask(ask)
		}
	}
}

// askPause bounds the rate of asks while statements wait.
const askPause = 20 * time.Millisecond

// awaitDemand waits until a statement had to wait, or until loans are due for
// a look. It reports false when ctx ended.
func (d *Daemon) awaitDemand(ctx context.Context) bool {
	if !roseclock.Sleep(ctx, askPause) {
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

func (d *Daemon) noteQueued() {
	select {
	case d.queued <- struct{}{}:
	default:
	}
}

// asks lists what to ask for. The lock is held.
func (d *Daemon) asks(now time.Time) []rosewire.Ask {
	var asks []rosewire.Ask
	for _, b := range d.backends {
		for id := range b.pools {
			held := b.loans[id]
			if held.extra > 0 && now.After(held.until) {
				held.extra = 0
				b.loans[id] = held
				b.limit(id)
			}
			if want := b.want(id); want > 0 {
				held.askedAt = now
				b.loans[id] = held
				asks = append(asks, rosewire.Ask{Target: string(id), Want: uint64(want)})
			}
		}
	}
	return asks
}

// want returns how many connections beyond the floor would be used now. A
// target that itself is the bottleneck holds the adaptive limit down, and more
// connections to it are of no use.
func (b *backend) want(id rosemary.TargetID) int {
	load := b.queues[id].Load()
	if load.Limit < load.MaxInFlight {
		return min(max(load.InFlight-b.share.Reserved, 0), b.share.Lendable)
	}
	return min(max(load.InFlight+load.Queued-b.share.Reserved, 0), b.share.Lendable)
}

// limit applies the floor and the loan of a target.
func (b *backend) limit(id rosemary.TargetID) {
	limit := b.share.Reserved + b.loans[id].extra
	b.pools[id].SetLimit(limit)
	b.queues[id].SetMaxInFlight(limit)
}

// ask sends an ask to the target's lender: the first of the live proxies.
func (d *Daemon) ask(ask rosewire.Ask) {
	lender := rosepeer.RendezvousOrder("lend/"+ask.Target, d.mesh.LiveMembers())[0].Proxy
	if lender == d.config.Name {
		d.borrowed(d.lend(d.config.Name, ask))
		return
	}
	d.mesh.RequestConnections(lender, ask)
}

// lend answers an ask for a target.
func (d *Daemon) lend(from rosemary.ProxyID, ask rosewire.Ask) rosewire.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := rosemary.TargetID(ask.Target)
	b := d.backendOf(id)
	if b == nil {
		return rosewire.Grant{Target: ask.Target}
	}
	want := int(min(ask.Want, uint64(b.share.Lendable)))
	extra := d.lender.Grant(time.Now(), id, from, want, b.share.Lendable)
	return rosewire.Grant{Target: ask.Target, Extra: uint64(extra)}
}

// borrowed takes a grant into use until its time is over, counted from the
// last ask: the lender counts from later.
func (d *Daemon) borrowed(grant rosewire.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := rosemary.TargetID(grant.Target)
	b := d.backendOf(id)
	if b == nil {
		return
	}
	held := b.loans[id]
	held.extra = int(min(grant.Extra, uint64(b.share.Lendable)))
	held.until = held.askedAt.Add(roselend.LoanDuration)
	b.loans[id] = held
	b.limit(id)
}

// backendOf returns what serves the database of a target. The lock is held.
func (d *Daemon) backendOf(id rosemary.TargetID) *backend {
	for _, b := range d.backends {
		if b.pools[id] != nil {
			return b
		}
	}
	return nil
}
