package rosefleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// idleLink is a link that nothing is sent on.
type idleLink struct {
	rosemary.Conn
	closed bool
}

func (l *idleLink) Close() { l.closed = true }

// full returns a pool whose only link is in use.
func full() (*pool, *held) {
	p := newPool()
	p.take(Request{})
	return p, &held{link: &idleLink{}, takenAt: time.Now()}
}

func request(priority int, aim, deadline time.Duration) Request {
	return Request{Priority: priority, SoftDeadline: time.Now().Add(aim), Deadline: time.Now().Add(deadline)}
}

// granted returns what a waiter got, if it got anything.
func granted(w *waiter) (grant, bool) {
	select {
	case g := <-w.granted:
		return g, true
	default:
		return grant{}, false
	}
}

func TestWaitersAreOrderedByPriorityAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, late := p.take(request(2, time.Second, 3*time.Second))
		_, _, soon := p.take(request(2, time.Second, 2*time.Second))
		_, _, first := p.take(request(1, time.Second, 3*time.Second))
		for _, w := range []*waiter{first, soon, late} {
			p.put(link)
			g, ok := granted(w)
			c.Assert(ok && g.held == link, qt.IsTrue)
		}
	})
}

func TestOverloadShedsWhatIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, stale := p.take(request(1, 100*time.Millisecond, time.Second))
		time.Sleep(overloadAfter + time.Millisecond)
		_, _, fresh := p.take(request(1, 100*time.Millisecond, time.Second))
		p.put(link)
		g, _ := granted(stale)
		c.Check(g.shed, qt.IsTrue)
		g, _ = granted(fresh)
		c.Check(g.held, qt.Equals, link)
	})
}

func TestBurstShedsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, w := p.take(request(1, 100*time.Millisecond, time.Second))
		time.Sleep(overloadAfter / 2)
		p.put(link)
		g, _ := granted(w)
		c.Check(g.held, qt.Equals, link)
	})
}

// A request that came too late for its aim, as after a replacement, is served
// late and not refused.
func TestOverloadServesWhatCameLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, w := p.take(request(1, -time.Millisecond, time.Second))
		time.Sleep(overloadAfter + time.Millisecond)
		p.put(link)
		g, _ := granted(w)
		c.Check(g.held, qt.Equals, link)
	})
}

func TestOverloadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := full()
		for range 20 {
			p.take(request(1, time.Second, time.Minute))
		}
		_, worthwhile := p.admit(request(1, 100*time.Millisecond, time.Minute))
		c.Check(worthwhile, qt.IsTrue, qt.Commentf("a burst"))
		time.Sleep(overloadAfter + time.Millisecond)
		wait, worthwhile := p.admit(request(1, 100*time.Millisecond, time.Minute))
		c.Check(worthwhile, qt.IsFalse)
		c.Check(wait > 100*time.Millisecond, qt.IsTrue)
	})
}

// The pause after a refused connection ends with a queue in which all are too
// late.
func TestReopenWithNothingButLateWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, w := p.take(request(1, 10*time.Millisecond, time.Second))
		time.Sleep(overloadAfter - fullPause/2)
		p.full()
		p.drop(link)
		time.Sleep(fullPause + time.Millisecond)
		synctest.Wait()
		g, ok := granted(w)
		c.Check(ok && g.shed, qt.IsTrue)
		_, ok, _ = p.take(request(1, time.Second, time.Second))
		c.Check(ok, qt.IsTrue, qt.Commentf("the pool opens links again"))
	})
}

func TestRefusedConnectionWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, w := p.take(request(1, time.Second, time.Second))
		p.full()
		p.drop(link)
		_, ok := granted(w)
		c.Check(ok, qt.IsFalse)
		time.Sleep(fullPause + time.Millisecond)
		synctest.Wait()
		g, ok := granted(w)
		c.Check(ok && g.ok, qt.IsTrue)
	})
}

func TestFlushSendsWaitersAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := full()
		_, _, w := p.take(request(1, time.Second, time.Second))
		p.flush()
		g, ok := granted(w)
		c.Check(ok && !g.ok && !g.shed, qt.IsTrue)
	})
}

func TestAbandonedWaiterPassesItsLinkOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, link := full()
		_, _, first := p.take(request(1, time.Second, time.Second))
		_, _, second := p.take(request(1, time.Second, 2*time.Second))
		p.put(link)
		p.abandon(first)
		g, ok := granted(second)
		c.Check(ok && g.held == link, qt.IsTrue)
	})
}

func TestLeaseIsRefusedWhenItsWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := New(Config{Name: "g"})
		p := &place{group: g, pool: newPool()}
		p.pool.take(Request{})
		lease, refusal := g.lease(context.Background(), p, 0, request(1, time.Second, 10*time.Millisecond))
		c.Check(lease, qt.IsNil)
		c.Check(refusal.Outcome, qt.Equals, rosemary.OutcomeNotRun)
		c.Check(refusal.RetryAfter > 0, qt.IsTrue)
	})
}
