package rosefleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// fakeConn is a connection on which nothing is sent.
type fakeConn struct {
	rosemary.Conn
	closed bool
}

func (c *fakeConn) Close() { c.closed = true }

// fullPool returns a pool whose only connection is in use.
func fullPool() (*pool, *pooledConn) {
	p := newPool()
	p.take(Request{})
	return p, &pooledConn{conn: &fakeConn{}, takenAt: time.Now()}
}

func request(priority int, softDeadline, deadline time.Duration) Request {
	return Request{Priority: priority, SoftDeadline: time.Now().Add(softDeadline), Deadline: time.Now().Add(deadline)}
}

// received returns what a waiter was granted, if anything.
func received(w *waiter) (grant, bool) {
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
		p, conn := fullPool()
		_, _, later := p.take(request(2, time.Second, 3*time.Second))
		_, _, earlier := p.take(request(2, time.Second, 2*time.Second))
		_, _, first := p.take(request(1, time.Second, 3*time.Second))
		for _, w := range []*waiter{first, earlier, later} {
			p.put(conn)
			g, ok := received(w)
			c.Assert(ok && g.conn == conn, qt.IsTrue)
		}
	})
}

func TestOverloadShedsLateWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, conn := fullPool()
		_, _, late := p.take(request(1, 100*time.Millisecond, time.Second))
		time.Sleep(rosedecision.OverloadThreshold + time.Millisecond)
		_, _, inTime := p.take(request(1, 100*time.Millisecond, time.Second))
		p.put(conn)
		g, _ := received(late)
		c.Check(g.shed, qt.IsTrue)
		g, _ = received(inTime)
		c.Check(g.conn, qt.Equals, conn)
	})
}

func TestBurstShedsNoWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, conn := fullPool()
		_, _, w := p.take(request(1, 100*time.Millisecond, time.Second))
		time.Sleep(rosedecision.OverloadThreshold / 2)
		p.put(conn)
		g, _ := received(w)
		c.Check(g.conn, qt.Equals, conn)
	})
}

// A request that arrives after its soft deadline, as after a failover, is served
// late and not shed.
func TestOverloadServesRequestsLateOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, conn := fullPool()
		_, _, w := p.take(request(1, -time.Millisecond, time.Second))
		time.Sleep(rosedecision.OverloadThreshold + time.Millisecond)
		p.put(conn)
		g, _ := received(w)
		c.Check(g.conn, qt.Equals, conn)
	})
}

func TestOverloadRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := fullPool()
		for range 20 {
			p.take(request(1, time.Second, time.Minute))
		}
		_, worthwhile := p.admit(request(1, 100*time.Millisecond, time.Minute))
		c.Check(worthwhile, qt.IsTrue, qt.Commentf("short burst"))
		time.Sleep(rosedecision.OverloadThreshold + time.Millisecond)
		wait, worthwhile := p.admit(request(1, 100*time.Millisecond, time.Minute))
		c.Check(worthwhile, qt.IsFalse)
		c.Check(wait > 100*time.Millisecond, qt.IsTrue)
	})
}

// When the backoff after a refused connection ends and all waiters are late, they
// are shed and the pool opens connections again.
func TestReopenWithOnlyLateWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, conn := fullPool()
		_, _, w := p.take(request(1, 10*time.Millisecond, time.Second))
		time.Sleep(rosedecision.OverloadThreshold - fullBackoff/2)
		p.markFull()
		p.drop(conn)
		time.Sleep(fullBackoff + time.Millisecond)
		synctest.Wait()
		g, ok := received(w)
		c.Check(ok && g.shed, qt.IsTrue)
		_, ok, _ = p.take(request(1, time.Second, time.Second))
		c.Check(ok, qt.IsTrue, qt.Commentf("the pool must open connections again"))
	})
}

func TestRefusedConnectionWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, conn := fullPool()
		_, _, w := p.take(request(1, time.Second, time.Second))
		p.markFull()
		p.drop(conn)
		_, ok := received(w)
		c.Check(ok, qt.IsFalse)
		time.Sleep(fullBackoff + time.Millisecond)
		synctest.Wait()
		g, ok := received(w)
		c.Check(ok && g.ok, qt.IsTrue)
	})
}

func TestFlushReleasesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := fullPool()
		_, _, w := p.take(request(1, time.Second, time.Second))
		p.flush()
		g, ok := received(w)
		c.Check(ok && !g.ok && !g.shed, qt.IsTrue)
	})
}

func TestAbandonedWaiterPassesOnItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, conn := fullPool()
		_, _, first := p.take(request(1, time.Second, time.Second))
		_, _, second := p.take(request(1, time.Second, 2*time.Second))
		p.put(conn)
		p.abandon(first)
		g, ok := received(second)
		c.Check(ok && g.conn == conn, qt.IsTrue)
	})
}

func TestAcquireIsRefusedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := NewGroup(Config{Name: "g"})
		e := &endpoint{group: g, pool: newPool()}
		e.pool.take(Request{})
		lease, refusal := g.acquireFrom(context.Background(), e, 0, request(1, time.Second, 10*time.Millisecond))
		c.Check(lease, qt.IsNil)
		c.Check(refusal.Outcome, qt.Equals, rosemary.OutcomeNotRun)
		c.Check(refusal.RetryAfter > 0, qt.IsTrue)
	})
}
