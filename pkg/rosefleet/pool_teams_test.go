package rosefleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// teamPool returns a pool with those limits to a target of four slots.
func teamPool(open, inUse int) *pool {
	p := newPool()
	p.setLimits(ConnLimits{Share: open, Max: open, MaxInUse: inUse}, 4)
	return p
}

func teamRequest(team string) Request {
	r := request(0, time.Minute, time.Minute)
	r.Team = team
	return r
}

// openFor opens a connection that the pool grants to a team.
func openFor(t *testing.T, p *pool, team string) *pooledConn {
	c, ok, w := p.take(teamRequest(team))
	qt.Assert(t, ok && c == nil && w == nil, qt.IsTrue, qt.Commentf("no right to open one for %q", team))
	c = &pooledConn{conn: &fakeConn{}, team: team, takenAt: time.Now()}
	p.opened(c, time.Now())
	return c
}

func TestConnectionsStayWithTheirTeams(t *testing.T) {
	const teams, workers, limit = 30, 20, 8
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(limit, limit/2)
		var tasks sync.WaitGroup
		for worker := range workers {
			tasks.Go(func() {
				random := rand.New(rand.NewPCG(uint64(worker), 1))
				for range 300 {
					team := fmt.Sprint("t", random.IntN(teams))
					c, ok, w := p.take(teamRequest(team))
					if w != nil && random.IntN(10) == 0 {
						p.abandon(w)
						continue
					}
					if w != nil {
						granted := <-w.granted
						c, ok = granted.conn, granted.ok
					}
					if c == nil {
						c = &pooledConn{conn: &fakeConn{}, team: team, takenAt: time.Now()}
						p.opened(c, time.Now())
					}
					qt.Check(t, ok && c.team == team && !c.conn.(*fakeConn).closed, qt.IsTrue)
					inUse, _, _, _ := p.load()
					qt.Check(t, inUse <= limit+1, qt.IsTrue, qt.Commentf("%d in use; a control call may use one more", inUse))
					if random.IntN(20) == 0 {
						p.drop(c)
					} else {
						p.put(c)
					}
					switch control, ok, _ := p.takeForControl(); {
					case control != nil:
						p.put(control)
					case ok:
						p.releaseOpening("", false)
					}
				}
			})
		}
		tasks.Wait()
		time.Sleep(closeDelay)
		synctest.Wait()
		inUse, waiting, _, _ := p.load()
		qt.Check(t, inUse+waiting+p.opening+p.closing, qt.Equals, 0)
	})
}

func TestLeastNeededConnectionIsClosedForOtherTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(3, 3)
		control, _, _ := p.takeForControl()
		qt.Assert(t, control, qt.IsNil)
		control = &pooledConn{conn: &fakeConn{}, takenAt: time.Now()}
		p.opened(control, time.Now())
		frequent, rare := openFor(t, p, "frequent"), openFor(t, p, "rare")
		for _, c := range []*pooledConn{control, frequent, rare} {
			p.put(c)
		}
		for range 3 {
			c, _, _ := p.take(teamRequest("frequent"))
			qt.Assert(t, c, qt.Equals, frequent)
			p.put(c)
		}
		time.Sleep(time.Second)
		borrowed, _, _ := p.takeForControl()
		qt.Check(t, borrowed, qt.Equals, control)
		p.put(borrowed)

		_, _, w := p.take(teamRequest("new"))
		qt.Assert(t, w, qt.IsNotNil)
		_, granted := received(w)
		qt.Check(t, granted, qt.IsFalse, qt.Commentf("the target may not have seen the close"))
		qt.Check(t, rare.conn.(*fakeConn).closed, qt.IsTrue)
		time.Sleep(closeDelay)
		synctest.Wait()
		g, _ := received(w)
		qt.Check(t, g.ok && g.conn == nil, qt.IsTrue)
		qt.Check(t, frequent.conn.(*fakeConn).closed || control.conn.(*fakeConn).closed, qt.IsFalse)
		qt.Check(t, p.counters.Evicted, qt.Equals, uint64(1))
	})
}

func TestControlCallBorrowsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(4, 4)
		c := openFor(t, p, "a")
		p.put(c)
		since := c.idleSince
		time.Sleep(time.Second)
		borrowed, _, _ := p.takeForControl()
		qt.Assert(t, borrowed, qt.Equals, c)
		p.put(borrowed)
		qt.Check(t, c.idleSince, qt.Equals, since)
		// A statement without a team doesn't get the connection of one.
		openFor(t, p, "")
	})
}

func TestTrimKeepsConnectionsOfBusyTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(2, 2)
		busy, rare := openFor(t, p, "busy"), openFor(t, p, "rare")
		p.put(busy)
		for range 10 {
			c, _, _ := p.take(teamRequest("busy"))
			p.put(c)
		}
		p.put(rare)
		time.Sleep(maxConnIdle + time.Millisecond)
		p.trim()
		qt.Check(t, busy.conn.(*fakeConn).closed, qt.IsFalse)
		qt.Check(t, rare.conn.(*fakeConn).closed, qt.IsTrue)
		time.Sleep(10 * time.Minute)
		p.trim()
		qt.Check(t, len(p.teams), qt.Equals, 1, qt.Commentf("teams without recent use are forgotten"))
	})
}

func TestFreeConnectionGoesToTeamInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(3, 1)
		b := openFor(t, p, "b")
		p.put(b)
		a := openFor(t, p, "a")
		var waiters []*waiter
		for _, team := range []string{"a", "a", "b"} {
			_, _, w := p.take(teamRequest(team))
			waiters = append(waiters, w)
		}
		time.Sleep(10 * time.Millisecond)
		p.put(a)
		g, _ := received(waiters[2])
		qt.Check(t, g.conn, qt.Equals, b, qt.Commentf("team a has just been served"))
		p.put(b)
		g, _ = received(waiters[0])
		qt.Check(t, g.conn, qt.Equals, a)
	})
}

// A transaction that waits for its client leaves its place to others, and goes on at once.
func TestRestingTransactionLeavesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(2, 1)
		a := openFor(t, p, "a")
		_, _, w := p.take(teamRequest("b"))
		_, granted := received(w)
		qt.Assert(t, granted, qt.IsFalse)
		time.Sleep(3 * time.Millisecond)
		p.rest(a)
		g, _ := received(w)
		qt.Assert(t, g.ok && g.conn == nil, qt.IsTrue)
		_, _, w = p.take(teamRequest("c"))
		time.Sleep(time.Minute)
		qt.Check(t, a.conn.(*fakeConn).closed, qt.IsFalse, qt.Commentf("only idle connections are closed for others"))
		p.resume(a)
		inUse, _, _, _ := p.load()
		qt.Check(t, inUse, qt.Equals, 2)
		time.Sleep(3 * time.Millisecond)
		p.put(a)
		time.Sleep(closeDelay)
		synctest.Wait()
		_, granted = received(w)
		qt.Check(t, granted, qt.IsFalse, qt.Commentf("b uses the only place"))
		qt.Check(t, p.meanHoldTime < initialHoldTime, qt.IsTrue, qt.Commentf("the rest counts as use: %v", p.meanHoldTime))
		p.abandon(w)
	})
}

// A client that gives up leaves the queue at once.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(Config{Name: "g"})
		e := &endpoint{group: g, pool: teamPool(1, 1)}
		openFor(t, e.pool, "a")
		ctx, cancel := context.WithCancel(t.Context())
		refused := make(chan *rosemary.Refusal)
		go func() {
			_, refusal := g.acquireFrom(ctx, e, 0, teamRequest("b"))
			refused <- refusal
		}()
		synctest.Wait()
		_, waiting, _, _ := e.pool.load()
		qt.Assert(t, waiting, qt.Equals, 1)
		start := time.Now()
		cancel()
		qt.Check(t, (<-refused).Outcome, qt.Equals, rosemary.OutcomeNotRun)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		_, waiting, _, _ = e.pool.load()
		qt.Check(t, waiting+len(e.pool.queued), qt.Equals, 0)
	})
}

func TestAdmissionCountsOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := teamPool(2, 1)
		c := openFor(t, p, "a")
		wait, _ := p.admit(teamRequest("a"))
		qt.Check(t, wait, qt.Equals, p.meanHoldTime)
		wait, _ = p.admit(teamRequest("b"))
		qt.Check(t, wait, qt.Equals, p.meanHoldTime+p.meanOpenTime)
		p.put(c)
		wait, worthwhile := p.admit(teamRequest("a"))
		qt.Check(t, wait == 0 && worthwhile, qt.IsTrue)
	})
}

func TestTeamStatistics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(Config{Name: "g"})
		p := teamPool(4, 2)
		g.endpoints["t-1"] = &endpoint{group: g, pool: p}
		a, b := openFor(t, p, "a"), openFor(t, p, "b")
		p.put(a)
		_, _, _ = p.take(teamRequest("b"))
		qt.Check(t, g.TeamConnections()["t-1"], qt.DeepEquals, map[string]TeamConnections{"a": {Idle: 1}, "b": {InUse: 2}})
		for _, team := range []string{"a", "b"} {
			_, _, w := p.take(teamRequest(team))
			time.Sleep(time.Second)
			p.abandon(w)
		}
		byTeam, others := g.TeamWaits(1)
		qt.Check(t, byTeam, qt.DeepEquals, map[string]TeamWaits{"a": {Count: 1, Total: time.Second}})
		qt.Check(t, others, qt.Equals, TeamWaits{Count: 1, Total: time.Second})
		qt.Check(t, g.ConnCounters().Opened, qt.Equals, uint64(2))
		p.put(b)
	})
}

// BenchmarkTakeAndPut measures taking and returning a connection: with teams, of which 17
// have one, and without.
func BenchmarkTakeAndPut(b *testing.B) {
	for _, teams := range []int{1, 83} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			p := teamPool(17, 9)
			requests := make([]Request, teams)
			for i := range requests {
				if teams > 1 {
					requests[i] = teamRequest(fmt.Sprint("team-", i))
				}
				p.team(requests[i].Team).uses = rosedecision.Rate{}.WithEvent(time.Now())
			}
			for i := range min(teams, 17) {
				c, _, _ := p.take(requests[i])
				c = &pooledConn{conn: &fakeConn{}, team: requests[i].Team, takenAt: time.Now()}
				p.opened(c, time.Now())
				p.put(c)
			}
			b.ReportAllocs()
			next := 0
			for b.Loop() {
				request := requests[next%min(teams, 17)]
				next++
				p.admit(request)
				c, _, _ := p.take(request)
				p.put(c)
			}
		})
	}
}

// hungDialer opens no connection before ctx ends.
type hungDialer struct{}

// DialTarget waits for ctx.
func (hungDialer) DialTarget(ctx context.Context, _ string, _ rosemary.Target, _ string) (rosemary.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// hungGroup returns a group with one target that doesn't answer.
func hungGroup() (*Group, *endpoint) {
	g := NewGroup(Config{Name: "g", Dialer: hungDialer{}, Clock: roseclock.Runtime{}})
	e := &endpoint{group: g, target: rosemary.Target{ID: "t-1"}, pool: teamPool(17, 9), sampleRequests: make(chan struct{}, 1)}
	g.endpoints["t-1"] = e
	g.primaryTracker.SetTargets([]rosemary.TargetID{"t-1"})
	g.primaryTracker.Observe(rosemary.Status{Target: "t-1", Role: rosemary.RoleReplica, Term: 1}, time.Now())
	return g, e
}

// teamRead returns a read of a team that a replica may serve.
func teamRead(team string) Request {
	read := teamRequest(team)
	read.MinPosition = rosemary.Position{LogTerm: 1, Offset: 1}
	return read
}

// Requests of many teams leave a target that doesn't answer after one wait.
func TestHungTargetIsLeftAfterOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, e := hungGroup()
		start := time.Now()
		var tasks sync.WaitGroup
		for team := range 30 {
			tasks.Go(func() {
				read := teamRead(fmt.Sprint(team))
				read.Deadline = start.Add(10 * dialTimeout)
				lease, refusal := g.Acquire(t.Context(), read)
				qt.Check(t, lease == nil && refusal != nil, qt.IsTrue)
			})
		}
		time.Sleep(dialTimeout + time.Millisecond)
		synctest.Wait()
		inUse, waiting, _, _ := e.pool.load()
		qt.Check(t, waiting, qt.Equals, 0)
		// The other openings had begun before the failure.
		qt.Check(t, inUse < e.pool.maxOpening, qt.IsTrue, qt.Commentf("%d", inUse))
		tasks.Wait()
	})
}

// A client that gives up while a connection opens says nothing of the target.
func TestCancelledOpeningIsNoFailureOfTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, e := hungGroup()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		start := time.Now()
		_, refusal := g.Acquire(ctx, teamRead("a"))
		qt.Check(t, refusal, qt.IsNotNil)
		qt.Check(t, time.Since(start), qt.Equals, 10*time.Millisecond)
		qt.Check(t, e.unreachableSince.IsZero(), qt.IsTrue)
		qt.Check(t, e.pool.open, qt.Equals, 0)
	})
}
