package rosedecision

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTeamTurnOrder(t *testing.T) {
	const ms = time.Millisecond
	order := []TeamTurn{
		{Start: 10 * ms, Sequence: 4},
		{Start: 10 * ms, Sequence: 5},
		{Start: 10 * ms, OpenTime: 12 * ms, Sequence: 1},
		{Start: 30 * ms, Sequence: 2},
		{Start: 10 * ms, RoutePriority: 2, Sequence: 3},
		{Start: 51 * ms, Sequence: 6},
	}
	for i := range order {
		for j := range order {
			qt.Check(t, order[i].Before(order[j]), qt.Equals, i < j, qt.Commentf("%d and %d", i, j))
		}
	}
}

func TestTeamShares(t *testing.T) {
	const hold = 10 * time.Millisecond
	now := time.Unix(100, 0)
	v := VirtualTime{}.WithIdle(now).WithIdle(now.Add(time.Second))
	qt.Check(t, v.elapsed, qt.Equals, time.Second)

	// A low team priority makes service dearer.
	served, lower := TeamShare{}.WithQueued(v).WithServed(hold), TeamShare{Priority: 1}.WithQueued(v).WithServed(hold)
	qt.Check(t, served.Start(), qt.Equals, time.Second+hold)
	qt.Check(t, lower.Start(), qt.Equals, time.Second+2*hold)
	qt.Check(t, served.Ahead(lower.Start(), hold, 5), qt.Equals, 2)
	qt.Check(t, lower.Ahead(served.Start(), hold, 5), qt.Equals, 0)
	// One long transaction sets a team back by a bounded time.
	qt.Check(t, served.WithActual(v, time.Minute, hold).Start(), qt.Equals, time.Second+maxTeamLead)
	qt.Check(t, served.WithActual(v, 0, hold).Start(), qt.Equals, time.Second)
	// So does much use without waiting.
	for range 100 {
		served = served.WithServedAtOnce(v, hold)
	}
	qt.Check(t, served.WithQueued(v).Start(), qt.Equals, time.Second+maxTeamLead+hold)
	// The virtual time doesn't fall behind what was served.
	qt.Check(t, v.WithServed(served.Start(), now).elapsed, qt.Equals, served.Start())
}

func TestIdleConnections(t *testing.T) {
	now := time.Unix(100, 0)
	rate := Rate{}
	for i := range 200 {
		rate = rate.WithEvent(now.Add(time.Duration(i) * time.Second))
	}
	now = now.Add(199 * time.Second)
	perSecond := rate.PerSecond(now)
	qt.Check(t, perSecond > 0.95 && perSecond < 1.05, qt.IsTrue, qt.Commentf("%f", perSecond))
	qt.Check(t, rate.Need(1, time.Second, now), qt.Equals, perSecond)
	// Of a load of one, 63% of the requests find a connection in use, and 26% two.
	second, third := rate.Need(2, time.Second, now)/perSecond, rate.Need(3, time.Second, now)/perSecond
	qt.Check(t, second > 0.6 && second < 0.66, qt.IsTrue, qt.Commentf("%f", second))
	qt.Check(t, third > 0.24 && third < 0.29, qt.IsTrue, qt.Commentf("%f", third))

	order := []IdleConnection{
		{Need: 0.1, IdleSince: now},
		{Need: 0.2, IdleSince: now.Add(-time.Second)},
		{Need: 0.2, IdleSince: now},
		{Reserved: true, IdleSince: now},
	}
	for i := range order {
		for j := range order {
			qt.Check(t, order[i].ClosesBefore(order[j]), qt.Equals, i < j, qt.Commentf("%d and %d", i, j))
		}
	}
	qt.Check(t, order[0].MakesRoomAhead(0.3) && !order[2].MakesRoomAhead(0.3), qt.IsTrue)
	qt.Check(t, order[3].MakesRoomAhead(100), qt.IsFalse)
	qt.Check(t, !IdleConnection{Need: 0.09}.NeededSoon() && order[0].NeededSoon() && order[3].NeededSoon(), qt.IsTrue)
}
